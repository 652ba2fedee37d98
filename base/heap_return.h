/**
 * @file
 * Decides when to call malloc_trim() after a burst: by itself, the C library
 * returns only memory that is free at the end of the heap. Pure: no I/O.
 */
#ifndef BASE_HEAP_RETURN_H
#define BASE_HEAP_RETURN_H

#include <glib.h>
#include <stdint.h>

/** Unused memory, beyond what the last trim left, that makes a trim due. */
#define HEAP_RETURN_THRESHOLD_BYTES (INT64_C(1) << 20)

struct heap_return {
	int64_t unreturned_bytes; /**< left unused by the last trim */
};

/**
 * Returns TRUE if enough memory is unused to make a trim worth its time.
 *
 * @param unused_bytes	resident memory that is not allocated
 */
gboolean heap_return_is_due(struct heap_return *h, int64_t unused_bytes);

/** Records how much memory is still unused after a trim. */
void heap_return_record_unused(struct heap_return *h, int64_t unused_bytes);

#endif
