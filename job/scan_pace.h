/**
 * @file
 * When the holder of a pool reads the rows of its jobs again: no sooner than
 * the bytes of the answers allow, but at once when the scheduler asks for it.
 * Pure: no calls, no clock.
 */
#ifndef JOB_SCAN_PACE_H
#define JOB_SCAN_PACE_H

#include <stdint.h>

#include "base/byte_pace.h"

/** Shortest time from an answer to the next scan. */
#define SCAN_PACE_MIN_MS INT64_C(2000)
/** Mean of the answers that a holder may have. */
#define SCAN_PACE_BYTES_PER_S INT64_C(4000)

struct scan_pace {
	struct byte_pace bytes;
	int64_t next_ms; /**< of the next scan */
};

void scan_pace_init(struct scan_pace *p);

/** The scheduler waits for a scan: its bytes are worked off after it. */
void scan_pace_ask(struct scan_pace *p);

/** Counts an answer that came, also one that is of no use any more. */
void scan_pace_add(struct scan_pace *p, int64_t bytes, int64_t now_ms);

/** Sets when to scan again, whatever the outcome was. */
void scan_pace_plan(struct scan_pace *p, int64_t now_ms);

#endif
