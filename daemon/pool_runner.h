/**
 * @file
 * Runs the scheduler of one pool: carries its calls to the workers and to the
 * platform, and the answers back.
 */
#ifndef DAEMON_POOL_RUNNER_H
#define DAEMON_POOL_RUNNER_H

#include "base/kernel.h"
#include "job/scheduler.h"

struct pool_runner;

/** Returns a new runner; the pool's role is asked of the lease service. */
struct pool_runner *pool_runner_new(struct kernel *k, const char *pool);
void pool_runner_free(struct pool_runner *p);

const char *pool_runner_pool(const struct pool_runner *p);
struct scheduler *pool_runner_scheduler(struct pool_runner *p);

/**
 * Takes a delegate's report, when this process holds the pool now.
 *
 * @param grant		initialised; filled for TRUE, to be sent at once
 */
gboolean pool_runner_on_renewal_report(struct pool_runner *p, const char *node,
				       const struct renewal_report *report,
				       struct renewal_grant *grant);

/** Takes the present role and acts on what is due. */
void pool_runner_tick(struct pool_runner *p);

/** Returns when to tick unless an event comes before, WAKE_NEVER for never. */
int64_t pool_runner_due_ms(const struct pool_runner *p, int64_t now_ms);

/** Has a function called at each event that may need a tick. */
void pool_runner_on_event(struct pool_runner *p, void (*fn)(void *data),
			  void *data);

/** Reads one row, because it has just been written. */
void pool_runner_poke(struct pool_runner *p, const char *id);

#endif
