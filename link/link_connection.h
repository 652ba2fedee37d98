/**
 * @file
 * Sends and receives frames over one TCP connection, with a bounded send queue.
 */
#ifndef LINK_LINK_CONNECTION_H
#define LINK_LINK_CONNECTION_H

#include <gio/gio.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"
#include "link/link_poll.h"

/** Longest body of a frame from a peer that is not authenticated. */
#define LINK_HANDSHAKE_MAX_BODY_BYTES ((gsize)4 << 10)

struct link_connection;

/** Called for each frame received; the body stays owned by the caller. */
typedef void (*link_frame_fn)(uint8_t type, json_object *body, void *data);

/**
 * Called once when the connection has ended without link_connection_close(): it
 * was closed by the peer, failed, or received invalid data. The connection
 * frees itself and must not be used again.
 */
typedef void (*link_closed_fn)(void *data);

/** Totals over all connections that share this struct. */
struct link_traffic {
	int64_t sent_bytes;
	int64_t sent_frames;
	int64_t received_bytes;
	int64_t received_frames;
	int64_t unknown_frames; /**< received, of a type without a handler */
	int64_t refused_links;	/**< by either side: no common version */
	int64_t limited_links;	/**< closed or refused: too many */
	int64_t refused_frames; /**< too long or not valid */
};

/**
 * Starts to receive frames over a connected stream.
 *
 * @param stream	a reference is taken
 * @param traffic	updated by the connection, must outlive it
 */
struct link_connection *
link_connection_new(GSocketConnection *stream, struct link_poll *poll,
		    struct link_traffic *traffic, link_frame_fn on_frame,
		    link_closed_fn on_closed, void *data);

/**
 * Limits the body of received frames; a longer one ends the connection. A side
 * that accepts connections keeps the limit low until the peer is authenticated:
 * a frame may take a thousand times its length as JSON in memory.
 */
void link_connection_limit_frames(struct link_connection *c,
				  gsize max_body_bytes);

/**
 * Queues a frame and sends what the socket accepts at once.
 *
 * @return	STATUS_OK, STATUS_UNAVAILABLE if the connection has ended, or
 *		STATUS_FULL if the frame is too large or too much is queued
 *		because the peer reads too slowly
 */
enum status link_connection_send(struct link_connection *c, uint8_t type,
				 json_object *body);

/**
 * Closes and frees the connection without calling @on_closed. It may be called
 * from within @on_frame.
 */
void link_connection_close(struct link_connection *c);

#endif
