/**
 * @file
 * Binds a guaranteed job to slots of its account's guarantees.
 */
#ifndef JOB_GUARANTEE_BINDING_H
#define JOB_GUARANTEE_BINDING_H

#include "job/pool_state.h"

/**
 * Finds the slots for a guaranteed job on given workers, moving idle slots
 * there if needed.
 *
 * @param slots	out, one a member
 * @return	FALSE when the job is not within its account's guarantees there
 */
gboolean guarantee_bind(struct pool *pool, const struct pool_job *job,
			GPtrArray *workers, struct slot **slots);

#endif
