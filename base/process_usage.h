/**
 * @file
 * Processor time and memory of this process, as gauges.
 */
#ifndef BASE_PROCESS_USAGE_H
#define BASE_PROCESS_USAGE_H

#include <stdint.h>

#include "base/counters.h"

/** Reads the usage of this process into gauges named cs_process_*. */
void process_usage_update(struct counters *counters);

/** Returns the resident bytes that no file has, 0 where it isn't told. */
int64_t process_usage_private_bytes(void);

#endif
