/**
 * @file
 * Corrects declared run times by observed ones, per client account and job
 * family, with a moving geometric mean of the ratio of observed to declared.
 */
#ifndef JOB_RUN_TIME_H
#define JOB_RUN_TIME_H

#include <glib.h>
#include <stdint.h>

#include "job/pool.h"

struct run_time;

struct run_time *run_time_new(void);
void run_time_free(struct run_time *t);

/** Records the run time of a job that completed. */
void run_time_record(struct run_time *t, const struct pool_job *job,
		     int64_t ran_ms);

/** Returns the corrected run time of a job, at least 1 ms. */
int64_t run_time_expected_ms(const struct run_time *t,
			     const struct pool_job *job);

#endif
