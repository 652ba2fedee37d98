/**
 * @file
 * Expected run time of a queue's tasks: a moving mean of observed run times,
 * since clients' estimates are off by up to 100%.
 */
#ifndef SCHED_RUN_TIMES_H
#define SCHED_RUN_TIMES_H

#include <glib.h>
#include <stdint.h>

struct run_times;

struct run_times *run_times_new(void);
void run_times_free(struct run_times *t);

/** Records the run time of a run that ended well. */
void run_times_observe(struct run_times *t, const char *route,
		       int64_t duration_ms);

/** Returns TRUE if a queue has enough observations to rely on the mean. */
gboolean run_times_is_reliable(const struct run_times *t, const char *route);

/** Returns the mean, or the client's estimate if the mean isn't reliable. */
int64_t run_times_expected_ms(const struct run_times *t, const char *route,
			      int64_t estimate_ms);

#endif
