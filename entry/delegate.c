#include "entry/delegate.h"

#include <gio/gio.h>

#include "base/http_client.h"
#include "base/json_member.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/delegate_message.h"
#include "entry/delegate_row.h"
#include "entry/entry_store.h"
#include "entry/worker_calls.h"
#include "link/frame.h"
#include "link/link_connection.h"
#include "link/link_listen.h"

/* The largest pool in the design has 3,800 workers on about 30 VMs; each worker
 * has one renewal and a few orders in flight. */
#define MAX_CALLS 1000
/* Delay before a failed registration is retried. */
#define REGISTER_RETRY_MS 500
/* The holder, and former ones that have not noticed the loss of the lease, or
 * whose VM was lost without closing its connection. */
#define MAX_HOLDERS 16
/* Headers of a delegated call, each a name and a value. */
#define MAX_HEADER_PAIRS 4

struct delegate {
	struct service base;
	struct platform *platform;
	const struct entry_settings *settings;
	struct tcp_listener *listener; /* NULL until started */
	struct link_poll *poll;
	struct link_traffic traffic;
	struct http_client *client;
	GHashTable *holders; /* set of struct holder_link */
	char *token;	     /* in this VM's row; holders must present it */
	json_object *row;    /* of this VM, by the addresses it listens at */
	int64_t row_version; /* of this VM's row, 0 until registered */
	gboolean is_draining;
	guint timer;
	struct counter *calls;
	struct counter *expired;
	struct counter *unauthenticated;
	int64_t unauthenticated_count;
	struct log_pace unauthenticated_pace;
};

/* An incoming connection of a holder. */
struct holder_link {
	struct delegate *delegate;
	struct link_connection *connection;
	gboolean is_authenticated;
	int64_t heard_ms;  /* last frame, or when it was connected */
	GHashTable *calls; /* set of struct delegated_call */
};

struct delegated_call {
	struct holder_link *link;
	int64_t number;
	struct http_call *http;
};

static void register_delegate(struct delegate *s);

static gboolean on_register(gpointer data)
{
	struct delegate *s = data;

	s->timer = 0;
	register_delegate(s);
	return G_SOURCE_REMOVE;
}

static void on_registered(const struct platform_result *result, void *data)
{
	struct delegate *s = data;
	struct log_line line;

	if (result->status != STATUS_OK) {
		s->timer = g_timeout_add(REGISTER_RETRY_MS, on_register, s);
		return;
	}
	s->row_version = result->version;
	log_begin(&line, LOG_LEVEL_INFO, "delegate_registered");
	log_str(&line, "address", s->settings->internal);
	log_int(&line, "version", result->version);
	log_end(&line);
}

static void register_delegate(struct delegate *s)
{
	struct table_write write = {
		.table = DELEGATE_TABLE,
		.key = s->settings->node,
		.expected_version = TABLE_ANY_VERSION,
		.value = s->row,
	};

	platform_commit(s->platform, &write, 1, on_registered, s);
}

/* The token is new in each process, so it tells the row of this one. */
static gboolean is_own_row(const struct delegate *s, json_object *row)
{
	struct delegate_row vm;

	return delegate_row_decode(row, &vm) &&
	       g_strcmp0(vm.token, s->token) == 0;
}

void delegate_check_row(const struct kernel *k, json_object *row)
{
	struct delegate *s =
		(struct delegate *)kernel_find(k, DELEGATE_SERVICE);
	struct log_line line;

	/* Without a version, the first registration is still on its way. */
	if (!s->row_version || s->is_draining || is_own_row(s, row))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "delegate_row_lost");
	log_int(&line, "version", s->row_version);
	log_str(&line, "reason", row ? "overwritten" : "missing");
	log_end(&line);
	s->row_version = 0;
	register_delegate(s);
}

static void holder_link_free(gpointer data)
{
	struct holder_link *l = data;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, l->calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct delegated_call *c = item;

		http_call_cancel(c->http);
		g_free(c);
	}
	g_hash_table_unref(l->calls);
	if (l->connection)
		link_connection_close(l->connection);
	g_free(l);
}

static void add_clock(json_object *body)
{
	json_object_object_add(body, "boot_ms",
			       json_object_new_int64(util_boot_ms()));
}

static void send_reply(struct holder_link *l, int64_t number,
		       const struct http_reply *reply)
{
	json_object *body = json_object_new_object();

	if (reply->is_expired)
		counter_add(l->delegate->expired, 1);
	json_object_object_add(body, "number", json_object_new_int64(number));
	json_object_object_add(
		body, "status",
		json_object_new_string(status_name(reply->status)));
	json_object_object_add(body, "code",
			       json_object_new_int((int32_t)reply->code));
	json_object_object_add(body, "was_resent",
			       json_object_new_boolean(reply->was_resent));
	json_object_object_add(body, "is_expired",
			       json_object_new_boolean(reply->is_expired));
	add_clock(body);
	if (reply->body)
		json_object_object_add(body, "body",
				       json_object_get(reply->body));
	/* A failure to send needs no handling: a closed connection ends all its
	 * calls, and without a reply the holder's call times out. */
	link_connection_send(l->connection, DELEGATE_MESSAGE_REPLY, body);
	json_object_put(body);
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct delegated_call *c = data;

	send_reply(c->link, c->number, reply);
	g_hash_table_remove(c->link->calls, c);
	g_free(c);
}

/* Answers a call that was read after its time, as by a VM that was paused. */
static void refuse_expired(struct holder_link *l, json_object *message,
			   int64_t late_ms)
{
	const struct http_reply reply = {
		.status = STATUS_UNAVAILABLE,
		.is_expired = TRUE,
	};
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "delegate_call_expired");
	log_str(&line, "path", json_member_text(message, "path"));
	log_int(&line, "late_ms", late_ms);
	log_end(&line);
	send_reply(l, json_member_int(message, "number"), &reply);
}

static void start_delegated_call(struct holder_link *l, json_object *message)
{
	int64_t left_ms =
		json_member_int(message, "send_until_ms") - util_boot_ms();
	struct delegated_call *c;
	json_object *list = json_member(message, "headers");
	const char *headers[MAX_HEADER_PAIRS * 2 + 1] = { NULL };
	struct http_call_spec spec = {
		.method = json_member_text(message, "method"),
		.address = json_member_text(message, "address"),
		.path = json_member_text(message, "path"),
		.body = json_member(message, "body"),
		.timeout_ms = json_member_int(message, "timeout_ms"),
		.max_silence_ms = json_member_int(message, "silent_ms"),
		.send_within_ms = left_ms,
		.may_reuse = TRUE,
		.headers = headers,
		.on_reply = on_reply,
	};
	struct log_line line;

	for (size_t i = 0; json_object_is_type(list, json_type_array) &&
			   i < json_object_array_length(list) &&
			   i < G_N_ELEMENTS(headers) - 1;
	     i++)
		headers[i] = json_object_get_string(
			json_object_array_get_idx(list, i));
	if (!spec.method || !spec.address || !spec.path) {
		log_begin(&line, LOG_LEVEL_ERROR, "delegate_call_unreadable");
		log_end(&line);
		return;
	}
	if (left_ms <= 0) {
		refuse_expired(l, message, -left_ms);
		return;
	}
	c = g_new0(struct delegated_call, 1);
	spec.data = c;
	c->link = l;
	c->number = json_member_int(message, "number");
	counter_add(l->delegate->calls, 1);
	g_hash_table_add(l->calls, c);
	c->http = http_client_send(l->delegate->client, &spec);
}

static void log_holder(const char *event, const char *outcome)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "outcome", outcome);
	log_end(&line);
}

static void send_clock(struct holder_link *l)
{
	json_object *body = json_object_new_object();

	add_clock(body);
	link_connection_send(l->connection, DELEGATE_MESSAGE_CLOCK, body);
	json_object_put(body);
}

/* Counts peers without the token, and logs them once in a while. */
static void record_unauthenticated(struct delegate *s)
{
	struct log_line line;

	s->unauthenticated_count++;
	counter_add(s->unauthenticated, 1);
	if (!log_pace_is_due(&s->unauthenticated_pace, util_monotonic_ms(),
			     LOG_LIMIT_INTERVAL_MS))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "delegate_unauthenticated");
	log_int(&line, "count", s->unauthenticated_count);
	log_int(&line, "refused_frames", s->traffic.refused_frames);
	log_end(&line);
}

static void handle_hello(struct holder_link *l, const char *token)
{
	l->is_authenticated = g_strcmp0(token, l->delegate->token) == 0;
	link_connection_limit_frames(l->connection,
				     l->is_authenticated
					     ? FRAME_MAX_BODY_BYTES
					     : LINK_HANDSHAKE_MAX_BODY_BYTES);
	if (!l->is_authenticated) {
		record_unauthenticated(l->delegate);
		return;
	}
	log_holder("delegate_hello", "accepted");
	send_clock(l);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	struct holder_link *l = data;

	l->heard_ms = util_monotonic_ms();
	if (type == DELEGATE_MESSAGE_HELLO)
		handle_hello(l, json_member_text(body, "token"));
	else if (type == DELEGATE_MESSAGE_CALL && l->is_authenticated)
		start_delegated_call(l, body);
}

static void on_closed(void *data)
{
	struct holder_link *l = data;

	l->connection = NULL;
	if (l->is_authenticated)
		log_holder("delegate_holder_gone", "its calls are cancelled");
	else
		record_unauthenticated(l->delegate);
	g_hash_table_remove(l->delegate->holders, l);
}

static gboolean is_less_useful(const struct holder_link *l,
			       const struct holder_link *than)
{
	if (l->is_authenticated != than->is_authenticated)
		return !l->is_authenticated;
	return l->heard_ms < than->heard_ms;
}

/* Closes the connection that has been silent for longest, first those that have
 * not presented the token. The present holder calls several times a second. */
static void drop_silent_holder(struct delegate *s)
{
	struct holder_link *oldest = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->holders);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct holder_link *l = item;

		if (!oldest || is_less_useful(l, oldest))
			oldest = l;
	}
	if (!oldest)
		return;
	if (oldest->is_authenticated)
		log_holder("delegate_holder_dropped", "silent for longest");
	else
		record_unauthenticated(s);
	g_hash_table_remove(s->holders, oldest);
}

static void on_accept(GSocket *socket, void *data)
{
	struct delegate *s = data;
	GSocketConnection *stream =
		g_socket_connection_factory_create_connection(socket);
	struct holder_link *l;

	if (g_hash_table_size(s->holders) >= MAX_HOLDERS)
		drop_silent_holder(s);
	l = g_new0(struct holder_link, 1);
	l->delegate = s;
	l->heard_ms = util_monotonic_ms();
	l->calls = g_hash_table_new(NULL, NULL);
	l->connection = link_connection_new(stream, s->poll, &s->traffic,
					    on_frame, on_closed, l);
	link_connection_limit_frames(l->connection,
				     LINK_HANDSHAKE_MAX_BODY_BYTES);
	g_hash_table_add(s->holders, l);
	g_object_unref(stream);
}

static json_object *encode_row(const struct delegate *s)
{
	const struct delegate_row vm = {
		.failure_domain = s->settings->failure_domain,
		.cpu_share = s->settings->cpu_share,
		.address = s->settings->internal,
		.token = s->token,
		.forward = s->settings->forward,
	};

	return delegate_row_encode(&vm);
}

static enum status delegate_start(struct service *base, struct kernel *k)
{
	struct delegate *s = (struct delegate *)base;
	enum status status;

	s->settings = entry_settings_of(k);
	s->platform = entry_platform_of(k);
	s->calls =
		counters_counter(kernel_counters(k), "cs_delegated_calls_total",
				 "Calls to workers for a holder elsewhere");
	s->expired = counters_counter(
		kernel_counters(k), "cs_delegated_calls_expired_total",
		"Calls for a holder elsewhere that came too late to be sent");
	s->unauthenticated = counters_counter(
		kernel_counters(k), "cs_delegate_unauthenticated_total",
		"Connections and greetings of peers without the token");
	if (!s->settings->internal)
		return STATUS_OK;
	status = link_listen(s->settings->internal, on_accept, s, &s->listener);
	if (status != STATUS_OK)
		return status;
	s->row = encode_row(s);
	register_delegate(s);
	return STATUS_OK;
}

/*
 * Removes this VM's row, so that holders send no more calls to a process that
 * is about to stop.
 */
static void delegate_drain(struct service *base)
{
	struct delegate *s = (struct delegate *)base;
	/* The version keeps a late removal from deleting the row that the
	 * next process on this VM has written. */
	struct table_write removal = {
		.table = DELEGATE_TABLE,
		.key = s->settings->node,
		.expected_version = s->row_version,
	};

	s->is_draining = TRUE;
	platform_forget(s->platform, s);
	if (s->timer)
		g_source_remove(s->timer);
	s->timer = 0;
	if (!s->row_version)
		return;
	platform_commit(s->platform, &removal, 1, NULL, NULL);
}

static void delegate_free(struct service *base)
{
	struct delegate *s = (struct delegate *)base;

	if (s->timer)
		g_source_remove(s->timer);
	if (s->platform)
		platform_forget(s->platform, s);
	g_clear_pointer(&s->listener, tcp_listener_free);
	g_hash_table_unref(s->holders);
	http_client_free(s->client);
	link_poll_free(s->poll);
	json_object_put(s->row);
	g_free(s->token);
	g_free(s);
}

static const struct service_class delegate_class = {
	.name = DELEGATE_SERVICE,
	.start = delegate_start,
	.drain = delegate_drain,
	.free = delegate_free,
};

struct service *delegate_new(void)
{
	struct delegate *s = g_new0(struct delegate, 1);

	s->base.class = &delegate_class;
	s->poll = link_poll_new();
	s->client = http_client_new(MAX_CALLS, WORKER_MAX_CONNECTIONS);
	s->holders = g_hash_table_new_full(NULL, NULL, holder_link_free, NULL);
	s->token = util_random_id();
	return &s->base;
}
