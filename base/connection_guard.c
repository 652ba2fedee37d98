#include "base/connection_guard.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/util.h"

#define SWEEPS_PER_LIMIT 4 /* sweeps within the shortest time limit */
#define MAX_SWEEP_INTERVAL_MS 1000
#define TCP_STATE_CLOSE_WAIT 8 /* the peer has closed, we have not */

enum connection_state {
	CONNECTION_IDLE,       /* waiting for the first byte of a request */
	CONNECTION_READING,    /* receiving a request */
	CONNECTION_PROCESSING, /* processing a request */
	CONNECTION_RESPONDING, /* sending a response */
};

struct guarded_connection {
	struct connection_guard *guard;
	/* Weak: libsoup closes the connection with its last reference. */
	GSocket *socket;
	enum connection_state state;
	int64_t state_since_ms;	   /* when the state was entered */
	uint64_t idle_start_bytes; /* bytes received when it became idle */
};

struct connection_guard {
	struct connection_limits limits;
	struct connection_counts counts;
	GHashTable *connections; /* GSocket to struct guarded_connection */
	guint sweep_timer;
};

static void on_socket_gone(gpointer data, GObject *socket)
{
	struct guarded_connection *c = data;

	c->socket = NULL;
	g_hash_table_remove(c->guard->connections, socket);
}

static void guarded_connection_free(gpointer data)
{
	struct guarded_connection *c = data;

	if (c->socket)
		g_object_weak_unref(G_OBJECT(c->socket), on_socket_gone, c);
	g_free(c);
}

static gboolean read_info(const struct guarded_connection *c,
			  struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	return getsockopt(g_socket_get_fd(c->socket), IPPROTO_TCP, TCP_INFO,
			  info, &len) == 0;
}

/* Returns the bytes received by the kernel, including unread ones. */
static uint64_t received_bytes(const struct guarded_connection *c)
{
	struct tcp_info info = { 0 };

	return read_info(c, &info) ? info.tcpi_bytes_received : 0;
}

/*
 * libsoup keeps an idle connection open after its peer has closed it. While a
 * request is processed or answered, CLOSE_WAIT doesn't count as closed: the
 * peer may have shut down only its sending side and still wait for the
 * response.
 */
static gboolean is_closed(const struct guarded_connection *c)
{
	struct tcp_info info = { 0 };

	if (g_socket_is_closed(c->socket))
		return TRUE;
	if (c->state == CONNECTION_PROCESSING ||
	    c->state == CONNECTION_RESPONDING)
		return FALSE;
	return read_info(c, &info) && info.tcpi_state == TCP_STATE_CLOSE_WAIT;
}

/* libsoup notices the closed socket and frees the connection. */
static void close_socket(GSocket *socket)
{
	g_socket_close(socket, NULL);
}

static void set_state(struct guarded_connection *c, enum connection_state state)
{
	c->state = state;
	c->state_since_ms = util_monotonic_ms();
}

/* Closes a connection closed by its peer or over its limit; TRUE if closed. */
static gboolean close_if_expired(struct connection_guard *g,
				 struct guarded_connection *c, int64_t now_ms)
{
	int64_t age_ms = now_ms - c->state_since_ms;

	if (is_closed(c)) {
		close_socket(c->socket);
		return TRUE;
	}
	if (c->state == CONNECTION_PROCESSING)
		return FALSE;
	if (c->state == CONNECTION_IDLE &&
	    received_bytes(c) > c->idle_start_bytes) {
		set_state(c, CONNECTION_READING);
		return FALSE;
	}
	if (c->state == CONNECTION_IDLE && age_ms >= g->limits.idle_ms)
		g->counts.idle++;
	else if ((c->state == CONNECTION_READING &&
		  age_ms >= g->limits.request_ms) ||
		 (c->state == CONNECTION_RESPONDING &&
		  age_ms >= g->limits.response_ms))
		g->counts.slow++;
	else
		return FALSE;
	close_socket(c->socket);
	return TRUE;
}

static gboolean on_sweep(gpointer data)
{
	struct connection_guard *g = data;
	int64_t now_ms = util_monotonic_ms();
	GHashTableIter iter;
	gpointer c;

	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &c)) {
		if (close_if_expired(g, c, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

struct connection_guard *
connection_guard_new(const struct connection_limits *limits)
{
	struct connection_guard *g = g_new0(struct connection_guard, 1);
	int64_t shortest_ms = MIN(limits->idle_ms,
				  MIN(limits->request_ms, limits->response_ms));

	g->limits = *limits;
	g->connections = g_hash_table_new_full(NULL, NULL, NULL,
					       guarded_connection_free);
	g->sweep_timer = g_timeout_add(
		MIN(shortest_ms / SWEEPS_PER_LIMIT, MAX_SWEEP_INTERVAL_MS),
		on_sweep, g);
	return g;
}

void connection_guard_free(struct connection_guard *g)
{
	g_source_remove(g->sweep_timer);
	g_hash_table_unref(g->connections);
	g_free(g);
}

/* Closes the connection idle for longest; returns FALSE if none is idle. */
static gboolean evict(struct connection_guard *g)
{
	struct guarded_connection *oldest = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct guarded_connection *c = item;

		if (c->state != CONNECTION_IDLE ||
		    received_bytes(c) > c->idle_start_bytes)
			continue;
		if (oldest && oldest->state_since_ms <= c->state_since_ms)
			continue;
		oldest = c;
	}
	if (!oldest)
		return FALSE;
	g->counts.evicted++;
	close_socket(oldest->socket);
	g_hash_table_remove(g->connections, oldest->socket);
	return TRUE;
}

static gboolean has_room(struct connection_guard *g)
{
	guint max = g->limits.max_connections;

	if (g_hash_table_size(g->connections) < max)
		return TRUE;
	on_sweep(g); /* removes connections closed by their peers */
	return g_hash_table_size(g->connections) < max || evict(g);
}

static void admit(struct connection_guard *g, GSocket *socket)
{
	struct guarded_connection *c;

	if (!has_room(g)) {
		g->counts.refused++;
		close_socket(socket);
		return;
	}
	c = g_new0(struct guarded_connection, 1);
	c->guard = g;
	c->socket = socket;
	g_object_weak_ref(G_OBJECT(socket), on_socket_gone, c);
	set_state(c, CONNECTION_IDLE);
	g_hash_table_insert(g->connections, socket, c);
}

void connection_guard_set_idle(struct connection_guard *g, GSocket *socket)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (!c) {
		admit(g, socket);
		return;
	}
	c->idle_start_bytes = received_bytes(c);
	set_state(c, CONNECTION_IDLE);
}

void connection_guard_set_processing(struct connection_guard *g,
				     GSocket *socket)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (c)
		set_state(c, CONNECTION_PROCESSING);
}

void connection_guard_set_responding(struct connection_guard *g,
				     GSocket *socket)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (c)
		set_state(c, CONNECTION_RESPONDING);
}

struct connection_counts
connection_guard_counts(const struct connection_guard *g)
{
	return g->counts;
}

guint connection_guard_open_count(const struct connection_guard *g)
{
	GHashTableIter iter;
	gpointer c;
	guint count = 0;

	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &c))
		count += !is_closed(c);
	return count;
}
