#include "base/connection_guard.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include "base/log.h"
#include "base/request_stream.h"
#include "base/util.h"

#define SWEEPS_PER_LIMIT 4 /* sweeps within the shortest time limit */
#define MAX_SWEEP_INTERVAL_MS 1000
/* A sweep asks the kernel about each connection, so new ones at the limit don't
 * cause one each. */
#define MIN_SWEEP_INTERVAL_MS 100
#define TCP_STATE_CLOSE_WAIT 8 /* the peer has closed, we have not */
/* A connection that has read or responded for less is not closed for another,
 * so that an ordinary client has the time for its request. */
#define MIN_EVICTION_AGE_MS 1000
/* Memory of an idle connection, most of it in the HTTP library. */
#define CONNECTION_BYTES INT64_C(16384)
/* The HTTP library keeps a request's bytes in pieces and then as a whole. */
#define COPIES_OF_INPUT 2

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
	int64_t held_bytes;	   /* of its unfinished request, and its own */
	GQueue *queue;		   /* that it is in, or NULL */
	GList link;		   /* in the queue */
};

struct connection_guard {
	char *name;
	struct connection_limits limits;
	struct connection_counts counts;
	struct connection_counts logged; /* in the last line */
	struct log_pace log_pace;
	GHashTable *connections; /* GSocket to struct guarded_connection */
	/* Of struct guarded_connection, in the order of state_since_ms. */
	GQueue idle;
	GQueue unfinished; /* reading or responding */
	int64_t held_bytes;
	int64_t swept_ms;
	guint sweep_timer;
};

static void on_socket_gone(gpointer data, GObject *socket)
{
	struct guarded_connection *c = data;

	c->socket = NULL;
	g_hash_table_remove(c->guard->connections, socket);
}

static void set_held(struct guarded_connection *c, int64_t bytes)
{
	c->guard->held_bytes += bytes - c->held_bytes;
	c->held_bytes = bytes;
}

static GQueue *queue_of(struct connection_guard *g, enum connection_state state)
{
	switch (state) {
	case CONNECTION_IDLE:
		return &g->idle;
	case CONNECTION_READING:
	case CONNECTION_RESPONDING:
		return &g->unfinished;
	case CONNECTION_PROCESSING:
		break;
	}
	return NULL;
}

static void move_to_queue(struct guarded_connection *c, GQueue *queue)
{
	if (c->queue)
		g_queue_unlink(c->queue, &c->link);
	c->queue = queue;
	c->link.data = c;
	if (queue)
		g_queue_push_tail_link(queue, &c->link);
}

static void guarded_connection_free(gpointer data)
{
	struct guarded_connection *c = data;

	move_to_queue(c, NULL);
	set_held(c, 0);
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

static void set_state(struct guarded_connection *c, enum connection_state state)
{
	c->state = state;
	c->state_since_ms = util_monotonic_ms();
	move_to_queue(c, queue_of(c->guard, state));
}

/* Closes a connection closed by its peer or over its limit; TRUE if closed. */
static gboolean close_if_expired(struct connection_guard *g,
				 struct guarded_connection *c, int64_t now_ms)
{
	int64_t age_ms = now_ms - c->state_since_ms;

	if (is_closed(c)) {
		request_stream_close_socket(c->socket);
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
	request_stream_close_socket(c->socket);
	return TRUE;
}

/* Idle and slow connections are common, so they alone cause no line. */
static gboolean has_reached_limit(const struct connection_guard *g)
{
	struct connection_counts before = g->logged;

	before.idle = g->counts.idle;
	before.slow = g->counts.slow;
	return memcmp(&before, &g->counts, sizeof(before)) != 0;
}

/* Logs which limits were reached, once in a while. */
static void log_limits(struct connection_guard *g, int64_t now_ms)
{
	const struct connection_counts *c = &g->counts;
	struct log_line line;

	if (!has_reached_limit(g) ||
	    !log_pace_is_due(&g->log_pace, now_ms, LOG_LIMIT_INTERVAL_MS))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "client_limits");
	log_str(&line, "port", g->name);
	log_int(&line, "connections", g_hash_table_size(g->connections));
	log_int(&line, "held_bytes", g->held_bytes);
	log_int(&line, "refused", (int64_t)(c->refused - g->logged.refused));
	log_int(&line, "evicted", (int64_t)(c->evicted - g->logged.evicted));
	log_int(&line, "idle", (int64_t)(c->idle - g->logged.idle));
	log_int(&line, "slow", (int64_t)(c->slow - g->logged.slow));
	log_int(&line, "held", (int64_t)(c->held - g->logged.held));
	log_int(&line, "heads", (int64_t)(c->heads - g->logged.heads));
	log_int(&line, "bodies", (int64_t)(c->bodies - g->logged.bodies));
	log_int(&line, "unserved", (int64_t)(c->unserved - g->logged.unserved));
	log_end(&line);
	g->logged = *c;
}

static gboolean on_sweep(gpointer data)
{
	struct connection_guard *g = data;
	int64_t now_ms = util_monotonic_ms();
	GHashTableIter iter;
	gpointer c;

	g->swept_ms = now_ms;
	g_hash_table_iter_init(&iter, g->connections);
	while (g_hash_table_iter_next(&iter, NULL, &c)) {
		if (close_if_expired(g, c, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	log_limits(g, now_ms);
	return G_SOURCE_CONTINUE;
}

struct connection_guard *
connection_guard_new(const char *name, const struct connection_limits *limits)
{
	struct connection_guard *g = g_new0(struct connection_guard, 1);
	int64_t shortest_ms = MIN(limits->idle_ms,
				  MIN(limits->request_ms, limits->response_ms));

	g->name = g_strdup(name);
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
	g_free(g->name);
	g_free(g);
}

static void close_connection(struct connection_guard *g,
			     struct guarded_connection *c)
{
	GSocket *socket = c->socket;

	request_stream_close_socket(socket);
	g_hash_table_remove(g->connections, socket);
}

/*
 * Closes the connection idle for longest; FALSE if there is none. Those found
 * to be sending a request join the unfinished ones.
 */
static gboolean evict_idle(struct connection_guard *g, int64_t now_ms)
{
	struct guarded_connection *c;

	while ((c = g_queue_peek_head(&g->idle))) {
		if (close_if_expired(g, c, now_ms)) {
			g_hash_table_remove(g->connections, c->socket);
			return TRUE;
		}
		if (c->state == CONNECTION_IDLE) {
			g->counts.evicted++;
			close_connection(g, c);
			return TRUE;
		}
	}
	return FALSE;
}

/* A request that is processed can't be given up: it may run. */
static gboolean evict_unfinished(struct connection_guard *g, int64_t now_ms)
{
	struct guarded_connection *c = g_queue_peek_head(&g->unfinished);

	if (!c || now_ms - c->state_since_ms < MIN_EVICTION_AGE_MS)
		return FALSE;
	g->counts.evicted++;
	close_connection(g, c);
	return TRUE;
}

static gboolean has_room(struct connection_guard *g)
{
	guint max = g->limits.max_connections;
	int64_t now_ms = util_monotonic_ms();

	if (g_hash_table_size(g->connections) < max)
		return TRUE;
	/* Connections closed by their peers go first. */
	if (now_ms - g->swept_ms >= MIN_SWEEP_INTERVAL_MS)
		on_sweep(g);
	return g_hash_table_size(g->connections) < max ||
	       evict_idle(g, now_ms) || evict_unfinished(g, now_ms);
}

/* Returns the unfinished connection that holds most, the oldest of several. */
static struct guarded_connection *find_largest(const struct connection_guard *g)
{
	struct guarded_connection *largest = NULL;

	for (const GList *i = g->unfinished.head; i; i = i->next) {
		struct guarded_connection *c = i->data;

		if (!largest || c->held_bytes > largest->held_bytes)
			largest = c;
	}
	return largest;
}

/* Closes connections until the limit of held memory is kept, if it can be. */
static gboolean enforce_held_limit(struct connection_guard *g)
{
	while (g->held_bytes > g->limits.held_bytes) {
		struct guarded_connection *c = find_largest(g);

		if (!c)
			return FALSE;
		g->counts.held++;
		close_connection(g, c);
	}
	return TRUE;
}

gboolean connection_guard_admit(struct connection_guard *g, GSocket *socket)
{
	struct guarded_connection *c;

	if (!has_room(g)) {
		g->counts.refused++;
		request_stream_close_socket(socket);
		return FALSE;
	}
	c = g_new0(struct guarded_connection, 1);
	c->guard = g;
	c->socket = socket;
	set_held(c, CONNECTION_BYTES);
	g_object_weak_ref(G_OBJECT(socket), on_socket_gone, c);
	set_state(c, CONNECTION_IDLE);
	g_hash_table_insert(g->connections, socket, c);
	return TRUE;
}

gboolean connection_guard_add_input(struct connection_guard *g, GSocket *socket,
				    gsize bytes)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (!c)
		return FALSE;
	if (c->state == CONNECTION_IDLE)
		set_state(c, CONNECTION_READING);
	set_held(c, c->held_bytes + (int64_t)bytes * COPIES_OF_INPUT);
	enforce_held_limit(g);
	return g_hash_table_contains(g->connections, socket);
}

int64_t connection_guard_take_input(struct connection_guard *g, GSocket *socket)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);
	int64_t taken;

	if (!c)
		return 0;
	taken = c->held_bytes - CONNECTION_BYTES;
	c->held_bytes = CONNECTION_BYTES;
	return taken;
}

gboolean connection_guard_hold(struct connection_guard *g, int64_t bytes)
{
	g->held_bytes += bytes;
	if (enforce_held_limit(g))
		return TRUE;
	g->held_bytes -= bytes;
	return FALSE;
}

void connection_guard_release(struct connection_guard *g, int64_t bytes)
{
	g->held_bytes -= bytes;
}

void connection_guard_set_idle(struct connection_guard *g, GSocket *socket)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (!c)
		return;
	c->idle_start_bytes = received_bytes(c);
	set_held(c, CONNECTION_BYTES);
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
				     GSocket *socket, gsize bytes)
{
	struct guarded_connection *c =
		g_hash_table_lookup(g->connections, socket);

	if (!c)
		return;
	set_state(c, CONNECTION_RESPONDING);
	set_held(c, c->held_bytes + (int64_t)bytes);
	enforce_held_limit(g);
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

struct connection_counts *connection_guard_events(struct connection_guard *g)
{
	return &g->counts;
}

int64_t connection_guard_held(const struct connection_guard *g)
{
	return g->held_bytes;
}
