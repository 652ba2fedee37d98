/* Connections of links over socket pairs: large frames, and ends at any time.
 */
#include <glib.h>
#include <sys/socket.h>

#include "link/link_connection.h"

#define FRAMES 6
#define LARGE_BYTES ((gsize)700 << 10)
#define TURNS 2000

/** One end of a pair and what came there. */
struct end {
	struct link_connection *connection; /* NULL once closed */
	struct end *closes;		    /* on a frame: this end */
	guint frames;
	guint closed;
	int64_t last;
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
	e->last = json_object_get_int64(json_object_object_get(body, "i"));
	if (e->closes)
		end_close(e->closes);
}

static void on_closed(void *data)
{
	struct end *e = data;

	e->closed++;
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

static void turn(void)
{
	for (guint i = 0; i < TURNS; i++)
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

/* More than the socket takes at once, before the other side reads. */
static void test_large(void)
{
	struct link_poll *poll = link_poll_new();
	struct pair p = { 0 };

	pair_open(&p, poll);
	for (int64_t i = 1; i <= FRAMES; i++)
		send_frame(&p.a, i, LARGE_BYTES);
	turn();
	g_assert_cmpuint(p.b.frames, ==, FRAMES);
	g_assert_cmpint(p.b.last, ==, FRAMES);
	send_frame(&p.a, FRAMES + 1, 1);
	turn();
	g_assert_cmpint(p.b.last, ==, FRAMES + 1);
	pair_close(&p);
	link_poll_free(poll);
}

/* A callback closes its own end, or one that has frames to read too. */
static void test_close_in_callback(void)
{
	for (guint i = 0; i < 2; i++) {
		struct link_poll *poll = link_poll_new();
		struct pair p = { 0 };
		struct pair q = { 0 };

		pair_open(&p, poll);
		pair_open(&q, poll);
		p.b.closes = i == 0 ? &p.b : &q.b;
		q.b.closes = i == 0 ? &q.b : &p.b;
		send_frame(&p.a, 1, 1);
		send_frame(&p.a, 2, 1);
		send_frame(&q.a, 1, 1);
		send_frame(&q.a, 2, 1);
		turn();
		if (i == 0) {
			g_assert_cmpuint(p.b.frames, ==, 1);
			g_assert_cmpuint(q.b.frames, ==, 1);
		} else {
			g_assert_cmpuint(MIN(p.b.frames, q.b.frames), ==, 0);
			g_assert_cmpuint(MAX(p.b.frames, q.b.frames), ==, 2);
		}
		g_assert_cmpuint(p.b.closed + q.b.closed, ==, 0);
		pair_close(&p);
		pair_close(&q);
		link_poll_free(poll);
	}
}

/* The other side is gone: told once, and never from within a send. */
static void test_gone(void)
{
	struct link_poll *poll = link_poll_new();
	struct pair p = { 0 };

	pair_open(&p, poll);
	end_close(&p.b);
	send_frame(&p.a, 1, LARGE_BYTES);
	send_frame(&p.a, 2, LARGE_BYTES);
	g_assert_cmpuint(p.a.closed, ==, 0);
	turn();
	g_assert_cmpuint(p.a.closed, ==, 1);
	pair_close(&p);
	link_poll_free(poll);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link-connection/large", test_large);
	g_test_add_func("/link-connection/close-in-callback",
			test_close_in_callback);
	g_test_add_func("/link-connection/gone", test_gone);
	return g_test_run();
}
