#include "store/store_budget.h"

#include "base/util.h"

#define MIN_BURST 1.0

const struct store_budget_config store_budget_writes = {
	.rate_per_s = 100,
	.burst = 100,
	.reserved_share = 0.25,
};

const struct store_budget_config store_budget_reads = {
	.rate_per_s = 400,
	.burst = 400,
	.reserved_share = 0.25,
};

/* Tables whose calls must not be delayed by other calls. */
static const char *const high_priority_tables[] = { "leases", "claims" };

enum store_priority store_budget_priority(const char *table)
{
	for (guint i = 0; i < G_N_ELEMENTS(high_priority_tables); i++) {
		if (g_str_equal(high_priority_tables[i], table))
			return STORE_PRIORITY_HIGH;
	}
	return STORE_PRIORITY_NORMAL;
}

void store_budget_init(struct store_budget *b,
		       const struct store_budget_config *config, int64_t now_ms)
{
	*b = (struct store_budget){
		.config = config,
		.tokens = config->burst,
		.share = 1,
		.updated_ms = now_ms,
	};
}

static double burst(const struct store_budget *b)
{
	return MAX(b->config->burst * b->share, MIN_BURST);
}

static void refill(struct store_budget *b, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - b->updated_ms) / MS_PER_S;

	b->updated_ms = now_ms;
	b->tokens += MAX(elapsed_s, 0) * b->config->rate_per_s * b->share;
	b->tokens = MIN(b->tokens, burst(b));
}

void store_budget_set_share(struct store_budget *b, double share,
			    int64_t now_ms)
{
	refill(b, now_ms);
	b->share = share;
	b->tokens = MIN(b->tokens, burst(b));
}

gboolean store_budget_take(struct store_budget *b, enum store_priority priority,
			   int64_t now_ms)
{
	double reserved = 0;

	refill(b, now_ms);
	/* At least one token stays available to all priorities. */
	if (priority != STORE_PRIORITY_HIGH && burst(b) > MIN_BURST)
		reserved = MIN(b->config->reserved_share * burst(b),
			       burst(b) - MIN_BURST);
	if (b->tokens < reserved + 1)
		return FALSE;
	b->tokens -= 1;
	return TRUE;
}
