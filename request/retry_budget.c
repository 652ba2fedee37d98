#include "request/retry_budget.h"

#include "base/util.h"

#define RETRY_SHARE 0.1
/** Allowed in any case, so that a quiet process can retry too. */
#define RETRY_LEAST_PER_S 3.0
#define RETRY_MOST 50.0
#define DELAY_BASE_MS 4
#define PROGRESS_FACTOR 4
#define LEAST_PROGRESS_MS INT64_C(250)
/** Leaves the next attempt as much time as this one had. */
#define PROGRESS_LEFT_PART 2
#define DELAY_MOST_MS 200

void retry_budget_init(struct retry_budget *b, int64_t now_ms)
{
	b->tokens = RETRY_LEAST_PER_S;
	b->updated_ms = now_ms;
}

void retry_budget_first(struct retry_budget *b)
{
	b->tokens = MIN(b->tokens + RETRY_SHARE, RETRY_MOST);
}

gboolean retry_budget_take(struct retry_budget *b, int64_t now_ms)
{
	double passed_s = (double)(now_ms - b->updated_ms) / (double)MS_PER_S;

	b->updated_ms = now_ms;
	if (b->tokens < RETRY_LEAST_PER_S)
		b->tokens = MIN(b->tokens + passed_s * RETRY_LEAST_PER_S,
				RETRY_LEAST_PER_S);
	if (b->tokens < 1)
		return FALSE;
	b->tokens--;
	return TRUE;
}

int64_t retry_progress_ms(int64_t usual_ms, uint32_t attempts, int64_t left_ms)
{
	int64_t ms = MAX(PROGRESS_FACTOR * usual_ms, LEAST_PROGRESS_MS);

	ms <<= MIN(attempts - 1, RETRY_MAX_ATTEMPTS);
	return MIN(ms, left_ms / PROGRESS_LEFT_PART);
}

int64_t retry_delay_ms(uint32_t attempts, GRand *rand)
{
	int64_t most = DELAY_BASE_MS;

	for (uint32_t i = 1; i < attempts && most < DELAY_MOST_MS; i++)
		most *= 2;
	most = MIN(most, DELAY_MOST_MS);
	return g_rand_int_range(rand, 0, (gint32)most + 1);
}
