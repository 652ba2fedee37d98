#include "store/call_sender.h"

#include <libsoup/soup.h>
#include <string.h>

#include "base/http_client.h"
#include "base/log.h"
#include "base/util.h"
#include "store/platform_answer.h"
#include "store/platform_counters.h"
#include "store/store_gate.h"

/* A takeover reads some 20 parts of tables at the same time, and a renewal of
 * the lease must not wait for them. */
#define MAX_CONNECTIONS 32
#define MAX_CALLS_IN_FLIGHT 1000
#define MAX_WAITING 1000
/* A long poll is answered within this time after its wait, more than three
 * times the latency of a store that is 60 times slower than its usual 4 ms. */
#define LONG_POLL_MARGIN_MS 800
#define RETRY_INTERVAL_MS 5 /* between attempts to send queued calls */
/* A call queued for longer than the timeout divided by this is refused. */
#define MAX_WAIT_DIVISOR 2
#define FAILURE_DOMAIN_HEADER "Cs-Failure-Domain"
#define ETAG_HEADER "ETag"
#define KNOWN_ETAG_HEADER "If-None-Match"

struct call_sender {
	struct http_client *client;
	char *address;
	char *failure_domain;
	int64_t timeout_ms;
	GHashTable *calls; /* set of struct platform_call, not yet ended */
	struct store_gate gate;
	GRand *rng;
	GQueue waiting[STORE_CALL_COUNT][STORE_PRIORITY_COUNT];
	guint waiting_count;
	guint retry_timer;
	enum breaker_state logged_state;
	struct platform_counters counters;
};

static void log_state(struct call_sender *s)
{
	enum breaker_state state = s->gate.breaker.state;
	struct log_line line;

	if (state == s->logged_state)
		return;
	if (state == BREAKER_OPEN && s->logged_state != BREAKER_HALF_OPEN)
		counter_add(s->counters.breaker_openings, 1);
	s->logged_state = state;
	log_begin(&line, LOG_LEVEL_WARN, "platform_breaker");
	log_str(&line, "state", breaker_state_name(state));
	log_str(&line, "platform", s->address);
	log_end(&line);
}

static gboolean is_failure(const struct http_reply *reply)
{
	return reply->status != STATUS_OK ||
	       reply->code == HTTP_TOO_MANY_REQUESTS ||
	       reply->code >= SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

static void report_outcome(struct platform_call *call,
			   const struct http_reply *reply)
{
	struct call_sender *s = call->sender;
	int64_t now_us = g_get_monotonic_time();
	int64_t latency_us = now_us - call->sent_us;

	if (call->long_poll_ms)
		latency_us = 0; /* a long poll is delayed on purpose */
	else
		histogram_record(s->counters.latency, latency_us);
	if (is_failure(reply))
		store_gate_failure(&s->gate, call->generation,
				   now_us / US_PER_MS);
	else
		store_gate_success(&s->gate, call->generation,
				   latency_us / US_PER_MS, now_us / US_PER_MS);
	log_state(s);
}

static void count_traffic(struct call_sender *s)
{
	struct http_traffic traffic = http_client_traffic(s->client);

	counter_set(s->counters.sent_bytes, (int64_t)traffic.sent_bytes);
	counter_set(s->counters.received_bytes,
		    (int64_t)traffic.received_bytes);
}

static void send_queued(struct call_sender *s);

static void on_reply(const struct http_reply *reply, void *data)
{
	struct platform_call *call = data;
	struct call_sender *s = call->sender;
	struct platform_result result = { 0 };

	g_hash_table_steal(s->calls, call);
	report_outcome(call, reply);
	count_traffic(s);
	send_queued(s);
	call->body_bytes = reply->text ? (int64_t)strlen(reply->text) : 0;
	if (call->handle_reply(call, reply))
		goto out;
	result.status = platform_answer_failure_status(call, reply);
	counter_add(result.status == STATUS_UNKNOWN ? s->counters.unknown
						    : s->counters.unavailable,
		    1);
	platform_call_finish(call, &result);
out:
	platform_call_free(call);
}

static void send_call(struct platform_call *call)
{
	struct call_sender *s = call->sender;
	const char *const headers[] = { FAILURE_DOMAIN_HEADER,
					s->failure_domain,
					call->etag ? KNOWN_ETAG_HEADER : NULL,
					call->etag, NULL };
	struct http_call_spec http = {
		.method = call->method,
		.address = s->address,
		.path = call->path,
		.body = call->body,
		.headers = headers,
		.wants_bytes = call->decode_answer == platform_answer_vm_list,
		.wanted_header = ETAG_HEADER,
		.may_reuse = call->may_reuse,
		.on_reply = on_reply,
		.data = call,
	};

	call->sent_us = g_get_monotonic_time();
	call->generation = store_gate_generation(&s->gate);
	http.timeout_ms =
		s->timeout_ms - (call->sent_us - call->created_us) / US_PER_MS;
	if (call->long_poll_ms)
		http.timeout_ms = MIN(http.timeout_ms, LONG_POLL_MARGIN_MS) +
				  call->long_poll_ms;
	counter_add(call->kind == STORE_CALL_WRITE ? s->counters.writes
						   : s->counters.reads,
		    1);
	http_client_send(s->client, &http);
}

static gboolean on_refused(gpointer data)
{
	struct platform_call *call = data;
	struct platform_result result = {
		.status = status_fail(STATUS_UNAVAILABLE,
				      "call to the platform refused: breaker "
				      "open or queue full"),
	};

	call->refusal_source = 0;
	g_hash_table_steal(call->sender->calls, call);
	platform_call_finish(call, &result);
	platform_call_free(call);
	return G_SOURCE_REMOVE;
}

/* Ends a call unsent; its callback runs later, from the main loop. */
static void refuse_call(struct platform_call *call)
{
	counter_add(call->sender->counters.refused, 1);
	call->refusal_source =
		g_idle_add_full(G_PRIORITY_DEFAULT, on_refused, call, NULL);
}

static gboolean has_waited_too_long(const struct platform_call *call)
{
	int64_t waited_us = g_get_monotonic_time() - call->created_us;

	return waited_us >=
	       call->sender->timeout_ms * US_PER_MS / MAX_WAIT_DIVISOR;
}

/* Returns FALSE if the queue is empty or its first call has to wait. */
static gboolean send_or_refuse_first(struct call_sender *s, GQueue *queue)
{
	struct platform_call *call = g_queue_peek_head(queue);
	enum store_decision decision;

	if (!call)
		return FALSE;
	if (has_waited_too_long(call))
		decision = STORE_REFUSE;
	else
		decision =
			store_gate_decide(&s->gate, call->kind, call->priority,
					  util_monotonic_ms());
	if (decision == STORE_WAIT)
		return FALSE;
	g_queue_pop_head(queue);
	s->waiting_count--;
	if (decision == STORE_SEND)
		send_call(call);
	else
		refuse_call(call);
	return TRUE;
}

static gboolean on_retry_timer(gpointer data)
{
	struct call_sender *s = data;

	s->retry_timer = 0;
	send_queued(s);
	return G_SOURCE_REMOVE;
}

/* Sends or refuses queued calls, in order of priority within each kind. */
static void send_queued(struct call_sender *s)
{
	for (guint kind = 0; kind < STORE_CALL_COUNT; kind++) {
		for (guint i = 0; i < STORE_PRIORITY_COUNT; i++) {
			while (send_or_refuse_first(s, &s->waiting[kind][i]))
				;
		}
	}
	counter_set(s->counters.waiting, s->waiting_count);
	log_state(s);
	if (s->waiting_count && !s->retry_timer)
		s->retry_timer =
			g_timeout_add(RETRY_INTERVAL_MS, on_retry_timer, s);
}

void call_sender_send(struct call_sender *s,
		      const struct platform_call_spec *spec)
{
	struct platform_call *call =
		platform_call_new(s, spec, g_get_monotonic_time());

	g_hash_table_add(s->calls, call);
	if (s->waiting_count >= MAX_WAITING) {
		refuse_call(call);
		return;
	}
	g_queue_push_tail(&s->waiting[call->kind][call->priority], call);
	s->waiting_count++;
	send_queued(s);
}

static void free_call(gpointer call)
{
	platform_call_free(call);
}

struct call_sender *call_sender_new(const struct platform_spec *spec)
{
	struct call_sender *s = g_new0(struct call_sender, 1);

	s->client = http_client_new(MAX_CALLS_IN_FLIGHT, MAX_CONNECTIONS);
	s->address = g_strdup(spec->address);
	s->failure_domain = g_strdup(spec->failure_domain);
	s->timeout_ms = spec->timeout_ms;
	s->calls = g_hash_table_new_full(NULL, NULL, free_call, NULL);
	s->rng = g_rand_new();
	store_gate_init(&s->gate,
			spec->gate ? spec->gate : &store_gate_config_default,
			s->rng, util_monotonic_ms());
	platform_counters_init(&s->counters, spec->counters);
	return s;
}

void call_sender_free(struct call_sender *s)
{
	http_client_free(s->client);
	if (s->retry_timer)
		g_source_remove(s->retry_timer);
	for (guint kind = 0; kind < STORE_CALL_COUNT; kind++) {
		for (guint i = 0; i < STORE_PRIORITY_COUNT; i++)
			g_queue_clear(&s->waiting[kind][i]);
	}
	g_hash_table_unref(s->calls);
	g_rand_free(s->rng);
	g_free(s->address);
	g_free(s->failure_domain);
	g_free(s);
}

void call_sender_forget(struct call_sender *s, const void *data)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct platform_call *call = item;

		if (call->data == data)
			call->fn = NULL;
	}
}
