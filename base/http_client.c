#include "base/http_client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "base/json_text.h"
#include "base/util.h"

#define IDLE_TIMEOUT_S 5

/*
 * A session looks at all its idle connections for each call, and each session
 * costs every turn of the main loop: neither one for all addresses nor one for
 * each will do. The addresses are spread over a fixed number of sessions.
 */
#define SESSION_COUNT 128

struct http_client {
	SoupSession *sessions[SESSION_COUNT]; /**< made on first use */
	GHashTable *calls; /**< set of struct http_call in flight */
	guint max_calls;
	guint max_per_address;
	struct http_traffic traffic;
};

struct http_call {
	struct http_client *client; /**< NULL once the client is freed */
	SoupMessage *message;
	GCancellable *cancellable;
	guint timer;
	gboolean is_sent;
	gboolean is_cancelled;
	gboolean wants_bytes;
	http_reply_fn on_reply;
	void *data;
};

struct http_client *http_client_new(guint max_calls, guint max_per_address)
{
	struct http_client *c = g_new0(struct http_client, 1);

	c->max_calls = max_calls;
	c->max_per_address = max_per_address;
	c->calls = g_hash_table_new(NULL, NULL);
	return c;
}

static SoupSession *session_for(struct http_client *c, const char *address)
{
	SoupSession **session =
		&c->sessions[g_str_hash(address) % SESSION_COUNT];

	if (!*session)
		*session = soup_session_new_with_options(
			"max-conns", (int)c->max_calls, "max-conns-per-host",
			(int)c->max_per_address, "timeout", 0, "idle-timeout",
			IDLE_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	return *session;
}

static void session_free(SoupSession *session)
{
	soup_session_abort(session);
	g_object_unref(session);
}

static void detach(struct http_call *call)
{
	call->is_cancelled = TRUE;
	call->client = NULL;
	g_cancellable_cancel(call->cancellable);
}

void http_client_free(struct http_client *c)
{
	GHashTableIter iter;
	gpointer call;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, &call, NULL))
		detach(call);
	g_hash_table_unref(c->calls);
	for (guint i = 0; i < SESSION_COUNT; i++)
		g_clear_pointer(&c->sessions[i], session_free);
	g_free(c);
}

static void call_free(struct http_call *call)
{
	if (call->client)
		g_hash_table_remove(call->client->calls, call);
	if (call->timer)
		g_source_remove(call->timer);
	g_signal_handlers_disconnect_by_data(call->message, call);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	g_free(call);
}

static void on_starting(SoupMessage *message, gpointer data)
{
	struct http_call *call = data;

	call->is_sent = TRUE;
}

static gboolean on_timeout(gpointer data)
{
	struct http_call *call = data;

	call->timer = 0;
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static json_object *parse_body(GBytes *bytes)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(bytes, &len);

	return json_text_value(text ? text : "", len);
}

static void count_traffic(struct http_call *call)
{
	SoupMessageMetrics *m = soup_message_get_metrics(call->message);
	struct http_traffic *t;

	if (!m || !call->client)
		return;
	t = &call->client->traffic;
	t->sent_bytes += soup_message_metrics_get_request_header_bytes_sent(m) +
			 soup_message_metrics_get_request_body_bytes_sent(m);
	t->received_bytes +=
		soup_message_metrics_get_response_header_bytes_received(m) +
		soup_message_metrics_get_response_body_bytes_received(m);
}

/* Returns the text of the reply, to be freed; a large body isn't copied. */
static char *take_body(const struct http_call *call, GBytes *bytes,
		       struct http_reply *reply)
{
	char *text;

	if (call->wants_bytes) {
		reply->bytes = bytes;
		return NULL;
	}
	reply->body = parse_body(bytes);
	text = g_strndup(g_bytes_get_data(bytes, NULL),
			 g_bytes_get_size(bytes));
	reply->text = text;
	return text;
}

static void on_done(GObject *source, GAsyncResult *result, gpointer data)
{
	struct http_call *call = data;
	struct http_reply reply = { .status = STATUS_OK };
	GError *error = NULL;
	char *text = NULL;
	GBytes *bytes;

	bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result,
						  &error);
	count_traffic(call);
	if (call->is_cancelled)
		goto out;
	if (bytes) {
		reply.code = soup_message_get_status(call->message);
		text = take_body(call, bytes, &reply);
		reply.etag = soup_message_headers_get_one(
			soup_message_get_response_headers(call->message),
			"ETag");
	} else {
		reply.status = status_fail(call->is_sent ? STATUS_UNKNOWN
							 : STATUS_UNAVAILABLE,
					   "%s", error->message);
	}
	call->on_reply(&reply, call->data);
out:
	json_object_put(reply.body);
	g_free(text);
	g_clear_pointer(&bytes, g_bytes_unref);
	g_clear_error(&error);
	call_free(call);
}

static void set_headers(SoupMessage *message, const char *const *headers)
{
	SoupMessageHeaders *out = soup_message_get_request_headers(message);

	for (guint i = 0; headers && headers[i]; i += 2)
		soup_message_headers_replace(out, headers[i], headers[i + 1]);
}

static void set_body(SoupMessage *message, json_object *body)
{
	const char *text;
	GBytes *bytes;

	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	bytes = g_bytes_new(text, strlen(text));
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	g_bytes_unref(bytes);
}

/* Ends a call that was never given to a session. */
static gboolean on_refused(gpointer data)
{
	struct http_call *call = data;
	struct http_reply reply = {
		.status = status_fail(STATUS_UNAVAILABLE,
				      "too many calls in flight"),
	};

	call->timer = 0;
	if (!call->is_cancelled)
		call->on_reply(&reply, call->data);
	call_free(call);
	return G_SOURCE_REMOVE;
}

static struct http_call *call_new(struct http_client *c,
				  const struct http_call_spec *spec)
{
	struct http_call *call = g_new0(struct http_call, 1);
	char *uri = g_strdup_printf("http://%s%s", spec->address, spec->path);

	call->client = c;
	call->message = soup_message_new(spec->method, uri);
	call->cancellable = g_cancellable_new();
	call->wants_bytes = spec->wants_bytes;
	call->on_reply = spec->on_reply;
	call->data = spec->data;
	soup_message_add_flags(call->message, SOUP_MESSAGE_COLLECT_METRICS);
	if (spec->may_reuse)
		soup_message_add_flags(call->message, SOUP_MESSAGE_IDEMPOTENT);
	set_headers(call->message, spec->headers);
	if (spec->body)
		set_body(call->message, spec->body);
	g_signal_connect(call->message, "starting", G_CALLBACK(on_starting),
			 call);
	g_free(uri);
	return call;
}

struct http_call *http_client_send(struct http_client *c,
				   const struct http_call_spec *spec)
{
	struct http_call *call = call_new(c, spec);
	gboolean is_refused = g_hash_table_size(c->calls) >= c->max_calls;

	g_hash_table_add(c->calls, call);
	if (is_refused) {
		call->timer = g_timeout_add(0, on_refused, call);
		return call;
	}
	call->timer = g_timeout_add(spec->timeout_ms, on_timeout, call);
	soup_session_send_and_read_async(session_for(c, spec->address),
					 call->message, G_PRIORITY_DEFAULT,
					 call->cancellable, on_done, call);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	call->is_cancelled = TRUE;
	g_cancellable_cancel(call->cancellable);
}

struct http_traffic http_client_traffic(const struct http_client *c)
{
	return c->traffic;
}

guint http_client_in_flight(const struct http_client *c)
{
	return g_hash_table_size(c->calls);
}
