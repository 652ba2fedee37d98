/**
 * @file
 * Plays a scenario in seeded virtual time against the real decision modules of
 * requests. Included by one program only.
 */
#ifndef BENCH_REQUEST_SIM_H
#define BENCH_REQUEST_SIM_H

#include <gsl/gsl_randist.h>
#include <gsl/gsl_statistics_double.h>
#include <stdlib.h>
#include <string.h>

#include "bench/request_model.h"

static double load_at(const struct scenario *s, int64_t time_us)
{
	gboolean is_burst = time_us >= s->burst_from_s * US_PER_S &&
			    time_us < s->burst_to_s * US_PER_S;

	return is_burst ? s->burst_load : s->load;
}

/* Requests of a class a second at a load. */
static double rate_of(const struct scenario *s, double load, gboolean is_bulk)
{
	double slots = (double)s->runners * ENDPOINT_SLOTS;
	double part = is_bulk ? s->bulk_load : 1 - s->bulk_load;
	double run_ms = is_bulk ? BULK_RUN_MS : SPOT_RUN_MS;

	return slots * load * part * 1000 / run_ms;
}

static guint pick_account(struct sim *m)
{
	double large = m->s->large_account > 0 ? m->s->large_account : 1;
	double at = gsl_rng_uniform(m->rng) * (large + ACCOUNTS - 1);

	if (at < large)
		return 0;
	return MIN(1 + (guint)(at - large), ACCOUNTS - 1);
}

static struct gateway *pick_gateway(struct sim *m)
{
	return &m->gateways[gsl_rng_uniform_int(m->rng, m->s->gateways)];
}

static void send_from_caller(struct sim *m, struct wish *w,
			     enum request_class class, int64_t run_us,
			     guint tries, int64_t delay_us)
{
	struct sim_request *r = g_new0(struct sim_request, 1);

	r->wish = w;
	w->refs++;
	r->refs = 1;
	r->tries = tries;
	r->run_us = run_us;
	r->gateway = pick_gateway(m);
	r->item.class = class;
	r->start_us = m->now_us + delay_us;
	push(m, delay_us + CALLER_US, EVENT_ARRIVE, r);
}

static void generate(struct sim *m)
{
	const struct scenario *s = m->s;
	double load = load_at(s, m->now_us);
	double spot = rate_of(s, load, FALSE);
	double bulk = rate_of(s, load, TRUE);
	gboolean is_bulk = gsl_rng_uniform(m->rng) * (spot + bulk) < bulk;
	double mean_us = (is_bulk ? BULK_RUN_MS : SPOT_RUN_MS) * 1000;
	struct wish *w = g_new0(struct wish, 1);
	double run_us;

	w->account = pick_account(m);
	w->is_repeatable = gsl_rng_uniform(m->rng) < 0.7;
	w->is_measured = m->now_us >= WARM_UP_US;
	run_us = mean_us * gsl_ran_lognormal(m->rng, -RUN_SIGMA * RUN_SIGMA / 2,
					     RUN_SIGMA);
	if (w->is_measured) {
		m->offered[is_bulk]++;
		m->account_offered[w->account]++;
	}
	m->started++;
	send_from_caller(m, w, is_bulk ? REQUEST_BULK : REQUEST_SPOT,
			 (int64_t)run_us, 0, 0);
	if (m->now_us < s->length_s * US_PER_S)
		push(m,
		     (int64_t)gsl_ran_exponential(
			     m->rng, (double)US_PER_S / (spot + bulk)),
		     EVENT_GENERATE, NULL);
}

static void record_done(struct sim *m, struct sim_request *r)
{
	int64_t done_us = m->now_us + CALLER_US;
	int64_t limit_us = r->item.class == REQUEST_SPOT ? SPOT_DEADLINE_US
							 : BULK_DEADLINE_US;
	gboolean is_late = done_us - r->start_us > limit_us + 2 * CALLER_US;
	int64_t bucket = m->now_us / US_PER_S;
	double ms = (double)(done_us - r->start_us) / US_PER_MILLI;

	if (is_late || r->wish->is_done)
		return;
	r->wish->is_done = TRUE;
	if (bucket < MAX_BUCKETS)
		m->bucket_us[bucket] += (double)r->run_us;
	if (m->now_us >= WARM_UP_US && bucket < m->s->length_s) {
		m->in_time_us += (double)r->run_us;
		if (r->item.class == REQUEST_BULK)
			m->bulk_in_time_us += (double)r->run_us;
	}
	if (!r->wish->is_measured)
		return;
	m->in_time[r->item.class]++;
	m->account_in_time[r->wish->account]++;
	if (r->item.class == REQUEST_SPOT)
		g_array_append_val(m->spot_ms, ms);
}

static guint count_out(const struct sim_request *r)
{
	guint count = 0;

	for (guint i = 0; i < MAX_OUT; i++)
		count += r->out[i].endpoint != NULL;
	return count;
}

/* Returns the place of an attempt, or of a free one for flight 0. */
static struct attempt *find_out(struct sim_request *r, guint flight)
{
	for (guint i = 0; i < MAX_OUT; i++) {
		struct attempt *a = &r->out[i];

		if (flight ? a->endpoint && a->flight == flight : !a->endpoint)
			return a;
	}
	return NULL;
}

static void end_attempt(struct sim *m, struct sim_request *r, struct attempt *a,
			enum outlier_event event)
{
	struct gateway *g = r->gateway;

	if (!m->s->has_no_ejection &&
	    (event != OUTLIER_FAILED || a->is_overdue))
		outlier_record(&g->outlier, g->table, a->endpoint, event,
			       r->item.class, m->now_us - a->sent_us,
			       now_ms(m));
	endpoint_table_ended(g->table, a->endpoint, now_ms(m));
	a->endpoint = NULL;
}

static void answer(struct sim *m, struct sim_request *r, enum answer_kind kind)
{
	g_assert_false(r->is_answered);
	r->is_answered = TRUE;
	for (guint i = 0; i < MAX_OUT; i++) {
		if (r->out[i].endpoint)
			end_attempt(m, r, &r->out[i], OUTLIER_FAILED);
	}
	if (r->is_counted)
		admission_done(r->gateway->admission, &r->item, -1);
	r->is_counted = FALSE;
	m->answered++;
	if (kind == ANSWER_DONE)
		record_done(m, r);
	else if (kind == ANSWER_NOT_RUN)
		m->refused += r->wish->is_measured;
	else
		m->unknown += r->wish->is_measured;
	if (kind == ANSWER_NOT_RUN && m->s->callers_retry &&
	    r->tries < CALLER_RETRIES) {
		m->started++;
		send_from_caller(m, r->wish, r->item.class, r->run_us,
				 r->tries + 1,
				 (int64_t)gsl_ran_exponential(
					 m->rng, CALLER_BACKOFF_US));
	}
	request_unref(r);
}

static void answer_late(struct sim *m, GPtrArray *late)
{
	for (guint i = 0; i < late->len; i++)
		answer(m, late->pdata[i], ANSWER_NOT_RUN);
	g_ptr_array_set_size(late, 0);
}

static void watch_progress(struct sim *m, struct sim_request *r)
{
	int64_t usual_ms = admission_service_ms(&r->item);
	int64_t left_ms = MAX(r->item.deadline_ms - now_ms(m), 1);

	if (m->s->has_no_limits)
		return;
	if (r->attempts == 1)
		push(m, left_ms * US_PER_MILLI, EVENT_TIMEOUT, r);
	if (r->wish->is_repeatable && usual_ms > 0 && count_out(r) < MAX_OUT &&
	    r->attempts < RETRY_MAX_ATTEMPTS)
		push(m, retry_progress_ms(usual_ms, r->attempts) * US_PER_MILLI,
		     EVENT_NO_PROGRESS, r);
}

static gboolean try_send(struct sim *m, struct sim_request *r)
{
	struct gateway *g = r->gateway;
	struct attempt *a = find_out(r, 0);
	struct routing_choice c;

	r->query.now_ms = now_ms(m);
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
		retry_budget_first(&g->budget);
	r->flight++;
	*a = (struct attempt){ c.endpoint, r->flight, m->now_us, FALSE };
	endpoint_table_sent(g->table, c.endpoint, now_ms(m));
	push(m, ENDPOINT_US, EVENT_AT_RUNNER, r)->endpoint = c.endpoint;
	watch_progress(m, r);
	return TRUE;
}

static void pump(struct sim *m, struct gateway *g)
{
	GPtrArray *late = g_ptr_array_new();

	endpoint_table_retry_refused(g->table, now_ms(m));
	admission_set_capacity(g->admission, endpoint_table_capacity(g->table),
			       g->table->occupancy);
	while (endpoint_table_is_open(g->table)) {
		struct admission_item *item =
			admission_next(g->admission, now_ms(m), late);
		struct sim_request *r = (struct sim_request *)item;

		if (!r)
			break;
		r->is_counted = TRUE;
		if (try_send(m, r))
			continue;
		r->is_counted = FALSE;
		admission_put_back(g->admission, item);
		break;
	}
	answer_late(m, late);
	g_ptr_array_unref(late);
}

static void on_arrive(struct sim *m, struct sim_request *r)
{
	static const char *const names[ACCOUNTS] = { "a0", "a1", "a2", "a3" };
	int64_t limit_us = r->item.class == REQUEST_SPOT ? SPOT_DEADLINE_US
							 : BULK_DEADLINE_US;
	struct admission_item *shed = NULL;
	enum reason reason;

	r->item.arrival_ms = now_ms(m);
	r->item.deadline_ms = r->item.arrival_ms + limit_us / US_PER_MILLI;
	reason = admission_offer(r->gateway->admission, &r->item,
				 names[r->wish->account], now_ms(m), &shed);
	if (shed)
		answer(m, (struct sim_request *)shed, ANSWER_NOT_RUN);
	if (reason != REASON_NONE)
		answer(m, r, ANSWER_NOT_RUN);
	else
		pump(m, r->gateway);
}

static struct runner *runner_of(struct sim *m, const struct event *e)
{
	return &m->runners[g_ascii_strtoull(e->endpoint->name, NULL, 10)];
}

static void push_reply(struct sim *m, const struct event *from,
		       gboolean is_busy, uint32_t slots_busy)
{
	struct event *e = push(m, ENDPOINT_US, EVENT_REPLY, from->request);

	e->flight = from->flight;
	e->endpoint = from->endpoint;
	e->is_busy = is_busy;
	e->slots_busy = slots_busy;
}

static void on_runner(struct sim *m, const struct event *e)
{
	struct runner *n = runner_of(m, e);
	struct sim_request *r = e->request;
	struct event *end;

	n->connections++;
	m->most_connections = MAX(m->most_connections, n->connections);
	if (n->busy >= ENDPOINT_SLOTS) {
		n->connections--;
		push_reply(m, e, TRUE, n->busy);
		return;
	}
	n->busy++;
	if (++r->wish->runs > 1 && !r->wish->is_repeatable)
		m->doubled++;
	end = push(m, r->run_us * (n->is_slow ? SLOW_FACTOR : 1), EVENT_RUN_END,
		   r);
	end->flight = e->flight;
	end->endpoint = e->endpoint;
}

static void on_run_end(struct sim *m, const struct event *e)
{
	struct runner *n = runner_of(m, e);

	n->busy--;
	n->connections--;
	if (gsl_rng_uniform(m->rng) >= m->s->lost_answers)
		push_reply(m, e, FALSE, n->busy);
}

static void remember_tried(struct sim_request *r, const struct endpoint *e)
{
	struct routing_query *q = &r->query;

	q->tried[q->tried_count % ROUTING_MAX_TRIED] = e;
	if (q->tried_count < ROUTING_MAX_TRIED)
		q->tried_count++;
}

static void on_busy(struct sim *m, struct sim_request *r, struct attempt *a)
{
	struct gateway *g = r->gateway;
	struct endpoint *e = a->endpoint;

	m->busy++;
	a->endpoint = NULL;
	endpoint_table_ended(g->table, e, now_ms(m));
	endpoint_table_refused(g->table, e, now_ms(m));
	r->attempts--;
	r->flight++;
	if (count_out(r) > 0)
		return;
	r->is_counted = FALSE;
	admission_put_back(g->admission, &r->item);
}

static void on_reply(struct sim *m, const struct event *e)
{
	struct sim_request *r = e->request;
	struct gateway *g = r->gateway;
	struct attempt *a = find_out(r, e->flight);

	if (r->is_answered || !a)
		return;
	endpoint_table_report(g->table, e->endpoint, ENDPOINT_SLOTS,
			      e->slots_busy, now_ms(m));
	if (e->is_busy) {
		on_busy(m, r, a);
	} else {
		admission_done(g->admission, &r->item,
			       (m->now_us - a->sent_us) / US_PER_MILLI);
		end_attempt(m, r, a, OUTLIER_OK);
		r->is_counted = FALSE;
		answer(m, r, ANSWER_DONE);
	}
	pump(m, g);
}

static void on_timeout(struct sim *m, struct sim_request *r)
{
	struct gateway *g = r->gateway;

	if (r->is_answered || count_out(r) == 0)
		return;
	for (guint i = 0; i < MAX_OUT; i++)
		r->out[i].is_overdue = TRUE;
	answer(m, r, ANSWER_UNKNOWN);
	pump(m, g);
}

static void on_no_progress(struct sim *m, const struct event *e)
{
	struct sim_request *r = e->request;
	struct attempt *a = find_out(r, e->flight);

	if (r->is_answered || !a || now_ms(m) >= r->item.deadline_ms ||
	    !retry_budget_take(&r->gateway->budget, now_ms(m)))
		return;
	a->is_overdue = TRUE;
	remember_tried(r, a->endpoint);
	try_send(m, r);
}

static void on_tick(struct sim *m, struct gateway *g)
{
	GPtrArray *late = g_ptr_array_new();

	admission_expire(g->admission, now_ms(m), late);
	answer_late(m, late);
	g_ptr_array_unref(late);
	if (g->ticks++ % REFRESH_TICKS == 0) {
		outlier_return(g->table, now_ms(m));
		endpoint_table_refresh(g->table, now_ms(m));
	}
	pump(m, g);
	if (m->now_us < (m->s->length_s + 120) * US_PER_S)
		push(m, TICK_US, EVENT_TICK, NULL)->gateway = g;
}

static void handle(struct sim *m, const struct event *e)
{
	switch (e->kind) {
	case EVENT_GENERATE:
		generate(m);
		break;
	case EVENT_ARRIVE:
		on_arrive(m, e->request);
		break;
	case EVENT_AT_RUNNER:
		on_runner(m, e);
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
	case EVENT_NO_PROGRESS:
		on_no_progress(m, e);
		break;
	case EVENT_TICK:
		on_tick(m, e->gateway);
		break;
	}
}

static void list_runners(struct endpoint_table *t, guint count)
{
	endpoint_table_list_begin(t, 0);
	for (guint i = 0; i < count; i++) {
		char name[16];
		struct endpoint_spec spec = { .name = name,
					      .address = "127.0.0.1:1",
					      .failure_domain = "tov-a" };

		g_snprintf(name, sizeof(name), "%u", i);
		endpoint_table_list_add(t, &spec);
	}
	endpoint_table_list_end(t);
}

static void gateway_init(struct gateway *g, struct sim *m, guint rank)
{
	const struct admission_options options = {
		.has_no_limits = m->s->has_no_limits
	};

	g->sim = m;
	g->table = endpoint_table_new("tov-a");
	endpoint_table_set_gateways(g->table, m->s->gateways, rank);
	list_runners(g->table, m->s->runners);
	g->policy = routing_policy_new(m->s->policy);
	g->admission = admission_new(&options);
	for (guint i = 0; i < ACCOUNTS; i++) {
		char name[8];
		struct admission_account_spec spec = {
			.name = name,
			.share = 1,
			.queued_requests = QUEUED_REQUESTS,
		};

		g_snprintf(name, sizeof(name), "a%u", i);
		admission_set_account(g->admission, &spec, 0);
	}
	retry_budget_init(&g->budget, 0);
	push(m, gsl_rng_uniform_int(m->rng, TICK_US), EVENT_TICK, NULL)
		->gateway = g;
}

static void sim_init(struct sim *m, const struct scenario *s)
{
	*m = (struct sim){ .s = s };
	event_queue_init(&m->events, g_free);
	m->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->rng, SEED);
	m->rand = g_rand_new_with_seed(SEED);
	m->spot_ms = g_array_new(FALSE, FALSE, sizeof(double));
	m->gateways = g_new0(struct gateway, s->gateways);
	m->runners = g_new0(struct runner, s->runners);
	for (guint i = 0; i < s->slow_runners; i++)
		m->runners[i].is_slow = TRUE;
	for (guint i = 0; i < s->gateways; i++)
		gateway_init(&m->gateways[i], m, i);
	push(m, 0, EVENT_GENERATE, NULL);
}

static void sim_clear(struct sim *m)
{
	for (guint i = 0; i < m->s->gateways; i++) {
		admission_free(m->gateways[i].admission);
		endpoint_table_free(m->gateways[i].table);
		g_free(m->gateways[i].policy);
	}
	event_queue_clear(&m->events);
	g_array_unref(m->spot_ms);
	gsl_rng_free(m->rng);
	g_rand_free(m->rand);
	g_free(m->gateways);
	g_free(m->runners);
}

static void sim_run(struct sim *m)
{
	const struct event *first;

	while ((first = (struct event *)event_queue_first(&m->events))) {
		struct event e = *first;

		event_queue_remove_first(&m->events);
		m->now_us = e.base.time;
		handle(m, &e);
		if (e.request)
			request_unref(e.request);
	}
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const GArray *sorted, double q)
{
	if (sorted->len == 0)
		return 0;
	return gsl_stats_quantile_from_sorted_data((const double *)sorted->data,
						   1, sorted->len, q);
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static void measure_accounts(const struct sim *m, struct outcome *o)
{
	double sum = 0;
	double squares = 0;

	o->least_account = 1;
	for (guint i = 0; i < ACCOUNTS; i++) {
		double got = ratio((double)m->account_in_time[i],
				   (double)m->account_offered[i]);

		sum += got;
		squares += got * got;
		if (i > 0)
			o->least_account = MIN(o->least_account, got);
	}
	o->jain = ratio(sum * sum, ACCOUNTS * squares);
}

/* Seconds after the burst until goodput is at 95% of what it was before. */
static int64_t measure_recovery(const struct sim *m)
{
	const struct scenario *s = m->s;
	double before_us = 0;

	if (s->burst_to_s == 0)
		return -1;
	for (int64_t i = 5; i < s->burst_from_s; i++)
		before_us += m->bucket_us[i];
	before_us /= (double)(s->burst_from_s - 5);
	for (int64_t i = s->burst_to_s; i + 3 <= s->length_s; i++) {
		double mean_us = (m->bucket_us[i] + m->bucket_us[i + 1] +
				  m->bucket_us[i + 2]) /
				 3;

		if (mean_us >= 0.95 * before_us)
			return i - s->burst_to_s;
	}
	return s->length_s - s->burst_to_s;
}

static void measure(const struct sim *m, struct outcome *o)
{
	const struct scenario *s = m->s;
	double seconds = (double)s->length_s - (double)WARM_UP_US / US_PER_S;
	double slot_us = seconds * US_PER_S * s->runners * ENDPOINT_SLOTS;
	double offered =
		(double)(m->offered[REQUEST_SPOT] + m->offered[REQUEST_BULK]);
	uint64_t inspections = 0;

	g_array_sort(m->spot_ms, compare_doubles);
	*o = (struct outcome){ 0 };
	o->spot_p50_ms = quantile(m->spot_ms, 0.5);
	o->spot_p99_ms = quantile(m->spot_ms, 0.99);
	o->spot_p999_ms = quantile(m->spot_ms, 0.999);
	o->spot_in_time = ratio((double)m->in_time[REQUEST_SPOT],
				(double)m->offered[REQUEST_SPOT]);
	o->bulk_done = ratio((double)m->in_time[REQUEST_BULK],
			     (double)m->offered[REQUEST_BULK]);
	o->goodput = m->in_time_us / slot_us;
	o->bulk_goodput = m->bulk_in_time_us / slot_us;
	o->refused = ratio((double)m->refused, (double)m->started);
	o->unknown = ratio((double)m->unknown, offered);
	o->retried = ratio((double)m->resends, (double)(m->sends - m->resends));
	o->busy = ratio((double)m->busy, (double)m->sends);
	o->doubled = m->doubled;
	o->lost = m->started - m->answered;
	o->most_connections = m->most_connections;
	o->recovery_s = measure_recovery(m);
	measure_accounts(m, o);
	for (guint i = 0; i < s->gateways; i++)
		inspections += m->gateways[i].table->inspections;
	o->inspections = ratio((double)inspections, (double)m->choices);
}

#endif
