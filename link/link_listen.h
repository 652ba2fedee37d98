/**
 * @file
 * Listens for connections of the system's other processes.
 */
#ifndef LINK_LINK_LISTEN_H
#define LINK_LINK_LISTEN_H

#include <gio/gio.h>

#include "base/status.h"

/** Connections that wait to be accepted at most, such as after a partition. */
#define LINK_MAX_INBOUND 512

/**
 * Has a service listen at an address.
 *
 * @param address	"IP:PORT"
 * @return	STATUS_OK, STATUS_INVALID for another form of address, or
 *		STATUS_UNAVAILABLE when it is in use
 */
enum status link_listen(GSocketService *service, const char *address);

#endif
