#include "base/request_stream.h"

#include <string.h>

/* Read in one turn of the main loop; then other connections have theirs. */
#define TURN_BYTES ((gsize)64 << 10)
/* Read at once while a head is expected. */
#define HEAD_READ_BYTES 4096
#define STREAM_KEY "request-stream"
/* No request, so that libsoup refuses it and closes the connection. */
#define BAD_HEAD "-\r\n\r\n"

enum read_state {
	READ_HEAD,
	READ_BODY,
	READ_DISCARDED, /* a body that was refused */
};

/* Progress within a head. */
struct head_scan {
	gsize bytes;
	guint lines;
	gboolean has_text; /* a line that isn't empty has been read */
	gsize line_bytes;  /* of the current line, without the line feed */
	char last;	   /* byte of the current line */
};

#define REQUEST_TYPE_INPUT (request_input_get_type())
G_DECLARE_FINAL_TYPE(RequestInput, request_input, REQUEST, INPUT, GInputStream)

struct _RequestInput {
	GInputStream parent;
	RequestStream *stream; /* not owned, owns this input */
	GInputStream *base;    /* not owned, of the stream's connection */
	enum read_state state;
	gboolean is_reused; /* a request has been read */
	gboolean is_ended;  /* BAD_HEAD was given */
	struct head_scan scan;
	gsize discarded_bytes;
	gsize turn_bytes;    /* read in this turn */
	GByteArray *pending; /* read after the end of a head */
	GSource *wait;	     /* of the base, that libsoup waits for; or NULL */
};

struct _RequestStream {
	GIOStream parent;
	GSocketConnection *connection;
	GSocketAddress *remote;
	RequestInput *input;
	struct request_stream_limits limits;
	struct request_stream_events events;
};

static void request_input_poll_init(GPollableInputStreamInterface *iface);

G_DEFINE_FINAL_TYPE_WITH_CODE(
	RequestInput, request_input, G_TYPE_INPUT_STREAM,
	G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
			      request_input_poll_init))
G_DEFINE_FINAL_TYPE(RequestStream, request_stream, G_TYPE_IO_STREAM)

/* An empty line is a line feed, with or without a carriage return. */
static gboolean is_empty_line(const struct head_scan *h)
{
	return h->line_bytes == 0 || (h->line_bytes == 1 && h->last == '\r');
}

/* Adds a byte of a head; returns TRUE if it is the last one. */
static gboolean scan_head_byte(struct head_scan *h, char byte)
{
	gboolean is_end;

	h->bytes++;
	if (byte != '\n') {
		h->line_bytes++;
		h->last = byte;
		return FALSE;
	}
	is_end = h->has_text && is_empty_line(h);
	h->has_text |= !is_empty_line(h);
	h->lines++;
	h->line_bytes = 0;
	return is_end;
}

static gboolean is_head_too_long(const RequestInput *in)
{
	const struct request_stream_limits *l = &in->stream->limits;

	return in->scan.bytes > l->head_bytes || in->scan.lines > l->head_lines;
}

static void set_limit_error(GError **error, const char *what)
{
	g_set_error(error, G_IO_ERROR, G_IO_ERROR_FAILED, "%s is too long",
		    what);
}

/* Returns the bytes that belong to the head, and keeps those after it. */
static gssize pass_head(RequestInput *in, const char *bytes, gsize len,
			GError **error)
{
	const struct request_stream_events *e = &in->stream->events;
	gboolean is_end = FALSE;
	gsize n = 0;

	while (n < len && !is_end) {
		is_end = scan_head_byte(&in->scan, bytes[n++]);
		if (is_head_too_long(in)) {
			e->on_long_head(G_IO_STREAM(in->stream), e->data);
			set_limit_error(error, "the request's head");
			return -1;
		}
	}
	if (is_end)
		in->state = READ_BODY;
	if (n < len)
		g_byte_array_append(in->pending, (const guint8 *)bytes + n,
				    (guint)(len - n));
	return (gssize)n;
}

static gssize discard(RequestInput *in, gsize len, GError **error)
{
	const RequestStream *s = in->stream;

	in->discarded_bytes += len;
	if (in->discarded_bytes <= s->limits.discarded_bytes)
		return (gssize)len;
	s->events.on_long_body(s->events.data);
	set_limit_error(error, "the refused body");
	return -1;
}

static gssize pass_on(RequestInput *in, const char *bytes, gsize len,
		      GError **error)
{
	const RequestStream *s = in->stream;
	gssize n;

	if (in->state == READ_DISCARDED)
		return discard(in, len, error);
	n = in->state == READ_HEAD ? pass_head(in, bytes, len, error)
				   : (gssize)len;
	if (n <= 0 || s->events.on_input(request_stream_socket(in->stream),
					 (gsize)n, s->events.data))
		return n;
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_FAILED,
			    "no memory for the request");
	return -1;
}

static gssize take_pending(RequestInput *in, void *buffer, gsize count)
{
	gsize n = MIN(count, in->pending->len);

	memcpy(buffer, in->pending->data, n);
	g_byte_array_remove_range(in->pending, 0, (guint)n);
	return (gssize)n;
}

/*
 * libsoup 3.2.3 doesn't close a connection that ends between two requests, and
 * keeps its objects for good. It does so after a bad request; its answer goes
 * nowhere, as the socket is shut down.
 */
static gssize end_between_requests(RequestInput *in, void *buffer, gsize count)
{
	gsize n = MIN(count, strlen(BAD_HEAD));

	in->is_ended = TRUE;
	g_socket_shutdown(request_stream_socket(in->stream), TRUE, TRUE, NULL);
	memcpy(buffer, BAD_HEAD, n);
	return (gssize)n;
}

static gboolean is_between_requests(const RequestInput *in)
{
	return in->is_reused && !in->is_ended && in->state == READ_HEAD &&
	       in->scan.bytes == 0;
}

/* Reads from the connection; @error is not NULL. */
static gssize read_base(RequestInput *in, void *buffer, gsize count,
			gboolean is_blocking, GCancellable *cancellable,
			GError **error)
{
	gssize n = g_pollable_stream_read(in->base, buffer, count, is_blocking,
					  cancellable, error);

	if (n > 0 || !is_between_requests(in) ||
	    g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		return n;
	g_clear_error(error);
	return end_between_requests(in, buffer, count);
}

static gssize read_limited(GInputStream *stream, void *buffer, gsize count,
			   gboolean is_blocking, GCancellable *cancellable,
			   GError **error)
{
	RequestInput *in = REQUEST_INPUT(stream);
	GError *base_error = NULL;
	gssize n;

	if (!is_blocking && in->turn_bytes >= TURN_BYTES) {
		in->turn_bytes = 0;
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
				    "the turn of other connections");
		return -1;
	}
	if (in->state == READ_HEAD)
		count = MIN(count, HEAD_READ_BYTES);
	if (in->pending->len > 0)
		n = take_pending(in, buffer, count);
	else
		n = read_base(in, buffer, count, is_blocking, cancellable,
			      &base_error);
	if (n <= 0) {
		in->turn_bytes = 0;
		if (base_error)
			g_propagate_error(error, base_error);
		return n;
	}
	if (in->is_ended)
		return n;
	in->turn_bytes += (gsize)n;
	return pass_on(in, buffer, (gsize)n, error);
}

static gssize request_input_read(GInputStream *stream, void *buffer,
				 gsize count, GCancellable *cancellable,
				 GError **error)
{
	return read_limited(stream, buffer, count, TRUE, cancellable, error);
}

static gssize request_input_read_nonblocking(GPollableInputStream *stream,
					     void *buffer, gsize count,
					     GError **error)
{
	return read_limited(G_INPUT_STREAM(stream), buffer, count, FALSE, NULL,
			    error);
}

static gboolean request_input_is_readable(GPollableInputStream *stream)
{
	RequestInput *in = REQUEST_INPUT(stream);

	return in->pending->len > 0 ||
	       g_pollable_input_stream_is_readable(
		       G_POLLABLE_INPUT_STREAM(in->base));
}

static GSource *request_input_create_source(GPollableInputStream *stream,
					    GCancellable *cancellable)
{
	RequestInput *in = REQUEST_INPUT(stream);
	GSource *base =
		in->pending->len > 0
			? g_timeout_source_new(0)
			: g_pollable_input_stream_create_source(
				  G_POLLABLE_INPUT_STREAM(in->base), NULL);
	GSource *source = g_pollable_source_new_full(stream, base, cancellable);

	g_clear_pointer(&in->wait, g_source_unref);
	in->wait = base;
	return source;
}

static gboolean request_input_close(GInputStream *stream,
				    GCancellable *cancellable, GError **error)
{
	return TRUE; /* closed with the connection */
}

static void request_input_finalize(GObject *object)
{
	RequestInput *in = REQUEST_INPUT(object);

	g_byte_array_unref(in->pending);
	g_clear_pointer(&in->wait, g_source_unref);
	G_OBJECT_CLASS(request_input_parent_class)->finalize(object);
}

static void request_input_poll_init(GPollableInputStreamInterface *iface)
{
	iface->is_readable = request_input_is_readable;
	iface->create_source = request_input_create_source;
	iface->read_nonblocking = request_input_read_nonblocking;
}

static void request_input_class_init(RequestInputClass *class)
{
	G_INPUT_STREAM_CLASS(class)->read_fn = request_input_read;
	G_INPUT_STREAM_CLASS(class)->close_fn = request_input_close;
	G_OBJECT_CLASS(class)->finalize = request_input_finalize;
}

static void request_input_init(RequestInput *in)
{
	in->pending = g_byte_array_new();
}

static GInputStream *request_stream_get_input(GIOStream *stream)
{
	return G_INPUT_STREAM(REQUEST_STREAM(stream)->input);
}

static GOutputStream *request_stream_get_output(GIOStream *stream)
{
	return g_io_stream_get_output_stream(
		G_IO_STREAM(REQUEST_STREAM(stream)->connection));
}

static gboolean request_stream_close(GIOStream *stream,
				     GCancellable *cancellable, GError **error)
{
	return g_io_stream_close(
		G_IO_STREAM(REQUEST_STREAM(stream)->connection), cancellable,
		error);
}

/* Closing a socket doesn't block; the default would use another thread. */
static void request_stream_close_async(GIOStream *stream, int priority,
				       GCancellable *cancellable,
				       GAsyncReadyCallback callback,
				       gpointer data)
{
	GTask *task = g_task_new(stream, cancellable, callback, data);
	GError *error = NULL;

	if (request_stream_close(stream, cancellable, &error))
		g_task_return_boolean(task, TRUE);
	else
		g_task_return_error(task, error);
	g_object_unref(task);
}

static gboolean request_stream_close_finish(GIOStream *stream,
					    GAsyncResult *result,
					    GError **error)
{
	return g_task_propagate_boolean(G_TASK(result), error);
}

static void request_stream_finalize(GObject *object)
{
	RequestStream *s = REQUEST_STREAM(object);

	g_object_set_data(G_OBJECT(s->remote), STREAM_KEY, NULL);
	g_object_set_data(G_OBJECT(request_stream_socket(s)), STREAM_KEY, NULL);
	g_object_unref(s->remote);
	g_object_unref(s->input);
	g_object_unref(s->connection);
	G_OBJECT_CLASS(request_stream_parent_class)->finalize(object);
}

static void request_stream_class_init(RequestStreamClass *class)
{
	GIOStreamClass *stream = G_IO_STREAM_CLASS(class);

	stream->get_input_stream = request_stream_get_input;
	stream->get_output_stream = request_stream_get_output;
	stream->close_fn = request_stream_close;
	stream->close_async = request_stream_close_async;
	stream->close_finish = request_stream_close_finish;
	G_OBJECT_CLASS(class)->finalize = request_stream_finalize;
}

static void request_stream_init(RequestStream *s)
{
}

RequestStream *request_stream_new(GSocketConnection *connection,
				  const struct request_stream_limits *limits,
				  const struct request_stream_events *events)
{
	GSocketAddress *remote =
		g_socket_connection_get_remote_address(connection, NULL);
	RequestStream *s;

	if (!remote) /* it was closed meanwhile */
		return NULL;
	s = g_object_new(REQUEST_TYPE_STREAM, NULL);
	s->connection = g_object_ref(connection);
	s->remote = remote;
	s->limits = *limits;
	s->events = *events;
	s->input = g_object_new(REQUEST_TYPE_INPUT, NULL);
	s->input->stream = s;
	s->input->base = g_io_stream_get_input_stream(G_IO_STREAM(connection));
	g_object_set_data(G_OBJECT(remote), STREAM_KEY, s);
	g_object_set_data(G_OBJECT(request_stream_socket(s)), STREAM_KEY, s);
	return s;
}

RequestStream *request_stream_of(GSocketAddress *remote)
{
	return remote ? g_object_get_data(G_OBJECT(remote), STREAM_KEY) : NULL;
}

GSocketAddress *request_stream_remote(RequestStream *s)
{
	return s->remote;
}

GSocket *request_stream_socket(RequestStream *s)
{
	return g_socket_connection_get_socket(s->connection);
}

void request_stream_close_socket(GSocket *socket)
{
	RequestStream *s = g_object_get_data(G_OBJECT(socket), STREAM_KEY);

	g_socket_close(socket, NULL);
	/* A closed socket no longer wakes what waits for it. */
	if (s && s->input->wait)
		g_source_set_ready_time(s->input->wait, 0);
}

void request_stream_expect_head(RequestStream *s)
{
	s->input->is_reused |= s->input->state != READ_HEAD;
	s->input->state = READ_HEAD;
	memset(&s->input->scan, 0, sizeof(s->input->scan));
}

void request_stream_discard_body(RequestStream *s)
{
	s->input->state = READ_DISCARDED;
	s->input->discarded_bytes = 0;
}
