/**
 * @file
 * Keeps the connections of an HTTP server within limits, so that peers that
 * are slow, silent or many can't use it up: connections that send a request
 * too slowly, take its answer too slowly or stay idle are closed, and one that
 * comes when there are too many takes the place of the longest idle one.
 */
#ifndef BASE_CONNECTION_GUARD_H
#define BASE_CONNECTION_GUARD_H

#include <gio/gio.h>
#include <stdint.h>

struct connection_limits {
	guint max_connections;
	int64_t idle_ms;    /**< without a byte of the next request */
	int64_t request_ms; /**< from first to last byte of a request */
	int64_t answer_ms;  /**< from its start until an answer is taken */
};

/** Connections closed by the guard since it began. */
struct connection_counts {
	uint64_t refused; /**< too many, and none idle */
	uint64_t evicted; /**< idle ones that made room */
	uint64_t idle;
	uint64_t slow; /**< requests or answers that took too long */
};

struct connection_guard;

/** @param limits	copied */
struct connection_guard *
connection_guard_new(const struct connection_limits *limits);
void connection_guard_free(struct connection_guard *g);

/**
 * A connection waits for its next request. One that is not known yet is taken
 * under guard, or closed when there are too many.
 */
void connection_guard_reading(struct connection_guard *g, GSocket *socket);

/** A request is there whole and is being worked on, without a limit. */
void connection_guard_working(struct connection_guard *g, GSocket *socket);

/** An answer is being sent. */
void connection_guard_answering(struct connection_guard *g, GSocket *socket);

struct connection_counts
connection_guard_counts(const struct connection_guard *g);

/** Returns the number of open connections. */
guint connection_guard_open(const struct connection_guard *g);

#endif
