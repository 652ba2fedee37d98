/**
 * @file
 * Corrects declared run times by what was observed, per account and job
 * family: a moving geometric mean of observed over declared time.
 */
#ifndef JOB_RUN_TIME_H
#define JOB_RUN_TIME_H

#include <glib.h>
#include <stdint.h>

#include "job/pool.h"

struct run_time;

struct run_time *run_time_new(void);
void run_time_free(struct run_time *t);

/** Takes note how long a job ran that ended by itself. */
void run_time_observe(struct run_time *t, const struct pool_job *job,
		      int64_t ran_ms);

/** Returns the run time to expect of a job. */
int64_t run_time_expected_ms(const struct run_time *t,
			     const struct pool_job *job);

#endif
