/**
 * @file
 * How long tasks of a queue really run: a moving mean of what was observed,
 * as callers' estimates are off by up to their own size.
 */
#ifndef SCHED_RUN_TIMES_H
#define SCHED_RUN_TIMES_H

#include <glib.h>
#include <stdint.h>

struct run_times;

struct run_times *run_times_new(void);
void run_times_free(struct run_times *t);

/** Takes note of a run from its start to its good end. */
void run_times_observe(struct run_times *t, const char *route, int64_t ran_ms);

/** Tells whether enough was observed of a queue to go by it. */
gboolean run_times_is_known(const struct run_times *t, const char *route);

/** Returns the time to expect, given the caller's estimate. */
int64_t run_times_expected_ms(const struct run_times *t, const char *route,
			      int64_t estimate_ms);

#endif
