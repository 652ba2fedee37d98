/**
 * @file
 * Listens for connections from the system's other processes.
 */
#ifndef LINK_LINK_LISTEN_H
#define LINK_LINK_LISTEN_H

#include <gio/gio.h>

#include "base/status.h"

/**
 * Limit of inbound links, and of connections that wait to be accepted: after a
 * partition many peers may connect at once.
 */
#define LINK_MAX_INBOUND 512

/**
 * Adds a listening address to a socket service.
 *
 * @param address	"IP:PORT"
 * @return	STATUS_OK, STATUS_INVALID if the address is malformed, or
 *		STATUS_UNAVAILABLE if it can't be bound, such as one in use
 */
enum status link_listen(GSocketService *service, const char *address);

#endif
