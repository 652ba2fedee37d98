/**
 * @file
 * What the platform's client counts of its calls.
 */
#ifndef STORE_PLATFORM_COUNTERS_H
#define STORE_PLATFORM_COUNTERS_H

#include "base/counters.h"

struct platform_counters {
	struct counter *reads;
	struct counter *writes;
	struct counter *unknown;
	struct counter *unavailable;
	struct counter *refused;
	struct counter *openings;
	struct counter *waiting; /**< gauge */
	struct counter *sent_bytes;
	struct counter *received_bytes;
	struct histogram *latency;
};

void platform_counters_init(struct platform_counters *p, struct counters *c);

#endif
