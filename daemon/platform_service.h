/**
 * @file
 * The service "platform": this process's client of the platform and its copy
 * of the VM list.
 */
#ifndef DAEMON_PLATFORM_SERVICE_H
#define DAEMON_PLATFORM_SERVICE_H

#include "base/kernel.h"
#include "store/platform.h"
#include "store/vm_reader.h"

#define PLATFORM_SERVICE "platform"

struct service *platform_service_new(void);

struct platform *platform_of(const struct kernel *k);

/** Returns the VM list reader that all services of this process share. */
struct vm_reader *vm_reader_of(const struct kernel *k);

#endif
