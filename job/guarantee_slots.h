/**
 * @file
 * The slots of guarantees and the workers that they are planned on: setting
 * one, asking about them, keeping a plan to come back to.
 */
#ifndef JOB_GUARANTEE_SLOTS_H
#define JOB_GUARANTEE_SLOTS_H

#include "job/pool_state.h"

/** A change of the plan that can be undone; noted in pool->plan_changes. */
struct slot_change {
	struct slot *slot;
	struct worker_cell *old;
};

/** Tells whether a slot is in use by a guaranteed job. */
gboolean slot_is_used(const struct slot *slot);

/** Tells whether any slot of a guarantee is in use. */
gboolean guarantee_is_used(const struct guarantee *g);

/** Moves a slot to a worker, or takes it off with NULL. */
void guarantee_slots_set(struct pool *pool, struct slot *slot,
			 struct worker_cell *worker);

/** Tells whether a slot of a size can be planned on a worker. */
gboolean guarantee_slots_fit(struct pool *pool, const struct worker_cell *w,
			     struct resources size);

/** Returns the first worker in use or planned by a guarantee, or NULL. */
struct worker_cell *guarantee_first_worker(const struct guarantee *g);

/** Takes the idle slots of a guarantee off their workers. */
void guarantee_take_off_idle(struct pool *pool, struct guarantee *g);

/** Returns how many slots of a guarantee have no worker. */
int64_t guarantee_count_unheld(const struct guarantee *g);

/** Tells whether a worker is as near the guarantee's others as it needs. */
gboolean guarantee_may_take(const struct guarantee *g,
			    const struct worker_cell *w);

/** Notes where all slots are planned; for guarantee_slots_restore(). */
GPtrArray *guarantee_slots_save(const struct pool *pool);

/** Plans all slots as noted. */
void guarantee_slots_restore(struct pool *pool, const GPtrArray *saved);

#endif
