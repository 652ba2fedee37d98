/**
 * @file
 * The service "status": answers GET /v1/status with this process's own state,
 * its members, configuration version and leases.
 */
#ifndef SHARED_STATUS_SERVICE_H
#define SHARED_STATUS_SERVICE_H

#include "base/kernel.h"

#define STATUS_SERVICE "status"

struct service *status_service_new(void);

#endif
