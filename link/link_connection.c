#include "link/link_connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "link/frame.h"
#include "link/pack.h"

#define READ_BUFFER_BYTES 16384
#define MAX_QUEUED_BYTES ((guint)8 << 20)
/** TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged. */
#define TCP_TIMEOUT_MS 5000
/* Probes of an idle connection, which close it when the peer was lost. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES 3

struct link_connection {
	GSocketConnection *stream;
	struct link_poll *poll;
	struct link_watch watch;
	struct link_traffic *traffic;
	struct frame_reader reader;
	uint8_t input[READ_BUFFER_BYTES];
	GByteArray *queued;
	gboolean is_watching_output; /* data is queued for a full socket */
	gboolean is_closed;
	gboolean is_in_callback; /* the connection must not be freed */
	link_frame_fn on_frame;
	link_closed_fn on_closed;
	void *data;
};

static void close_stream(struct link_connection *c)
{
	if (c->is_closed)
		return;
	c->is_closed = TRUE;
	link_poll_remove(c->poll, &c->watch);
	g_io_stream_close(G_IO_STREAM(c->stream), NULL, NULL);
}

static void free_if_closed(struct link_connection *c)
{
	if (!c->is_closed || c->is_in_callback)
		return;
	g_object_unref(c->stream);
	frame_reader_clear(&c->reader);
	g_byte_array_unref(c->queued);
	g_free(c);
}

void link_connection_close(struct link_connection *c)
{
	close_stream(c);
	free_if_closed(c);
}

static void close_and_notify(struct link_connection *c)
{
	if (c->is_closed)
		return;
	close_stream(c);
	c->on_closed(c->data);
}

static gboolean deliver_frame(struct link_connection *c, const struct frame *f)
{
	json_object *body = pack_decode(f->body->data, f->body->len);

	if (!body)
		return FALSE;
	c->traffic->received_frames++;
	c->on_frame(f->type, body, c->data);
	json_object_put(body);
	return TRUE;
}

/* Delivers all complete frames; returns FALSE if the input is invalid. */
static gboolean deliver_frames(struct link_connection *c)
{
	for (;;) {
		struct frame f = { 0 };
		enum status status = frame_reader_next(&c->reader, &f);
		gboolean is_valid;

		if (status == STATUS_NOT_FOUND)
			return TRUE;
		if (status != STATUS_OK)
			return FALSE;
		is_valid = deliver_frame(c, &f);
		frame_clear(&f);
		if (!is_valid || c->is_closed)
			return is_valid;
	}
}

static void read_input(struct link_connection *c)
{
	ssize_t bytes = recv(c->watch.fd, c->input, sizeof(c->input), 0);

	if (bytes < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (bytes <= 0) {
		close_and_notify(c);
		return;
	}
	c->traffic->received_bytes += bytes;
	frame_reader_feed(&c->reader, c->input, (gsize)bytes);
	if (deliver_frames(c))
		return;
	c->traffic->refused_frames++;
	close_and_notify(c);
}

/*
 * Sends queued data, and watches for output while some is left. On an error the
 * socket is shut down, so that the next read reports the end: senders don't
 * expect @on_closed to be called from within a send.
 */
static void write_queued(struct link_connection *c)
{
	ssize_t bytes = send(c->watch.fd, c->queued->data, c->queued->len,
			     MSG_NOSIGNAL);
	gboolean is_watching_output;

	if (bytes > 0)
		g_byte_array_remove_range(c->queued, 0, (guint)bytes);
	else if (errno != EAGAIN && errno != EINTR)
		shutdown(c->watch.fd, SHUT_RDWR);
	is_watching_output = c->queued->len > 0;
	if (is_watching_output != c->is_watching_output)
		link_poll_watch_output(c->poll, &c->watch, is_watching_output);
	c->is_watching_output = is_watching_output;
}

static void on_ready(GIOCondition ready, void *data)
{
	struct link_connection *c = data;

	c->is_in_callback = TRUE;
	if ((ready & G_IO_OUT) && c->is_watching_output)
		write_queued(c);
	if (ready & G_IO_IN)
		read_input(c);
	c->is_in_callback = FALSE;
	free_if_closed(c);
}

static void set_socket_options(GSocket *socket)
{
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    TCP_TIMEOUT_MS, NULL);
	g_socket_set_keepalive(socket, TRUE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    KEEPALIVE_INTERVAL_S, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES,
			    NULL);
}

struct link_connection *
link_connection_new(GSocketConnection *stream, struct link_poll *poll,
		    struct link_traffic *traffic, link_frame_fn on_frame,
		    link_closed_fn on_closed, void *data)
{
	struct link_connection *c = g_new0(struct link_connection, 1);
	GSocket *socket = g_socket_connection_get_socket(stream);

	c->poll = poll;
	c->stream = g_object_ref(stream);
	c->traffic = traffic;
	c->queued = g_byte_array_new();
	c->on_frame = on_frame;
	c->on_closed = on_closed;
	c->data = data;
	frame_reader_init(&c->reader, FRAME_MAX_BODY_BYTES);
	set_socket_options(socket);
	c->watch = (struct link_watch){ g_socket_get_fd(socket), on_ready, c };
	link_poll_add(poll, &c->watch);
	return c;
}

void link_connection_limit_frames(struct link_connection *c,
				  gsize max_body_bytes)
{
	c->reader.max_body_bytes = max_body_bytes;
}

enum status link_connection_send(struct link_connection *c, uint8_t type,
				 json_object *body)
{
	GByteArray *packed;
	enum status status;

	if (c->is_closed)
		return status_fail(STATUS_UNAVAILABLE, "connection is closed");
	if (c->queued->len > MAX_QUEUED_BYTES)
		return status_fail(
			STATUS_FULL,
			"send queue exceeds 8 MiB, peer reads too slowly");
	packed = pack_encode(body);
	status = frame_write(c->queued, type, packed->data, packed->len);
	if (status == STATUS_OK) {
		c->traffic->sent_bytes += packed->len + FRAME_HEADER_BYTES;
		c->traffic->sent_frames++;
		if (!c->is_watching_output)
			write_queued(c);
	}
	g_byte_array_unref(packed);
	return status;
}
