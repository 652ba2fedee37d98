/**
 * @file
 * Chooses the jobs to stop so that another one fits, with the least work lost.
 */
#ifndef JOB_PLACEMENT_RECLAIM_H
#define JOB_PLACEMENT_RECLAIM_H

#include "job/placement/placement.h"
#include "job/pool_state.h"

/** Longest run time counted as lost when a checkpointable job is stopped. */
#define CHECKPOINT_LOSS_MS (INT64_C(30) * 1000)

/** Returns TRUE if a job may be stopped. */
typedef gboolean (*may_stop_fn)(const struct running_job *r, const void *data);

/** A choice of jobs to stop for one job. */
struct reclaim {
	struct pool *pool;
	const struct pool_job *job; /**< that needs room */
	int64_t now_ms;
	may_stop_fn may_stop;
	const void *data;   /**< for may_stop */
	GPtrArray *victims; /**< of struct running_job, to be stopped */
	int64_t loss;	    /**< in accelerator milliseconds, weighted */
};

void reclaim_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms,
		  may_stop_fn may_stop, const void *data);
void reclaim_clear(struct reclaim *r);

/**
 * Chooses jobs to stop so that each member fits on its worker.
 *
 * @param workers	one entry per member
 * @return		FALSE when there is no room even if all jobs that may be
 *			stopped are stopped
 */
gboolean reclaim_choose_victims(struct reclaim *r, const GPtrArray *workers);

/** Returns the room on a worker if all jobs that may be stopped stop. */
struct resources reclaim_room(const struct reclaim *r,
			      const struct worker_cell *w);

/** Adds the ids of the jobs to stop to a placement. */
void reclaim_list_victims(const struct reclaim *r, struct placement *out);

/** may_stop: any borrowed job. */
gboolean reclaim_is_borrowed(const struct running_job *r, const void *data);

/** may_stop: any borrowed job that is not urgent. */
gboolean reclaim_is_borrowed_not_urgent(const struct running_job *r,
					const void *data);

#endif
