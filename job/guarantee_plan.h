/**
 * @file
 * Plans every slot of every guarantee on a worker. Any plan that is found is
 * a proof; the search is exact while its budget of steps lasts and
 * conservative beyond: it may miss a plan, never report one that is not there.
 */
#ifndef JOB_GUARANTEE_PLAN_H
#define JOB_GUARANTEE_PLAN_H

#include "job/pool_state.h"

/** Steps of the exhaustive search before it gives up. */
#define GUARANTEE_PLAN_STEPS 20000

/** Moves a slot to a worker, or takes it off with NULL. */
void guarantee_plan_set(struct pool *pool, struct slot *slot,
			struct worker_cell *worker);

/** Plans all slots that have no worker; moves idle ones where that helps. */
void guarantee_plan_repair(struct pool *pool);

/** Takes idle slots off a worker that is not usable any more. */
void guarantee_plan_drop_worker(struct pool *pool, struct worker_cell *worker);

/** Returns the place of a guarantee in the configuration; free it. */
char *guarantee_plan_place(const struct pool *pool, const struct guarantee *g);

/** Tells whether a slot is in use by a guaranteed job. */
gboolean slot_is_used(const struct slot *slot);

/** Tells whether any slot of a guarantee is in use. */
gboolean guarantee_is_used(const struct guarantee *g);

/**
 * Moves idle slots of one guarantee to given workers, as near each other as
 * it needs. Idle slots of others that are in the way are planned elsewhere.
 *
 * @return	FALSE, and nothing changed, when a slot would lose its place
 */
gboolean guarantee_plan_move(struct pool *pool, struct slot **slots,
			     struct worker_cell **targets, guint count);

/**
 * Finds the slots for a guaranteed job on given workers, moving idle slots
 * there if needed.
 *
 * @param slots	out, one a member
 * @return	FALSE when the job is not within its account's guarantees there
 */
gboolean guarantee_plan_bind(struct pool *pool, const struct pool_job *job,
			     GPtrArray *workers, struct slot **slots);

#endif
