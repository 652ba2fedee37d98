#include "base/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "base/http_internal.h"

struct route {
	char *method;
	char *prefix;
	http_handler handler;
	void *data;
};

/* The idle limit exceeds the lifetime of the sessions of base/http_client.c, so
 * that the client closes idle connections. */
static const struct http_limits default_limits = {
	.port = "http",
	.connections = {
		.max_connections = 2000,
		.idle_ms = 60000,
		.request_ms = 10000,
		.response_ms = 10000,
		.held_bytes = INT64_C(256) << 20,
	},
	.parsed_bytes = (gsize)64 << 20,
	.head_bytes = (gsize)16 << 10,
	.head_lines = 100,
	.socket_read_bytes = 16 << 10,
	.socket_send_bytes = 8 << 10,
};

/* A refused body is read, so that the client receives the refusal. */
#define MIN_DISCARDED_BYTES ((gsize)1 << 20)

/*
 * Connections waiting to be accepted. Beyond this, the kernel ignores new
 * connection requests and resets some connections that the client sees as open.
 */
#define LISTEN_BACKLOG 1024

static void route_free(gpointer data)
{
	struct route *r = data;

	g_free(r->method);
	g_free(r->prefix);
	g_free(r);
}

static const struct route *find_route(const struct http_server *s,
				      const char *method, const char *path)
{
	const struct route *best = NULL;

	for (guint i = 0; i < s->routes->len; i++) {
		const struct route *r = g_ptr_array_index(s->routes, i);

		if (!g_str_equal(r->method, method) ||
		    !g_str_has_prefix(path, r->prefix))
			continue;
		if (!best || strlen(r->prefix) > strlen(best->prefix))
			best = r;
	}
	return best;
}

static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	struct http_server *s = data;
	const struct route *route;
	struct http_request *r;

	route = find_route(s, soup_server_message_get_method(message), path);
	r = http_request_new(s, message, query,
			     route ? path + strlen(route->prefix) : path);
	soup_server_message_pause(message);
	if (!route) {
		http_request_reply_text(r, SOUP_STATUS_NOT_FOUND,
					"no such resource\n");
		return;
	}
	if (http_request_admit(r))
		route->handler(r, route->data);
}

static void reject_body(SoupServerMessage *message, guint code)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	RequestStream *stream = http_message_stream(message);

	soup_server_message_set_status(message, code, NULL);
	soup_message_headers_replace(headers, "Connection", "close");
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	if (stream)
		request_stream_discard_body(stream);
}

static void on_early_request(SoupServer *soup, SoupServerMessage *message,
			     const char *path, GHashTable *query, gpointer data)
{
	struct http_server *s = data;
	SoupMessageHeaders *headers;
	SoupEncoding encoding;

	headers = soup_server_message_get_request_headers(message);
	encoding = soup_message_headers_get_encoding(headers);
	if (encoding == SOUP_ENCODING_CHUNKED)
		reject_body(message, SOUP_STATUS_LENGTH_REQUIRED);
	else if (soup_message_headers_get_content_length(headers) >
		 (goffset)s->max_body_bytes)
		reject_body(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE);
}

static void on_connection_idle(SoupServer *soup, SoupServerMessage *message,
			       gpointer data)
{
	struct http_server *s = data;
	RequestStream *stream = http_message_stream(message);

	if (!stream)
		return;
	connection_guard_set_idle(s->guard, request_stream_socket(stream));
	request_stream_expect_head(stream);
}

static gboolean on_input(GSocket *socket, gsize bytes, void *data)
{
	struct http_server *s = data;

	return connection_guard_add_input(s->guard, socket, bytes);
}

/* libsoup only closes such a connection. It waits for a request, so that no
 * response is being sent. */
static void on_long_head(GIOStream *stream, void *data)
{
	static const char answer[] =
		"HTTP/1.1 431 Request Header Fields Too Large\r\n"
		"Connection: close\r\nContent-Length: 0\r\n\r\n";
	struct http_server *s = data;

	connection_guard_events(s->guard)->heads++;
	g_pollable_output_stream_write_nonblocking(
		G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(stream)),
		answer, strlen(answer), NULL, NULL);
}

static void on_long_body(void *data)
{
	struct http_server *s = data;

	connection_guard_events(s->guard)->bodies++;
}

const struct http_limits *http_default_limits(void)
{
	return &default_limits;
}

struct http_server *http_server_new(gsize max_body_bytes)
{
	struct http_server *s = g_new0(struct http_server, 1);

	s->soup = soup_server_new("server-header", "corianderstep", NULL);
	s->routes = g_ptr_array_new_with_free_func(route_free);
	s->max_body_bytes = max_body_bytes;
	s->limits = default_limits;
	s->guard = connection_guard_new(s->limits.port, &s->limits.connections);
	soup_server_add_handler(s->soup, NULL, on_request, s, NULL);
	soup_server_add_early_handler(s->soup, NULL, on_early_request, s, NULL);
	g_signal_connect(s->soup, "request-started",
			 G_CALLBACK(on_connection_idle), s);
	g_signal_connect(s->soup, "request-finished",
			 G_CALLBACK(on_connection_idle), s);
	return s;
}

void http_server_set_limits(struct http_server *s,
			    const struct http_limits *limits)
{
	connection_guard_free(s->guard);
	s->limits = *limits;
	s->guard = connection_guard_new(s->limits.port, &s->limits.connections);
}

const struct connection_guard *http_server_guard(const struct http_server *s)
{
	return s->guard;
}

void http_server_free(struct http_server *s)
{
	g_signal_handlers_disconnect_by_data(s->soup, s);
	if (s->listener)
		tcp_listener_free(s->listener);
	soup_server_disconnect(s->soup);
	g_object_unref(s->soup);
	g_clear_pointer(&s->unused_context, g_main_context_unref);
	connection_guard_free(s->guard);
	g_ptr_array_unref(s->routes);
	g_free(s);
}

void http_server_add_route(struct http_server *s, const char *method,
			   const char *prefix, http_handler handler, void *data)
{
	struct route *r = g_new0(struct route, 1);

	r->method = g_strdup(method);
	r->prefix = g_strdup(prefix);
	r->handler = handler;
	r->data = data;
	g_ptr_array_add(s->routes, r);
}

/* Hands an accepted connection to libsoup, with limits. */
static void on_accept(GSocket *socket, void *data)
{
	struct http_server *s = data;
	const struct request_stream_limits limits = {
		.head_bytes = s->limits.head_bytes,
		.head_lines = s->limits.head_lines,
		.discarded_bytes =
			MAX(2 * s->max_body_bytes, MIN_DISCARDED_BYTES),
	};
	const struct request_stream_events events = {
		.on_input = on_input,
		.on_long_head = on_long_head,
		.on_long_body = on_long_body,
		.data = s,
	};
	GSocketConnection *connection =
		g_socket_connection_factory_create_connection(socket);
	GSocketAddress *local =
		g_socket_connection_get_local_address(connection, NULL);
	RequestStream *stream =
		request_stream_new(connection, &limits, &events);

	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	if (stream && local && connection_guard_admit(s->guard, socket))
		soup_server_accept_iostream(s->soup, G_IO_STREAM(stream), local,
					    request_stream_remote(stream),
					    NULL);
	g_clear_object(&stream);
	g_clear_object(&local);
	g_object_unref(connection);
}

/*
 * libsoup keeps connections open between requests only while it listens, so it
 * is given the socket in a context that never runs.
 */
static gboolean listen_at(struct http_server *s, GSocket *socket,
			  GError **error)
{
	gboolean is_listening;

	s->unused_context = g_main_context_new();
	g_main_context_push_thread_default(s->unused_context);
	is_listening = soup_server_listen_socket(s->soup, socket, 0, error);
	g_main_context_pop_thread_default(s->unused_context);
	if (is_listening)
		s->listener = tcp_listener_new(socket, on_accept, s);
	return is_listening;
}

enum status http_server_listen(struct http_server *s, const char *host,
			       uint16_t port)
{
	const struct tcp_listen_spec spec = {
		.backlog = LISTEN_BACKLOG,
		.read_bytes = s->limits.socket_read_bytes,
		.send_bytes = s->limits.socket_send_bytes,
	};
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(host, port);
	GSocket *socket = NULL;
	GError *error = NULL;
	enum status status = STATUS_OK;

	if (!address)
		return status_fail(STATUS_INVALID, "%s is not an IP address",
				   host);
	socket = tcp_listen(address, &spec, &error);
	if (!socket || !listen_at(s, socket, &error)) {
		status = status_fail(STATUS_UNAVAILABLE,
				     "can't listen at %s:%u: %s", host, port,
				     error->message);
		g_error_free(error);
	}
	g_clear_object(&socket);
	g_object_unref(address);
	return status;
}

uint16_t http_server_port(const struct http_server *s)
{
	GSList *uris = soup_server_get_uris(s->soup);
	uint16_t port = uris ? (uint16_t)g_uri_get_port(uris->data) : 0;

	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return port;
}

guint http_server_pending(const struct http_server *s)
{
	return s->pending;
}
