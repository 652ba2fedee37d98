#include "daemon/flight.h"

#include "base/util.h"
#include "daemon/dispatcher_state.h"

/** Other failure domains are used once the time to spare is below this. */
#define SPILL_SLACK_MS INT64_C(100)

static guint count_active_attempts(const struct flight *f)
{
	guint count = 0;

	for (guint i = 0; i < FLIGHT_MAX_ACTIVE_ATTEMPTS; i++)
		count += f->attempt_slots[i].call != NULL;
	return count;
}

static void remember_tried(struct flight *f, const struct endpoint *e)
{
	struct routing_query *q = &f->query;

	q->tried[q->tried_count % ROUTING_MAX_TRIED] = e;
	if (q->tried_count < ROUTING_MAX_TRIED)
		q->tried_count++;
}

static gboolean on_retry_due(gpointer data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;

	f->timer = 0;
	flight_mark_ready(f);
	dispatcher_pump(d);
	return G_SOURCE_REMOVE;
}

static void retry_later(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;

	counter_add(d->retries, 1);
	f->state = FLIGHT_DELAYED;
	f->timer =
		g_timeout_add((guint)retry_delay_ms(f->attempt_count, d->rand),
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

static void on_attempt_failed(struct flight *f, enum run_outcome outcome,
			      int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	gboolean has_time = now_ms < f->deadline_ms;

	if (f->timer)
		g_source_remove(f->timer);
	f->timer = 0;
	if (outcome == RUN_BUSY && has_time) {
		/* Not a failure: waits for room at any endpoint again. */
		f->attempt_count--;
		f->is_counted = FALSE;
		f->state = FLIGHT_QUEUED;
		admission_requeue(d->admission, &f->item);
		return;
	}
	if (run_outcome_is_not_started(outcome)) {
		if (has_time && f->attempt_count < RETRY_MAX_ATTEMPTS)
			retry_later(f);
		else
			flight_refuse(f, has_time ? REASON_REFUSED
						  : REASON_DEADLINE);
		return;
	}
	if (f->spec.is_repeatable && has_time &&
	    f->attempt_count < RETRY_MAX_ATTEMPTS &&
	    retry_budget_take(&d->budget, now_ms))
		retry_later(f);
	else
		flight_finish(f, ANSWER_UNKNOWN, reason_of(outcome), NULL);
}

void flight_on_reply(struct flight *f, struct attempt *a,
		     const struct run_reply *reply, int64_t now_ms)
{
	int64_t run_ms = (g_get_monotonic_time() - a->sent_us) / US_PER_MS;

	if (reply->outcome == RUN_DONE) {
		admission_done(f->dispatcher->admission, &f->item, run_ms);
		f->is_counted = FALSE;
		f->endpoint = a->endpoint;
		flight_finish(f, ANSWER_DONE, REASON_NONE, reply->result);
		return;
	}
	flight_log_failure(f, a->endpoint, run_outcome_name(reply->outcome));
	remember_tried(f, a->endpoint);
	if (!run_outcome_is_not_started(reply->outcome))
		f->may_have_run = TRUE;
	/* The other attempt may still be answered. */
	if (count_active_attempts(f) == 0)
		on_attempt_failed(f, reply->outcome, now_ms);
}

/*
 * Sends an overdue repeatable request to a second endpoint, in case the first
 * connection is silent. The first complete answer counts.
 */
static gboolean on_hedge_due(gpointer data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();

	f->timer = 0;
	if (now_ms >= f->deadline_ms)
		return G_SOURCE_REMOVE;
	if (!retry_budget_take(&d->budget, now_ms)) {
		flight_log_no_hedge(f, "retry budget used up");
		return G_SOURCE_REMOVE;
	}
	f->may_have_run = TRUE;
	for (guint i = 0; i < FLIGHT_MAX_ACTIVE_ATTEMPTS; i++) {
		if (!f->attempt_slots[i].call)
			continue;
		f->attempt_slots[i].is_overdue = TRUE;
		flight_log_failure(f, f->attempt_slots[i].endpoint,
				   "no progress");
		remember_tried(f, f->attempt_slots[i].endpoint);
	}
	if (flight_try_send(f, now_ms))
		counter_add(d->retries, 1);
	return G_SOURCE_REMOVE;
}

static void schedule_hedge(struct flight *f, int64_t now_ms)
{
	int64_t typical_ms = admission_service_ms(&f->item);
	int64_t ms = retry_hedge_delay_ms(typical_ms, f->attempt_count,
					  MAX(f->deadline_ms - now_ms, 0));

	if (!f->spec.is_repeatable || typical_ms == 0 ||
	    count_active_attempts(f) >= FLIGHT_MAX_ACTIVE_ATTEMPTS ||
	    f->attempt_count >= RETRY_MAX_ATTEMPTS)
		return;
	f->timer = g_timeout_add((guint)ms, on_hedge_due, f);
}

static struct attempt *find_unused_attempt(struct flight *f)
{
	for (guint i = 0; i < FLIGHT_MAX_ACTIVE_ATTEMPTS; i++) {
		if (!f->attempt_slots[i].call)
			return &f->attempt_slots[i];
	}
	return NULL;
}

static void flight_send(struct flight *f, const struct routing_choice *choice,
			int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;

	f->attempt_count++;
	if (f->attempt_count == 1)
		retry_budget_record_first(&d->budget);
	if (choice->endpoint->reach == ENDPOINT_REMOTE)
		counter_add(d->spills, 1);
	flight_record_route(f, choice);
	f->state = FLIGHT_SENT;
	attempt_start(find_unused_attempt(f), f, choice->endpoint, now_ms);
	schedule_hedge(f, now_ms);
}

/*
 * Returns TRUE if the request may go to another failure domain: the local one
 * has no usable endpoint, or little time is left until the deadline.
 */
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

gboolean flight_try_send(struct flight *f, int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	struct routing_choice choice;

	dispatcher_refresh(d, now_ms);
	f->query.now_ms = now_ms;
	f->query.may_spill = may_spill(f, now_ms);
	routing_choose(d->policy, d->endpoints, &f->query, d->rand, &choice);
	if (!choice.endpoint && f->query.tried_count > 0) {
		/* No untried endpoint has room: allow tried ones again. */
		f->query.tried_count = 0;
		routing_choose(d->policy, d->endpoints, &f->query, d->rand,
			       &choice);
	}
	if (!choice.endpoint)
		return FALSE;
	flight_send(f, &choice, now_ms);
	return TRUE;
}
