#include "base/http_internal.h"

#include <string.h>

#include "base/json_text.h"

/* Memory of a request that is processed, besides its body. */
#define REQUEST_BYTES INT64_C(4096)
#define RETRY_AFTER_S "1"

static void request_free(struct http_request *r);

static void on_finished(SoupServerMessage *message, gpointer data)
{
	struct http_request *r = data;

	r->is_finished = TRUE;
	if (r->is_answered)
		request_free(r);
}

RequestStream *http_message_stream(SoupServerMessage *message)
{
	return request_stream_of(
		soup_server_message_get_remote_address(message));
}

/* Returns the message's socket, or NULL if the connection was closed. */
static GSocket *socket_of(SoupServerMessage *message)
{
	RequestStream *stream = http_message_stream(message);

	return stream ? request_stream_socket(stream) : NULL;
}

struct http_request *http_request_new(struct http_server *s,
				      SoupServerMessage *message,
				      GHashTable *query, const char *rest)
{
	struct http_request *r = g_new0(struct http_request, 1);
	GSocket *socket = socket_of(message);

	r->server = s;
	r->message = g_object_ref(message);
	r->query = query ? g_hash_table_ref(query) : NULL;
	r->path_suffix = g_strdup(rest);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), r);
	g_signal_connect(message, "disconnected", G_CALLBACK(on_finished), r);
	s->pending++;
	connection_guard_set_processing(s->guard, socket);
	r->held_bytes = connection_guard_take_input(s->guard, socket);
	return r;
}

/* Frees the parsed body and gives back what was reserved for the request. */
static void release_body(struct http_request *r)
{
	g_clear_pointer(&r->body, json_object_put);
	connection_guard_release(r->server->guard, r->held_bytes);
	r->held_bytes = 0;
}

static void request_free(struct http_request *r)
{
	g_signal_handlers_disconnect_by_data(r->message, r);
	r->server->pending--;
	release_body(r);
	g_clear_pointer(&r->query, g_hash_table_unref);
	g_object_unref(r->message);
	g_free(r->path_suffix);
	g_free(r);
}

static gboolean reserve(struct http_request *r, int64_t bytes)
{
	if (!connection_guard_hold(r->server->guard, bytes))
		return FALSE;
	r->held_bytes += bytes;
	return TRUE;
}

/* Refuses a request for want of memory. It is not known which attempt it is. */
static void reply_unserved(struct http_request *r)
{
	gboolean is_unknown = r->server->limits.may_run_elsewhere;
	json_object *body = json_object_new_object();

	connection_guard_events(r->server->guard)->unserved++;
	json_object_object_add(
		body, "answer",
		json_object_new_string(is_unknown ? "unknown" : "not run"));
	json_object_object_add(body, "reason", json_object_new_string("busy"));
	http_request_set_reply_header(r, "Retry-After", RETRY_AFTER_S);
	http_request_reply(r,
			   is_unknown ? SOUP_STATUS_GATEWAY_TIMEOUT
				      : SOUP_STATUS_SERVICE_UNAVAILABLE,
			   body);
}

gboolean http_request_admit(struct http_request *r)
{
	if (reserve(r, REQUEST_BYTES))
		return TRUE;
	reply_unserved(r);
	return FALSE;
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

/* Refuses a body that would take too much memory as JSON. */
static void reply_too_complex(struct http_request *r)
{
	struct finding_list findings;

	connection_guard_events(r->server->guard)->bodies++;
	finding_list_init(&findings);
	finding_list_add(&findings, "body", "fewer values",
			 "too many values for its length");
	http_request_reply_findings(r, &findings);
	finding_list_clear(&findings);
}

/* Frees a request's bytes and what was reserved for them. */
static void drop_raw_body(struct http_request *r, int64_t raw_bytes)
{
	soup_message_body_truncate(
		soup_server_message_get_request_body(r->message));
	connection_guard_release(r->server->guard, raw_bytes);
	r->held_bytes -= raw_bytes;
}

static json_object *parse_body(struct http_request *r, const char *text,
			       gsize len, gsize parsed_bytes)
{
	int64_t raw_bytes = r->held_bytes - REQUEST_BYTES;
	struct finding_list findings;
	struct json_text t;
	json_object *root = NULL;

	if (!reserve(r, (int64_t)parsed_bytes)) {
		reply_unserved(r);
		return NULL;
	}
	finding_list_init(&findings);
	if (json_text_parse(&t, "body", text, len, JSON_STRICT, &findings)) {
		root = json_object_get(t.root);
		r->body = root;
		drop_raw_body(r, raw_bytes);
	} else {
		http_request_reply_findings(r, &findings);
	}
	json_text_clear(&t);
	finding_list_clear(&findings);
	return root;
}

json_object *http_request_json(struct http_request *r)
{
	gsize parsed_bytes;
	json_object *root;
	GBytes *bytes;
	gsize len;
	const char *text;

	if (r->body)
		return r->body;
	bytes = http_request_body(r);
	text = g_bytes_get_data(bytes, &len);
	parsed_bytes = json_text_parsed_bytes(text, len);
	if (parsed_bytes > r->server->limits.parsed_bytes) {
		reply_too_complex(r);
		root = NULL;
	} else {
		root = parse_body(r, text ? text : "", len, parsed_bytes);
	}
	g_bytes_unref(bytes);
	return root;
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
	release_body(r);
	connection_guard_set_responding(r->server->guard, socket_of(r->message),
					strlen(body));
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
