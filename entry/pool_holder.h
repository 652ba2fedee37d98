/**
 * @file
 * The service "pool_holder": while this process holds the lease on the pool,
 * it reads the pool's stored state, adopts the tasks that workers already run,
 * and schedules.
 */
#ifndef ENTRY_POOL_HOLDER_H
#define ENTRY_POOL_HOLDER_H

#include "base/kernel.h"

#define POOL_HOLDER_SERVICE "pool_holder"

/**
 * Table of workers that may run tasks, keyed by worker id. It lets a new holder
 * find workers whose registration was removed while they may still run tasks.
 */
#define WORKER_USE_TABLE "workers"

struct service *pool_holder_new(void);

#endif
