/**
 * @file
 * Frames over one TCP connection: reading, and writing with a bounded queue.
 */
#ifndef LINK_LINK_CONNECTION_H
#define LINK_LINK_CONNECTION_H

#include <gio/gio.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"
#include "link/link_poll.h"

struct link_connection;

/** Called with a decoded body, which is not owned by the callee. */
typedef void (*link_frame_fn)(uint8_t type, json_object *body, void *data);

/** Called once when the peer or the network has ended the connection. */
typedef void (*link_closed_fn)(void *data);

/** Bytes and frames over all connections of a process. */
struct link_traffic {
	int64_t sent_bytes;
	int64_t sent_frames;
	int64_t received_bytes;
	int64_t received_frames;
	int64_t unknown_frames; /**< of types without a handler */
	int64_t refused_links;	/**< by either side, for their versions */
};

/** @param stream	taken over by reference */
struct link_connection *
link_connection_new(GSocketConnection *stream, struct link_poll *poll,
		    struct link_traffic *traffic, link_frame_fn on_frame,
		    link_closed_fn on_closed, void *data);

/** Queues a frame; STATUS_FULL when the peer reads too slowly. */
enum status link_connection_send(struct link_connection *c, uint8_t type,
				 json_object *body);

/** Closes without a callback; the connection must not be used again. */
void link_connection_close(struct link_connection *c);

#endif
