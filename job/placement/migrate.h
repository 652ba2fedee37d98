/**
 * @file
 * Makes room for a large job by moving smaller borrowed jobs: these stop at a
 * checkpoint and go on in the gaps that are free elsewhere.
 */
#ifndef JOB_PLACEMENT_MIGRATE_H
#define JOB_PLACEMENT_MIGRATE_H

#include "job/placement/reclaim.h"

/** Work that a job has to have done before it is moved. */
#define MIGRATE_MIN_RUN_MS (INT64_C(2) * 60 * 1000)
/** Times that a job is stopped at most before it is left alone. */
#define MIGRATE_MAX_STOPS 10

/** @param r	to be cleared in any case */
void migrate_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms);

/**
 * Finds workers for a job and chooses what has to move.
 *
 * @return	one worker a member, or NULL when moving does not pay
 */
GPtrArray *migrate_find(struct reclaim *r);

#endif
