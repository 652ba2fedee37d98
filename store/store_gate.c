#include "store/store_gate.h"

const struct store_gate_config store_gate_config_default = {
	.breaker = &breaker_config_default,
	.budgets = {
		[STORE_CALL_READ] = &store_budget_reads,
		[STORE_CALL_WRITE] = &store_budget_writes,
	},
};

void store_gate_init(struct store_gate *g,
		     const struct store_gate_config *config, GRand *rng,
		     int64_t now_ms)
{
	breaker_init(&g->breaker, config->breaker);
	for (guint i = 0; i < STORE_CALL_COUNT; i++)
		store_budget_init(&g->budgets[i], config->budgets[i], now_ms);
	g->rng = rng;
}

enum store_decision store_gate_decide(struct store_gate *g,
				      enum store_call_kind call,
				      enum store_priority priority,
				      int64_t now_ms)
{
	struct store_budget *budget = &g->budgets[call];

	switch (g->breaker.state) {
	case BREAKER_OPEN:
		return breaker_allow(&g->breaker, now_ms) ? STORE_SEND
							  : STORE_REFUSE;
	case BREAKER_HALF_OPEN:
		return STORE_WAIT;
	default:
		break;
	}
	store_budget_set_share(budget, breaker_share(&g->breaker), now_ms);
	return store_budget_take(budget, priority, now_ms) ? STORE_SEND
							   : STORE_WAIT;
}

uint32_t store_gate_generation(const struct store_gate *g)
{
	return g->breaker.generation;
}

void store_gate_success(struct store_gate *g, uint32_t generation,
			int64_t latency_ms, int64_t now_ms)
{
	breaker_success(&g->breaker, generation, latency_ms, now_ms);
}

void store_gate_failure(struct store_gate *g, uint32_t generation,
			int64_t now_ms)
{
	breaker_failure(&g->breaker, generation, now_ms, g->rng);
}
