/**
 * @file
 * Admission control of calls to the platform: the breaker handles outages and
 * the recovery after them, the budgets limit the rate otherwise. Pure: no
 * clock, no sockets.
 */
#ifndef STORE_STORE_GATE_H
#define STORE_STORE_GATE_H

#include <glib.h>
#include <stdint.h>

#include "store/breaker.h"
#include "store/store_budget.h"

enum store_call_kind {
	STORE_CALL_READ,
	STORE_CALL_WRITE,
	STORE_CALL_COUNT,
};

enum store_decision {
	STORE_SEND,   /**< send now, and report the outcome */
	STORE_WAIT,   /**< try again later */
	STORE_REFUSE, /**< the breaker is open */
};

struct store_gate_config {
	const struct breaker_config *breaker;
	const struct store_budget_config *budgets[STORE_CALL_COUNT];
};

/** For a platform that many processes of the system share. */
extern const struct store_gate_config store_gate_config_default;

struct store_gate {
	struct breaker breaker;
	struct store_budget budgets[STORE_CALL_COUNT];
	GRand *rng; /**< not owned */
};

void store_gate_init(struct store_gate *g,
		     const struct store_gate_config *config, GRand *rng,
		     int64_t now_ms);

/** Decides on a call; STORE_SEND takes a token or starts the probe. */
enum store_decision store_gate_decide(struct store_gate *g,
				      enum store_call_kind call,
				      enum store_priority priority,
				      int64_t now_ms);

/** Returns the generation with which to report a call that is sent now. */
uint32_t store_gate_generation(const struct store_gate *g);

/** Reports an answer that came @latency_ms after the call was sent. */
void store_gate_success(struct store_gate *g, uint32_t generation,
			int64_t latency_ms, int64_t now_ms);

/** Reports a call without a usable answer. */
void store_gate_failure(struct store_gate *g, uint32_t generation,
			int64_t now_ms);

#endif
