/**
 * @file
 * Retry budget of this process, a token bucket filled in proportion to its
 * first attempts, and the delays before retries and hedged attempts.
 */
#ifndef REQUEST_RETRY_BUDGET_H
#define REQUEST_RETRY_BUDGET_H

#include <glib.h>
#include <stdint.h>

#define RETRY_MAX_ATTEMPTS 4

struct retry_budget {
	double tokens;	    /**< one per retry */
	int64_t updated_ms; /**< time of the last refill */
};

void retry_budget_init(struct retry_budget *b, int64_t now_ms);

/** Records a first attempt, which adds to the budget. */
void retry_budget_record_first(struct retry_budget *b);

/** Takes one retry from the budget. @return FALSE if it is used up */
gboolean retry_budget_take(struct retry_budget *b, int64_t now_ms);

/**
 * Returns how long an attempt of a repeatable request may go without an answer
 * before a hedged attempt is sent elsewhere: a multiple of the typical service
 * time, doubled with each attempt as run times vary widely, and at most half of
 * the time left.
 *
 * @param typical_ms	typical service time, see admission_service_ms()
 * @param attempts	number of attempts including this one
 * @param left_ms	time until the deadline of the request
 */
int64_t retry_hedge_delay_ms(int64_t typical_ms, uint32_t attempts,
			     int64_t left_ms);

/** Returns a random delay before the next attempt; grows with @attempts. */
int64_t retry_delay_ms(uint32_t attempts, GRand *rand);

#endif
