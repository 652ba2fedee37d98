/**
 * @file
 * The service "pool_holder": while this process holds the lease on the pool,
 * it reads what is stored, takes up what the workers run, and schedules.
 */
#ifndef ENTRY_POOL_HOLDER_H
#define ENTRY_POOL_HOLDER_H

#include "base/kernel.h"

#define POOL_HOLDER_SERVICE "pool_holder"

/**
 * Workers that a holder has given work, so that a successor knows of those
 * that have lost their registration.
 */
#define WORKER_USE_TABLE "workers"

struct service *pool_holder_new(void);

#endif
