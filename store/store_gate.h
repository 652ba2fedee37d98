/**
 * @file
 * Decides which calls to the platform may be sent now: the breaker for an
 * outage and the slow return after it, the budgets for ordinary times. Pure:
 * no clock, no sockets.
 */
#ifndef STORE_STORE_GATE_H
#define STORE_STORE_GATE_H

#include <glib.h>
#include <stdint.h>

#include "store/breaker.h"
#include "store/store_budget.h"

enum store_call {
	STORE_CALL_READ,
	STORE_CALL_WRITE,
	STORE_CALL_COUNT,
};

enum store_verdict {
	STORE_SEND,   /**< must be sent now, and its outcome be reported */
	STORE_WAIT,   /**< ask again later */
	STORE_REFUSE, /**< the platform is out of reach */
};

struct store_gate_config {
	const struct breaker_config *breaker;
	const struct store_budget_config *budgets[STORE_CALL_COUNT];
};

/** For a platform shared by many processes of the system. */
extern const struct store_gate_config store_gate_config_default;

struct store_gate {
	struct breaker breaker;
	struct store_budget budgets[STORE_CALL_COUNT];
	GRand *rng; /**< not owned */
};

void store_gate_init(struct store_gate *g,
		     const struct store_gate_config *config, GRand *rng,
		     int64_t now_ms);

enum store_verdict store_gate_ask(struct store_gate *g, enum store_call call,
				  enum store_priority priority, int64_t now_ms);

/** Returns the generation to report the outcome of a call sent now with. */
uint32_t store_gate_generation(const struct store_gate *g);

/** Reports an answer, @latency_ms after sending. */
void store_gate_success(struct store_gate *g, uint32_t generation,
			int64_t latency_ms, int64_t now_ms);

/** Reports a call without a usable answer. */
void store_gate_failure(struct store_gate *g, uint32_t generation,
			int64_t now_ms);

#endif
