/* Attempts to run requests at endpoints, and the answers to callers. */
#include <gsl/gsl_randist.h>

#include "bench/sim/request_sim_internal.h"

guint sim_request_count_in_flight(const struct sim_request *r)
{
	guint count = 0;

	for (guint i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++)
		count += r->in_flight[i].endpoint != NULL;
	return count;
}

struct sim_attempt *sim_request_find_attempt(struct sim_request *r,
					     guint number)
{
	for (guint i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++) {
		struct sim_attempt *a = &r->in_flight[i];

		if (number ? a->endpoint && a->number == number : !a->endpoint)
			return a;
	}
	return NULL;
}

void request_sim_end_attempt(struct request_sim *m, struct sim_request *r,
			     struct sim_attempt *a, enum outlier_event event)
{
	struct gateway *g = r->gateway;

	if (!m->scenario->has_no_ejection &&
	    (event != OUTLIER_FAILED || a->is_overdue))
		outlier_record(&g->outlier, g->table, a->endpoint, event,
			       r->item.class, m->now_us - a->sent_us,
			       request_sim_now_ms(m));
	endpoint_table_record_ended(g->table, a->endpoint,
				    request_sim_now_ms(m));
	a->endpoint = NULL;
}

void request_sim_answer(struct request_sim *m, struct sim_request *r,
			enum answer_kind kind)
{
	g_assert_false(r->is_answered);
	r->is_answered = TRUE;
	for (guint i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++) {
		if (r->in_flight[i].endpoint)
			request_sim_end_attempt(m, r, &r->in_flight[i],
						OUTLIER_FAILED);
	}
	if (r->is_admitted)
		admission_done(r->gateway->admission, &r->item, -1);
	r->is_admitted = FALSE;
	m->answered++;
	if (kind == ANSWER_DONE)
		request_sim_record_done(m, r);
	else if (kind == ANSWER_NOT_RUN)
		m->refused += r->call->is_measured;
	else
		m->unknown += r->call->is_measured;
	if (kind == ANSWER_NOT_RUN && m->scenario->callers_retry &&
	    r->retries < CALLER_RETRIES) {
		m->started++;
		request_sim_send_from_caller(
			m, r->call, r->item.class, r->run_us, r->retries + 1,
			(int64_t)gsl_ran_exponential(m->rng,
						     CALLER_BACKOFF_US));
	}
	sim_request_unref(r);
}

void request_sim_answer_expired(struct request_sim *m, GPtrArray *expired)
{
	for (guint i = 0; i < expired->len; i++)
		request_sim_answer(m, expired->pdata[i], ANSWER_NOT_RUN);
	g_ptr_array_set_size(expired, 0);
}

static void schedule_timers(struct request_sim *m, struct sim_request *r)
{
	int64_t usual_ms = admission_service_ms(&r->item);
	int64_t left_ms = MAX(r->item.deadline_ms - request_sim_now_ms(m), 1);

	if (m->scenario->has_no_limits)
		return;
	if (r->attempts == 1)
		request_sim_schedule(m, left_ms * US_PER_MILLI, EVENT_TIMEOUT,
				     r);
	if (r->call->is_repeatable && usual_ms > 0 &&
	    sim_request_count_in_flight(r) < MAX_CONCURRENT_ATTEMPTS &&
	    r->attempts < RETRY_MAX_ATTEMPTS)
		request_sim_schedule(
			m,
			retry_hedge_delay_ms(usual_ms, r->attempts, left_ms) *
				US_PER_MILLI,
			EVENT_HEDGE, r);
}

gboolean request_sim_try_send(struct request_sim *m, struct sim_request *r)
{
	struct gateway *g = r->gateway;
	struct sim_attempt *a = sim_request_find_attempt(r, 0);
	struct routing_choice c;

	r->query.now_ms = request_sim_now_ms(m);
	m->choices++;
	routing_choose(g->policy, g->table, &r->query, m->rand, &c);
	if (!c.endpoint && r->query.tried_count > 0) {
		r->query.tried_count = 0;
		routing_choose(g->policy, g->table, &r->query, m->rand, &c);
	}
	if (!c.endpoint)
		return FALSE;
	m->sends++;
	if (r->attempts++ > 0)
		m->resends++;
	else
		retry_budget_record_first(&g->budget);
	r->last_attempt++;
	*a = (struct sim_attempt){ c.endpoint, r->last_attempt, m->now_us,
				   FALSE };
	endpoint_table_record_sent(g->table, c.endpoint, request_sim_now_ms(m));
	request_sim_schedule(m, ENDPOINT_LATENCY_US, EVENT_AT_RUNNER, r)
		->endpoint = c.endpoint;
	schedule_timers(m, r);
	return TRUE;
}

void request_sim_dispatch_queued(struct request_sim *m, struct gateway *g)
{
	GPtrArray *expired = g_ptr_array_new();

	endpoint_table_end_backoff(g->table, request_sim_now_ms(m));
	admission_set_capacity(g->admission, endpoint_table_capacity(g->table),
			       g->table->occupancy);
	while (endpoint_table_any_has_room(g->table)) {
		struct admission_item *item = admission_next(
			g->admission, request_sim_now_ms(m), expired);
		struct sim_request *r = (struct sim_request *)item;

		if (!r)
			break;
		r->is_admitted = TRUE;
		if (request_sim_try_send(m, r))
			continue;
		r->is_admitted = FALSE;
		admission_requeue(g->admission, item);
		break;
	}
	request_sim_answer_expired(m, expired);
	g_ptr_array_unref(expired);
}
