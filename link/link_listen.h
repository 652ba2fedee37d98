/**
 * @file
 * Listens for connections from the system's other processes.
 */
#ifndef LINK_LINK_LISTEN_H
#define LINK_LINK_LISTEN_H

#include <gio/gio.h>

#include "base/status.h"
#include "base/tcp_listener.h"

/**
 * Limit of inbound links, and of connections that wait to be accepted: after a
 * partition many peers may connect at once.
 */
#define LINK_MAX_INBOUND 512

/**
 * Listens at an address.
 *
 * @param address	"IP:PORT"
 * @param fn		called with each connection
 * @param listener	set if it listens; release it with tcp_listener_free()
 * @return	STATUS_OK, STATUS_INVALID if the address is malformed, or
 *		STATUS_UNAVAILABLE if it can't be bound, such as one in use
 */
enum status link_listen(const char *address, tcp_accept_fn fn, void *data,
			struct tcp_listener **listener);

#endif
