/**
 * @file
 * Steps that the placement policies share.
 */
#ifndef JOB_PLACEMENT_PICK_H
#define JOB_PLACEMENT_PICK_H

#include "job/placement/placement.h"
#include "job/pool_state.h"

/**
 * Returns the first workers with room for a whole job, one entry per member, or
 * NULL; the caller unrefs the list.
 */
GPtrArray *pick_first_fit(struct pool *pool, const struct pool_job *job,
			  int64_t now_ms);

/** Sets the reason why a job has to wait; returns STATUS_FULL. */
enum status placement_defer(struct placement *out, const char *reason);

/**
 * Sets the workers and the reason of a placement; takes ownership of the list
 * of struct worker_cell; returns STATUS_OK.
 */
enum status placement_accept(struct placement *out, GPtrArray *workers,
			     const char *reason);

/**
 * Appends a worker to a list once for each member that fits into @room on it,
 * until the list has @members entries.
 */
void pick_add_members(GPtrArray *list, struct worker_cell *w,
		      struct resources room, struct resources need,
		      int64_t members);

#endif
