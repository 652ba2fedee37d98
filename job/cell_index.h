/**
 * @file
 * An index of cells by a small key such as free accelerators: cells are found
 * from a least key upwards (best fit first) at constant cost for each step.
 */
#ifndef JOB_CELL_INDEX_H
#define JOB_CELL_INDEX_H

#include <glib.h>
#include <stdint.h>

/** Keys from here on share the last bucket. */
#define CELL_INDEX_MAX_KEY 511
#define CELL_INDEX_WORDS ((CELL_INDEX_MAX_KEY + 1) / 64)

struct cell_index {
	GArray *buckets[CELL_INDEX_MAX_KEY + 1]; /**< of guint, may be NULL */
	uint64_t used[CELL_INDEX_WORDS]; /**< one bit a bucket with cells */
	GArray *keys;			 /**< of int by cell, -1 when absent */
	GArray *positions;		 /**< of guint by cell, in its bucket */
};

/** A place in an index; any change of the index makes it void. */
struct cell_cursor {
	int key;
	guint position;
};

void cell_index_init(struct cell_index *ix);
void cell_index_clear(struct cell_index *ix);

/** Puts a cell under a key, or takes it out when the key is negative. */
void cell_index_set(struct cell_index *ix, guint cell, int64_t key);

/** Returns a cursor before the first cell with at least this key. */
struct cell_cursor cell_index_from(const struct cell_index *ix,
				   int64_t least_key);

/** Steps to the next cell in order of keys; FALSE at the end. */
gboolean cell_index_next(const struct cell_index *ix, struct cell_cursor *c,
			 guint *cell);

/** Returns a cursor before the last cell, for cell_index_previous(). */
struct cell_cursor cell_index_from_top(const struct cell_index *ix);

/** Steps through the cells from the greatest key down; FALSE at the end. */
gboolean cell_index_previous(const struct cell_index *ix, struct cell_cursor *c,
			     guint *cell);

#endif
