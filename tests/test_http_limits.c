#include <gio/gio.h>
#include <malloc.h>
#include <string.h>

#include "base/http_server.h"
#include "base/util.h"
#include "tests/cluster.h"

#define MAX_CONNECTIONS 4
#define MAX_BODY_BYTES 1000
#define HEAD_LINES 7 /* the empty one included */
#define PARSED_BYTES 4000
#define HELD_BYTES (INT64_C(400) << 10)
/* For two connections and one request. */
#define TWO_CONNECTIONS_BYTES (INT64_C(38) << 10)
#define WAIT_MS 5000
#define MANY_CONNECTIONS 1000UL
#define MAX_LEFT_BYTES 100U /* of a connection, on average */
#define EMPTY_REQUEST \
	"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"

static const struct connection_limits connection_limits = {
	.max_connections = MAX_CONNECTIONS,
	.idle_ms = 600,
	.request_ms = 300,
	.response_ms = 300,
};

struct fixture {
	struct http_server *server;
	struct http_request *pending_request; /* of GET /hold, or NULL */
	char *big_body;			      /* of the answer to GET /big */
};

/* A client that sends raw bytes and records what it receives. */
struct peer {
	GSocketConnection *connection;
	GString *received;
	gboolean is_closed;
	char buffer[4096];
};

static void handle_echo(struct http_request *r, void *data)
{
	json_object *body = http_request_json(r);

	if (body)
		http_request_reply(r, 200, json_object_get(body));
}

/* Leaves the request without an answer until the fixture is torn down. */
static void handle_hold(struct http_request *r, void *data)
{
	((struct fixture *)data)->pending_request = r;
}

static void handle_big(struct http_request *r, void *data)
{
	http_request_reply_text(r, 200, ((struct fixture *)data)->big_body);
}

static void open_server(struct fixture *f, gsize max_body_bytes,
			int64_t held_bytes, gboolean may_run_elsewhere)
{
	struct http_limits limits = *http_default_limits();

	f->server = http_server_new(max_body_bytes);
	limits.connections = connection_limits;
	limits.connections.held_bytes = held_bytes;
	limits.may_run_elsewhere = may_run_elsewhere;
	limits.head_lines = HEAD_LINES;
	limits.parsed_bytes = PARSED_BYTES;
	http_server_set_limits(f->server, &limits);
	http_server_add_route(f->server, "POST", "/echo", handle_echo, f);
	http_server_add_route(f->server, "GET", "/hold", handle_hold, f);
	http_server_add_route(f->server, "GET", "/big", handle_big, f);
	g_assert_cmpint(http_server_listen(f->server, "127.0.0.1", 0), ==,
			STATUS_OK);
}

static void fixture_set_up(struct fixture *f, gconstpointer data)
{
	f->big_body = g_strnfill(64 << 20, 'x');
	open_server(f, MAX_BODY_BYTES, INT64_MAX, FALSE);
}

static void fixture_tear_down(struct fixture *f, gconstpointer data)
{
	if (f->pending_request)
		http_request_reply_text(f->pending_request, 200, "");
	cluster_sleep(10);
	http_server_free(f->server);
	g_free(f->big_body);
}

static void read_more(struct peer *p);

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct peer *p = data;
	gssize len = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						NULL);

	if (len <= 0) {
		p->is_closed = TRUE;
		return;
	}
	g_string_append_len(p->received, p->buffer, len);
	read_more(p);
}

static void read_more(struct peer *p)
{
	GInputStream *in =
		g_io_stream_get_input_stream(G_IO_STREAM(p->connection));

	g_input_stream_read_async(in, p->buffer, sizeof(p->buffer),
				  G_PRIORITY_DEFAULT, NULL, on_read, p);
}

static struct peer *peer_new(struct fixture *f)
{
	struct peer *p = g_new0(struct peer, 1);
	GSocketClient *client = g_socket_client_new();

	p->connection = g_socket_client_connect_to_host(
		client, "127.0.0.1", http_server_port(f->server), NULL, NULL);
	p->received = g_string_new(NULL);
	g_assert_nonnull(p->connection);
	g_object_unref(client);
	return p;
}

static gboolean is_closed(void *data)
{
	return ((struct peer *)data)->is_closed;
}

static void peer_free(struct peer *p)
{
	GSocket *socket = g_socket_connection_get_socket(p->connection);

	g_socket_shutdown(socket, TRUE, TRUE, NULL);
	g_assert_true(cluster_wait(is_closed, p, WAIT_MS));
	g_object_unref(p->connection);
	g_string_free(p->received, TRUE);
	g_free(p);
}

static void peer_send(struct peer *p, const char *text)
{
	GOutputStream *out =
		g_io_stream_get_output_stream(G_IO_STREAM(p->connection));

	g_output_stream_write_all(out, text, strlen(text), NULL, NULL, NULL);
}

/* Returns a peer that has sent a text and records what it receives. */
static struct peer *peer_new_sending(struct fixture *f, const char *text)
{
	struct peer *p = peer_new(f);

	read_more(p);
	peer_send(p, text);
	return p;
}

/* Heads longer than the limit of lines, HEAD_LINES, and as long as it. */
#define FIELDS "a:\r\na:\r\na:\r\n"
#define LONG_HEAD "GET /hold HTTP/1.1\r\nHost: a\r\n" FIELDS FIELDS "\r\n"
#define WHOLE_HEAD                                                     \
	"POST /echo HTTP/1.1\r\nHost: a\r\n" FIELDS "Content-Length: " \
	"2\r\n\r\n"

/* What a client sends, the answer, and whether the server then closes. */
struct peer_case {
	const char *path; /* of the test case */
	const char *sent;
	const char *answer; /* expected start of the received bytes */
	int64_t within_ms;  /* limit until closed, 0 if it must stay open */
};

static const struct peer_case peer_cases[] = {
	{ "/http-limits/idle", "", "", 1500 },
	{ "/http-limits/half-request-line", "POST /ec", "", 1200 },
	{ "/http-limits/half-headers",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Le", "", 1200 },
	{ "/http-limits/half-body",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{", "",
	  1200 },
	{ "/http-limits/whole", EMPTY_REQUEST, "HTTP/1.1 200", 0 },
	{ "/http-limits/most-lines", WHOLE_HEAD "{}", "HTTP/1.1 200", 0 },
	{ "/http-limits/too-many-lines", LONG_HEAD, "HTTP/1.1 431", 1200 },
	{ "/http-limits/second-head", WHOLE_HEAD "{}" LONG_HEAD, "HTTP/1.1 200",
	  1200 },
	{ "/http-limits/empty-lines",
	  "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", "HTTP/1.1 4", 1200 },
	{ "/http-limits/too-many-values",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 26\r\n\r\n"
	  "{\"a\":[{},{},{},{},{},{},0]}",
	  "HTTP/1.1 400", 1200 },
	{ "/http-limits/no-http", "\x16\x03\x01 hello\r\n\r\n", "", 1200 },
	{ "/http-limits/oversize-body",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
	  "", 1200 },
	{ "/http-limits/chunked",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\n{}\r\n0\r\n\r\n",
	  "HTTP/1.1 411", 1200 },
	{ "/http-limits/two-lengths",
	  "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
	  "Content-Length: 3\r\n\r\n{}",
	  "", 1200 },
	{ "/http-limits/held", "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n", "", 0 },
};

static void test_peer(struct fixture *f, gconstpointer data)
{
	const struct peer_case *c = data;
	struct peer *p = peer_new(f);
	gboolean closed;

	read_more(p);
	peer_send(p, c->sent);
	closed = cluster_wait(is_closed, p, c->within_ms ? c->within_ms : 500);
	g_test_message("got %s", p->received->str);
	g_assert_cmpint(closed, ==, c->within_ms != 0);
	g_assert_true(g_str_has_prefix(p->received->str, c->answer));
	peer_free(p);
}

/* At the limit, a new connection replaces the one that was idle longest. */
static void test_many_idle(struct fixture *f, gconstpointer data)
{
	struct peer *idle[MAX_CONNECTIONS];
	struct peer *last;

	for (guint i = 0; i < MAX_CONNECTIONS; i++) {
		idle[i] = peer_new(f);
		read_more(idle[i]);
		cluster_sleep(20);
	}
	last = peer_new(f);
	read_more(last);
	peer_send(last, EMPTY_REQUEST);
	g_assert_true(cluster_wait(is_closed, idle[0], 300));
	g_assert_false(idle[1]->is_closed);
	cluster_sleep(50);
	g_assert_true(g_str_has_prefix(last->received->str, "HTTP/1.1 200"));
	for (guint i = 0; i < MAX_CONNECTIONS; i++)
		peer_free(idle[i]);
	peer_free(last);
}

/* At the limit with no connection idle, a new one is refused. */
static void test_refuse_at_limit(struct fixture *f, gconstpointer data)
{
	struct peer *busy[MAX_CONNECTIONS];
	struct peer *last;

	for (guint i = 0; i < MAX_CONNECTIONS; i++) {
		busy[i] = peer_new(f);
		read_more(busy[i]);
		peer_send(busy[i], "POST /ec");
	}
	cluster_sleep(50);
	last = peer_new(f);
	read_more(last);
	g_assert_true(cluster_wait(is_closed, last, 200));
	g_assert_cmpuint(
		connection_guard_counts(http_server_guard(f->server)).refused,
		==, 1);
	for (guint i = 0; i < MAX_CONNECTIONS; i++)
		peer_free(busy[i]);
	peer_free(last);
}

static gboolean is_answered(void *data)
{
	return ((struct peer *)data)->received->len > 0;
}

/* Connections closed by their clients don't count towards the limit. */
static void test_one_after_another(struct fixture *f, gconstpointer data)
{
	struct connection_counts counts;

	for (guint i = 0; i < 10 * MAX_CONNECTIONS; i++) {
		struct peer *p = peer_new(f);

		read_more(p);
		peer_send(p, EMPTY_REQUEST);
		g_assert_true(cluster_wait(is_answered, p, WAIT_MS));
		peer_free(p);
		cluster_sleep(5);
	}
	counts = connection_guard_counts(http_server_guard(f->server));
	g_assert_cmpuint(counts.refused, ==, 0);
	g_assert_cmpuint(counts.evicted, ==, 0);
	g_assert_cmpuint(
		connection_guard_open_count(http_server_guard(f->server)), ==,
		0);
}

/* Returns TRUE if no connection is open and no request is pending. */
static gboolean has_none_open(void *data)
{
	struct fixture *f = data;

	return connection_guard_open_count(http_server_guard(f->server)) == 0 &&
	       http_server_pending(f->server) == 0;
}

/* How connections end whose memory is measured. */
static const struct left_case {
	const char *path;
	const char *request; /* "" for none */
	guint kept;	     /* connections kept open until they are evicted */
} left_cases[] = {
	{ "/http-limits/left-memory/unused", "", 0 },
	{ "/http-limits/left-memory/request", EMPTY_REQUEST, 0 },
	{ "/http-limits/left-memory/evicted", EMPTY_REQUEST, MAX_CONNECTIONS },
	{ "/http-limits/left-memory/evicted-unused", "", MAX_CONNECTIONS },
};

static void open_and_close(struct fixture *f, const struct left_case *c,
			   gulong count)
{
	GQueue open = G_QUEUE_INIT;

	for (gulong i = 0; i < count; i++) {
		struct peer *p = peer_new_sending(f, c->request);

		if (*c->request)
			g_assert_true(cluster_wait(is_answered, p, WAIT_MS));
		g_queue_push_tail(&open, p);
		if (open.length > c->kept)
			peer_free(g_queue_pop_head(&open));
	}
	while (open.length)
		peer_free(g_queue_pop_head(&open));
	g_assert_true(cluster_wait(has_none_open, f, WAIT_MS));
}

/* Connections leave nothing behind, however many there were. */
static void test_left_memory(struct fixture *f, gconstpointer data)
{
	const struct left_case *c = data;
	size_t before_bytes;

	open_and_close(f, c, MANY_CONNECTIONS / 4);
	before_bytes = mallinfo2().uordblks;
	open_and_close(f, c, MANY_CONNECTIONS);
	g_assert_cmpuint(mallinfo2().uordblks, <=,
			 before_bytes + MANY_CONNECTIONS * MAX_LEFT_BYTES);
}

/* A client that doesn't read the response is disconnected. */
static void test_slow_reader(struct fixture *f, gconstpointer data)
{
	struct peer *p = peer_new(f);

	peer_send(p, "GET /big HTTP/1.1\r\nHost: a\r\n\r\n");
	cluster_sleep(100);
	g_assert_cmpuint(http_server_pending(f->server), ==, 1);
	g_assert_true(cluster_wait(has_none_open, f, 2000));
	read_more(p);
	peer_free(p);
}

static void test_large_headers(struct fixture *f, gconstpointer data)
{
	char *name = g_strnfill(200000, 'a');
	char *text = g_strdup_printf(
		"GET /hold HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", name);
	struct peer *p = peer_new(f);

	read_more(p);
	peer_send(p, text);
	g_assert_true(cluster_wait(is_closed, p, 1200));
	g_assert_null(f->pending_request);
	peer_free(p);
	g_free(text);
	g_free(name);
}

/* A body above the limit is read and discarded, so that the 413 arrives. */
static void test_oversize(struct fixture *f, gconstpointer data)
{
	char *body = g_strnfill(100000, ' ');
	struct peer *p = peer_new(f);

	read_more(p);
	peer_send(p, "POST /echo HTTP/1.1\r\nHost: a\r\n"
		     "Content-Length: 100000\r\n\r\n");
	peer_send(p, body);
	g_assert_true(cluster_wait(is_answered, p, WAIT_MS));
	g_assert_true(g_str_has_prefix(p->received->str, "HTTP/1.1 413"));
	g_assert_true(cluster_wait(is_closed, p, WAIT_MS));
	peer_free(p);
	g_free(body);
}

/*
 * A burst of connections while the main loop doesn't run has to fit into the
 * listen backlog.
 */
static void test_burst(struct fixture *f, gconstpointer data)
{
	cluster_connect_burst(http_server_port(f->server));
}

/* Returns TRUE once all connections have been closed on this side, too. */
static gboolean holds_nothing(void *data)
{
	struct fixture *f = data;

	return connection_guard_held(http_server_guard(f->server)) == 0;
}

static void assert_answered(struct peer *p, const char *answer)
{
	g_assert_true(cluster_wait(is_answered, p, WAIT_MS));
	g_assert_true(g_str_has_prefix(p->received->str, answer));
}

static void assert_small_request_served(struct fixture *f)
{
	struct peer *p = peer_new_sending(f, EMPTY_REQUEST);

	assert_answered(p, "HTTP/1.1 200");
	peer_free(p);
}

/* Asserts how many connections were closed, and requests refused, for memory.
 */
static void assert_limited(struct fixture *f, uint64_t held, uint64_t unserved)
{
	struct connection_counts counts =
		connection_guard_counts(http_server_guard(f->server));

	g_assert_cmpuint(counts.held, ==, held);
	g_assert_cmpuint(counts.unserved, ==, unserved);
}

/* Returns a peer that has sent a part of a body. */
static struct peer *start_body(struct fixture *f, int bytes)
{
	char *text = g_strdup_printf("POST /echo HTTP/1.1\r\nHost: a\r\n"
				     "Content-Length: 200000\r\n\r\n%*s",
				     bytes, "");
	struct peer *p = peer_new_sending(f, text);

	cluster_sleep(20);
	g_free(text);
	return p;
}

/* What unfinished requests hold is bounded over all connections: the one that
 * holds most is closed, and a small request is served. */
static void test_held_memory(struct fixture *f, gconstpointer data)
{
	static const int body_bytes[] = { 40000, 50000, 110000 };
	struct peer *peers[G_N_ELEMENTS(body_bytes)];

	http_server_free(f->server);
	open_server(f, 2 * HELD_BYTES, HELD_BYTES, FALSE);
	for (guint i = 0; i < G_N_ELEMENTS(body_bytes); i++)
		peers[i] = start_body(f, body_bytes[i]);
	g_assert_true(cluster_wait(is_closed, peers[2], WAIT_MS));
	g_assert_false(peers[0]->is_closed);
	assert_limited(f, 1, 0);
	g_assert_cmpint(connection_guard_held(http_server_guard(f->server)), <=,
			HELD_BYTES);
	assert_small_request_served(f);
	for (guint i = 0; i < G_N_ELEMENTS(body_bytes); i++)
		peer_free(peers[i]);
	g_assert_true(cluster_wait(holds_nothing, f, WAIT_MS));
}

/* A request for which there is no memory beside one that is processed. */
static const struct unserved_case {
	const char *path;
	gboolean may_run_elsewhere;
	const char *answer;
} unserved_cases[] = {
	{ "/http-limits/unserved", FALSE, "HTTP/1.1 503" },
	{ "/http-limits/unserved-attempt", TRUE, "HTTP/1.1 504" },
};

static void test_unserved(struct fixture *f, gconstpointer data)
{
	static const char held_request[] =
		"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
	const struct unserved_case *c = data;
	struct peer *first;
	struct peer *second;

	http_server_free(f->server);
	open_server(f, MAX_BODY_BYTES, TWO_CONNECTIONS_BYTES,
		    c->may_run_elsewhere);
	first = peer_new_sending(f, held_request);
	cluster_sleep(50);
	g_assert_nonnull(f->pending_request);
	second = peer_new_sending(f, held_request);
	assert_answered(second, c->answer);
	g_assert_nonnull(strstr(second->received->str, "Retry-After: 1"));
	assert_limited(f, 0, 1);
	peer_free(second);
	peer_free(first);
}

static const struct {
	const char *path;
	void (*test)(struct fixture *f, gconstpointer data);
} cases[] = {
	{ "/http-limits/burst", test_burst },
	{ "/http-limits/one-after-another", test_one_after_another },
	{ "/http-limits/oversize", test_oversize },
	{ "/http-limits/many-idle", test_many_idle },
	{ "/http-limits/too-many", test_refuse_at_limit },
	{ "/http-limits/slow-reader", test_slow_reader },
	{ "/http-limits/large-headers", test_large_headers },
	{ "/http-limits/held-memory", test_held_memory },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(peer_cases); i++)
		g_test_add(peer_cases[i].path, struct fixture, &peer_cases[i],
			   fixture_set_up, test_peer, fixture_tear_down);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add(cases[i].path, struct fixture, NULL, fixture_set_up,
			   cases[i].test, fixture_tear_down);
	for (guint i = 0; i < G_N_ELEMENTS(left_cases); i++)
		g_test_add(left_cases[i].path, struct fixture, &left_cases[i],
			   fixture_set_up, test_left_memory, fixture_tear_down);
	for (guint i = 0; i < G_N_ELEMENTS(unserved_cases); i++)
		g_test_add(unserved_cases[i].path, struct fixture,
			   &unserved_cases[i], fixture_set_up, test_unserved,
			   fixture_tear_down);
	return g_test_run();
}
