/**
 * @file
 * Limits the connections of an HTTP server, so that slow, silent or numerous
 * peers can't exhaust it. Connections that send a request too slowly, read the
 * response too slowly or stay idle are closed. At the connection limit, a new
 * connection replaces the one that has been idle longest.
 */
#ifndef BASE_CONNECTION_GUARD_H
#define BASE_CONNECTION_GUARD_H

#include <gio/gio.h>
#include <stdint.h>

struct connection_limits {
	guint max_connections;
	int64_t idle_ms;     /**< until the first byte of a request */
	int64_t request_ms;  /**< from first to last byte of a request */
	int64_t response_ms; /**< from the reply until it is sent */
};

/** Connections closed by the guard since it was created. */
struct connection_counts {
	uint64_t refused; /**< at the limit, with none idle */
	uint64_t evicted; /**< idle ones closed for a new one */
	uint64_t idle;	  /**< idle for too long */
	uint64_t slow;	  /**< request or response took too long */
};

struct connection_guard;

/** @param limits	copied */
struct connection_guard *
connection_guard_new(const struct connection_limits *limits);
void connection_guard_free(struct connection_guard *g);

/**
 * Records that a connection waits for its next request. A new connection is
 * registered, or closed if the limit is reached and none is idle.
 */
void connection_guard_set_idle(struct connection_guard *g, GSocket *socket);

/** Records that a request was read whole; processing it has no time limit. */
void connection_guard_set_processing(struct connection_guard *g,
				     GSocket *socket);

/** Records that the response is being sent. */
void connection_guard_set_responding(struct connection_guard *g,
				     GSocket *socket);

struct connection_counts
connection_guard_counts(const struct connection_guard *g);

/** Returns the number of connections that neither side has closed. */
guint connection_guard_open_count(const struct connection_guard *g);

#endif
