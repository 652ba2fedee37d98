/**
 * @file
 * Holds the bytes of a repeated read to a mean rate: each answer is a debt that
 * is worked off at the rate. Pure: no calls, no clock.
 */
#ifndef BASE_BYTE_PACE_H
#define BASE_BYTE_PACE_H

#include <stdint.h>

struct byte_pace {
	int64_t bytes_per_s;
	int64_t debt_bytes; /**< not yet worked off */
	int64_t debt_ms;    /**< when that was so */
};

/** Counts the bytes of an answer. */
void byte_pace_add(struct byte_pace *p, int64_t bytes, int64_t now_ms);

/**
 * Returns how long the next read has to wait, in ms.
 *
 * @param allowed_bytes	of debt that keep no read back
 */
int64_t byte_pace_delay_ms(struct byte_pace *p, int64_t allowed_bytes,
			   int64_t now_ms);

#endif
