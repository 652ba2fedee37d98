/**
 * @file
 * Steps that the placement policies share.
 */
#ifndef JOB_PLACEMENT_PICK_H
#define JOB_PLACEMENT_PICK_H

#include "job/placement/placement.h"
#include "job/pool_state.h"

/** Returns the first workers with room for a whole job, or NULL. */
GPtrArray *pick_first_fit(struct pool *pool, const struct pool_job *job,
			  int64_t now_ms);

/** Says why a job has to wait; returns STATUS_FULL. */
enum status pick_wait(struct placement *out, const char *reason);

/** Fills a placement; takes the list of workers over; returns STATUS_OK. */
enum status pick_take(struct placement *out, GPtrArray *workers,
		      const char *reason);

/** Adds as many members as fit on a worker, up to @members in the list. */
void pick_fill(GPtrArray *list, struct worker_cell *w, struct resources room,
	       struct resources need, int64_t members);

#endif
