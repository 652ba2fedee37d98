/**
 * @file
 * Runs the scheduler of one pool: sends its calls to the workers and to the
 * platform, and passes it their answers.
 */
#ifndef DAEMON_POOL_RUNNER_H
#define DAEMON_POOL_RUNNER_H

#include "base/kernel.h"
#include "job/scheduler.h"

struct pool_runner;

/** Returns a new runner; it polls the lease service for its role. */
struct pool_runner *pool_runner_new(struct kernel *k, const char *pool);
void pool_runner_free(struct pool_runner *p);

const char *pool_runner_pool(const struct pool_runner *p);
struct scheduler *pool_runner_scheduler(struct pool_runner *p);

/**
 * Handles a delegate's renewal report.
 *
 * @param grant		initialised; filled if TRUE is returned, to be sent at
 *			once
 * @return		FALSE if this process does not hold the pool now or the
 *			scheduler grants nothing for the report, see
 *			scheduler_on_renewal_report()
 */
gboolean pool_runner_on_renewal_report(struct pool_runner *p, const char *node,
				       const struct renewal_report *report,
				       struct renewal_grant *grant);

/** Passes the current role to the scheduler and performs what is due. */
void pool_runner_tick(struct pool_runner *p);

/**
 * Returns the monotonic time of the next tick unless an event comes before it,
 * WAKE_NEVER for none.
 */
int64_t pool_runner_due_ms(const struct pool_runner *p, int64_t now_ms);

/** Sets the function to call on each event that may require a tick. */
void pool_runner_on_event(struct pool_runner *p, void (*fn)(void *data),
			  void *data);

/** Reads a job's row that was just written; only the holder does so. */
void pool_runner_poke(struct pool_runner *p, const char *id);

#endif
