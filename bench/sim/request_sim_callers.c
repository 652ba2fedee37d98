/* The callers: their calls, sends and answers. */
#include <gsl/gsl_randist.h>

#include "bench/sim/request_sim_internal.h"

static double load_at(const struct scenario *s, int64_t time_us)
{
	gboolean is_burst = time_us >= s->burst_from_s * US_PER_S &&
			    time_us < s->burst_to_s * US_PER_S;

	return is_burst ? s->burst_load : s->load;
}

/* Returns the number of calls of a class per second at a load. */
static double rate_of(const struct scenario *s, double load, gboolean is_bulk)
{
	double slots = (double)s->runners * ENDPOINT_SLOTS;
	double part = is_bulk ? s->bulk_load : 1 - s->bulk_load;
	double run_ms = is_bulk ? BULK_MEAN_RUN_MS : SPOT_MEAN_RUN_MS;

	return slots * load * part * 1000 / run_ms;
}

static guint pick_account(struct request_sim *m)
{
	double large = m->scenario->large_account_ratio > 0
			       ? m->scenario->large_account_ratio
			       : 1;
	double at = gsl_rng_uniform(m->rng) * (large + ACCOUNTS - 1);

	if (at < large)
		return 0;
	return MIN(1 + (guint)(at - large), ACCOUNTS - 1);
}

static struct gateway *pick_gateway(struct request_sim *m)
{
	return &m->gateways[gsl_rng_uniform_int(m->rng, m->scenario->gateways)];
}

void request_sim_send_from_caller(struct request_sim *m, struct sim_call *c,
				  enum request_class class, int64_t run_us,
				  guint retries, int64_t delay_us)
{
	struct sim_request *r = g_new0(struct sim_request, 1);

	r->call = c;
	c->refs++;
	r->refs = 1;
	r->retries = retries;
	r->run_us = run_us;
	r->gateway = pick_gateway(m);
	r->item.class = class;
	r->start_us = m->now_us + delay_us;
	request_sim_schedule(m, delay_us + CALLER_LATENCY_US, EVENT_ARRIVE, r);
}

void request_sim_generate(struct request_sim *m)
{
	const struct scenario *s = m->scenario;
	double load = load_at(s, m->now_us);
	double spot = rate_of(s, load, FALSE);
	double bulk = rate_of(s, load, TRUE);
	gboolean is_bulk = gsl_rng_uniform(m->rng) * (spot + bulk) < bulk;
	double mean_us = (is_bulk ? BULK_MEAN_RUN_MS : SPOT_MEAN_RUN_MS) * 1000;
	struct sim_call *c = g_new0(struct sim_call, 1);
	double run_us;

	c->account = pick_account(m);
	c->is_repeatable = gsl_rng_uniform(m->rng) < 0.7;
	c->is_measured = m->now_us >= WARM_UP_US;
	run_us = mean_us * gsl_ran_lognormal(m->rng, -RUN_SIGMA * RUN_SIGMA / 2,
					     RUN_SIGMA);
	if (c->is_measured) {
		m->offered[is_bulk]++;
		m->account_offered[c->account]++;
	}
	m->started++;
	request_sim_send_from_caller(m, c,
				     is_bulk ? REQUEST_BULK : REQUEST_SPOT,
				     (int64_t)run_us, 0, 0);
	if (m->now_us < s->length_s * US_PER_S)
		request_sim_schedule(
			m,
			(int64_t)gsl_ran_exponential(
				m->rng, (double)US_PER_S / (spot + bulk)),
			EVENT_GENERATE, NULL);
}

void request_sim_record_done(struct request_sim *m, struct sim_request *r)
{
	int64_t done_us = m->now_us + CALLER_LATENCY_US;
	int64_t limit_us = r->item.class == REQUEST_SPOT ? SPOT_DEADLINE_US
							 : BULK_DEADLINE_US;
	gboolean is_late =
		done_us - r->start_us > limit_us + 2 * CALLER_LATENCY_US;
	int64_t bucket = m->now_us / US_PER_S;
	double ms = (double)(done_us - r->start_us) / US_PER_MILLI;

	if (is_late || r->call->is_done)
		return;
	r->call->is_done = TRUE;
	if (bucket < MAX_MEASURED_SECONDS)
		m->run_us_by_second[bucket] += (double)r->run_us;
	if (m->now_us >= WARM_UP_US && bucket < m->scenario->length_s) {
		m->in_time_run_us += (double)r->run_us;
		if (r->item.class == REQUEST_BULK)
			m->bulk_in_time_run_us += (double)r->run_us;
	}
	if (!r->call->is_measured)
		return;
	m->in_time[r->item.class]++;
	m->account_in_time[r->call->account]++;
	if (r->item.class == REQUEST_SPOT)
		g_array_append_val(m->spot_latencies_ms, ms);
}
