/**
 * @file
 * CPU time and memory use of this process, as gauges.
 */
#ifndef BASE_PROCESS_USAGE_H
#define BASE_PROCESS_USAGE_H

#include <stdint.h>

#include "base/counters.h"

/** Updates the gauges cs_process_* from the usage of this process. */
void process_usage_update(struct counters *counters);

/** Returns the resident bytes not backed by files, 0 if unavailable. */
int64_t process_usage_private_bytes(void);

#endif
