#include "base/http_server.h"

#include <string.h>

#include "base/connection_guard.h"
#include "base/json_text.h"

struct route {
	char *method;
	char *prefix;
	http_handler handler;
	void *data;
};

/* The idle limit exceeds the lifetime of the sessions of base/http_client.c, so
 * that the client closes idle connections. */
static const struct connection_limits default_limits = {
	.max_connections = 2000,
	.idle_ms = 60000,
	.request_ms = 10000,
	.response_ms = 10000,
};

/*
 * Connections waiting to be accepted. Beyond this, the kernel ignores new
 * connection requests and resets some connections that the client sees as open.
 */
#define LISTEN_BACKLOG 1024

struct http_server {
	SoupServer *soup;
	struct connection_guard *guard;
	GPtrArray *routes; /**< of struct route */
	gsize max_body_bytes;
	guint pending;
};

struct http_request {
	struct http_server *server;
	SoupServerMessage *message;
	GHashTable *query;
	char *path_suffix;
	struct json_text text;
	gboolean is_finished; /**< response fully sent, or disconnected */
	gboolean is_answered;
};

static void request_free(struct http_request *r);

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

static void on_finished(SoupServerMessage *message, gpointer data)
{
	struct http_request *r = data;

	r->is_finished = TRUE;
	if (r->is_answered)
		request_free(r);
}

static struct http_request *request_new(struct http_server *s,
					SoupServerMessage *message,
					GHashTable *query, const char *rest)
{
	struct http_request *r = g_new0(struct http_request, 1);

	r->server = s;
	r->message = g_object_ref(message);
	r->query = query ? g_hash_table_ref(query) : NULL;
	r->path_suffix = g_strdup(rest);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), r);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_finished), r);
	s->pending++;
	return r;
}

static void request_free(struct http_request *r)
{
	g_signal_handlers_disconnect_by_data(r->message, r);
	r->server->pending--;
	json_text_clear(&r->text);
	g_clear_pointer(&r->query, g_hash_table_unref);
	g_object_unref(r->message);
	g_free(r->path_suffix);
	g_free(r);
}

static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	struct http_server *s = data;
	const struct route *route;
	struct http_request *r;

	route = find_route(s, soup_server_message_get_method(message), path);
	r = request_new(s, message, query,
			route ? path + strlen(route->prefix) : path);
	soup_server_message_pause(message);
	if (!route) {
		http_request_reply_text(r, SOUP_STATUS_NOT_FOUND,
					"no such resource\n");
		return;
	}
	route->handler(r, route->data);
}

static void reject_body(SoupServerMessage *message, guint code)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_server_message_set_status(message, code, NULL);
	soup_message_headers_replace(headers, "Connection", "close");
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
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

	connection_guard_set_idle(s->guard,
				  soup_server_message_get_socket(message));
}

static void on_request_read(SoupServer *soup, SoupServerMessage *message,
			    gpointer data)
{
	struct http_server *s = data;

	connection_guard_set_processing(
		s->guard, soup_server_message_get_socket(message));
}

struct http_server *http_server_new(gsize max_body_bytes)
{
	struct http_server *s = g_new0(struct http_server, 1);

	s->soup = soup_server_new("server-header", "corianderstep", NULL);
	s->routes = g_ptr_array_new_with_free_func(route_free);
	s->max_body_bytes = max_body_bytes;
	s->guard = connection_guard_new(&default_limits);
	soup_server_add_handler(s->soup, NULL, on_request, s, NULL);
	soup_server_add_early_handler(s->soup, NULL, on_early_request, s, NULL);
	g_signal_connect(s->soup, "request-started",
			 G_CALLBACK(on_connection_idle), s);
	g_signal_connect(s->soup, "request-finished",
			 G_CALLBACK(on_connection_idle), s);
	g_signal_connect(s->soup, "request-read", G_CALLBACK(on_request_read),
			 s);
	return s;
}

void http_server_set_limits(struct http_server *s,
			    const struct connection_limits *limits)
{
	connection_guard_free(s->guard);
	s->guard = connection_guard_new(limits);
}

const struct connection_guard *http_server_guard(const struct http_server *s)
{
	return s->guard;
}

void http_server_free(struct http_server *s)
{
	g_signal_handlers_disconnect_by_data(s->soup, s);
	soup_server_disconnect(s->soup);
	g_object_unref(s->soup);
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

static GSocket *listening_socket(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return NULL;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error))
		g_clear_object(&socket);
	return socket;
}

enum status http_server_listen(struct http_server *s, const char *host,
			       uint16_t port)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(host, port);
	GSocket *socket = NULL;
	GError *error = NULL;
	enum status status = STATUS_OK;

	if (!address)
		return status_fail(STATUS_INVALID, "%s is not an IP address",
				   host);
	socket = listening_socket(address, &error);
	if (!socket || !soup_server_listen_socket(s->soup, socket, 0, &error)) {
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

const char *http_request_path_suffix(const struct http_request *r)
{
	return r->path_suffix;
}

const char *http_request_query(const struct http_request *r, const char *name)
{
	return r->query ? g_hash_table_lookup(r->query, name) : NULL;
}

const char *http_request_header(const struct http_request *r, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(r->message), name);
}

GBytes *http_request_body(const struct http_request *r)
{
	return soup_message_body_flatten(
		soup_server_message_get_request_body(r->message));
}

json_object *http_request_json(struct http_request *r)
{
	struct finding_list findings;
	gboolean is_good;
	GBytes *body;
	gsize len;
	const char *text;

	if (r->text.root)
		return r->text.root;
	body = http_request_body(r);
	text = g_bytes_get_data(body, &len);
	finding_list_init(&findings);
	is_good = json_text_parse(&r->text, "body", text ? text : "", len,
				  JSON_STRICT, &findings);
	g_bytes_unref(body);
	if (!is_good)
		http_request_reply_findings(r, &findings);
	finding_list_clear(&findings);
	return is_good ? r->text.root : NULL;
}

gboolean http_request_is_disconnected(const struct http_request *r)
{
	return r->is_finished;
}

static void reply(struct http_request *r, guint code, const char *type,
		  const char *body)
{
	r->is_answered = TRUE;
	if (r->is_finished) {
		request_free(r);
		return;
	}
	soup_server_message_set_status(r->message, code, NULL);
	soup_server_message_set_response(r->message, type, SOUP_MEMORY_COPY,
					 body, strlen(body));
	connection_guard_set_responding(
		r->server->guard, soup_server_message_get_socket(r->message));
	soup_server_message_unpause(r->message);
}

void http_request_reply(struct http_request *r, guint code, json_object *body)
{
	reply(r, code, "application/json",
	      json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN));
	json_object_put(body);
}

void http_request_set_reply_header(struct http_request *r, const char *name,
				   const char *value)
{
	if (!r->is_finished)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(r->message),
			name, value);
}

void http_request_reply_empty(struct http_request *r, guint code)
{
	reply(r, code, NULL, "");
}

void http_request_reply_text(struct http_request *r, guint code,
			     const char *text)
{
	reply(r, code, "text/plain", text);
}

void http_request_reply_findings(struct http_request *r,
				 const struct finding_list *findings)
{
	json_object *body = json_object_new_object();
	json_object *items = json_object_new_array();

	for (guint i = 0; i < finding_list_kept(findings); i++) {
		const struct finding *f = finding_list_get(findings, i);
		json_object *item = json_object_new_object();

		json_object_object_add(item, "place",
				       json_object_new_string(f->place));
		json_object_object_add(item, "problem",
				       json_object_new_string(f->problem));
		json_object_object_add(item, "allowed",
				       json_object_new_string(f->allowed));
		json_object_array_add(items, item);
	}
	json_object_object_add(body, "answer",
			       json_object_new_string("not run"));
	json_object_object_add(body, "reason",
			       json_object_new_string("invalid"));
	json_object_object_add(body, "findings", items);
	if (finding_list_count(findings) > finding_list_kept(findings))
		json_object_object_add(
			body, "findings_count",
			json_object_new_int64(finding_list_count(findings)));
	http_request_reply(r, SOUP_STATUS_BAD_REQUEST, body);
}

void http_request_close_connection(struct http_request *r)
{
	if (!r->is_finished) {
		GIOStream *stream;

		stream = soup_server_message_steal_connection(r->message);
		g_io_stream_close(stream, NULL, NULL);
		g_object_unref(stream);
	}
	request_free(r);
}
