#include "link/link_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "link/frame.h"
#include "link/pack.h"

#define READ_BYTES 16384
#define MAX_QUEUED_BYTES ((guint)8 << 20)
/** Unacknowledged data ends a connection after this time. */
#define TCP_TIMEOUT_MS 5000

struct link_connection {
	GSocketConnection *stream;
	GCancellable *cancellable;
	struct link_traffic *traffic;
	struct frame_reader reader;
	uint8_t input[READ_BYTES];
	GByteArray *queued;
	GByteArray *writing;
	gboolean is_reading;
	gboolean is_writing;
	gboolean is_closed;
	gboolean is_in_callback;
	link_frame_fn on_frame;
	link_closed_fn on_closed;
	void *data;
};

static void free_when_idle(struct link_connection *c)
{
	if (!c->is_closed || c->is_reading || c->is_writing ||
	    c->is_in_callback)
		return;
	g_io_stream_close(G_IO_STREAM(c->stream), NULL, NULL);
	g_object_unref(c->stream);
	g_object_unref(c->cancellable);
	frame_reader_clear(&c->reader);
	g_byte_array_unref(c->queued);
	g_byte_array_unref(c->writing);
	g_free(c);
}

void link_connection_close(struct link_connection *c)
{
	c->is_closed = TRUE;
	g_cancellable_cancel(c->cancellable);
	free_when_idle(c);
}

static void fail(struct link_connection *c)
{
	if (c->is_closed)
		return;
	c->is_closed = TRUE;
	g_cancellable_cancel(c->cancellable);
	c->is_in_callback = TRUE;
	c->on_closed(c->data);
	c->is_in_callback = FALSE;
}

static gboolean deliver(struct link_connection *c, const struct frame *f)
{
	json_object *body = pack_decode(f->body->data, f->body->len);

	if (!body)
		return FALSE;
	c->traffic->received_frames++;
	c->is_in_callback = TRUE;
	c->on_frame(f->type, body, c->data);
	c->is_in_callback = FALSE;
	json_object_put(body);
	return TRUE;
}

/* Delivers all whole frames; FALSE when the stream can't be read further. */
static gboolean deliver_all(struct link_connection *c)
{
	for (;;) {
		struct frame f = { 0 };
		enum status status = frame_reader_next(&c->reader, &f);
		gboolean is_good;

		if (status == STATUS_NOT_FOUND)
			return TRUE;
		if (status != STATUS_OK)
			return FALSE;
		is_good = deliver(c, &f);
		frame_clear(&f);
		if (!is_good || c->is_closed)
			return is_good;
	}
}

static void read_more(struct link_connection *c);

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct link_connection *c = data;
	gssize bytes = g_input_stream_read_finish(G_INPUT_STREAM(source),
						  result, NULL);

	c->is_reading = FALSE;
	if (c->is_closed)
		goto out;
	if (bytes <= 0) {
		fail(c);
		goto out;
	}
	c->traffic->received_bytes += bytes;
	frame_reader_feed(&c->reader, c->input, (gsize)bytes);
	if (!deliver_all(c))
		fail(c);
	if (!c->is_closed)
		read_more(c);
out:
	free_when_idle(c);
}

static void read_more(struct link_connection *c)
{
	GInputStream *in = g_io_stream_get_input_stream(G_IO_STREAM(c->stream));

	c->is_reading = TRUE;
	g_input_stream_read_async(in, c->input, sizeof(c->input),
				  G_PRIORITY_DEFAULT, c->cancellable, on_read,
				  c);
}

static void write_more(struct link_connection *c);

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct link_connection *c = data;
	gboolean is_good = g_output_stream_write_all_finish(
		G_OUTPUT_STREAM(source), result, NULL, NULL);

	c->is_writing = FALSE;
	if (!is_good)
		fail(c);
	else if (!c->is_closed)
		write_more(c);
	free_when_idle(c);
}

static void write_more(struct link_connection *c)
{
	GOutputStream *out =
		g_io_stream_get_output_stream(G_IO_STREAM(c->stream));
	GByteArray *empty = c->writing;

	if (c->is_writing || c->queued->len == 0)
		return;
	g_byte_array_set_size(empty, 0);
	c->writing = c->queued;
	c->queued = empty;
	c->is_writing = TRUE;
	g_output_stream_write_all_async(out, c->writing->data, c->writing->len,
					G_PRIORITY_DEFAULT, c->cancellable,
					on_written, c);
}

static void set_options(GSocketConnection *stream)
{
	GSocket *socket = g_socket_connection_get_socket(stream);

	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    TCP_TIMEOUT_MS, NULL);
}

struct link_connection *link_connection_new(GSocketConnection *stream,
					    struct link_traffic *traffic,
					    link_frame_fn on_frame,
					    link_closed_fn on_closed,
					    void *data)
{
	struct link_connection *c = g_new0(struct link_connection, 1);

	c->stream = g_object_ref(stream);
	c->cancellable = g_cancellable_new();
	c->traffic = traffic;
	c->queued = g_byte_array_new();
	c->writing = g_byte_array_new();
	c->on_frame = on_frame;
	c->on_closed = on_closed;
	c->data = data;
	frame_reader_init(&c->reader, FRAME_MAX_BODY_BYTES);
	set_options(stream);
	read_more(c);
	return c;
}

enum status link_connection_send(struct link_connection *c, uint8_t type,
				 json_object *body)
{
	GByteArray *packed;
	enum status status;

	if (c->is_closed)
		return status_fail(STATUS_UNAVAILABLE, "connection closed");
	if (c->queued->len > MAX_QUEUED_BYTES)
		return status_fail(STATUS_FULL, "peer reads too slowly");
	packed = pack_encode(body);
	status = frame_write(c->queued, type, packed->data, packed->len);
	if (status == STATUS_OK) {
		c->traffic->sent_bytes += packed->len + FRAME_HEADER_BYTES;
		c->traffic->sent_frames++;
		write_more(c);
	}
	g_byte_array_unref(packed);
	return status;
}
