/**
 * @file
 * Gives memory back that bursts leave unused: a takeover of a pool, a large
 * list, a wave of requests.
 */
#ifndef DAEMON_HEAP_SERVICE_H
#define DAEMON_HEAP_SERVICE_H

#include "base/kernel.h"

#define HEAP_SERVICE "heap"

struct service *heap_service_new(void);

#endif
