/**
 * @file
 * Circuit breaker of the platform's client with a slow return: after an outage
 * the permitted share of the budget starts low and grows while calls succeed.
 * Pure: no clock, no sockets.
 */
#ifndef STORE_BREAKER_H
#define STORE_BREAKER_H

#include <glib.h>
#include <stdint.h>

enum breaker_state {
	BREAKER_CLOSED,	    /**< all calls within the budget pass */
	BREAKER_OPEN,	    /**< no call passes until the delay is over */
	BREAKER_HALF_OPEN,  /**< one call is out to probe */
	BREAKER_RECOVERING, /**< a growing share of the budget passes */
	BREAKER_STATE_COUNT,
};

struct breaker_config {
	guint failures_to_open; /**< consecutive ones */
	int64_t first_delay_ms; /**< before the first probe */
	int64_t max_delay_ms;	/**< the delay doubles up to here */
	double first_share;	/**< of the budget, after a good probe */
	double growth;	 /**< of the share in a step without congestion */
	double decrease; /**< of the share in a step with congestion */
	int64_t step_ms;
	/**
	 * An answer later than twice the fastest and this is slow; congestion
	 * is a step in which a quarter is slow.
	 */
	int64_t slack_ms;
};

/** Values for a store shared by up to about a hundred processes. */
extern const struct breaker_config breaker_config_default;

struct breaker {
	const struct breaker_config *config;
	enum breaker_state state;
	guint failures; /**< consecutive ones */
	guint attempt;	/**< failed probes in a row */
	int64_t probe_ms;
	int64_t step_end_ms;
	double share;
	int64_t fastest_ms; /**< answer since the recovery began */
	guint slow_answers; /**< and failures, in this step */
	guint answers;	    /**< and failures, in this step */
	/** Rises with each change of state; tells late outcomes apart. */
	uint32_t generation;
};

void breaker_init(struct breaker *b, const struct breaker_config *config);

/**
 * Tells whether a call may be sent now. When TRUE is returned the call must be
 * sent, and its outcome reported with the generation that holds now.
 */
gboolean breaker_allow(struct breaker *b, int64_t now_ms);

/** Returns the share of the budget that may be used, from 0 to 1. */
double breaker_share(const struct breaker *b);

/**
 * Reports a whole answer to a call that was allowed in a generation.
 *
 * @param latency_ms	from sending to the answer
 */
void breaker_success(struct breaker *b, uint32_t generation, int64_t latency_ms,
		     int64_t now_ms);

/**
 * Reports a call that got no usable answer.
 *
 * @param rng	source of the jitter of the delay
 */
void breaker_failure(struct breaker *b, uint32_t generation, int64_t now_ms,
		     GRand *rng);

/** Returns when a probe is allowed; 0 unless the breaker is open. */
int64_t breaker_probe_ms(const struct breaker *b);

const char *breaker_state_name(enum breaker_state state);

#endif
