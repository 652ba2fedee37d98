/**
 * @file
 * The opening side of a link. A lost link is opened again after a delay with
 * exponential backoff and jitter. After the handshake, frames are only sent to
 * the other process; only acknowledgements are received.
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
	const struct link_versions *versions; /**< supported by this process */
	const char *secret;
	struct link_poll *poll;
	struct link_traffic *traffic;
	link_peer_fn on_up; /**< called after each handshake */
	void *data;
};

/**
 * Starts to open the link. The address is copied; all else that @spec points to
 * must outlive the link.
 */
struct link_peer *link_peer_new(const struct link_peer_spec *spec);
void link_peer_free(struct link_peer *p);

/**
 * Must be called every second: sends a ping if no frame was sent since the last
 * call, and reopens the link if the handshake or an acknowledgement is overdue.
 */
void link_peer_tick(struct link_peer *p);

const char *link_peer_address(const struct link_peer *p);

/** Returns the other side's identity, or NULL while the link is down. */
const struct link_identity *link_peer_identity(const struct link_peer *p);

/** Returns the negotiated protocol version, 0 while the link is down. */
int64_t link_peer_version(const struct link_peer *p);

/** Sends a frame; STATUS_UNAVAILABLE while the link is down. */
enum status link_peer_send(struct link_peer *p, uint8_t type,
			   json_object *body);

#endif
