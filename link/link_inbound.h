/**
 * @file
 * The accepting side of a link: authenticates the process that opened it, then
 * passes on its frames.
 */
#ifndef LINK_LINK_INBOUND_H
#define LINK_LINK_INBOUND_H

#include <gio/gio.h>
#include <json-c/json.h>

#include "link/link_connection.h"
#include "link/link_identity.h"

struct link_inbound;

struct link_inbound_spec {
	const struct link_identity *identity; /**< of this process */
	const struct link_versions *versions; /**< supported by this process */
	const char *secret;
	struct link_poll *poll;
	struct link_traffic *traffic;
	/** Called for each frame received after the handshake. */
	void (*on_frame)(const struct link_identity *from, uint8_t type,
			 json_object *body, void *data);
	/** Called when the link has ended; must call link_inbound_free(). */
	void (*on_ended)(struct link_inbound *i, void *data);
	void *data;
};

struct link_inbound *link_inbound_new(const struct link_inbound_spec *spec,
				      GSocketConnection *stream);
gboolean link_inbound_is_authenticated(const struct link_inbound *i);

/** Returns when the link was accepted, in monotonic time. */
int64_t link_inbound_accepted_ms(const struct link_inbound *i);
void link_inbound_free(struct link_inbound *i);

#endif
