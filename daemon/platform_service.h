/**
 * @file
 * The service "platform": the platform's client of this process.
 */
#ifndef DAEMON_PLATFORM_SERVICE_H
#define DAEMON_PLATFORM_SERVICE_H

#include "base/kernel.h"
#include "platform/platform.h"

#define PLATFORM_SERVICE "platform"

struct service *platform_service_new(void);

struct platform *platform_of(const struct kernel *k);

#endif
