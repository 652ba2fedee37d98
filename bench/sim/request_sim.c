#include "bench/sim/request_sim_internal.h"

int64_t request_sim_now_ms(const struct request_sim *m)
{
	return m->now_us / US_PER_MILLI;
}

struct request_event *request_sim_schedule(struct request_sim *m,
					   int64_t delay_us,
					   enum event_kind kind,
					   struct sim_request *r)
{
	struct request_event *e = g_new0(struct request_event, 1);

	e->kind = kind;
	e->request = r;
	if (r) {
		r->refs++;
		e->attempt_number = r->last_attempt;
	}
	event_queue_add(&m->events, &e->base, m->now_us + delay_us);
	return e;
}

static void sim_call_unref(struct sim_call *c)
{
	if (--c->refs == 0)
		g_free(c);
}

void sim_request_unref(struct sim_request *r)
{
	if (--r->refs > 0)
		return;
	sim_call_unref(r->call);
	g_free(r);
}

void request_sim_list_runners(struct endpoint_table *t, guint count)
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

static void gateway_init(struct gateway *g, struct request_sim *m, guint rank)
{
	const struct admission_options options = {
		.has_no_limits = m->scenario->has_no_limits
	};

	g->sim = m;
	g->table = endpoint_table_new("tov-a");
	endpoint_table_set_gateways(g->table, m->scenario->gateways, rank);
	request_sim_list_runners(g->table, m->scenario->runners);
	g->policy = routing_policy_new(m->scenario->policy);
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
	request_sim_schedule(m, gsl_rng_uniform_int(m->rng, TICK_US),
			     EVENT_TICK, NULL)
		->gateway = g;
}

void request_sim_init(struct request_sim *m, const struct scenario *s)
{
	*m = (struct request_sim){ .scenario = s };
	event_queue_init(&m->events, g_free);
	m->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(m->rng, SEED);
	m->rand = g_rand_new_with_seed(SEED);
	m->spot_latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
	m->gateways = g_new0(struct gateway, s->gateways);
	m->runners = g_new0(struct runner, s->runners);
	for (guint i = 0; i < s->slow_runners; i++)
		m->runners[i].is_slow = TRUE;
	for (guint i = 0; i < s->gateways; i++)
		gateway_init(&m->gateways[i], m, i);
	request_sim_schedule(m, 0, EVENT_GENERATE, NULL);
}

void request_sim_clear(struct request_sim *m)
{
	for (guint i = 0; i < m->scenario->gateways; i++) {
		admission_free(m->gateways[i].admission);
		endpoint_table_free(m->gateways[i].table);
		g_free(m->gateways[i].policy);
	}
	event_queue_clear(&m->events);
	g_array_unref(m->spot_latencies_ms);
	gsl_rng_free(m->rng);
	g_rand_free(m->rand);
	g_free(m->gateways);
	g_free(m->runners);
}

void request_sim_run(struct request_sim *m)
{
	const struct request_event *first;

	while ((first = (struct request_event *)event_queue_first(
			&m->events))) {
		struct request_event e = *first;

		event_queue_remove_first(&m->events);
		m->now_us = e.base.time;
		request_sim_handle(m, &e);
		if (e.request)
			sim_request_unref(e.request);
	}
}
