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

/** Plans all slots that have no worker; moves idle ones where that helps. */
void guarantee_plan_repair(struct pool *pool);

/** Plans the slots of one guarantee that have no worker, without a search. */
void guarantee_plan_one(struct pool *pool, struct guarantee *g);

/** Takes idle slots off a worker that is not usable any more. */
void guarantee_plan_drop_worker(struct pool *pool, struct worker_cell *worker);

/** Returns the place of a guarantee in the configuration; free it. */
char *guarantee_plan_place(const struct pool *pool, const struct guarantee *g);

#endif
