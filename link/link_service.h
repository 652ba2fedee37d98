/**
 * @file
 * The service "link": frames between the system's processes. Each process
 * opens a link to those it sends to, and accepts links from those it hears.
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

/** Handles a frame from a process that has proved its identity. */
typedef void (*link_handler)(const struct link_identity *from,
			     json_object *body, void *data);

/** Called when a link that this process opened has come up. */
typedef void (*link_up_fn)(const struct link_identity *to, void *data);

struct service *link_service_new(void);

/** Returns who this process is. */
const struct link_identity *link_service_self(const struct link_service *s);

/** Sets the handler of a type; one a type. */
void link_service_handle(struct link_service *s, enum message_type type,
			 link_handler handler, void *data);

void link_service_on_up(struct link_service *s, link_up_fn fn, void *data);

/**
 * Sets the addresses to hold links to, and ends the links to others.
 *
 * @param addresses	of char *, "IP:PORT"; this process's own is left out
 */
void link_service_set_targets(struct link_service *s,
			      const GPtrArray *addresses);

/** Sends to a node; STATUS_UNAVAILABLE when no link to it is up. */
enum status link_service_send(struct link_service *s, const char *node,
			      enum message_type type, json_object *body);

/** Sends to all nodes of this failure domain to which a link is up. */
void link_service_broadcast_domain(struct link_service *s,
				   enum message_type type, json_object *body);

/** Sends to all nodes of other failure domains to which a link is up. */
void link_service_broadcast_bridges(struct link_service *s,
				    enum message_type type, json_object *body);

/** Returns the identities to which a link is up; of struct link_identity *. */
GPtrArray *link_service_peers(const struct link_service *s);

/** Returns the version spoken on the link to a node, 0 while it is down. */
int64_t link_service_version(const struct link_service *s, const char *node);

const struct link_traffic *link_service_traffic(const struct link_service *s);

#endif
