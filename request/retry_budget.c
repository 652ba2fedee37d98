#include "request/retry_budget.h"

#include "base/util.h"

/** Retries earned by one first attempt. */
#define RETRY_RATIO 0.1
/** Refill regardless of the load, so that an idle process can retry too. */
#define RETRY_MIN_PER_S 3.0
#define RETRY_MAX_TOKENS 50.0
/** Maximum of the random delay before the first retry; doubles with each retry
 *  up to DELAY_MAX_MS. */
#define DELAY_BASE_MS 4
#define HEDGE_FACTOR 4
#define HEDGE_MIN_MS INT64_C(250)
/** Leaves the hedged attempt as much time as this one had. */
#define HEDGE_LEFT_DIVISOR 2
#define DELAY_MAX_MS 200

void retry_budget_init(struct retry_budget *b, int64_t now_ms)
{
	b->tokens = RETRY_MIN_PER_S;
	b->updated_ms = now_ms;
}

void retry_budget_record_first(struct retry_budget *b)
{
	b->tokens = MIN(b->tokens + RETRY_RATIO, RETRY_MAX_TOKENS);
}

gboolean retry_budget_take(struct retry_budget *b, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - b->updated_ms) / (double)MS_PER_S;

	b->updated_ms = now_ms;
	if (b->tokens < RETRY_MIN_PER_S)
		b->tokens = MIN(b->tokens + elapsed_s * RETRY_MIN_PER_S,
				RETRY_MIN_PER_S);
	if (b->tokens < 1)
		return FALSE;
	b->tokens--;
	return TRUE;
}

int64_t retry_hedge_delay_ms(int64_t typical_ms, uint32_t attempts,
			     int64_t left_ms)
{
	int64_t ms = MAX(HEDGE_FACTOR * typical_ms, HEDGE_MIN_MS);

	ms <<= MIN(attempts - 1, RETRY_MAX_ATTEMPTS);
	return MIN(ms, left_ms / HEDGE_LEFT_DIVISOR);
}

int64_t retry_delay_ms(uint32_t attempts, GRand *rand)
{
	int64_t max_ms = DELAY_BASE_MS;

	for (uint32_t i = 1; i < attempts && max_ms < DELAY_MAX_MS; i++)
		max_ms *= 2;
	max_ms = MIN(max_ms, DELAY_MAX_MS);
	return g_rand_int_range(rand, 0, (gint32)max_ms + 1);
}
