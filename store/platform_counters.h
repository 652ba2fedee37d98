/**
 * @file
 * Metrics of the platform's client.
 */
#ifndef STORE_PLATFORM_COUNTERS_H
#define STORE_PLATFORM_COUNTERS_H

#include "base/counters.h"

struct platform_counters {
	struct counter *reads;
	struct counter *writes;
	struct counter *unknown; /**< writes with an unknown outcome */
	struct counter *unavailable;
	struct counter *refused; /**< calls that were not sent */
	struct counter *breaker_openings;
	struct counter *waiting; /**< gauge of queued calls */
	struct counter *sent_bytes;
	struct counter *received_bytes;
	struct histogram *latency;
};

void platform_counters_init(struct platform_counters *p, struct counters *c);

#endif
