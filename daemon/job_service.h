/**
 * @file
 * The service "jobs" of the scheduler daemon: schedules the pools of this
 * failure domain that this process holds the lease of.
 */
#ifndef DAEMON_JOB_SERVICE_H
#define DAEMON_JOB_SERVICE_H

#include "base/kernel.h"

#define JOB_SERVICE "jobs"

struct pool_runner;

struct service *job_service_new(void);

/** Returns the runner of a pool, or NULL. */
struct pool_runner *job_service_find(const struct kernel *k, const char *pool);

#endif
