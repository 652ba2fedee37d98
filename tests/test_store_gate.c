#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "store/store_gate.h"

#define SEEDS 200
#define STEPS 2000

/* An event, and the expected state and share of the breaker after it. */
struct breaker_step {
	int64_t now_ms;
	/*
	 * f failure, s success, S slow success, l failure of an older
	 * generation, a call allowed, d call denied
	 */
	char event;
	enum breaker_state state;
	double share;
};

static const struct breaker_step opening_steps[] = {
	{ 0, 'f', BREAKER_CLOSED, 1 }, { 1, 'f', BREAKER_CLOSED, 1 },
	{ 2, 'f', BREAKER_CLOSED, 1 }, { 3, 's', BREAKER_CLOSED, 1 },
	{ 4, 'f', BREAKER_CLOSED, 1 }, { 5, 'f', BREAKER_CLOSED, 1 },
	{ 6, 'f', BREAKER_CLOSED, 1 }, { 7, 'f', BREAKER_CLOSED, 1 },
	{ 8, 'f', BREAKER_OPEN, 0 },   { 9, 'l', BREAKER_OPEN, 0 },
	{ 10, 'd', BREAKER_OPEN, 0 },  { 107, 'd', BREAKER_OPEN, 0 },
};

static const struct breaker_step probing_steps[] = {
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_OPEN, 0 },
	{ 200, 'a', BREAKER_HALF_OPEN, 0 },
	{ 201, 'd', BREAKER_HALF_OPEN, 0 },
	{ 202, 'l', BREAKER_HALF_OPEN, 0 },
	{ 210, 'f', BREAKER_OPEN, 0 },
	{ 409, 'd', BREAKER_OPEN, 0 },
	{ 610, 'a', BREAKER_HALF_OPEN, 0 },
	{ 611, 's', BREAKER_RECOVERING, 0.01 },
};

static const struct breaker_step recovery_steps[] = {
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_CLOSED, 1 },
	{ 0, 'f', BREAKER_OPEN, 0 },
	{ 200, 'a', BREAKER_HALF_OPEN, 0 },
	{ 200, 's', BREAKER_RECOVERING, 0.01 },
	{ 699, 's', BREAKER_RECOVERING, 0.01 },
	{ 700, 's', BREAKER_RECOVERING, 0.012 },
	{ 1200, 's', BREAKER_RECOVERING, 0.0144 },
	{ 1700, 'S', BREAKER_RECOVERING, 0.01008 }, /* all calls slow */
	{ 2200, 'f', BREAKER_RECOVERING, 0.01 },    /* not below first_share */
	{ 2700, 's', BREAKER_RECOVERING, 0.012 },
	{ 2701, 'f', BREAKER_RECOVERING, 0.012 },
	{ 2702, 'f', BREAKER_RECOVERING, 0.012 },
	{ 2703, 'f', BREAKER_RECOVERING, 0.012 },
	{ 2704, 'f', BREAKER_RECOVERING, 0.012 },
	{ 2705, 'f', BREAKER_OPEN, 0 },
};

struct breaker_case {
	const char *path;
	const struct breaker_step *steps;
	guint count;
};

static const struct breaker_case breaker_cases[] = {
	{ "/store-gate/opening", opening_steps, G_N_ELEMENTS(opening_steps) },
	{ "/store-gate/probing", probing_steps, G_N_ELEMENTS(probing_steps) },
	{ "/store-gate/returning", recovery_steps,
	  G_N_ELEMENTS(recovery_steps) },
};

static void apply_step(struct breaker *b, const struct breaker_step *s,
		       GRand *rng)
{
	switch (s->event) {
	case 'f':
		breaker_failure(b, b->generation, s->now_ms, rng);
		break;
	case 'l':
		breaker_failure(b, b->generation - 1, s->now_ms, rng);
		break;
	case 's':
		breaker_success(b, b->generation, 1, s->now_ms);
		break;
	case 'S':
		breaker_success(b, b->generation, 100, s->now_ms);
		break;
	default:
		g_assert_cmpint(breaker_allow(b, s->now_ms), ==,
				s->event == 'a');
	}
}

static void test_breaker(gconstpointer data)
{
	const struct breaker_case *c = data;
	GRand *rng = g_rand_new_with_seed(1);
	struct breaker b;

	breaker_init(&b, &breaker_config_default);
	for (guint i = 0; i < c->count; i++) {
		const struct breaker_step *s = &c->steps[i];

		g_test_message("step %u", i);
		apply_step(&b, s, rng);
		g_assert_cmpint(b.state, ==, s->state);
		g_assert_cmpfloat_with_epsilon(breaker_share(&b), s->share,
					       1e-9);
	}
	g_rand_free(rng);
}

/*
 * Tokens taken from time 0 to time_ms: at most the burst plus those of the
 * rate, and some even with a small share.
 */
static const struct {
	double share;
	int64_t time_ms;
	enum store_priority priority;
	guint taken; /* by a caller that takes all available tokens */
} budget_cases[] = {
	{ 1, 0, STORE_PRIORITY_HIGH, 100 },
	{ 1, 0, STORE_PRIORITY_NORMAL, 75 },
	{ 1, 1000, STORE_PRIORITY_HIGH, 200 },
	{ 1, 1000, STORE_PRIORITY_NORMAL, 175 },
	{ 0.1, 1000, STORE_PRIORITY_HIGH, 20 },
	{ 0.01, 3000, STORE_PRIORITY_HIGH, 4 },
	{ 0.01, 3000, STORE_PRIORITY_NORMAL, 4 },
};

static void test_budget(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(budget_cases); i++) {
		struct store_budget b;
		guint taken = 0;

		g_test_message("case %u", i);
		store_budget_init(&b, &store_budget_writes, 0);
		store_budget_set_share(&b, budget_cases[i].share, 0);
		for (int64_t ms = 0; ms <= budget_cases[i].time_ms; ms++) {
			while (store_budget_take(&b, budget_cases[i].priority,
						 ms))
				taken++;
		}
		g_assert_cmpuint(taken, >=, budget_cases[i].taken - 1);
		g_assert_cmpuint(taken, <=, budget_cases[i].taken + 1);
	}
}

static void test_priorities(void)
{
	struct store_budget b;

	store_budget_init(&b, &store_budget_writes, 0);
	while (store_budget_take(&b, STORE_PRIORITY_NORMAL, 0))
		;
	g_assert_true(store_budget_take(&b, STORE_PRIORITY_HIGH, 0));
	g_assert_cmpint(store_budget_priority("leases"), ==,
			STORE_PRIORITY_HIGH);
	g_assert_cmpint(store_budget_priority("claims"), ==,
			STORE_PRIORITY_HIGH);
	g_assert_cmpint(store_budget_priority("jobs"), ==,
			STORE_PRIORITY_NORMAL);
}

/* A random sequence of calls and outcomes. */
struct walk {
	struct store_gate gate;
	GRand *rng;
	guint probes_in_flight;
	uint32_t generation; /* of the last probe */
	int64_t opened_ms;
	int64_t now_ms;
};

static void check_probe(struct walk *w, enum breaker_state before)
{
	enum breaker_state after = w->gate.breaker.state;

	if (before == BREAKER_OPEN && after == BREAKER_HALF_OPEN) {
		w->probes_in_flight++;
		w->generation = store_gate_generation(&w->gate);
		g_assert_cmpint(w->now_ms - w->opened_ms, >=,
				breaker_config_default.first_delay_ms / 2);
	}
	g_assert_cmpuint(w->probes_in_flight, <=, 1);
	if (before != BREAKER_OPEN && after == BREAKER_OPEN) {
		w->opened_ms = w->now_ms;
		w->probes_in_flight = 0;
	}
	if (after == BREAKER_RECOVERING)
		w->probes_in_flight = 0;
}

static void walk_step(struct walk *w)
{
	enum breaker_state before = w->gate.breaker.state;
	uint32_t generation = store_gate_generation(&w->gate) -
			      (uint32_t)g_rand_int_range(w->rng, 0, 2);
	enum store_decision decision;
	double share;

	w->now_ms += g_rand_int_range(w->rng, 0, 100);
	switch (g_rand_int_range(w->rng, 0, 3)) {
	case 0:
		decision = store_gate_decide(&w->gate, STORE_CALL_WRITE,
					     STORE_PRIORITY_HIGH, w->now_ms);
		g_assert_true(before != BREAKER_HALF_OPEN ||
			      decision != STORE_SEND);
		break;
	case 1:
		store_gate_failure(&w->gate, generation, w->now_ms);
		break;
	default:
		store_gate_success(&w->gate, generation,
				   g_rand_int_range(w->rng, 0, 200), w->now_ms);
	}
	check_probe(w, before);
	share = breaker_share(&w->gate.breaker);
	g_assert_cmpfloat(share, >=, 0);
	g_assert_cmpfloat(share, <=, 1);
	g_assert_true(w->gate.breaker.state != BREAKER_CLOSED || share >= 1);
}

/*
 * Random calls, outcomes and outcomes of an older generation must never lead to
 * two probes at once.
 */
static void test_interleavings(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct walk w = { .rng = g_rand_new_with_seed(seed) };

		g_test_message("seed %u", seed);
		store_gate_init(&w.gate, &store_gate_config_default, w.rng, 0);
		for (int i = 0; i < STEPS; i++)
			walk_step(&w);
		g_rand_free(w.rng);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(breaker_cases); i++)
		g_test_add_data_func(breaker_cases[i].path, &breaker_cases[i],
				     test_breaker);
	g_test_add_func("/store-gate/budget", test_budget);
	g_test_add_func("/store-gate/priorities", test_priorities);
	g_test_add_func("/store-gate/interleavings", test_interleavings);
	return g_test_run();
}
