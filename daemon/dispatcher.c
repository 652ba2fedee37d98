#include "daemon/dispatcher.h"

#include "base/util.h"
#include "daemon/dispatcher_state.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"

/** Shortest time between two calls of on_wake(). */
#define GRID_MS 20
/** Period at which ejections end and stale endpoint reports are detected. */
#define REFRESH_MS INT64_C(200)
/** Capacity of the decision log, in requests. */
#define MAX_DECISIONS 1000

static void make_counters(struct dispatcher *d)
{
	struct counters *c = kernel_counters(d->kernel);

	d->answers[ANSWER_DONE] =
		counters_counter(c, "requests_done", "answered done");
	d->answers[ANSWER_NOT_RUN] =
		counters_counter(c, "requests_not_run", "answered not run");
	d->answers[ANSWER_UNKNOWN] =
		counters_counter(c, "requests_unknown", "answered unknown");
	d->retries = counters_counter(c, "request_retries",
				      "sent to an endpoint once more");
	d->ejections = counters_counter(c, "endpoint_ejections",
					"endpoints set aside for a while");
	d->spills = counters_counter(c, "request_spills",
				     "sent to another failure domain");
	d->latency =
		counters_histogram(c, "request_latency", "arrival to answer");
}

static void refuse_all(struct dispatcher *d, GPtrArray *late,
		       enum reason reason)
{
	for (guint i = 0; i < late->len; i++) {
		struct flight *f = g_ptr_array_index(late, i);

		/* Freed already if a request of the same key was refused. */
		if (g_hash_table_contains(d->flights, f))
			flight_refuse(f, reason);
	}
	g_ptr_array_set_size(late, 0);
}

gboolean dispatcher_has_endpoints(const struct dispatcher *d)
{
	return d->endpoints->live_count[ENDPOINT_LOCAL] > 0 ||
	       d->endpoints->live_count[ENDPOINT_REMOTE] > 0;
}

/*
 * A request that may have run keeps waiting for its retry, which may still
 * succeed; refusing it now would make its answer unknown.
 */
static gboolean is_refusable(const struct flight *f)
{
	return !f->may_have_run &&
	       (f->state == FLIGHT_QUEUED || f->state == FLIGHT_READY);
}

/* Refuses waiting requests when no live endpoint is left. */
static void refuse_waiting(struct dispatcher *d)
{
	GPtrArray *waiting = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (is_refusable(key))
			g_ptr_array_add(waiting, key);
	}
	refuse_all(d, waiting, REASON_NO_ENDPOINT);
	g_ptr_array_unref(waiting);
}

static void pump_ready(struct dispatcher *d, int64_t now_ms)
{
	GList *next;

	for (GList *l = d->ready.head; l; l = next) {
		struct flight *f = l->data;

		next = l->next;
		if (!flight_try_send(f, now_ms))
			continue;
		g_queue_delete_link(&d->ready, l);
	}
}

void dispatcher_set_capacity(struct dispatcher *d)
{
	admission_set_capacity(d->admission,
			       endpoint_table_capacity(d->endpoints),
			       d->endpoints->occupancy);
}

void dispatcher_refresh(struct dispatcher *d, int64_t now_ms)
{
	endpoint_table_end_backoff(d->endpoints, now_ms);
	if (now_ms < d->next_refresh_ms)
		return;
	d->next_refresh_ms = (now_ms / REFRESH_MS + 1) * REFRESH_MS;
	outlier_readmit(d->endpoints, now_ms);
	endpoint_table_refresh(d->endpoints, now_ms);
}

/*
 * Returns TRUE if requests wait for room at an endpoint. Room can appear
 * without an event, by time alone.
 */
static gboolean is_waiting(const struct dispatcher *d)
{
	return admission_queued(d->admission) > 0 || d->ready.length > 0;
}

/*
 * Sends the next queued request or writes its claim. Returns FALSE if none is
 * queued or no endpoint has room.
 */
static gboolean pump_one(struct dispatcher *d, int64_t now_ms, GPtrArray *late)
{
	struct admission_item *item =
		admission_next(d->admission, now_ms, late);
	struct flight *f = (struct flight *)item;

	if (!f)
		return FALSE;
	f->is_counted = TRUE;
	if (f->claim && !f->is_claim_won) {
		f->state = FLIGHT_WRITING_CLAIM;
		d->claiming++;
		claim_handle_acquire(f->claim);
		return TRUE;
	}
	if (flight_try_send(f, now_ms))
		return TRUE;
	f->is_counted = FALSE;
	admission_requeue(d->admission, item);
	return FALSE;
}

void dispatcher_pump(struct dispatcher *d)
{
	int64_t now_ms = util_monotonic_ms();
	GPtrArray *late;

	if (d->is_pumping)
		return;
	d->is_pumping = TRUE;
	dispatcher_refresh(d, now_ms);
	if (is_waiting(d) && !dispatcher_has_endpoints(d))
		refuse_waiting(d);
	late = g_ptr_array_new();
	dispatcher_set_capacity(d);
	pump_ready(d, now_ms);
	while (endpoint_table_any_has_room(d->endpoints) &&
	       d->claiming + d->ready.length <
		       endpoint_table_capacity(d->endpoints)) {
		if (!pump_one(d, now_ms, late))
			break;
	}
	refuse_all(d, late, REASON_DEADLINE);
	g_ptr_array_unref(late);
	d->is_pumping = FALSE;
	if (is_waiting(d))
		wake_timer_add_now(d->timer);
}

static gboolean on_begin(gpointer data)
{
	struct flight *f = data;

	f->timer = 0;
	flight_enqueue(f);
	return G_SOURCE_REMOVE;
}

void dispatcher_submit(struct dispatcher *d, struct request_spec *spec,
		       const char *request_id, dispatch_answer_fn fn,
		       void *data)
{
	struct flight *f = g_new0(struct flight, 1);
	char *key;

	f->dispatcher = d;
	f->spec = *spec;
	*spec = (struct request_spec){ 0 };
	f->id = g_strdup(request_id);
	f->arrival_ms = util_monotonic_ms();
	f->deadline_ms = f->arrival_ms + f->spec.deadline_ms;
	f->item.class = (enum request_class)f->spec.class;
	f->item.arrival_ms = f->arrival_ms;
	f->item.deadline_ms = f->deadline_ms;
	f->fn = fn;
	f->data = data;
	g_hash_table_add(d->flights, f);
	wake_timer_add(d->timer, f->deadline_ms);
	flight_record_arrival(f);
	if (f->spec.is_repeatable) {
		f->timer = g_timeout_add(0, on_begin, f);
		return;
	}
	key = g_strdup_printf("%s/%s", f->spec.client_account,
			      f->spec.idempotency_key);
	f->state = FLIGHT_READING_CLAIM;
	f->claim = claims_begin(d->claims, key, f->id, f->spec.attempt,
				f->deadline_ms, &flight_claim_events, f);
	g_free(key);
}

/*
 * Returns TRUE if the request has to be ended here, as its deadline has passed.
 * Queued requests are ended by admission_expire(), sent ones by the timeout of
 * their call.
 */
static gboolean is_past_deadline(const struct flight *f, int64_t now_ms)
{
	return now_ms >= f->deadline_ms && f->state != FLIGHT_SENT &&
	       f->state != FLIGHT_QUEUED;
}

static void end_past_deadline(struct dispatcher *d, int64_t now_ms)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (is_past_deadline(key, now_ms))
			g_ptr_array_add(expired, key);
	}
	for (guint i = 0; i < expired->len; i++) {
		struct flight *f = g_ptr_array_index(expired, i);

		/* Freed already if a request of the same key was ended. */
		if (!g_hash_table_contains(d->flights, f))
			continue;
		if (f->claim && !f->is_claim_won)
			claim_handle_give_up(f->claim);
		else
			flight_refuse(f, REASON_DEADLINE);
	}
	g_ptr_array_unref(expired);
}

static int64_t due_ms(const struct dispatcher *d, int64_t now_ms)
{
	int64_t first_ms = admission_due_ms(d->admission, now_ms);
	GHashTableIter iter;
	gpointer key;

	if (d->ready.length > 0)
		return now_ms;
	g_hash_table_iter_init(&iter, d->flights);
	while (first_ms > now_ms && g_hash_table_iter_next(&iter, &key, NULL))
		first_ms = MIN(first_ms,
			       ((const struct flight *)key)->deadline_ms);
	return first_ms;
}

static int64_t on_wake(int64_t now_ms, void *data)
{
	struct dispatcher *d = data;
	GPtrArray *late = g_ptr_array_new();

	admission_expire(d->admission, now_ms, late);
	refuse_all(d, late, REASON_DEADLINE);
	g_ptr_array_unref(late);
	end_past_deadline(d, now_ms);
	dispatcher_pump(d);
	return due_ms(d, now_ms);
}

struct dispatcher *dispatcher_new(struct kernel *k)
{
	struct dispatcher *d = g_new0(struct dispatcher, 1);
	const struct admission_options options = { 0 };
	struct claims_spec claims = {
		.platform = platform_of(k),
		.http = http_client_of(k),
		.counters = kernel_counters(k),
		.node = settings_of(k)->node,
		.incarnation = incarnation_of(k),
		.address = settings_of(k)->http,
	};
	struct wake_timer_spec timer = {
		.grid_ms = GRID_MS,
		.fn = on_wake,
		.data = d,
		.counters = kernel_counters(k),
	};

	d->kernel = k;
	d->endpoints = endpoint_table_new(settings_of(k)->failure_domain);
	d->policy = routing_policy_new(ROUTING_POLICY_DEFAULT);
	d->admission = admission_new(&options);
	d->claims = claims_new(&claims);
	d->decisions = decision_log_new(MAX_DECISIONS);
	d->rand = g_rand_new();
	d->flights = g_hash_table_new_full(NULL, NULL, flight_free, NULL);
	d->gateways = 1;
	g_queue_init(&d->ready);
	retry_budget_init(&d->budget, util_monotonic_ms());
	make_counters(d);
	d->timer = wake_timer_new(&timer);
	return d;
}

void dispatcher_free(struct dispatcher *d)
{
	wake_timer_free(d->timer);
	claims_free(d->claims);
	g_hash_table_unref(d->flights);
	g_queue_clear(&d->ready);
	admission_free(d->admission);
	endpoint_table_free(d->endpoints);
	g_free(d->policy);
	decision_log_free(d->decisions);
	g_rand_free(d->rand);
	g_free(d);
}

void dispatcher_set_config(struct dispatcher *d, const struct config_doc *doc,
			   int64_t version)
{
	d->config_version = version;
	for (guint i = 0; i < doc->client_accounts->len; i++) {
		const struct client_account *a = &g_array_index(
			doc->client_accounts, struct client_account, i);
		struct admission_account_spec spec = {
			.name = a->name,
			.share = a->share,
			.queued_requests = a->queued_requests,
		};

		if (a->requests_per_s > 0)
			spec.requests_per_s =
				MAX(a->requests_per_s / d->gateways, 1);
		admission_set_account(d->admission, &spec, util_monotonic_ms());
	}
}

void dispatcher_set_gateways(struct dispatcher *d, uint32_t count)
{
	d->gateways = MAX(count, 1);
	claims_set_gateways(d->claims, d->gateways);
}

struct endpoint_table *dispatcher_endpoints(struct dispatcher *d)
{
	return d->endpoints;
}

struct decision_log *dispatcher_decisions(struct dispatcher *d)
{
	return d->decisions;
}

gboolean dispatcher_is_claim_pending(const struct dispatcher *d,
				     const char *request_id)
{
	return claims_is_pending(d->claims, request_id);
}

guint dispatcher_pending(const struct dispatcher *d)
{
	return g_hash_table_size(d->flights) + claims_pending(d->claims);
}
