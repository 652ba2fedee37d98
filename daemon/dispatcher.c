#include "daemon/dispatcher.h"

#include "base/log.h"
#include "base/util.h"
#include "daemon/claims.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "request/admission.h"
#include "request/outlier.h"
#include "request/retry_budget.h"
#include "request/routing/routing.h"
#include "request/run_reply.h"

#define TICK_MS 20
#define REFRESH_TICKS 10
#define DECISIONS 1000
/** Attempts of a repeatable request at the same time. */
#define MAX_OUT 2
/** Another failure domain is used when so little time is left to wait. */
#define SPILL_SLACK_MS INT64_C(100)

enum flight_state {
	FLIGHT_CLAIM,	 /**< waits for its claim's first read */
	FLIGHT_QUEUED,	 /**< in admission */
	FLIGHT_CLAIMING, /**< its claim is being written */
	FLIGHT_READY,	 /**< may be sent as soon as there is room */
	FLIGHT_SENT,
	FLIGHT_DELAYED, /**< waits before a retry */
};

struct flight;

/** One request on its way to and from an endpoint. */
struct attempt {
	struct flight *flight;
	struct endpoint *endpoint;
	struct http_call *call; /**< NULL when it is over */
	int64_t sent_us;
	gboolean is_overdue; /**< took longer than is usual */
};

/** One request from arrival to answer. */
struct flight {
	struct admission_item item; /**< first: admission gives it back */
	struct dispatcher *dispatcher;
	struct request_spec spec;
	char *id;
	enum flight_state state;
	int64_t arrival_ms;
	int64_t deadline_ms;
	uint32_t attempts;
	struct attempt out[MAX_OUT];
	gboolean is_counted; /**< in flight in admission */
	gboolean may_have_run;
	struct routing_query query;
	struct endpoint *endpoint; /**< that answered */
	struct claim_handle *claim;
	gboolean is_claim_won;
	guint timer;
	dispatch_fn fn;
	void *data;
};

struct dispatcher {
	struct kernel *kernel;
	struct endpoint_table *endpoints;
	struct routing_policy *policy;
	struct outlier_policy outlier;
	struct retry_budget budget;
	struct admission *admission;
	struct claims *claims;
	struct decision_log *decisions;
	GRand *rand;
	GHashTable *flights; /**< set of struct flight */
	GQueue ready;	     /**< of struct flight */
	uint32_t claiming;
	uint32_t gateways;
	int64_t config_version;
	gboolean is_pumping;
	guint tick;
	guint ticks;
	struct counter *answers[3];
	struct counter *retries;
	struct counter *ejections;
	struct counter *spills;
	struct histogram *latency;
};

static void flight_answer(struct flight *f, enum answer_kind kind,
			  enum reason reason, json_object *result);
static void flight_ready(struct flight *f);

static void flight_free(gpointer data)
{
	struct flight *f = data;

	if (f->timer)
		g_source_remove(f->timer);
	for (guint i = 0; i < MAX_OUT; i++) {
		if (f->out[i].call)
			http_call_cancel(f->out[i].call);
	}
	request_spec_clear(&f->spec);
	g_free(f->id);
	g_free(f);
}

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

static void log_flight(const struct flight *f, const char *event,
		       const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "request", f->id);
	log_str(&line, "client_account", f->spec.client_account);
	log_str(&line, "class", request_class_names[f->spec.class]);
	log_str(&line, "reason", reason);
	log_int(&line, "attempts", f->attempts);
	log_int(&line, "age_ms", util_monotonic_ms() - f->arrival_ms);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

static void note_answer(struct flight *f, enum answer_kind kind,
			enum reason reason)
{
	struct dispatcher *d = f->dispatcher;
	struct decision *note = decision_log_find(d->decisions, f->id);
	int64_t total_ms = util_monotonic_ms() - f->arrival_ms;

	counter_add(d->answers[kind], 1);
	histogram_record(d->latency, total_ms * US_PER_MS);
	log_flight(f, answer_name(kind), reason_name(reason));
	if (!note)
		return;
	decision_set(&note->state, answer_name(kind));
	decision_set(&note->reason, reason_name(reason));
	note->total_ms = total_ms;
}

static guint count_out(const struct flight *f)
{
	guint count = 0;

	for (guint i = 0; i < MAX_OUT; i++)
		count += f->out[i].call != NULL;
	return count;
}

/* Another attempt was answered first, or the deadline is over. */
static void cancel_out(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();

	for (guint i = 0; i < MAX_OUT; i++) {
		struct attempt *a = &f->out[i];

		if (!a->call)
			continue;
		http_call_cancel(a->call);
		a->call = NULL;
		if (a->is_overdue)
			outlier_record(&d->outlier, d->endpoints, a->endpoint,
				       OUTLIER_FAILED, f->item.class, 0,
				       now_ms);
		endpoint_table_ended(d->endpoints, a->endpoint, now_ms);
	}
}

/* Takes the request out of whatever it is in. */
static void flight_detach(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;

	cancel_out(f);
	if (f->timer)
		g_source_remove(f->timer);
	f->timer = 0;
	admission_remove(d->admission, &f->item);
	g_queue_remove(&d->ready, f);
	if (f->state == FLIGHT_CLAIMING)
		d->claiming--;
	if (f->is_counted)
		admission_done(d->admission, &f->item, -1);
	f->is_counted = FALSE;
	f->state = FLIGHT_DELAYED;
}

/* Gives the answer; the claim, if any, has been told or is gone. */
static void flight_answer(struct flight *f, enum answer_kind kind,
			  enum reason reason, json_object *result)
{
	struct dispatch_answer answer = {
		.request_id = f->id,
		.kind = kind,
		.reason = reason,
		.result = result,
		.endpoint = f->endpoint ? f->endpoint->name : NULL,
	};

	flight_detach(f);
	note_answer(f, kind, reason);
	f->fn(&answer, f->data);
	g_hash_table_remove(f->dispatcher->flights, f);
}

/* Ends a request that this process decides on itself. */
static void flight_finish(struct flight *f, enum answer_kind kind,
			  enum reason reason, json_object *result)
{
	struct claim_handle *claim = f->claim;

	f->claim = NULL;
	if (claim)
		claim_handle_finish(claim, kind, reason, result);
	flight_answer(f, kind, reason, result);
}

/* Refuses a request that was never sent, or certainly never started. */
static void flight_refuse(struct flight *f, enum reason reason)
{
	if (f->may_have_run) {
		flight_finish(f, ANSWER_UNKNOWN, REASON_LOST_ANSWER, NULL);
		return;
	}
	if (!f->claim || f->is_claim_won) {
		flight_finish(f, ANSWER_NOT_RUN, reason, NULL);
		return;
	}
	flight_detach(f);
	claim_handle_refuse(f->claim, reason);
}

static void refuse_all(GPtrArray *late, enum reason reason)
{
	for (guint i = 0; i < late->len; i++)
		flight_refuse(g_ptr_array_index(late, i), reason);
	g_ptr_array_set_size(late, 0);
}

static void log_route(const struct flight *f,
		      const struct routing_choice *choice)
{
	const struct endpoint *e = choice->endpoint;
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "route");
	log_str(&line, "request", f->id);
	log_str(&line, "choice", e->name);
	log_str(&line, "runner_up",
		choice->runner_up ? choice->runner_up->name : "");
	log_str(&line, "reason", choice->reason);
	log_int(&line, "in_flight", e->in_flight);
	log_int(&line, "others_busy", e->others_busy);
	log_int(&line, "attempt", f->attempts);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

static void note_route(struct flight *f, const struct routing_choice *choice)
{
	struct decision *note;

	log_route(f, choice);
	note = decision_log_find(f->dispatcher->decisions, f->id);
	if (!note)
		return;
	decision_set(&note->state, "sent");
	decision_set(&note->endpoint, choice->endpoint->name);
	decision_set(&note->runner_up,
		     choice->runner_up ? choice->runner_up->name : "");
	decision_set(&note->choice, choice->reason);
	note->attempts = f->attempts;
	note->config_version = f->dispatcher->config_version;
	if (f->attempts == 1)
		note->waited_ms = util_monotonic_ms() - f->arrival_ms;
}

static void remember_tried(struct flight *f, const struct endpoint *e)
{
	struct routing_query *q = &f->query;

	q->tried[q->tried_count % ROUTING_MAX_TRIED] = e;
	if (q->tried_count < ROUTING_MAX_TRIED)
		q->tried_count++;
}

static enum outlier_event outlier_event_of(enum run_outcome outcome)
{
	if (outcome == RUN_UNSENT)
		return OUTLIER_REFUSED;
	if (outcome == RUN_FAILED || outcome == RUN_CROSSED ||
	    outcome == RUN_LOST)
		return OUTLIER_FAILED;
	return OUTLIER_OK;
}

static void log_ejection(const struct endpoint *e, enum run_outcome outcome)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "endpoint_ejected");
	log_str(&line, "endpoint", e->name);
	log_str(&line, "reason", run_outcome_name(outcome));
	log_int(&line, "until_ms", e->ejected_until_ms);
	log_end(&line);
}

/* What the reply tells of the endpoint. */
static void learn(struct attempt *a, const struct run_reply *reply,
		  int64_t now_ms)
{
	struct flight *f = a->flight;
	struct dispatcher *d = f->dispatcher;
	struct endpoint *e = a->endpoint;
	int64_t latency_us = g_get_monotonic_time() - a->sent_us;
	gboolean is_out = FALSE;

	if (reply->slots > 0)
		endpoint_table_report(d->endpoints, e, (uint32_t)reply->slots,
				      (uint32_t)reply->slots_busy, now_ms);
	if (reply->outcome == RUN_BUSY)
		endpoint_table_refused(d->endpoints, e, now_ms);
	else if (reply->outcome == RUN_LEAVING)
		endpoint_table_set_state(d->endpoints, e, ENDPOINT_LEAVING,
					 now_ms);
	else
		is_out = outlier_record(&d->outlier, d->endpoints, e,
					outlier_event_of(reply->outcome),
					f->item.class, latency_us, now_ms);
	if (is_out) {
		counter_add(d->ejections, 1);
		log_ejection(e, reply->outcome);
	}
	endpoint_table_ended(d->endpoints, e, now_ms);
}

static gboolean on_retry_due(gpointer data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;

	f->timer = 0;
	flight_ready(f);
	dispatcher_pump(d);
	return G_SOURCE_REMOVE;
}

static void retry_later(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;

	counter_add(d->retries, 1);
	f->state = FLIGHT_DELAYED;
	f->timer = g_timeout_add((guint)retry_delay_ms(f->attempts, d->rand),
				 on_retry_due, f);
}

static enum reason reason_of(enum run_outcome outcome)
{
	if (outcome == RUN_CROSSED)
		return REASON_CROSSED_ANSWER;
	if (outcome == RUN_FAILED)
		return REASON_RUN_FAILED;
	return REASON_LOST_ANSWER;
}

static void on_not_done(struct flight *f, enum run_outcome outcome,
			int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	gboolean has_time = now_ms < f->deadline_ms;

	if (f->timer)
		g_source_remove(f->timer);
	f->timer = 0;
	if (outcome == RUN_BUSY && has_time) {
		/* Nobody's fault: it goes on waiting for room anywhere. */
		f->attempts--;
		f->is_counted = FALSE;
		f->state = FLIGHT_QUEUED;
		admission_put_back(d->admission, &f->item);
		return;
	}
	if (run_outcome_is_not_started(outcome)) {
		if (has_time && f->attempts < RETRY_MAX_ATTEMPTS)
			retry_later(f);
		else
			flight_refuse(f, has_time ? REASON_REFUSED
						  : REASON_DEADLINE);
		return;
	}
	if (f->spec.is_repeatable && has_time &&
	    f->attempts < RETRY_MAX_ATTEMPTS &&
	    retry_budget_take(&d->budget, now_ms))
		retry_later(f);
	else
		flight_finish(f, ANSWER_UNKNOWN, reason_of(outcome), NULL);
}

static void on_run_reply(const struct http_reply *http, void *data)
{
	struct attempt *a = data;
	struct flight *f = a->flight;
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();
	struct run_reply reply;
	int64_t run_ms;

	a->call = NULL;
	run_reply_judge(http->status, http->code, http->body, f->id, &reply);
	learn(a, &reply, now_ms);
	if (reply.outcome == RUN_DONE) {
		run_ms = (g_get_monotonic_time() - a->sent_us) / US_PER_MS;
		admission_done(d->admission, &f->item, run_ms);
		f->is_counted = FALSE;
		f->endpoint = a->endpoint;
		flight_finish(f, ANSWER_DONE, REASON_NONE, reply.result);
	} else {
		remember_tried(f, a->endpoint);
		if (!run_outcome_is_not_started(reply.outcome))
			f->may_have_run = TRUE;
		/* The other attempt may still be answered. */
		if (count_out(f) == 0)
			on_not_done(f, reply.outcome, now_ms);
	}
	dispatcher_pump(d);
}

static json_object *run_body(const struct flight *f)
{
	json_object *body = json_object_new_object();
	json_object *work_ms = NULL;

	json_object_object_add(body, "request_id",
			       json_object_new_string(f->id));
	if (json_object_is_type(f->spec.payload, json_type_object))
		json_object_object_get_ex(f->spec.payload, "work_ms", &work_ms);
	json_object_object_add(body, "work_ms",
			       work_ms ? json_object_get(work_ms)
				       : json_object_new_int(0));
	json_object_object_add(body, "payload",
			       json_object_get(f->spec.payload));
	return body;
}

static gboolean flight_try_send(struct flight *f, int64_t now_ms);

/*
 * A repeatable request does not rely on one connection that may be silent: it
 * is sent elsewhere as well, and the first whole answer counts.
 */
static gboolean on_no_progress(gpointer data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();

	f->timer = 0;
	if (now_ms >= f->deadline_ms || !retry_budget_take(&d->budget, now_ms))
		return G_SOURCE_REMOVE;
	f->may_have_run = TRUE;
	for (guint i = 0; i < MAX_OUT; i++) {
		if (!f->out[i].call)
			continue;
		f->out[i].is_overdue = TRUE;
		remember_tried(f, f->out[i].endpoint);
	}
	if (flight_try_send(f, now_ms))
		counter_add(d->retries, 1);
	return G_SOURCE_REMOVE;
}

static void watch_progress(struct flight *f)
{
	int64_t usual_ms = admission_service_ms(&f->item);
	int64_t ms = retry_progress_ms(usual_ms, f->attempts);

	if (!f->spec.is_repeatable || usual_ms == 0 ||
	    count_out(f) >= MAX_OUT || f->attempts >= RETRY_MAX_ATTEMPTS)
		return;
	f->timer = g_timeout_add((guint)ms, on_no_progress, f);
}

static struct attempt *free_attempt(struct flight *f)
{
	for (guint i = 0; i < MAX_OUT; i++) {
		if (!f->out[i].call)
			return &f->out[i];
	}
	return NULL;
}

static void flight_send(struct flight *f, const struct routing_choice *choice,
			int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	struct attempt *a = free_attempt(f);
	json_object *body = run_body(f);
	struct http_call_spec call = {
		.method = "POST",
		.address = choice->endpoint->address,
		.path = "/run",
		.body = body,
		.timeout_ms = MAX(f->deadline_ms - now_ms, 1),
		.on_reply = on_run_reply,
		.data = a,
	};

	f->attempts++;
	if (f->attempts == 1)
		retry_budget_first(&d->budget);
	if (choice->endpoint->reach == ENDPOINT_REMOTE)
		counter_add(d->spills, 1);
	note_route(f, choice);
	f->state = FLIGHT_SENT;
	*a = (struct attempt){ .flight = f, .endpoint = choice->endpoint };
	a->sent_us = g_get_monotonic_time();
	endpoint_table_sent(d->endpoints, a->endpoint, now_ms);
	a->call = http_client_send(http_client_of(d->kernel), &call);
	watch_progress(f);
	json_object_put(body);
}

/* Other failure domains are for what the own one can't serve in time. */
static gboolean may_spill(const struct flight *f, int64_t now_ms)
{
	const struct dispatcher *d = f->dispatcher;
	int64_t spare_ms =
		f->deadline_ms - now_ms - admission_service_ms(&f->item);

	return d->endpoints->live_count[ENDPOINT_LOCAL] == 0 ||
	       d->endpoints->ejected_count >=
		       d->endpoints->live_count[ENDPOINT_LOCAL] ||
	       spare_ms < SPILL_SLACK_MS;
}

static gboolean flight_try_send(struct flight *f, int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	struct routing_choice choice;

	f->query.now_ms = now_ms;
	f->query.may_spill = may_spill(f, now_ms);
	routing_choose(d->policy, d->endpoints, &f->query, d->rand, &choice);
	if (!choice.endpoint && f->query.tried_count > 0) {
		/* Better one that was tried before than none. */
		f->query.tried_count = 0;
		routing_choose(d->policy, d->endpoints, &f->query, d->rand,
			       &choice);
	}
	if (!choice.endpoint)
		return FALSE;
	flight_send(f, &choice, now_ms);
	return TRUE;
}

static void flight_ready(struct flight *f)
{
	f->state = FLIGHT_READY;
	g_queue_push_tail(&f->dispatcher->ready, f);
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

static void set_capacity(struct dispatcher *d)
{
	admission_set_capacity(d->admission,
			       endpoint_table_capacity(d->endpoints),
			       d->endpoints->occupancy);
}

/* Takes one request out of the queues. @return FALSE when there is none */
static gboolean pump_one(struct dispatcher *d, int64_t now_ms, GPtrArray *late)
{
	struct admission_item *item =
		admission_next(d->admission, now_ms, late);
	struct flight *f = (struct flight *)item;

	if (!f)
		return FALSE;
	f->is_counted = TRUE;
	if (f->claim && !f->is_claim_won) {
		f->state = FLIGHT_CLAIMING;
		d->claiming++;
		claim_handle_take(f->claim);
		return TRUE;
	}
	if (flight_try_send(f, now_ms))
		return TRUE;
	f->is_counted = FALSE;
	admission_put_back(d->admission, item);
	return FALSE;
}

void dispatcher_pump(struct dispatcher *d)
{
	int64_t now_ms = util_monotonic_ms();
	GPtrArray *late;

	if (d->is_pumping)
		return;
	d->is_pumping = TRUE;
	endpoint_table_retry_refused(d->endpoints, now_ms);
	late = g_ptr_array_new();
	set_capacity(d);
	pump_ready(d, now_ms);
	while (endpoint_table_is_open(d->endpoints) &&
	       d->claiming + d->ready.length <
		       endpoint_table_capacity(d->endpoints)) {
		if (!pump_one(d, now_ms, late))
			break;
	}
	refuse_all(late, REASON_DEADLINE);
	g_ptr_array_unref(late);
	d->is_pumping = FALSE;
}

static void flight_enqueue(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;
	struct admission_item *shed = NULL;
	enum reason reason;

	f->state = FLIGHT_QUEUED;
	if (d->endpoints->live_count[ENDPOINT_LOCAL] == 0 &&
	    d->endpoints->live_count[ENDPOINT_REMOTE] == 0) {
		flight_refuse(f, REASON_NO_ENDPOINT);
		return;
	}
	set_capacity(d);
	reason = admission_offer(d->admission, &f->item, f->spec.client_account,
				 util_monotonic_ms(), &shed);
	if (shed)
		flight_refuse((struct flight *)shed, REASON_SHED);
	if (reason != REASON_NONE)
		flight_refuse(f, reason);
	else
		dispatcher_pump(d);
}

/* Also comes late, when the claim was lost to an attempt that ended. */
static void on_claim_ready(void *data)
{
	struct flight *f = data;

	flight_detach(f);
	flight_enqueue(f);
}

static void on_claim_won(void *data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;

	f->is_claim_won = TRUE;
	d->claiming--;
	flight_ready(f);
	dispatcher_pump(d);
}

static void on_claim_answer(enum answer_kind kind, enum reason reason,
			    json_object *result, void *data)
{
	struct flight *f = data;

	f->claim = NULL;
	flight_answer(f, kind, reason, result);
}

static const struct claim_events claim_events = {
	.on_ready = on_claim_ready,
	.on_won = on_claim_won,
	.on_answer = on_claim_answer,
};

static gboolean on_begin(gpointer data)
{
	struct flight *f = data;

	f->timer = 0;
	flight_enqueue(f);
	return G_SOURCE_REMOVE;
}

static void note_arrival(const struct flight *f)
{
	struct decision *note =
		decision_log_add(f->dispatcher->decisions, f->id);

	decision_set(&note->client_account, f->spec.client_account);
	decision_set(&note->class, request_class_names[f->spec.class]);
	decision_set(&note->state, "queued");
	note->arrival_ms = util_wall_ms();
	note->config_version = f->dispatcher->config_version;
}

void dispatcher_submit(struct dispatcher *d, struct request_spec *spec,
		       const char *request_id, dispatch_fn fn, void *data)
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
	note_arrival(f);
	if (f->spec.is_repeatable) {
		f->timer = g_timeout_add(0, on_begin, f);
		return;
	}
	key = g_strdup_printf("%s/%s", f->spec.client_account,
			      f->spec.idempotency_key);
	f->state = FLIGHT_CLAIM;
	f->claim = claims_begin(d->claims, key, f->id, f->spec.attempt,
				f->deadline_ms, &claim_events, f);
	g_free(key);
}

/* Requests that wait elsewhere than in admission. */
static gboolean is_overdue(const struct flight *f, int64_t now_ms)
{
	return now_ms >= f->deadline_ms && f->state != FLIGHT_SENT &&
	       f->state != FLIGHT_QUEUED;
}

static void end_overdue(struct dispatcher *d, int64_t now_ms)
{
	GPtrArray *overdue = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, d->flights);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (is_overdue(key, now_ms))
			g_ptr_array_add(overdue, key);
	}
	for (guint i = 0; i < overdue->len; i++) {
		struct flight *f = g_ptr_array_index(overdue, i);

		/* Its claim may have answered it with another of its key. */
		if (!g_hash_table_contains(d->flights, f))
			continue;
		if (f->claim && !f->is_claim_won)
			claim_handle_give_up(f->claim);
		else
			flight_refuse(f, REASON_DEADLINE);
	}
	g_ptr_array_unref(overdue);
}

static gboolean on_tick(gpointer data)
{
	struct dispatcher *d = data;
	int64_t now_ms = util_monotonic_ms();
	GPtrArray *late = g_ptr_array_new();

	admission_expire(d->admission, now_ms, late);
	refuse_all(late, REASON_DEADLINE);
	g_ptr_array_unref(late);
	end_overdue(d, now_ms);
	if (d->ticks++ % REFRESH_TICKS == 0) {
		outlier_return(d->endpoints, now_ms);
		endpoint_table_refresh(d->endpoints, now_ms);
	}
	dispatcher_pump(d);
	return G_SOURCE_CONTINUE;
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

	d->kernel = k;
	d->endpoints = endpoint_table_new(settings_of(k)->failure_domain);
	d->policy = routing_policy_new(ROUTING_POLICY_DEFAULT);
	d->admission = admission_new(&options);
	d->claims = claims_new(&claims);
	d->decisions = decision_log_new(DECISIONS);
	d->rand = g_rand_new();
	d->flights = g_hash_table_new_full(NULL, NULL, flight_free, NULL);
	d->gateways = 1;
	g_queue_init(&d->ready);
	retry_budget_init(&d->budget, util_monotonic_ms());
	make_counters(d);
	d->tick = g_timeout_add(TICK_MS, on_tick, d);
	return d;
}

void dispatcher_free(struct dispatcher *d)
{
	g_source_remove(d->tick);
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
