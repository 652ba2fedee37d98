/**
 * @file
 * Chooses which jobs to stop so that another fits: the least work lost.
 */
#ifndef JOB_PLACEMENT_RECLAIM_H
#define JOB_PLACEMENT_RECLAIM_H

#include "job/placement/placement.h"
#include "job/pool_state.h"

/** Work that a checkpointable job loses when it is stopped. */
#define CHECKPOINT_LOSS_MS (INT64_C(30) * 1000)

/** Tells whether a job may be stopped. */
typedef gboolean (*may_stop_fn)(const struct running_job *r, const void *data);

struct reclaim {
	struct pool *pool;
	const struct pool_job *job;
	int64_t now_ms;
	may_stop_fn may_stop;
	const void *data;
	GPtrArray *victims; /**< of struct running_job, to be stopped */
	int64_t loss;	    /**< accelerator milliseconds */
};

void reclaim_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms,
		  may_stop_fn may_stop, const void *data);
void reclaim_clear(struct reclaim *r);

/**
 * Chooses jobs to stop so that each member fits on its worker.
 *
 * @param workers	one a member
 * @return		FALSE when even stopping all that may be stopped does
 *not make room
 */
gboolean reclaim_choose(struct reclaim *r, const GPtrArray *workers);

/** Returns the room on a worker once all that may be stopped is. */
struct resources reclaim_room(const struct reclaim *r,
			      const struct worker_cell *w);

/** Adds the jobs to stop to a placement. */
void reclaim_list(const struct reclaim *r, struct placement *out);

/** Any borrowed job. */
gboolean reclaim_borrowed(const struct running_job *r, const void *data);

/** Borrowed jobs that are not urgent. */
gboolean reclaim_borrowed_not_urgent(const struct running_job *r,
				     const void *data);

#endif
