/**
 * @file
 * How many retries this process may make, as a share of its first attempts,
 * and how long each waits.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <glib.h>
#include <stdint.h>

#define RETRY_MAX_ATTEMPTS 4

struct retry_budget {
	double tokens;
	int64_t updated_ms;
};

void retry_budget_init(struct retry_budget *b, int64_t now_ms);

/** Counts a first attempt. */
void retry_budget_first(struct retry_budget *b);

/** Takes a retry from the budget. @return FALSE when it is used up */
gboolean retry_budget_take(struct retry_budget *b, int64_t now_ms);

/**
 * Returns how long an attempt of a repeatable request may go without an answer
 * before another one is tried: some times the usual, twice as long with each
 * attempt, as run times vary a lot, and at most half of the time left.
 *
 * @param attempts	including this one
 * @param left_ms	until the deadline of the request
 */
int64_t retry_progress_ms(int64_t usual_ms, uint32_t attempts, int64_t left_ms);

/** Returns the delay before the retry after that many attempts. */
int64_t retry_delay_ms(uint32_t attempts, GRand *rand);

#endif
