/* Event handlers at gateways and runners. */
#include "bench/sim/request_sim_internal.h"

static void on_arrive(struct request_sim *m, struct sim_request *r)
{
	static const char *const names[ACCOUNTS] = { "a0", "a1", "a2", "a3" };
	int64_t limit_us = r->item.class == REQUEST_SPOT ? SPOT_DEADLINE_US
							 : BULK_DEADLINE_US;
	struct admission_item *shed = NULL;
	enum reason reason;

	r->item.arrival_ms = request_sim_now_ms(m);
	r->item.deadline_ms = r->item.arrival_ms + limit_us / US_PER_MILLI;
	reason = admission_offer(r->gateway->admission, &r->item,
				 names[r->call->account], request_sim_now_ms(m),
				 &shed);
	if (shed)
		request_sim_answer(m, (struct sim_request *)shed,
				   ANSWER_NOT_RUN);
	if (reason != REASON_NONE)
		request_sim_answer(m, r, ANSWER_NOT_RUN);
	else
		request_sim_dispatch_queued(m, r->gateway);
}

static struct runner *runner_of(struct request_sim *m,
				const struct request_event *e)
{
	return &m->runners[g_ascii_strtoull(e->endpoint->name, NULL, 10)];
}

static void schedule_reply(struct request_sim *m,
			   const struct request_event *from, gboolean is_busy,
			   uint32_t slots_busy)
{
	struct request_event *e = request_sim_schedule(
		m, ENDPOINT_LATENCY_US, EVENT_REPLY, from->request);

	e->attempt_number = from->attempt_number;
	e->endpoint = from->endpoint;
	e->is_busy = is_busy;
	e->slots_busy = slots_busy;
}

static void on_at_runner(struct request_sim *m, const struct request_event *e)
{
	struct runner *n = runner_of(m, e);
	struct sim_request *r = e->request;
	struct request_event *end;

	n->connections++;
	m->max_connections = MAX(m->max_connections, n->connections);
	if (n->busy >= ENDPOINT_SLOTS) {
		n->connections--;
		schedule_reply(m, e, TRUE, n->busy);
		return;
	}
	n->busy++;
	if (++r->call->runs > 1 && !r->call->is_repeatable)
		m->duplicate_runs++;
	end = request_sim_schedule(m,
				   r->run_us * (n->is_slow ? SLOW_FACTOR : 1),
				   EVENT_RUN_END, r);
	end->attempt_number = e->attempt_number;
	end->endpoint = e->endpoint;
}

static void on_run_end(struct request_sim *m, const struct request_event *e)
{
	struct runner *n = runner_of(m, e);

	n->busy--;
	n->connections--;
	if (gsl_rng_uniform(m->rng) >= m->scenario->lost_answer_share)
		schedule_reply(m, e, FALSE, n->busy);
}

static void remember_tried(struct sim_request *r, const struct endpoint *e)
{
	struct routing_query *q = &r->query;

	q->tried[q->tried_count % ROUTING_MAX_TRIED] = e;
	if (q->tried_count < ROUTING_MAX_TRIED)
		q->tried_count++;
}

static void on_busy(struct request_sim *m, struct sim_request *r,
		    struct sim_attempt *a)
{
	struct gateway *g = r->gateway;
	struct endpoint *e = a->endpoint;

	m->busy++;
	a->endpoint = NULL;
	endpoint_table_record_ended(g->table, e, request_sim_now_ms(m));
	endpoint_table_record_refusal(g->table, e, request_sim_now_ms(m));
	r->attempts--;
	r->last_attempt++;
	if (sim_request_count_in_flight(r) > 0)
		return;
	r->is_admitted = FALSE;
	admission_requeue(g->admission, &r->item);
}

static void on_reply(struct request_sim *m, const struct request_event *e)
{
	struct sim_request *r = e->request;
	struct gateway *g = r->gateway;
	struct sim_attempt *a = sim_request_find_attempt(r, e->attempt_number);

	if (r->is_answered || !a)
		return;
	endpoint_table_apply_report(g->table, e->endpoint, ENDPOINT_SLOTS,
				    e->slots_busy, request_sim_now_ms(m));
	if (e->is_busy) {
		on_busy(m, r, a);
	} else {
		admission_done(g->admission, &r->item,
			       (m->now_us - a->sent_us) / US_PER_MILLI);
		request_sim_end_attempt(m, r, a, OUTLIER_OK);
		r->is_admitted = FALSE;
		request_sim_answer(m, r, ANSWER_DONE);
	}
	request_sim_dispatch_queued(m, g);
}

static void on_timeout(struct request_sim *m, struct sim_request *r)
{
	struct gateway *g = r->gateway;

	if (r->is_answered || sim_request_count_in_flight(r) == 0)
		return;
	for (guint i = 0; i < MAX_CONCURRENT_ATTEMPTS; i++)
		r->in_flight[i].is_overdue = TRUE;
	request_sim_answer(m, r, ANSWER_UNKNOWN);
	request_sim_dispatch_queued(m, g);
}

static void on_hedge(struct request_sim *m, const struct request_event *e)
{
	struct sim_request *r = e->request;
	struct sim_attempt *a = sim_request_find_attempt(r, e->attempt_number);

	if (r->is_answered || !a ||
	    request_sim_now_ms(m) >= r->item.deadline_ms ||
	    !retry_budget_take(&r->gateway->budget, request_sim_now_ms(m)))
		return;
	a->is_overdue = TRUE;
	remember_tried(r, a->endpoint);
	request_sim_try_send(m, r);
}

static void on_tick(struct request_sim *m, struct gateway *g)
{
	GPtrArray *expired = g_ptr_array_new();

	admission_expire(g->admission, request_sim_now_ms(m), expired);
	request_sim_answer_expired(m, expired);
	g_ptr_array_unref(expired);
	if (g->ticks++ % REFRESH_TICKS == 0) {
		outlier_readmit(g->table, request_sim_now_ms(m));
		endpoint_table_refresh(g->table, request_sim_now_ms(m));
	}
	request_sim_dispatch_queued(m, g);
	if (m->now_us < (m->scenario->length_s + 120) * US_PER_S)
		request_sim_schedule(m, TICK_US, EVENT_TICK, NULL)->gateway = g;
}

void request_sim_handle(struct request_sim *m, const struct request_event *e)
{
	switch (e->kind) {
	case EVENT_GENERATE:
		request_sim_generate(m);
		break;
	case EVENT_ARRIVE:
		on_arrive(m, e->request);
		break;
	case EVENT_AT_RUNNER:
		on_at_runner(m, e);
		break;
	case EVENT_RUN_END:
		on_run_end(m, e);
		break;
	case EVENT_REPLY:
		on_reply(m, e);
		break;
	case EVENT_TIMEOUT:
		on_timeout(m, e->request);
		break;
	case EVENT_HEDGE:
		on_hedge(m, e);
		break;
	case EVENT_TICK:
		on_tick(m, e->gateway);
		break;
	}
}
