/**
 * @file
 * The service "link": exchanges frames with the system's other processes. Each
 * process opens links to the peers that it sends to, and accepts links from the
 * peers that it receives from.
 */
#ifndef LINK_LINK_SERVICE_H
#define LINK_LINK_SERVICE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/kernel.h"
#include "base/status.h"
#include "link/link_connection.h"
#include "link/link_identity.h"
#include "link/message.h"

#define LINK_SERVICE "link"

struct link_service;

/** Handles a frame of an authenticated peer; the body is not owned. */
typedef void (*link_handler)(const struct link_identity *from,
			     json_object *body, void *data);

/** Called when the handshake of a link opened by this process has succeeded. */
typedef void (*link_up_fn)(const struct link_identity *to, void *data);

struct service *link_service_new(void);

/** Returns the identity of this process. */
const struct link_identity *link_service_self(const struct link_service *s);

/** Sets the handler of a message type; each type has at most one. */
void link_service_set_handler(struct link_service *s, enum message_type type,
			      link_handler handler, void *data);

/** Adds a callback for links that come up. */
void link_service_subscribe_up(struct link_service *s, link_up_fn fn,
			       void *data);

/**
 * Sets the addresses to keep links to, and closes the links to others.
 *
 * @param addresses	of char *, "IP:PORT"; this process's own is skipped
 */
void link_service_set_targets(struct link_service *s,
			      const GPtrArray *addresses);

/** Sends a message to a node; STATUS_UNAVAILABLE if no link to it is up. */
enum status link_service_send(struct link_service *s, const char *node,
			      enum message_type type, json_object *body);

/** Sends to all nodes of this failure domain to which a link is up. */
void link_service_broadcast_own_domain(struct link_service *s,
				       enum message_type type,
				       json_object *body);

/** Sends to all nodes of other failure domains to which a link is up. */
void link_service_broadcast_other_domains(struct link_service *s,
					  enum message_type type,
					  json_object *body);

/**
 * Returns the identities of the peers to which a link is up, of struct
 * link_identity *; free the array only.
 */
GPtrArray *link_service_peers(const struct link_service *s);

/** Returns the protocol version of the link to a node, 0 while it is down. */
int64_t link_service_version(const struct link_service *s, const char *node);

const struct link_traffic *link_service_traffic(const struct link_service *s);

#endif
