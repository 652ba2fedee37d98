/**
 * @file
 * Schedules the scans of a pool's job rows by its holder: rate-limited by the
 * bytes of the answers, but immediate when the scheduler requests one. Performs
 * no I/O and reads no clock.
 */
#ifndef JOB_SCAN_PACE_H
#define JOB_SCAN_PACE_H

#include <stdint.h>

#include "base/byte_pace.h"

/** Minimum time from an answer to the next scan. */
#define SCAN_PACE_MIN_MS INT64_C(2000)
/** Mean rate of the answers that one holder may read. */
#define SCAN_PACE_BYTES_PER_S INT64_C(4000)

struct scan_pace {
	struct byte_pace bytes;
	int64_t next_ms; /**< earliest time of the next scan */
};

void scan_pace_init(struct scan_pace *p);

/** Makes a scan due at once; its bytes delay the scans after it. */
void scan_pace_request_now(struct scan_pace *p);

/** Counts the bytes of an answer, also of one that is discarded. */
void scan_pace_add(struct scan_pace *p, int64_t bytes, int64_t now_ms);

/** Schedules the next scan, after a success or a failure. */
void scan_pace_schedule_next(struct scan_pace *p, int64_t now_ms);

#endif
