/**
 * @file
 * The service "job_api" of the gateway: callers submit, read and cancel jobs.
 * A job is accepted once its row is in the table; the pool's holder is then
 * notified.
 */
#ifndef DAEMON_JOB_API_H
#define DAEMON_JOB_API_H

#include "base/kernel.h"

#define JOB_API_SERVICE "job_api"

struct service *job_api_service_new(void);

#endif
