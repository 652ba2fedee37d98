/**
 * @file
 * Finds room for borrowed work without stopping any job: best fit by cell.
 */
#ifndef JOB_PLACEMENT_BORROW_H
#define JOB_PLACEMENT_BORROW_H

#include "job/pool_state.h"

/** Which free resources of a worker borrowed work may use. */
enum borrow_scope {
	BORROW_AROUND_SLOTS, /**< those that no planned slot needs */
	BORROW_ALL_FREE,     /**< all of them */
	BORROW_SCOPE_COUNT,
};

/**
 * Finds workers for all members of a job.
 *
 * @param runner_up	set to the name of the next best cell, if there is one
 * @return		one worker per member, or NULL; the caller unrefs it
 */
GPtrArray *borrow_find(struct pool *pool, const struct pool_job *job,
		       int64_t now_ms, enum borrow_scope scope,
		       const char **runner_up);

#endif
