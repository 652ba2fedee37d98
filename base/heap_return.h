/**
 * @file
 * When to ask the C library for the memory that it keeps after a burst: it
 * gives back by itself only what is free at the end of the heap. Pure.
 */
#ifndef BASE_HEAP_RETURN_H
#define BASE_HEAP_RETURN_H

#include <glib.h>
#include <stdint.h>

/** Unused memory beyond what could not be given back last. */
#define HEAP_RETURN_SLACK_BYTES (INT64_C(1) << 20)

struct heap_return {
	int64_t left_bytes; /**< what asking does not give back */
};

/**
 * Tells whether asking is worth its time.
 *
 * @param unused_bytes	resident and not in use
 */
gboolean heap_return_is_due(struct heap_return *h, int64_t unused_bytes);

/** Takes note of what was left unused after the C library was asked. */
void heap_return_on_done(struct heap_return *h, int64_t unused_bytes);

#endif
