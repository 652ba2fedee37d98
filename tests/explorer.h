/**
 * @file
 * Seeded exploration of pure protocol modules: events in virtual time, a trace
 * of what happened and the first invariant that broke.
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
	GString *trace;
	char *violation; /**< NULL while all invariants hold */
};

/** One kind of exploration: a protocol among faults. */
struct explorer_world {
	const char *name;
	void *(*new)(struct explorer *e, const void *plant);
	/** Checks the invariants; called after every event. */
	void (*check)(void *world);
	/** Ends all faults, so that the protocol can settle. */
	void (*heal)(void *world);
	/** Checks what must hold once all has settled. */
	void (*check_settled)(void *world);
	void (*free)(void *world);
	int64_t faulty_ms;
	int64_t settle_ms;
};

/** Calls a function at a later time; @data is freed by @free after it. */
void explorer_after(struct explorer *e, int64_t delay_ms, explorer_fn fn,
		    void *data, GDestroyNotify free);
void explorer_note(struct explorer *e, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Records a broken invariant; the first one counts. */
void explorer_fail(struct explorer *e, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

gboolean explorer_chance(struct explorer *e, double probability);

/** Returns a whole number from @min up to but without @max. */
int64_t explorer_range(struct explorer *e, int64_t min, int64_t max);

/** Returns a delay that is mostly short and at times very long. */
int64_t explorer_delay(struct explorer *e, int64_t longest_ms);

/**
 * Explores one seed.
 *
 * @param plant	handed to the world; NULL for the protocol as it is
 * @return	NULL, or the violation with its trace; free it
 */
char *explorer_run(const struct explorer_world *w, guint32 seed,
		   const void *plant);

#endif
