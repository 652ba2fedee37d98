#include "base/tcp_listener.h"

#include <sys/socket.h>

#include "base/log.h"

#define ACCEPTS_PER_TURN 64
#define PAUSE_MS 100
/* One line in so many failures: ten seconds of pauses. */
#define FAILURES_PER_LINE 100

struct tcp_listener {
	GSocket *socket;
	GSource *source; /* of new connections, or of the end of a pause */
	tcp_accept_fn fn;
	void *data;
	guint failures;
};

static void watch(struct tcp_listener *l);

static void stop_source(struct tcp_listener *l)
{
	g_source_destroy(l->source);
	g_clear_pointer(&l->source, g_source_unref);
}

static gboolean on_pause_end(gpointer data)
{
	struct tcp_listener *l = data;

	g_clear_pointer(&l->source, g_source_unref);
	watch(l);
	return G_SOURCE_REMOVE;
}

/* The socket stays readable, so watching it would only use up the processor. */
static void pause_accepting(struct tcp_listener *l, const GError *error)
{
	struct log_line line;

	if (l->failures++ % FAILURES_PER_LINE == 0) {
		log_begin(&line, LOG_LEVEL_WARN, "accept_failed");
		log_str(&line, "reason", error->message);
		log_int(&line, "failures", l->failures);
		log_end(&line);
	}
	stop_source(l);
	l->source = g_timeout_source_new(PAUSE_MS);
	g_source_set_callback(l->source, on_pause_end, l, NULL);
	g_source_attach(l->source, NULL);
}

static gboolean on_connections(GSocket *listening, GIOCondition condition,
			       gpointer data)
{
	struct tcp_listener *l = data;

	for (guint i = 0; i < ACCEPTS_PER_TURN; i++) {
		GError *error = NULL;
		GSocket *socket = g_socket_accept(listening, NULL, &error);

		if (socket) {
			l->fn(socket, l->data);
			g_object_unref(socket);
			continue;
		}
		if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
			pause_accepting(l, error);
		g_error_free(error);
		break;
	}
	return G_SOURCE_CONTINUE;
}

static void watch(struct tcp_listener *l)
{
	l->source = g_socket_create_source(l->socket, G_IO_IN, NULL);
	g_source_set_callback(l->source, G_SOURCE_FUNC(on_connections), l,
			      NULL);
	g_source_attach(l->source, NULL);
}

static void set_buffer_size(GSocket *socket, gint option, guint bytes)
{
	GError *error = NULL;
	struct log_line line;

	if (g_socket_set_option(socket, SOL_SOCKET, option, (gint)bytes,
				&error))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "socket_buffers_unlimited");
	log_str(&line, "reason", error->message);
	log_end(&line);
	g_error_free(error);
}

GSocket *tcp_listen(GSocketAddress *address, const struct tcp_listen_spec *spec,
		    GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return NULL;
	set_buffer_size(socket, SO_RCVBUF, spec->read_bytes);
	if (spec->send_bytes)
		set_buffer_size(socket, SO_SNDBUF, spec->send_bytes);
	g_socket_set_listen_backlog(socket, spec->backlog);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error))
		g_clear_object(&socket);
	return socket;
}

struct tcp_listener *tcp_listener_new(GSocket *socket, tcp_accept_fn fn,
				      void *data)
{
	struct tcp_listener *l = g_new0(struct tcp_listener, 1);

	l->socket = g_object_ref(socket);
	l->fn = fn;
	l->data = data;
	g_socket_set_blocking(socket, FALSE);
	watch(l);
	return l;
}

void tcp_listener_free(struct tcp_listener *l)
{
	stop_source(l);
	g_object_unref(l->socket);
	g_free(l);
}
