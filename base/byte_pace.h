/**
 * @file
 * Limits the mean byte rate of a repeated read: each response adds to a debt
 * that falls at that rate. Pure: no I/O, no clock.
 */
#ifndef BASE_BYTE_PACE_H
#define BASE_BYTE_PACE_H

#include <stdint.h>

struct byte_pace {
	int64_t bytes_per_s;
	int64_t debt_bytes; /**< as of updated_ms */
	int64_t updated_ms; /**< monotonic time */
};

/** Adds the size of a response to the debt. */
void byte_pace_add(struct byte_pace *p, int64_t bytes, int64_t now_ms);

/**
 * Returns how long the next read has to wait, in ms.
 *
 * @param allowed_bytes	debt up to which a read needs no delay
 */
int64_t byte_pace_delay_ms(struct byte_pace *p, int64_t allowed_bytes,
			   int64_t now_ms);

#endif
