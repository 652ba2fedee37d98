/**
 * @file
 * Returns heap memory that is unused after a burst to the operating system.
 * Bursts are, for example, the takeover of a pool, a large list or many
 * concurrent requests.
 */
#ifndef DAEMON_HEAP_SERVICE_H
#define DAEMON_HEAP_SERVICE_H

#include "base/kernel.h"

#define HEAP_SERVICE "heap"

struct service *heap_service_new(void);

#endif
