#include "job/cell_index.h"

#include <string.h>

#define ABSENT (-1)
#define WORD_BITS 64

void cell_index_init(struct cell_index *ix)
{
	memset(ix, 0, sizeof(*ix));
	ix->keys = g_array_new(FALSE, FALSE, sizeof(int));
	ix->positions = g_array_new(FALSE, FALSE, sizeof(guint));
}

void cell_index_clear(struct cell_index *ix)
{
	for (guint i = 0; i <= CELL_INDEX_MAX_KEY; i++) {
		if (ix->buckets[i])
			g_array_unref(ix->buckets[i]);
	}
	g_array_unref(ix->keys);
	g_array_unref(ix->positions);
	memset(ix, 0, sizeof(*ix));
}

static void grow_to_cell(struct cell_index *ix, guint cell)
{
	const int absent = ABSENT;
	const guint none = 0;

	while (ix->keys->len <= cell) {
		g_array_append_val(ix->keys, absent);
		g_array_append_val(ix->positions, none);
	}
}

static void remove_cell(struct cell_index *ix, guint cell)
{
	int key = g_array_index(ix->keys, int, cell);
	guint position = g_array_index(ix->positions, guint, cell);
	GArray *bucket;
	guint last;

	if (key == ABSENT)
		return;
	bucket = ix->buckets[key];
	last = g_array_index(bucket, guint, bucket->len - 1);
	g_array_index(bucket, guint, position) = last;
	g_array_index(ix->positions, guint, last) = position;
	g_array_set_size(bucket, bucket->len - 1);
	if (bucket->len == 0)
		ix->nonempty_buckets[key / WORD_BITS] &=
			~(UINT64_C(1) << (key % WORD_BITS));
	g_array_index(ix->keys, int, cell) = ABSENT;
}

void cell_index_set(struct cell_index *ix, guint cell, int64_t key)
{
	int k = key < 0 ? ABSENT : (int)MIN(key, CELL_INDEX_MAX_KEY);
	GArray *bucket;

	grow_to_cell(ix, cell);
	if (g_array_index(ix->keys, int, cell) == k)
		return;
	remove_cell(ix, cell);
	if (k == ABSENT)
		return;
	if (!ix->buckets[k])
		ix->buckets[k] = g_array_new(FALSE, FALSE, sizeof(guint));
	bucket = ix->buckets[k];
	g_array_index(ix->keys, int, cell) = k;
	g_array_index(ix->positions, guint, cell) = bucket->len;
	g_array_append_val(bucket, cell);
	ix->nonempty_buckets[k / WORD_BITS] |= UINT64_C(1) << (k % WORD_BITS);
}

/* Returns the least key >= @key that has cells, or ABSENT. */
static int first_key_from(const struct cell_index *ix, int key)
{
	for (int word = key / WORD_BITS; word < CELL_INDEX_WORDS; word++) {
		uint64_t bits = ix->nonempty_buckets[word];

		if (word == key / WORD_BITS)
			bits &= ~UINT64_C(0) << (key % WORD_BITS);
		if (bits)
			return word * WORD_BITS + __builtin_ctzll(bits);
	}
	return ABSENT;
}

struct cell_cursor cell_index_from(const struct cell_index *ix,
				   int64_t least_key)
{
	int64_t key = CLAMP(least_key, 0, CELL_INDEX_MAX_KEY);

	return (struct cell_cursor){ first_key_from(ix, (int)key), 0 };
}

gboolean cell_index_next(const struct cell_index *ix, struct cell_cursor *c,
			 guint *cell)
{
	if (c->key == ABSENT)
		return FALSE;
	if (c->position >= ix->buckets[c->key]->len) {
		if (c->key == CELL_INDEX_MAX_KEY)
			return FALSE;
		*c = cell_index_from(ix, c->key + 1);
		if (c->key == ABSENT)
			return FALSE;
	}
	*cell = g_array_index(ix->buckets[c->key], guint, c->position);
	c->position++;
	return TRUE;
}

/* Returns the greatest key <= @key that has cells, or ABSENT. */
static int last_key_up_to(const struct cell_index *ix, int key)
{
	for (int word = key / WORD_BITS; key >= 0 && word >= 0; word--) {
		uint64_t bits = ix->nonempty_buckets[word];

		if (word == key / WORD_BITS)
			bits &= ~UINT64_C(0) >>
				(WORD_BITS - 1 - key % WORD_BITS);
		if (bits)
			return word * WORD_BITS + WORD_BITS - 1 -
			       __builtin_clzll(bits);
	}
	return ABSENT;
}

struct cell_cursor cell_index_from_top(const struct cell_index *ix)
{
	return (struct cell_cursor){ last_key_up_to(ix, CELL_INDEX_MAX_KEY),
				     0 };
}

gboolean cell_index_previous(const struct cell_index *ix, struct cell_cursor *c,
			     guint *cell)
{
	if (c->key == ABSENT)
		return FALSE;
	if (c->position >= ix->buckets[c->key]->len) {
		c->key = last_key_up_to(ix, c->key - 1);
		c->position = 0;
		if (c->key == ABSENT)
			return FALSE;
	}
	*cell = g_array_index(ix->buckets[c->key], guint, c->position);
	c->position++;
	return TRUE;
}
