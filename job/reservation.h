/**
 * @file
 * Reserves workers for a waiting gang: those on which it can start earliest,
 * by the expected ends of the jobs there. Other jobs may use them only if they
 * are expected to end before the reservation starts.
 */
#ifndef JOB_RESERVATION_H
#define JOB_RESERVATION_H

#include <stdint.h>

#include "job/pool_state.h"

/** Reserves workers for a job and drops any earlier reservation. */
void reservation_plan(struct pool *pool, const struct pool_job *job,
		      int64_t now_ms);

/** Drops the reservation. */
void reservation_clear(struct pool *pool);

/** Returns TRUE if reservations allow a job on a worker; urgent ones always. */
gboolean reservation_allows(const struct pool *pool,
			    const struct worker_cell *w,
			    const struct pool_job *job, int64_t now_ms);

#endif
