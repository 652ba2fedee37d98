/**
 * @file
 * The link that this process opens to another one, opened again after each
 * loss with a jittered delay. Frames go one way, to the other process; only
 * acknowledgements come back.
 */
#ifndef LINK_LINK_PEER_H
#define LINK_LINK_PEER_H

#include <glib.h>
#include <json-c/json.h>

#include "link/link_connection.h"
#include "link/link_identity.h"

struct link_peer;

typedef void (*link_peer_fn)(struct link_peer *peer, void *data);

struct link_peer_spec {
	const char *address;		      /**< "IP:PORT" */
	const struct link_identity *identity; /**< of this process */
	const struct link_versions *versions; /**< that this process speaks */
	const char *secret;
	struct link_poll *poll;
	struct link_traffic *traffic;
	link_peer_fn on_up; /**< called after each handshake */
	void *data;
};

struct link_peer *link_peer_new(const struct link_peer_spec *spec);
void link_peer_free(struct link_peer *p);

/**
 * To be called each second: pings the other side unless a frame was sent since
 * the last call, and opens the link anew when nothing is acknowledged.
 */
void link_peer_tick(struct link_peer *p);

const char *link_peer_address(const struct link_peer *p);

/** Returns who the other side proved to be, or NULL while the link is down. */
const struct link_identity *link_peer_identity(const struct link_peer *p);

/** Returns the version that both sides agreed on, 0 while the link is down. */
int64_t link_peer_version(const struct link_peer *p);

/** Sends a frame; STATUS_UNAVAILABLE while the link is down. */
enum status link_peer_send(struct link_peer *p, uint8_t type,
			   json_object *body);

#endif
