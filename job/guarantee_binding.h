/**
 * @file
 * Assigns the members of a guaranteed job to slots of its account's guarantees.
 */
#ifndef JOB_GUARANTEE_BINDING_H
#define JOB_GUARANTEE_BINDING_H

#include "job/pool_state.h"

/**
 * Finds the slots for a guaranteed job on the given workers and moves idle
 * slots there if needed. Doesn't mark the slots as used.
 *
 * @param workers	of struct worker_cell, one entry per member
 * @param slots		out: one entry per member; left undefined on FALSE
 * @return		FALSE when the account's guarantees don't cover the job
 *			on these workers; the plan is then unchanged
 */
gboolean guarantee_bind(struct pool *pool, const struct pool_job *job,
			GPtrArray *workers, struct slot **slots);

#endif
