/**
 * @file
 * Reserves workers for a gang that waits: those on which it can start first,
 * by the expected ends of what runs there. Other work may use them only when
 * it is expected to be done by then.
 */
#ifndef JOB_RESERVATION_H
#define JOB_RESERVATION_H

#include <stdint.h>

#include "job/pool_state.h"

/** Reserves workers for a job in place of any earlier reservation. */
void reservation_plan(struct pool *pool, const struct pool_job *job,
		      int64_t now_ms);

/** Drops the reservation. */
void reservation_clear(struct pool *pool);

/** Tells whether a job may use a worker as far as reservations go. */
gboolean reservation_allows(const struct pool *pool,
			    const struct worker_cell *w,
			    const struct pool_job *job, int64_t now_ms);

#endif
