/* Connections over socket pairs: large frames, and closing at any time. */
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "link/link_connection.h"

#define FRAMES 6
#define LARGE_BYTES ((gsize)700 << 10)
#define ITERATIONS 2000

/** One end of a socket pair and what it received. */
struct end {
	struct link_connection *connection; /* NULL once closed */
	struct end *to_close;		    /* closed on each frame, or NULL */
	guint frames;
	guint closed_calls; /* of on_closed() */
	int64_t last_number;
};

struct pair {
	struct end a;
	struct end b;
};

static struct link_traffic traffic;

static void end_close(struct end *e)
{
	g_clear_pointer(&e->connection, link_connection_close);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	struct end *e = data;

	e->frames++;
	e->last_number =
		json_object_get_int64(json_object_object_get(body, "i"));
	if (e->to_close)
		end_close(e->to_close);
}

static void on_closed(void *data)
{
	struct end *e = data;

	e->closed_calls++;
	e->connection = NULL;
}

static void end_open(struct end *e, struct link_poll *poll, int fd)
{
	GSocket *socket = g_socket_new_from_fd(fd, NULL);
	GSocketConnection *stream =
		g_socket_connection_factory_create_connection(socket);

	e->connection = link_connection_new(stream, poll, &traffic, on_frame,
					    on_closed, e);
	g_object_unref(stream);
	g_object_unref(socket);
}

static void pair_open(struct pair *p, struct link_poll *poll)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), ==, 0);
	end_open(&p->a, poll, fds[0]);
	end_open(&p->b, poll, fds[1]);
}

static void pair_close(struct pair *p)
{
	end_close(&p->a);
	end_close(&p->b);
}

static void run_main_loop(void)
{
	for (guint i = 0; i < ITERATIONS; i++)
		g_main_context_iteration(NULL, FALSE);
}

static void send_frame(struct end *e, int64_t number, gsize bytes)
{
	json_object *body = json_object_new_object();
	char *text = g_strnfill(bytes, 'x');

	json_object_object_add(body, "i", json_object_new_int64(number));
	json_object_object_add(body, "text", json_object_new_string(text));
	g_assert_cmpint(link_connection_send(e->connection, 16, body), ==,
			STATUS_OK);
	json_object_put(body);
	g_free(text);
}

/*
 * Frames that exceed the socket's buffer, queued before the other side reads,
 * must arrive complete, and later frames after them.
 */
static void test_large(void)
{
	struct link_poll *poll = link_poll_new();
	struct pair p = { 0 };

	pair_open(&p, poll);
	for (int64_t i = 1; i <= FRAMES; i++)
		send_frame(&p.a, i, LARGE_BYTES);
	run_main_loop();
	g_assert_cmpuint(p.b.frames, ==, FRAMES);
	g_assert_cmpint(p.b.last_number, ==, FRAMES);
	send_frame(&p.a, FRAMES + 1, 1);
	run_main_loop();
	g_assert_cmpint(p.b.last_number, ==, FRAMES + 1);
	pair_close(&p);
	link_poll_free(poll);
}

/*
 * A callback may close its own connection, or another one with events pending
 * in the same batch; neither may receive further frames.
 */
static void test_close_in_callback(void)
{
	for (guint i = 0; i < 2; i++) {
		struct link_poll *poll = link_poll_new();
		struct pair p = { 0 };
		struct pair q = { 0 };

		pair_open(&p, poll);
		pair_open(&q, poll);
		p.b.to_close = i == 0 ? &p.b : &q.b;
		q.b.to_close = i == 0 ? &q.b : &p.b;
		send_frame(&p.a, 1, 1);
		send_frame(&p.a, 2, 1);
		send_frame(&q.a, 1, 1);
		send_frame(&q.a, 2, 1);
		run_main_loop();
		if (i == 0) {
			g_assert_cmpuint(p.b.frames, ==, 1);
			g_assert_cmpuint(q.b.frames, ==, 1);
		} else {
			g_assert_cmpuint(MIN(p.b.frames, q.b.frames), ==, 0);
			g_assert_cmpuint(MAX(p.b.frames, q.b.frames), ==, 2);
		}
		g_assert_cmpuint(p.b.closed_calls + q.b.closed_calls, ==, 0);
		pair_close(&p);
		pair_close(&q);
		link_poll_free(poll);
	}
}

/*
 * If the peer has closed, on_closed() must be called once, and never from
 * within a send: the sender may still use the connection after it.
 */
static void test_gone(void)
{
	struct link_poll *poll = link_poll_new();
	struct pair p = { 0 };

	pair_open(&p, poll);
	end_close(&p.b);
	send_frame(&p.a, 1, LARGE_BYTES);
	send_frame(&p.a, 2, LARGE_BYTES);
	g_assert_cmpuint(p.a.closed_calls, ==, 0);
	run_main_loop();
	g_assert_cmpuint(p.a.closed_calls, ==, 1);
	pair_close(&p);
	link_poll_free(poll);
}

/* Longest time until a connection to a lost VM is closed. */
#define MAX_LOST_S 20

static int option(int fd, int level, int name)
{
	int value = 0;
	socklen_t len = sizeof(value);

	g_assert_cmpint(getsockopt(fd, level, name, &value, &len), ==, 0);
	return value;
}

/*
 * A connection on which nothing is sent ends when its peer is lost without a
 * word. Else such connections add up to the limit of incoming ones, and no
 * process can connect any more.
 */
static void test_lost_peer(void)
{
	struct link_poll *poll = link_poll_new();
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct end e = { 0 };
	int idle_s;
	int probes_s;

	g_assert_cmpint(fd, >=, 0);
	end_open(&e, poll, fd);
	g_assert_true(option(fd, SOL_SOCKET, SO_KEEPALIVE));
	idle_s = option(fd, IPPROTO_TCP, TCP_KEEPIDLE);
	probes_s = option(fd, IPPROTO_TCP, TCP_KEEPINTVL) *
		   option(fd, IPPROTO_TCP, TCP_KEEPCNT);
	g_assert_cmpint(idle_s + probes_s, <=, MAX_LOST_S);
	end_close(&e);
	link_poll_free(poll);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link-connection/large", test_large);
	g_test_add_func("/link-connection/close-in-callback",
			test_close_in_callback);
	g_test_add_func("/link-connection/gone", test_gone);
	g_test_add_func("/link-connection/lost-peer", test_lost_peer);
	return g_test_run();
}
