#include "entry/worker_calls.h"

#include <libsoup/soup.h>

#include "base/http_client.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/delegate_pool.h"
#include "platform/wire_worker.h"

/* Most calls in flight. */
#define MAX_CALLS 2000
/* Workers answer orders at once; the rest allows for bursts of load on this
 * VM. */
#define ORDER_TIMEOUT_MS 800
/* An order is sent again on a new connection when a reused one is silent for
 * this long. */
#define ORDER_SILENT_MS 300
/* Long-poll timeout: a worker answers a renewal by then even if no run ends. */
#define RENEWAL_WAIT_MS 1500
/* A live worker's answer arrives within this time after the wait. */
#define RENEWAL_TIMEOUT_MS 600
/* Most renewals sent at once: a new holder of a large pool handles the answers
 * of the first racks before it has called the last ones. */
#define MAX_RENEWALS_AT_ONCE 64
/* Delay of the next renewal after a failed one, or while processed ends are not
 * stored yet. */
#define RENEWAL_RETRY_MS 250

struct worker_calls {
	struct worker_calls_spec spec;
	struct http_client *client;
	struct delegate_pool *delegates;
	uint32_t generation; /* incremented by each reset */
	struct histogram *start_latency;
	struct counter *starts;
	struct counter *stops;
	struct counter *renewals;
	struct counter *unanswered;
	struct counter *expired;
};

/* A call to a worker in flight: an order or a renewal. */
struct inflight_call {
	struct worker_calls *calls;
	uint32_t generation; /* worker_calls::generation when it was sent */
	char *worker;
	char *task; /* NULL for a renewal */
	int64_t run;
	gboolean is_start;
	int64_t sent_ms;
};

struct worker_calls *worker_calls_new(const struct worker_calls_spec *spec)
{
	struct worker_calls *c = g_new0(struct worker_calls, 1);
	const struct delegate_pool_spec delegates = {
		.platform = spec->platform,
		.node = spec->node,
		.on_ready = spec->on_call_ended,
		.data = spec->data,
	};

	c->spec = *spec;
	c->client = http_client_new(MAX_CALLS, WORKER_MAX_CONNECTIONS);
	c->delegates = delegate_pool_new(&delegates);
	c->start_latency = counters_histogram(
		spec->counters, "cs_task_start_latency_seconds",
		"Time of an order to start a task");
	c->starts = counters_counter(spec->counters, "cs_task_starts_total",
				     "Orders to start a task");
	c->stops = counters_counter(spec->counters, "cs_task_stops_total",
				    "Orders to stop a task");
	c->renewals =
		counters_counter(spec->counters, "cs_worker_renewals_total",
				 "Renewals of the leases of a worker");
	c->unanswered =
		counters_counter(spec->counters, "cs_worker_unanswered_total",
				 "Calls to workers without an answer");
	c->expired = counters_counter(
		spec->counters, "cs_worker_calls_expired_total",
		"Calls to workers that weren't sent in time");
	return c;
}

void worker_calls_free(struct worker_calls *c)
{
	if (!c)
		return;
	worker_calls_reset(c);
	delegate_pool_free(c->delegates);
	http_client_free(c->client);
	g_free(c);
}

void worker_calls_reset(struct worker_calls *c)
{
	c->generation++;
	delegate_pool_reset(c->delegates);
}

static void inflight_call_free(struct inflight_call *o)
{
	g_free(o->worker);
	g_free(o->task);
	g_free(o);
}

static struct inflight_call *inflight_call_new(struct worker_calls *c,
					       const struct fleet_worker *w,
					       const char *task, int64_t run)
{
	struct inflight_call *o = g_new0(struct inflight_call, 1);

	o->calls = c;
	o->generation = c->generation;
	o->worker = g_strdup(w->id);
	o->task = g_strdup(task);
	o->run = run;
	o->sent_ms = util_monotonic_ms();
	return o;
}

static gboolean is_delegated(const struct worker_calls *c)
{
	return g_hash_table_size(c->spec.scheduler->fleet.workers) >=
	       c->spec.delegate_min_workers;
}

void worker_calls_prepare(struct worker_calls *c)
{
	if (is_delegated(c))
		delegate_pool_start(c->delegates);
}

static void send_call(struct worker_calls *c, const struct fleet_worker *w,
		      const char *path, json_object *body, int64_t timeout_ms,
		      int64_t max_silence_ms, int64_t send_within_ms,
		      http_reply_fn fn, struct inflight_call *o)
{
	const char *const headers[] = { WIRE_HEADER_INCARNATION, w->id, NULL };
	struct http_call_spec spec = {
		.method = "POST",
		.address = w->reg.address,
		.path = path,
		.body = body,
		.timeout_ms = timeout_ms,
		/* Also what the next holder has to wait for. */
		.send_within_ms = CLAMP(c->spec.act_left_ms(c->spec.data), 1,
					send_within_ms),
		.may_reuse = TRUE, /* all calls are idempotent */
		.max_silence_ms = max_silence_ms,
		.headers = headers,
		.on_reply = fn,
		.data = o,
	};

	if (!is_delegated(c) ||
	    !delegate_pool_send(c->delegates, w->id, w->reg.failure_domain,
				&spec))
		http_client_send(c->client, &spec);
	json_object_put(body);
}

static enum order_outcome outcome_of(const struct http_reply *reply)
{
	if (reply->status == STATUS_UNAVAILABLE)
		return ORDER_REFUSED;
	if (reply->status != STATUS_OK)
		return ORDER_NO_ANSWER;
	if (reply->code == SOUP_STATUS_OK)
		return ORDER_DONE;
	/* The first attempt of a resent call may have taken effect. */
	return reply->was_resent ? ORDER_NO_ANSWER : ORDER_REFUSED;
}

static gboolean is_fenced(const struct http_reply *reply)
{
	return reply->status == STATUS_OK &&
	       reply->code == SOUP_STATUS_CONFLICT &&
	       wire_worker_refusal(reply->body) == REFUSAL_EPOCH;
}

static void on_order_reply(const struct http_reply *reply, void *data)
{
	struct inflight_call *o = data;
	struct worker_calls *c = o->calls;
	int64_t now_ms = util_monotonic_ms();
	enum order_outcome outcome = outcome_of(reply);
	enum order_refusal refusal = REFUSAL_OTHER;

	if (o->generation != c->generation)
		goto out;
	if (is_fenced(reply)) {
		c->spec.on_fenced(c->spec.data);
		goto out;
	}
	if (outcome == ORDER_NO_ANSWER)
		counter_add(c->unanswered, 1);
	if (reply->is_expired)
		counter_add(c->expired, 1);
	if (outcome == ORDER_REFUSED && reply->body)
		refusal = wire_worker_refusal(reply->body);
	if (o->is_start) {
		histogram_record(c->start_latency,
				 (now_ms - o->sent_ms) * US_PER_MS);
		fleet_scheduler_start_answered(c->spec.scheduler, o->worker,
					       o->task, o->run, outcome,
					       refusal, now_ms);
	} else {
		fleet_scheduler_stop_answered(c->spec.scheduler, o->worker,
					      o->task, o->run, outcome, now_ms);
	}
	c->spec.on_call_ended(c->spec.data);
out:
	inflight_call_free(o);
}

void worker_calls_start(struct worker_calls *c, struct fleet_worker *w,
			const struct start_order *order)
{
	struct inflight_call *o =
		inflight_call_new(c, w, order->task, order->run);

	o->is_start = TRUE;
	counter_add(c->starts, 1);
	send_call(c, w, WIRE_PATH_START, wire_worker_start(order),
		  ORDER_TIMEOUT_MS, ORDER_SILENT_MS, ORDER_TIMEOUT_MS,
		  on_order_reply, o);
}

void worker_calls_stop(struct worker_calls *c, struct fleet_worker *w,
		       const char *task, int64_t run)
{
	struct inflight_call *o = inflight_call_new(c, w, task, run);

	counter_add(c->stops, 1);
	send_call(c, w, WIRE_PATH_STOP,
		  wire_worker_stop(task, run, c->spec.scheduler->epoch),
		  ORDER_TIMEOUT_MS, ORDER_SILENT_MS, ORDER_TIMEOUT_MS,
		  on_order_reply, o);
}

static void apply_report(struct worker_calls *c, struct fleet_worker *w,
			 const struct http_reply *reply,
			 const struct inflight_call *o, int64_t now_ms)
{
	struct run_report report = { 0 };
	struct log_line line;

	if (wire_worker_report(reply->body, &report)) {
		fleet_scheduler_apply_report(c->spec.scheduler, w, &report,
					     o->sent_ms, now_ms);
		w->next_renewal_ms = now_ms;
	} else {
		log_begin(&line, LOG_LEVEL_ERROR, "worker_report_unreadable");
		log_str(&line, "worker", w->id);
		log_end(&line);
		w->next_renewal_ms = now_ms + RENEWAL_RETRY_MS;
	}
	run_report_clear(&report);
}

static void record_failure(struct fleet_worker *w,
			   const struct http_reply *reply, int64_t now_ms)
{
	struct log_line line;

	w->next_renewal_ms = now_ms + RENEWAL_RETRY_MS;
	w->has_failed_renewal = TRUE;
	log_begin(&line, LOG_LEVEL_DEBUG, "worker_renewal_failed");
	log_str(&line, "worker", w->id);
	log_int(&line, "code", reply->code);
	log_end(&line);
}

static void on_renewal_reply(const struct http_reply *reply, void *data)
{
	struct inflight_call *o = data;
	struct worker_calls *c = o->calls;
	int64_t now_ms = util_monotonic_ms();
	struct fleet_worker *w;

	if (o->generation != c->generation)
		goto out;
	if (is_fenced(reply)) {
		c->spec.on_fenced(c->spec.data);
		goto out;
	}
	w = fleet_worker(&c->spec.scheduler->fleet, o->worker);
	if (!w)
		goto out;
	w->is_renewing = FALSE;
	if (reply->status == STATUS_OK && reply->code == SOUP_STATUS_OK) {
		apply_report(c, w, reply, o, now_ms);
	} else {
		if (reply->status != STATUS_OK)
			counter_add(c->unanswered, 1);
		if (reply->is_expired)
			counter_add(c->expired, 1);
		record_failure(w, reply, now_ms);
	}
	c->spec.on_call_ended(c->spec.data);
out:
	inflight_call_free(o);
}

static void send_renewal(struct worker_calls *c, struct fleet_worker *w,
			 int64_t now_ms)
{
	struct renewal_order order = {
		.epoch = c->spec.scheduler->epoch,
		.acked_end = fleet_worker_end_to_ack(w, now_ms),
		.lease_end_ms = fleet_scheduler_renewal_end(c->spec.scheduler,
							    w, now_ms),
	};
	int64_t send_within_ms = RENEWAL_TIMEOUT_MS;

	/* A worker with unacknowledged ends answers without waiting. */
	if (w->is_clock_offset_known && !w->renew_again &&
	    w->saved_end == w->processed_end)
		order.wait_ms = RENEWAL_WAIT_MS;
	if (order.acked_end)
		send_within_ms = fleet_worker_ack_valid_ms(w, now_ms);
	w->is_renewing = TRUE;
	w->renew_again = FALSE;
	counter_add(c->renewals, 1);
	send_call(c, w, WIRE_PATH_HOLD, wire_worker_renewal(&order),
		  order.wait_ms + RENEWAL_TIMEOUT_MS,
		  order.wait_ms + RENEWAL_TIMEOUT_MS, send_within_ms,
		  on_renewal_reply, inflight_call_new(c, w, NULL, 0));
}

static gboolean may_call(const struct worker_calls *c,
			 const struct fleet_worker *w, int64_t now_ms)
{
	return !is_delegated(c) ||
	       delegate_pool_may_call(c->delegates, w->id,
				      w->reg.failure_domain, now_ms);
}

static gboolean is_renewal_due(const struct fleet_worker *w, int64_t now_ms)
{
	if (w->is_renewing || !w->reg.address || now_ms < w->next_renewal_ms)
		return FALSE;
	if (w->is_deregistered && !w->tasks->len)
		return FALSE;
	return w->renew_again || w->saved_end == w->processed_end ||
	       now_ms >= w->next_renewal_ms + RENEWAL_RETRY_MS;
}

/* Sorts by rack: after a takeover, gangs can start as soon as the first racks
 * have answered. */
static gint compare_racks(gconstpointer a, gconstpointer b)
{
	const struct fleet_worker *x = *(const struct fleet_worker *const *)a;
	const struct fleet_worker *y = *(const struct fleet_worker *const *)b;

	return g_strcmp0(x->reg.rack, y->reg.rack);
}

gboolean worker_calls_renew_due(struct worker_calls *c, int64_t now_ms)
{
	GPtrArray *due = g_ptr_array_new();
	gboolean has_new = FALSE;
	gboolean has_more;
	guint sent = 0;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, c->spec.scheduler->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_worker *w = item;

		if (!is_renewal_due(w, now_ms))
			continue;
		g_ptr_array_add(due, item);
		has_new |= !w->is_fenced;
	}
	if (has_new)
		g_ptr_array_sort(due, compare_racks);
	for (guint i = 0; i < due->len && sent < MAX_RENEWALS_AT_ONCE; i++) {
		if (!may_call(c, due->pdata[i], now_ms))
			continue;
		send_renewal(c, due->pdata[i], now_ms);
		sent++;
	}
	has_more = sent == MAX_RENEWALS_AT_ONCE && due->len > sent;
	g_ptr_array_unref(due);
	return has_more;
}
