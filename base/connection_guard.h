/**
 * @file
 * Limits the connections of an HTTP server, so that slow, silent or numerous
 * peers can't exhaust it. Connections that send a request too slowly, read the
 * response too slowly or stay idle are closed. At the connection limit, a new
 * connection replaces the one that has been idle longest, or has been sending
 * its request or taking its response for longest.
 *
 * The guard also counts the memory held for all connections and requests. At
 * that limit, the connections are closed that hold most of it and whose request
 * is not being processed.
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
	int64_t held_bytes;  /**< of all connections and their requests */
};

/** Connections closed by the guard since it was created. */
struct connection_counts {
	uint64_t refused;  /**< at the limit, with none idle */
	uint64_t evicted;  /**< idle ones closed for a new one */
	uint64_t idle;	   /**< idle for too long */
	uint64_t slow;	   /**< request or response took too long */
	uint64_t held;	   /**< closed because too much memory is held */
	uint64_t heads;	   /**< head of a request too long */
	uint64_t bodies;   /**< body of a request too long */
	uint64_t unserved; /**< requests refused for want of memory */
};

struct connection_guard;

/**
 * @param name		of the port, for the log
 * @param limits	copied
 */
struct connection_guard *
connection_guard_new(const char *name, const struct connection_limits *limits);
void connection_guard_free(struct connection_guard *g);

/**
 * Registers a new connection.
 *
 * @return	FALSE if it was closed, as the limit is reached
 */
gboolean connection_guard_admit(struct connection_guard *g, GSocket *socket);

/** Records that a connection waits for its next request. */
void connection_guard_set_idle(struct connection_guard *g, GSocket *socket);

/** Records that a request was read whole; processing it has no time limit. */
void connection_guard_set_processing(struct connection_guard *g,
				     GSocket *socket);

/**
 * Records that a response is being sent.
 *
 * @param bytes		held until the peer has taken it
 */
void connection_guard_set_responding(struct connection_guard *g,
				     GSocket *socket, gsize bytes);

/**
 * Records that bytes of a request were read and are held for the connection.
 *
 * @return	FALSE if the connection was closed for it
 */
gboolean connection_guard_add_input(struct connection_guard *g, GSocket *socket,
				    gsize bytes);

/**
 * Returns what is held for a connection's input; the caller answers for it from
 * now on and gives it to connection_guard_release().
 */
int64_t connection_guard_take_input(struct connection_guard *g,
				    GSocket *socket);

/**
 * Reserves memory, for which connections are closed if need be.
 *
 * @return	FALSE if there is not enough
 */
gboolean connection_guard_hold(struct connection_guard *g, int64_t bytes);
void connection_guard_release(struct connection_guard *g, int64_t bytes);

/** Counters for the events that others detect. */
struct connection_counts *connection_guard_events(struct connection_guard *g);

struct connection_counts
connection_guard_counts(const struct connection_guard *g);

/** Returns the number of connections that neither side has closed. */
guint connection_guard_open_count(const struct connection_guard *g);

/** Returns the bytes held for all connections and their requests. */
int64_t connection_guard_held(const struct connection_guard *g);

#endif
