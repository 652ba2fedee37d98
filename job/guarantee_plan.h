/**
 * @file
 * Plans every slot of every guarantee on a worker. A guarantee is held while
 * all its slots are planned, so a complete plan proves that all can be held.
 * The search is exhaustive within its step limit; beyond that it may miss a
 * plan, but it never reports one that doesn't exist.
 */
#ifndef JOB_GUARANTEE_PLAN_H
#define JOB_GUARANTEE_PLAN_H

#include "job/pool_state.h"

/** Step limit of the exhaustive search; a step tries a slot on a worker. */
#define GUARANTEE_PLAN_MAX_STEPS 20000

/** Plans all slots that have no worker; moves idle slots if needed. */
void guarantee_plan_repair(struct pool *pool);

/**
 * Plans the slots of one guarantee that have no worker, greedily and without
 * moving other guarantees.
 */
void guarantee_plan_one(struct pool *pool, struct guarantee *g);

/** Unplans the idle slots on a worker that is no longer usable. */
void guarantee_plan_remove_worker(struct pool *pool,
				  struct worker_cell *worker);

/**
 * Returns the path of a guarantee in the configuration, as findings name it;
 * the caller frees it.
 */
char *guarantee_config_path(const struct pool *pool, const struct guarantee *g);

#endif
