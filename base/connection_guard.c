#include "base/connection_guard.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/util.h"

#define SWEEP_PARTS 4 /* sweeps in the shortest limit */
#define MAX_SWEEP_MS 1000
#define TCP_STATE_CLOSE_WAIT 8 /* the peer has closed, we have not */

enum guarded_state {
	GUARDED_IDLE,	   /* no byte of the next request yet */
	GUARDED_READING,   /* a request is coming in */
	GUARDED_WORKING,   /* a request is being worked on */
	GUARDED_ANSWERING, /* an answer is going out */
};

struct guarded {
	struct connection_guard *guard;
	/* Weak: the server's last reference closes the connection. */
	GSocket *socket;
	enum guarded_state state;
	int64_t since_ms;    /* of the state */
	uint64_t seen_bytes; /* received when it became idle */
};

struct connection_guard {
	struct connection_limits limits;
	struct connection_counts counts;
	GHashTable *connections; /* GSocket to struct guarded */
	guint sweep_timer;
};

static void on_socket_gone(gpointer data, GObject *socket)
{
	struct guarded *c = data;

	c->socket = NULL;
	g_hash_table_remove(c->guard->connections, socket);
}

static void guarded_free(gpointer data)
{
	struct guarded *c = data;

	if (c->socket)
		g_object_weak_unref(G_OBJECT(c->socket), on_socket_gone, c);
	g_free(c);
}

static gboolean read_info(const struct guarded *c, struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	return getsockopt(g_socket_get_fd(c->socket), IPPROTO_TCP, TCP_INFO,
			  info, &len) == 0;
}

/* Bytes that the kernel has received, also those not yet read. */
static uint64_t received_bytes(const struct guarded *c)
{
	struct tcp_info info = { 0 };

	return read_info(c, &info) ? info.tcpi_bytes_received : 0;
}

/*
 * The library keeps an idle connection open when its peer has closed it. A
 * peer that only sends no more may still wait for its answer.
 */
static gboolean is_closed(const struct guarded *c)
{
	struct tcp_info info = { 0 };

	if (g_socket_is_closed(c->socket))
		return TRUE;
	if (c->state == GUARDED_WORKING || c->state == GUARDED_ANSWERING)
		return FALSE;
	return read_info(c, &info) && info.tcpi_state == TCP_STATE_CLOSE_WAIT;
}

/* The server finds the socket closed and frees the connection. */
static void shut(GSocket *socket)
{
	g_socket_close(socket, NULL);
}

static void enter(struct guarded *c, enum guarded_state state)
{
	c->state = state;
	c->since_ms = util_monotonic_ms();
}

/* Closes a connection that is over its limit; TRUE when it is gone. */
static gboolean check(struct connection_guard *g, struct guarded *c,
		      int64_t now_ms)
{
	int64_t age_ms = now_ms - c->since_ms;

	if (is_closed(c)) {
		shut(c->socket);
		return TRUE;
	}
	if (c->state == GUARDED_WORKING)
		return FALSE;
	if (c->state == GUARDED_IDLE && received_bytes(c) > c->seen_bytes) {
		enter(c, GUARDED_READING);
		return FALSE;
	}
	if (c->state == GUARDED_IDLE && age_ms >= g->limits.idle_ms)
		g->counts.idle++;
	else if ((c->state == GUARDED_READING &&
		  age_ms >= g->limits.request_ms) ||
		 (c->state == GUARDED_ANSWERING &&
		  age_ms >= g->limits.answer_ms))
		g->counts.slow++;
	else
		return FALSE;
	shut(c->socket);
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
		if (check(g, c, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

struct connection_guard *
connection_guard_new(const struct connection_limits *limits)
{
	struct connection_guard *g = g_new0(struct connection_guard, 1);
	int64_t shortest_ms = MIN(limits->idle_ms,
				  MIN(limits->request_ms, limits->answer_ms));

	g->limits = *limits;
	g->connections = g_hash_table_new_full(NULL, NULL, NULL, guarded_free);
	g->sweep_timer = g_timeout_add(
		MIN(shortest_ms / SWEEP_PARTS, MAX_SWEEP_MS), on_sweep, g);
	return g;
}

void connection_guard_free(struct connection_guard *g)
{
	g_source_remove(g->sweep_timer);
	g_hash_table_unref(g->connections);
	g_free(g);
}

/* Closes the connection that has been idle longest; FALSE without one. */
static gboolean evict(struct connection_guard *g)
{
	struct guarded *oldest = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct guarded *c = item;

		if (c->state != GUARDED_IDLE ||
		    received_bytes(c) > c->seen_bytes)
			continue;
		if (oldest && oldest->since_ms <= c->since_ms)
			continue;
		oldest = c;
	}
	if (!oldest)
		return FALSE;
	g->counts.evicted++;
	shut(oldest->socket);
	g_hash_table_remove(g->connections, oldest->socket);
	return TRUE;
}

static gboolean has_room(struct connection_guard *g)
{
	guint max = g->limits.max_connections;

	if (g_hash_table_size(g->connections) < max)
		return TRUE;
	on_sweep(g); /* some may have been closed by their peers */
	return g_hash_table_size(g->connections) < max || evict(g);
}

static void admit(struct connection_guard *g, GSocket *socket)
{
	struct guarded *c;

	if (!has_room(g)) {
		g->counts.refused++;
		shut(socket);
		return;
	}
	c = g_new0(struct guarded, 1);
	c->guard = g;
	c->socket = socket;
	g_object_weak_ref(G_OBJECT(socket), on_socket_gone, c);
	enter(c, GUARDED_IDLE);
	g_hash_table_insert(g->connections, socket, c);
}

void connection_guard_reading(struct connection_guard *g, GSocket *socket)
{
	struct guarded *c = g_hash_table_lookup(g->connections, socket);

	if (!c) {
		admit(g, socket);
		return;
	}
	c->seen_bytes = received_bytes(c);
	enter(c, GUARDED_IDLE);
}

void connection_guard_working(struct connection_guard *g, GSocket *socket)
{
	struct guarded *c = g_hash_table_lookup(g->connections, socket);

	if (c)
		enter(c, GUARDED_WORKING);
}

void connection_guard_answering(struct connection_guard *g, GSocket *socket)
{
	struct guarded *c = g_hash_table_lookup(g->connections, socket);

	if (c)
		enter(c, GUARDED_ANSWERING);
}

struct connection_counts
connection_guard_counts(const struct connection_guard *g)
{
	return g->counts;
}

guint connection_guard_open(const struct connection_guard *g)
{
	GHashTableIter iter;
	gpointer c;
	guint count = 0;

	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &c))
		count += !is_closed(c);
	return count;
}
