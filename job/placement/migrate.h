/**
 * @file
 * Makes room for a large job by moving smaller borrowed jobs: they stop at a
 * checkpoint and resume in the gaps that are free elsewhere.
 */
#ifndef JOB_PLACEMENT_MIGRATE_H
#define JOB_PLACEMENT_MIGRATE_H

#include "job/placement/reclaim.h"

/** Minimum run time of a checkpointable job before it may be moved. */
#define MIGRATE_MIN_RUN_MS (INT64_C(2) * 60 * 1000)
/** A job that was stopped this many times is not moved any more. */
#define MIGRATE_MAX_STOPS 10

/** Initialises a reclaim that moves jobs; free it with reclaim_clear(). */
void migrate_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms);

/**
 * Finds workers for a job and chooses the jobs that have to move.
 *
 * @return	one worker per member, or NULL when no move is worthwhile; the
 *		caller unrefs it
 */
GPtrArray *migrate_find(struct reclaim *r);

#endif
