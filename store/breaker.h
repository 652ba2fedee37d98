/**
 * @file
 * Circuit breaker of the platform's client with a gradual recovery: after an
 * outage the permitted share of the budget starts low and grows while calls
 * succeed. Pure: no clock, no sockets.
 */
#ifndef STORE_BREAKER_H
#define STORE_BREAKER_H

#include <glib.h>
#include <stdint.h>

enum breaker_state {
	BREAKER_CLOSED,	    /**< calls pass within the full budget */
	BREAKER_OPEN,	    /**< no call passes until the next probe */
	BREAKER_HALF_OPEN,  /**< one probe call is in flight */
	BREAKER_RECOVERING, /**< calls pass within a growing share */
	BREAKER_STATE_COUNT,
};

struct breaker_config {
	guint failures_to_open; /**< consecutive failures that open it */
	int64_t first_delay_ms; /**< from opening to the first probe */
	int64_t max_delay_ms;	/**< limit of the doubling delay */
	double first_share;	/**< of the budget, after a successful probe */
	double growth_factor;	/**< factor after a step without slow answers */
	double decrease_factor; /**< factor after a congested step */
	int64_t step_ms;	/**< length of a recovery step */
	/**
	 * An answer is slow when its latency exceeds twice the minimum plus
	 * this. A step is congested when more than a quarter of its calls
	 * were slow or failed.
	 */
	int64_t slack_ms;
};

/** Values for a platform shared by up to about a hundred processes. */
extern const struct breaker_config breaker_config_default;

struct breaker {
	const struct breaker_config *config;
	enum breaker_state state;
	guint consecutive_failures;
	guint open_count;	/**< openings since the last successful probe */
	int64_t next_probe_ms;	/**< while open */
	int64_t step_end_ms;	/**< while recovering */
	double share;		/**< of the budget, from 0 to 1 */
	int64_t min_latency_ms; /**< since the recovery began */
	guint slow_count;	/**< slow answers and failures in this step */
	guint outcome_count;	/**< answers and failures in this step */
	/**
	 * Increases with each change of state; outcomes of calls sent before
	 * the change are ignored.
	 */
	uint32_t generation;
};

void breaker_init(struct breaker *b, const struct breaker_config *config);

/**
 * Returns TRUE if a call may be sent now. The caller must then send it and
 * report its outcome with the breaker's current generation.
 */
gboolean breaker_allow(struct breaker *b, int64_t now_ms);

/** Returns the share of the budget that may be used, from 0 to 1. */
double breaker_share(const struct breaker *b);

/**
 * Reports a complete answer to a call.
 *
 * @param generation	when the call was sent; an older one is ignored
 * @param latency_ms	from sending to the answer
 */
void breaker_success(struct breaker *b, uint32_t generation, int64_t latency_ms,
		     int64_t now_ms);

/**
 * Reports a call without a usable answer.
 *
 * @param rng	source of the delay's jitter
 */
void breaker_failure(struct breaker *b, uint32_t generation, int64_t now_ms,
		     GRand *rng);

/** Returns the time of the next probe in ms; 0 unless the breaker is open. */
int64_t breaker_next_probe_ms(const struct breaker *b);

const char *breaker_state_name(enum breaker_state state);

#endif
