/**
 * @file
 * Finds room for borrowed work without stopping anything: best fit by cell.
 */
#ifndef JOB_PLACEMENT_BORROW_H
#define JOB_PLACEMENT_BORROW_H

#include "job/pool_state.h"

/** What of a worker borrowed work may use. */
enum borrow_room {
	BORROW_OPEN, /**< what is not in the way of any slot */
	BORROW_FREE, /**< all that is free */
	BORROW_ROOM_COUNT,
};

/**
 * Finds workers for all members of a job.
 *
 * @param runner_up	set to the next best cell's name, or left alone
 * @return		one worker a member, or NULL
 */
GPtrArray *borrow_find(struct pool *pool, const struct pool_job *job,
		       int64_t now_ms, enum borrow_room room,
		       const char **runner_up);

#endif
