#include "base/http_client.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "base/json_text.h"
#include "base/log.h"
#include "base/util.h"

/*
 * libsoup closes idle connections by a timer, which may still be dispatched in
 * the main loop iteration in which a message has taken the connection; the
 * message then uses freed memory. So that timer is off, and connections are
 * closed together with their session.
 */
#define SESSION_IDLE_TIMEOUT_S 0
/**
 * Time until calls to the addresses of a session use another session. The end
 * of its last call included, it is below the idle limit of base/http_server.c.
 */
#define MIN_SESSION_LIFETIME_MS 30000
#define MAX_SESSION_LIFETIME_MS 50000

/*
 * A libsoup session scans all its idle connections on each call, and each
 * session slows every main loop iteration. So neither one session for all
 * addresses nor one per address scales; sessions are added as addresses need.
 */
#define ADDRESSES_PER_SESSION 8
/** Time from the last call to an address until its entry is removed. */
#define ADDRESS_IDLE_MS 6000
#define SWEEP_INTERVAL_MS 1000
/** A reused connection may stay silent for the timeout divided by this. */
#define SILENCE_TIMEOUT_DIVISOR 3
/*
 * libsoup may never complete a message that was cancelled while its idle
 * connection was being closed; the call then ends without libsoup.
 */
#define CANCEL_GRACE_MS 100

struct http_client {
	GPtrArray *sessions;   /**< of struct http_session */
	GHashTable *addresses; /**< "IP:PORT" to struct http_address */
	guint sweep_timer;
	GHashTable *calls; /**< set of struct http_call in flight */
	guint max_calls;
	guint max_per_address;
	struct http_traffic traffic;
};

/** A libsoup session; its idle connections are closed when it is freed. */
struct http_session {
	SoupSession *soup;
	guint addresses; /**< assigned to it */
	guint calls;	 /**< in flight */
	int64_t end_ms;	 /**< it is given no calls from then on */
};

struct http_address {
	struct http_session *session;
	guint calls; /**< in flight */
	int64_t last_used_ms;
};

struct http_call {
	struct http_client *client; /**< NULL once the client is freed */
	struct http_address *address;
	struct http_session *session; /**< NULL if not passed to one */
	SoupMessage *message;	      /**< NULL if the address is malformed */
	GBytes *body;		      /**< NULL for none */
	GCancellable *cancellable;
	guint timer;
	int64_t deadline_ms;   /**< end of the timeout */
	int64_t send_until_ms; /**< on the clock of util_boot_ms() */
	int64_t timeout_ms;
	gboolean may_retry; /**< may be resent on a new connection */
	gboolean is_sent;
	gboolean is_expired; /**< was withheld after send_until_ms */
	gboolean was_resent;
	gboolean is_cancelled; /**< on_reply must not be called any more */
	gboolean wants_bytes;
	const char *wanted_header; /**< NULL for none */
	http_reply_fn on_reply;
	void *data;
};

static void http_session_free(gpointer data)
{
	struct http_session *s = data;

	soup_session_abort(s->soup);
	g_object_unref(s->soup);
	g_free(s);
}

struct http_client *http_client_new(guint max_calls, guint max_per_address)
{
	struct http_client *c = g_new0(struct http_client, 1);

	c->max_calls = max_calls;
	c->max_per_address = max_per_address;
	c->calls = g_hash_table_new(NULL, NULL);
	c->sessions = g_ptr_array_new_with_free_func(http_session_free);
	c->addresses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

static struct http_session *find_or_create_session(struct http_client *c,
						   int64_t now_ms)
{
	struct http_session *s;

	for (guint i = 0; i < c->sessions->len; i++) {
		s = c->sessions->pdata[i];
		if (s->addresses < ADDRESSES_PER_SESSION && now_ms < s->end_ms)
			return s;
	}
	s = g_new0(struct http_session, 1);
	s->soup = soup_session_new_with_options(
		"max-conns", (int)c->max_calls, "max-conns-per-host",
		(int)c->max_per_address, "timeout", 0, "idle-timeout",
		SESSION_IDLE_TIMEOUT_S, "proxy-resolver", NULL, NULL);
	s->end_ms = now_ms + g_random_int_range(MIN_SESSION_LIFETIME_MS,
						MAX_SESSION_LIFETIME_MS);
	g_ptr_array_add(c->sessions, s);
	return s;
}

static void assign_session(struct http_client *c, struct http_address *a,
			   int64_t now_ms)
{
	if (a->session && now_ms < a->session->end_ms)
		return;
	if (a->session)
		a->session->addresses--;
	a->session = find_or_create_session(c, now_ms);
	a->session->addresses++;
}

/*
 * Removes unused addresses, and sessions without addresses and calls. A session
 * ends with the first of its addresses, as servers limit their connections.
 */
static gboolean on_sweep(gpointer data)
{
	struct http_client *c = data;
	int64_t now_ms = util_monotonic_ms();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, c->addresses);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct http_address *a = item;

		if (a->calls || now_ms < a->last_used_ms + ADDRESS_IDLE_MS)
			continue;
		a->session->addresses--;
		a->session->end_ms = MIN(a->session->end_ms, now_ms);
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = c->sessions->len; i-- > 0;) {
		const struct http_session *s = c->sessions->pdata[i];

		if (!s->addresses && !s->calls)
			g_ptr_array_remove_index_fast(c->sessions, i);
	}
	if (c->sessions->len)
		return G_SOURCE_CONTINUE;
	c->sweep_timer = 0;
	return G_SOURCE_REMOVE;
}

/* Assigns a call to an address and to the session of that address. */
static void acquire_address(struct http_client *c, const char *address,
			    struct http_call *call)
{
	struct http_address *a = g_hash_table_lookup(c->addresses, address);

	if (!a) {
		a = g_new0(struct http_address, 1);
		g_hash_table_insert(c->addresses, g_strdup(address), a);
	}
	assign_session(c, a, util_monotonic_ms());
	a->calls++;
	a->session->calls++;
	call->address = a;
	call->session = a->session;
	if (!c->sweep_timer)
		c->sweep_timer = g_timeout_add(SWEEP_INTERVAL_MS, on_sweep, c);
}

static void release_address(struct http_call *call)
{
	call->address->calls--;
	call->address->last_used_ms = util_monotonic_ms();
	call->address = NULL;
	call->session->calls--;
	call->session = NULL;
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
	if (c->sweep_timer)
		g_source_remove(c->sweep_timer);
	g_ptr_array_unref(c->sessions);
	g_hash_table_unref(c->addresses);
	g_free(c);
}

static void drop_message(struct http_call *call)
{
	if (!call->message)
		return;
	g_signal_handlers_disconnect_by_data(call->message, call);
	g_clear_object(&call->message);
	g_clear_object(&call->cancellable);
}

static void call_free(struct http_call *call)
{
	if (call->client)
		g_hash_table_remove(call->client->calls, call);
	if (call->client && call->address)
		release_address(call);
	if (call->timer)
		g_source_remove(call->timer);
	drop_message(call);
	g_clear_pointer(&call->body, g_bytes_unref);
	g_free(call);
}

/* Cancels a message whose connection was ready too late; libsoup then writes
 * nothing. */
static void withhold(struct http_call *call, int64_t late_ms)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "http_call_expired");
	log_str(&line, "path",
		g_uri_get_path(soup_message_get_uri(call->message)));
	log_int(&line, "late_ms", late_ms);
	log_int(&line, "was_resent", call->was_resent);
	log_end(&line);
	call->is_expired = TRUE;
	call->may_retry = FALSE;
	g_cancellable_cancel(call->cancellable);
}

/* Emitted when a connection is ready, just before the request is written. */
static void on_starting(SoupMessage *message, gpointer data)
{
	struct http_call *call = data;
	int64_t late_ms = util_boot_ms() - call->send_until_ms;

	if (late_ms > 0)
		withhold(call, late_ms);
	else
		call->is_sent = TRUE;
}

/* libsoup resends the request because the reused connection had ended. */
static void on_restarted(SoupMessage *message, gpointer data)
{
	struct http_call *call = data;

	if (call->is_sent)
		call->was_resent = TRUE;
}

/*
 * Emitted for new connections only. The call is then neither cancelled for
 * silence nor resent: it ends at its timeout at the latest.
 */
static void on_network_event(SoupMessage *message, GSocketClientEvent event,
			     GIOStream *stream, gpointer data)
{
	struct http_call *call = data;
	GSocket *socket;

	call->may_retry = FALSE;
	if (event != G_SOCKET_CLIENT_CONNECTED ||
	    !G_IS_SOCKET_CONNECTION(stream))
		return;
	/* Unacknowledged data must not arrive after the call has ended. */
	socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    (gint)call->timeout_ms, NULL);
}

/* libsoup did not complete the cancelled message: ends the call without it. */
static gboolean on_cancel_overdue(gpointer data)
{
	struct http_call *call = data;
	struct http_reply reply = {
		.status = status_fail(STATUS_UNKNOWN,
				      "no response before the timeout"),
	};
	struct log_line line;

	call->timer = 0;
	if (call->is_cancelled)
		return G_SOURCE_REMOVE;
	call->is_cancelled = TRUE;
	log_begin(&line, LOG_LEVEL_WARN, "http_call_stuck");
	log_str(&line, "path",
		g_uri_get_path(soup_message_get_uri(call->message)));
	log_int(&line, "late_ms", util_monotonic_ms() - call->deadline_ms);
	log_end(&line);
	if (call->client) {
		g_hash_table_remove(call->client->calls, call);
		release_address(call);
		call->client = NULL;
	}
	call->on_reply(&reply, call->data);
	return G_SOURCE_REMOVE;
}

static gboolean on_timeout(gpointer data)
{
	struct http_call *call = data;

	call->timer = g_timeout_add(CANCEL_GRACE_MS, on_cancel_overdue, call);
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static guint time_left_ms(const struct http_call *call)
{
	return (guint)MAX(call->deadline_ms - util_monotonic_ms(), 0);
}

static void arm_timeout(struct http_call *call)
{
	call->timer = g_timeout_add(time_left_ms(call), on_timeout, call);
}

/*
 * Cancels the message on a silent reused connection. libsoup then completes it
 * and the request is resent; otherwise the call ends at its timeout.
 */
static gboolean on_silence_timeout(gpointer data)
{
	struct http_call *call = data;

	if (!call->may_retry) {
		arm_timeout(call);
		return G_SOURCE_REMOVE;
	}
	call->timer = g_timeout_add(time_left_ms(call) + CANCEL_GRACE_MS,
				    on_cancel_overdue, call);
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static json_object *parse_body(GBytes *bytes)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(bytes, &len);

	return json_text_parse_value(text ? text : "", len);
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

/* Returns the reply text, to be freed; NULL if passed on as bytes only. */
static char *set_reply_body(const struct http_call *call, GBytes *bytes,
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

static void on_done(GObject *source, GAsyncResult *result, gpointer data);

static void start(struct http_call *call)
{
	g_signal_connect(call->message, "starting", G_CALLBACK(on_starting),
			 call);
	g_signal_connect(call->message, "restarted", G_CALLBACK(on_restarted),
			 call);
	soup_session_send_and_read_async(call->session->soup, call->message,
					 G_PRIORITY_DEFAULT, call->cancellable,
					 on_done, call);
}

static void set_message(struct http_call *call, SoupMessage *message)
{
	call->message = message;
	call->cancellable = g_cancellable_new();
	soup_message_add_flags(message, SOUP_MESSAGE_COLLECT_METRICS);
	if (call->body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", call->body);
}

static void copy_header(const char *name, const char *value, gpointer out)
{
	soup_message_headers_replace(out, name, value);
}

/* Resends on a new connection after the reused one ended or was silent. */
static void resend(struct http_call *call)
{
	gboolean was_sent = call->is_sent;
	SoupMessage *old = g_object_ref(call->message);
	SoupMessage *message = soup_message_new_from_uri(
		soup_message_get_method(old), soup_message_get_uri(old));

	drop_message(call);
	if (call->timer)
		g_source_remove(call->timer);
	call->may_retry = FALSE;
	call->was_resent = was_sent;
	soup_message_headers_foreach(soup_message_get_request_headers(old),
				     copy_header,
				     soup_message_get_request_headers(message));
	set_message(call, message);
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
			 call);
	arm_timeout(call);
	start(call);
	g_object_unref(old);
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
	if (!bytes && call->may_retry && !call->is_cancelled) {
		resend(call);
		g_clear_error(&error);
		return;
	}
	if (call->is_cancelled)
		goto out;
	reply.was_resent = call->was_resent;
	reply.is_expired = call->is_expired;
	if (bytes) {
		reply.code = soup_message_get_status(call->message);
		text = set_reply_body(call, bytes, &reply);
		if (call->wanted_header)
			reply.header = soup_message_headers_get_one(
				soup_message_get_response_headers(
					call->message),
				call->wanted_header);
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

static GBytes *body_bytes(json_object *body)
{
	const char *text;

	text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	return g_bytes_new(text, strlen(text));
}

/* Ends a call that was never passed to a session. */
static gboolean on_refused(gpointer data)
{
	struct http_call *call = data;
	struct http_reply reply = {
		.status = status_fail(STATUS_UNAVAILABLE, "%s",
				      call->message ? "too many calls in flight"
						    : "malformed address"),
	};

	call->timer = 0;
	if (!call->is_cancelled)
		call->on_reply(&reply, call->data);
	call_free(call);
	return G_SOURCE_REMOVE;
}

/* Returns a message for a call, NULL if the address or path is malformed. */
static SoupMessage *message_new(const struct http_call_spec *spec)
{
	char *text = g_strdup_printf("http://%s%s", spec->address, spec->path);
	GUri *uri = g_uri_parse(text, SOUP_HTTP_URI_FLAGS, NULL);
	SoupMessage *message = NULL;

	/* libsoup treats a URI without a host as a programming error. */
	if (uri && g_uri_get_host(uri) && g_uri_get_host(uri)[0])
		message = soup_message_new_from_uri(spec->method, uri);
	g_clear_pointer(&uri, g_uri_unref);
	g_free(text);
	return message;
}

static struct http_call *call_new(struct http_client *c,
				  const struct http_call_spec *spec)
{
	struct http_call *call = g_new0(struct http_call, 1);
	SoupMessage *message = message_new(spec);

	call->client = c;
	call->wants_bytes = spec->wants_bytes;
	call->wanted_header = spec->wanted_header;
	call->on_reply = spec->on_reply;
	call->data = spec->data;
	call->timeout_ms = spec->timeout_ms;
	call->deadline_ms = util_monotonic_ms() + spec->timeout_ms;
	call->send_until_ms =
		util_boot_ms() + (spec->send_within_ms ? spec->send_within_ms
						       : spec->timeout_ms);
	call->may_retry = spec->may_reuse;
	if (spec->body)
		call->body = body_bytes(spec->body);
	if (message) {
		set_message(call, message);
		set_headers(message, spec->headers);
	}
	return call;
}

static void arm_silence_timeout(struct http_call *call, int64_t silent_ms)
{
	soup_message_add_flags(call->message, SOUP_MESSAGE_IDEMPOTENT);
	g_signal_connect(call->message, "network-event",
			 G_CALLBACK(on_network_event), call);
	call->timer = g_timeout_add(
		(guint)(silent_ms ? silent_ms
				  : call->timeout_ms / SILENCE_TIMEOUT_DIVISOR),
		on_silence_timeout, call);
}

struct http_call *http_client_send(struct http_client *c,
				   const struct http_call_spec *spec)
{
	struct http_call *call = call_new(c, spec);
	gboolean is_refused =
		!call->message || g_hash_table_size(c->calls) >= c->max_calls;

	g_hash_table_add(c->calls, call);
	if (is_refused) {
		call->timer = g_timeout_add(0, on_refused, call);
		return call;
	}
	acquire_address(c, spec->address, call);
	if (spec->may_reuse)
		arm_silence_timeout(call, spec->max_silence_ms);
	else
		arm_timeout(call);
	start(call);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	call->is_cancelled = TRUE;
	g_cancellable_cancel(call->cancellable); /* NULL before a message */
}

struct http_traffic http_client_traffic(const struct http_client *c)
{
	return c->traffic;
}

guint http_client_in_flight(const struct http_client *c)
{
	return g_hash_table_size(c->calls);
}

guint http_client_sessions(const struct http_client *c)
{
	return c->sessions->len;
}
