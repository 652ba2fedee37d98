/**
 * @file
 * The service "platform": the platform's client of this process and its
 * copy of the VM list.
 */
#ifndef DAEMON_PLATFORM_SERVICE_H
#define DAEMON_PLATFORM_SERVICE_H

#include "base/kernel.h"
#include "store/platform.h"
#include "store/vm_reader.h"

#define PLATFORM_SERVICE "platform"

struct service *platform_service_new(void);

struct platform *platform_of(const struct kernel *k);

/** Returns the reader of the VM list, for all services of this process. */
struct vm_reader *vm_reader_of(const struct kernel *k);

#endif
