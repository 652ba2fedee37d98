/**
 * @file
 * Seeded exploration of protocol modules without I/O: runs events in virtual
 * time, records a trace and the first violated invariant.
 */
#ifndef TESTS_EXPLORER_H
#define TESTS_EXPLORER_H

#include <glib.h>
#include <stdint.h>

#include "bench/sim/event_queue.h"

typedef void (*explorer_fn)(void *data);

struct explorer {
	GRand *rand;
	int64_t now_ms;
	struct event_queue events;
	GString *trace;	 /**< one line per entry */
	char *violation; /**< NULL while all invariants hold */
};

/** A model to explore: a protocol and the faults of its environment. */
struct explorer_world {
	const char *name;
	/** Returns the model's state; @defect is injected, NULL for none. */
	void *(*new)(struct explorer *e, const void *defect);
	/** Checks the invariants; called after every event. */
	void (*check)(void *world);
	/** Ends all faults so that the protocol can converge. */
	void (*heal)(void *world);
	/** Checks the invariants of the converged state. */
	void (*check_settled)(void *world);
	void (*free)(void *world);
	int64_t fault_phase_ms;	 /**< time with faults */
	int64_t settle_phase_ms; /**< time without faults that follows */
};

/** Calls @fn after a delay in virtual time; @free, if set, then frees @data. */
void explorer_schedule(struct explorer *e, int64_t delay_ms, explorer_fn fn,
		       void *data, GDestroyNotify free);

/** Appends a line with the virtual time to the trace. */
void explorer_trace(struct explorer *e, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Records a violated invariant; keeps only the first one. */
void explorer_fail(struct explorer *e, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Returns TRUE with a probability of 0 to 1. */
gboolean explorer_chance(struct explorer *e, double probability);

/** Returns a random integer in [@min, @max). */
int64_t explorer_range(struct explorer *e, int64_t min, int64_t max);

/** Returns a random delay: mostly below 20 ms, else below @longest_ms. */
int64_t explorer_delay(struct explorer *e, int64_t longest_ms);

/**
 * Explores one seed.
 *
 * @param defect	passed to new(); NULL for the unmodified protocol
 * @return		NULL, or the violation and the end of its trace; free it
 */
char *explorer_run(const struct explorer_world *w, guint32 seed,
		   const void *defect);

#endif
