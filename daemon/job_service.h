/**
 * @file
 * The service "jobs" of the scheduler daemon: schedules the pools of this
 * failure domain that this process holds the lease of.
 */
#ifndef DAEMON_JOB_SERVICE_H
#define DAEMON_JOB_SERVICE_H

#include "base/kernel.h"

#define JOB_SERVICE "jobs"

struct service *job_service_new(void);

#endif
