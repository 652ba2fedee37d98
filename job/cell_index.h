/**
 * @file
 * An index of cells (racks or workers, by their number) ordered by a small
 * integer key such as free accelerators. A search for the best fit starts at
 * the least acceptable key; each step to the next cell takes constant time.
 */
#ifndef JOB_CELL_INDEX_H
#define JOB_CELL_INDEX_H

#include <glib.h>
#include <stdint.h>

/**
 * Greatest key in an index. Greater keys are stored as this one, so a search
 * for a greater key also returns cells with smaller ones.
 */
#define CELL_INDEX_MAX_KEY 511
#define CELL_INDEX_WORDS ((CELL_INDEX_MAX_KEY + 1) / 64)

struct cell_index {
	/** Of guint cells by key, NULL until used. */
	GArray *buckets[CELL_INDEX_MAX_KEY + 1];
	uint64_t nonempty_buckets[CELL_INDEX_WORDS]; /**< bitmap by key */
	GArray *keys;	   /**< of int, key by cell; -1 if not indexed */
	GArray *positions; /**< of guint, position in its bucket by cell */
};

/** A position in an index; any change of the index invalidates it. */
struct cell_cursor {
	int key;
	guint position;
};

void cell_index_init(struct cell_index *ix);
void cell_index_clear(struct cell_index *ix);

/** Sets the key of a cell; a negative key removes the cell from the index. */
void cell_index_set(struct cell_index *ix, guint cell, int64_t key);

/** Returns a cursor before the first cell whose key is at least @least_key. */
struct cell_cursor cell_index_from(const struct cell_index *ix,
				   int64_t least_key);

/** Returns the next cell by ascending key in @cell, or FALSE at the end. */
gboolean cell_index_next(const struct cell_index *ix, struct cell_cursor *c,
			 guint *cell);

/** Returns a cursor at the greatest key, for cell_index_previous(). */
struct cell_cursor cell_index_from_top(const struct cell_index *ix);

/** Returns the next cell by descending key in @cell, or FALSE at the end. */
gboolean cell_index_previous(const struct cell_index *ix, struct cell_cursor *c,
			     guint *cell);

#endif
