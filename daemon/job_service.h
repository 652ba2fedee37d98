/**
 * @file
 * The service "jobs" of the scheduler daemon: schedules those pools of this
 * failure domain whose lease this process holds.
 */
#ifndef DAEMON_JOB_SERVICE_H
#define DAEMON_JOB_SERVICE_H

#include "base/kernel.h"

#define JOB_SERVICE "jobs"

struct pool_runner;

struct service *job_service_new(void);

/** Returns the runner of a pool, NULL if this process has none. */
struct pool_runner *job_service_find(const struct kernel *k, const char *pool);

#endif
