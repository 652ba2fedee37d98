/**
 * @file
 * Slots of guarantees and the workers on which they are planned: assignment,
 * queries, and saving and restoring a whole plan.
 */
#ifndef JOB_GUARANTEE_SLOTS_H
#define JOB_GUARANTEE_SLOTS_H

#include "job/pool_state.h"

/** A change of the plan that can be undone; recorded in pool->plan_changes. */
struct slot_change {
	struct slot *slot;
	struct worker_cell *old; /**< previous worker, NULL for none */
};

/** Returns TRUE if a guaranteed job uses a slot. */
gboolean slot_is_used(const struct slot *slot);

/** Returns TRUE if any slot of a guarantee is in use. */
gboolean guarantee_is_used(const struct guarantee *g);

/** Plans a slot on a worker, or unplans it if @worker is NULL. */
void slot_set_worker(struct pool *pool, struct slot *slot,
		     struct worker_cell *worker);

/** Returns TRUE if @w is usable and @size fits its unplanned resources. */
gboolean worker_cell_fits_slot(struct pool *pool, const struct worker_cell *w,
			       struct resources size);

/** Returns the worker of the first planned slot of a guarantee, or NULL. */
struct worker_cell *guarantee_first_worker(const struct guarantee *g);

/** Unplans the idle slots of a guarantee. */
void guarantee_unplan_idle(struct pool *pool, struct guarantee *g);

/** Returns the number of slots of a guarantee that have no worker. */
int64_t guarantee_count_unplanned(const struct guarantee *g);

/**
 * Returns TRUE if the adjacency of a guarantee allows a worker next to the one
 * of its first planned slot.
 */
gboolean guarantee_adjacency_allows(const struct guarantee *g,
				    const struct worker_cell *w);

/** Saves the plan of all slots, for guarantee_slots_restore(). */
GPtrArray *guarantee_slots_save(const struct pool *pool);

/** Restores a saved plan. */
void guarantee_slots_restore(struct pool *pool, const GPtrArray *saved);

#endif
