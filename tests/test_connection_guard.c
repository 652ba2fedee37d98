/*
 * What a new connection costs at the limit: the guard must not ask the kernel
 * about all others for each one. Queries are counted in place of time.
 */
#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "base/connection_guard.h"
#include "base/util.h"

#define CONNECTIONS 100
#define NEW_CONNECTIONS 300
#define QUERIES_PER_NEW INT64_C(4)
#define QUERIES_PER_SWEPT 2
#define SWEEP_INTERVAL_MS 100

enum peers {
	PEERS_IDLE,
	PEERS_READING, /* have sent a part of a request that was read */
	PEERS_SENDING, /* have sent a part that was not read */
	PEERS_CLOSED,
};

struct world {
	struct connection_guard *guard;
	GSocket *listener;
	GPtrArray *sockets; /* of both sides */
};

static int64_t query_count;

/* Counts the queries of connection states, in place of the C library's. */
int getsockopt(int fd, int level, int name, void *value, socklen_t *len)
{
	if (level == IPPROTO_TCP && name == TCP_INFO)
		query_count++;
	return (int)syscall(SYS_getsockopt, fd, level, name, value, len);
}

static void world_init(struct world *w)
{
	static const struct connection_limits limits = {
		.max_connections = CONNECTIONS,
		.idle_ms = 60000,
		.request_ms = 60000,
		.response_ms = 60000,
		.held_bytes = INT64_MAX,
	};
	GSocketAddress *any =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);

	w->guard = connection_guard_new("test", &limits);
	w->sockets = g_ptr_array_new_with_free_func(g_object_unref);
	w->listener = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				   G_SOCKET_PROTOCOL_TCP, NULL);
	g_assert_true(g_socket_bind(w->listener, any, TRUE, NULL));
	g_assert_true(g_socket_listen(w->listener, NULL));
	g_object_unref(any);
}

static void world_clear(struct world *w)
{
	connection_guard_free(w->guard);
	g_ptr_array_unref(w->sockets);
	g_object_unref(w->listener);
}

/* Opens a connection; returns TRUE if the guard admits it. */
static gboolean connect_peer(struct world *w, enum peers peers)
{
	GSocketAddress *address = g_socket_get_local_address(w->listener, NULL);
	GSocket *peer = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, NULL);
	gboolean is_admitted;
	GSocket *accepted;

	g_assert_true(g_socket_connect(peer, address, NULL, NULL));
	accepted = g_socket_accept(w->listener, NULL, NULL);
	g_assert_nonnull(accepted);
	g_ptr_array_add(w->sockets, peer);
	g_ptr_array_add(w->sockets, accepted);
	is_admitted = connection_guard_admit(w->guard, accepted);
	if (peers == PEERS_READING && is_admitted)
		connection_guard_add_input(w->guard, accepted, 1);
	if (peers == PEERS_SENDING)
		g_assert_cmpint(g_socket_send(peer, "P", 1, NULL, NULL), ==, 1);
	if (peers == PEERS_CLOSED)
		g_socket_close(peer, NULL);
	g_object_unref(address);
	return is_admitted;
}

static const struct full_case {
	const char *path;
	enum peers peers; /* that hold all connections */
	guint admitted;	  /* of the new ones */
	guint refused;
	guint evicted;
} cases[] = {
	{ "/connection-guard/idle", PEERS_IDLE, NEW_CONNECTIONS, 0,
	  NEW_CONNECTIONS },
	/* They are too recent to be closed for others. */
	{ "/connection-guard/reading", PEERS_READING, 0, NEW_CONNECTIONS, 0 },
	{ "/connection-guard/sending", PEERS_SENDING, 0, NEW_CONNECTIONS, 0 },
	{ "/connection-guard/closed", PEERS_CLOSED, NEW_CONNECTIONS, 0, 0 },
};

static void fill(struct world *w, enum peers peers)
{
	for (guint i = 0; i < CONNECTIONS; i++)
		g_assert_true(connect_peer(w, peers));
}

/* Opens the new connections; returns how many are admitted. */
static guint connect_more(struct world *w, enum peers peers)
{
	guint admitted = 0;

	for (guint i = 0; i < NEW_CONNECTIONS; i++)
		admitted += connect_peer(w, peers);
	return admitted;
}

static void test_full(gconstpointer data)
{
	const struct full_case *c = data;
	struct connection_counts counts;
	int64_t begin_ms;
	int64_t sweeps;
	struct world w;

	world_init(&w);
	fill(&w, c->peers);
	query_count = 0;
	begin_ms = util_monotonic_ms();
	g_assert_cmpuint(connect_more(&w, c->peers), ==, c->admitted);
	sweeps = (util_monotonic_ms() - begin_ms) / SWEEP_INTERVAL_MS + 1;
	g_assert_cmpint(query_count, <=,
			NEW_CONNECTIONS * QUERIES_PER_NEW +
				sweeps * CONNECTIONS * QUERIES_PER_SWEPT);
	counts = connection_guard_counts(w.guard);
	g_assert_cmpuint(counts.refused, ==, c->refused);
	g_assert_cmpuint(counts.evicted, ==, c->evicted);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_full);
	return g_test_run();
}
