#include "link/pack_check.h"

#include <stdint.h>

#define TABLE_FIRST_TYPE 0xc0
#define NEGATIVE_FIXINT 0xe0
#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0

/* Format of a value, by its type byte less TABLE_FIRST_TYPE. */
struct type_format {
	uint8_t size_bytes;	 /* width of the big endian size field, or 0 */
	uint8_t extra_bytes;	 /* fixed payload after the size field */
	uint8_t bytes_per_size;	 /* payload bytes per unit of the size */
	uint8_t values_per_size; /* nested values per unit of the size */
};

static const struct type_format formats[NEGATIVE_FIXINT - TABLE_FIRST_TYPE] = {
	[0x04] = { 1, 0, 1, 0 }, /* bin 8, 16, 32 */
	[0x05] = { 2, 0, 1, 0 },
	[0x06] = { 4, 0, 1, 0 },
	[0x07] = { 1, 1, 1, 0 }, /* ext 8, 16, 32 */
	[0x08] = { 2, 1, 1, 0 },
	[0x09] = { 4, 1, 1, 0 },
	[0x0a] = { 0, 4, 0, 0 }, /* float 32, 64 */
	[0x0b] = { 0, 8, 0, 0 },
	[0x0c] = { 0, 1, 0, 0 }, /* uint 8, 16, 32, 64 */
	[0x0d] = { 0, 2, 0, 0 },
	[0x0e] = { 0, 4, 0, 0 },
	[0x0f] = { 0, 8, 0, 0 },
	[0x10] = { 0, 1, 0, 0 }, /* int 8, 16, 32, 64 */
	[0x11] = { 0, 2, 0, 0 },
	[0x12] = { 0, 4, 0, 0 },
	[0x13] = { 0, 8, 0, 0 },
	[0x14] = { 0, 2, 0, 0 }, /* fixext 1, 2, 4, 8, 16 */
	[0x15] = { 0, 3, 0, 0 },
	[0x16] = { 0, 5, 0, 0 },
	[0x17] = { 0, 9, 0, 0 },
	[0x18] = { 0, 17, 0, 0 },
	[0x19] = { 1, 0, 1, 0 }, /* str 8, 16, 32 */
	[0x1a] = { 2, 0, 1, 0 },
	[0x1b] = { 4, 0, 1, 0 },
	[0x1c] = { 2, 0, 0, 1 }, /* array 16, 32 */
	[0x1d] = { 4, 0, 0, 1 },
	[0x1e] = { 2, 0, 0, 2 }, /* map 16, 32 */
	[0x1f] = { 4, 0, 0, 2 },
};

struct cursor {
	const uint8_t *next;
	gsize bytes_left;
	uint64_t pending_values; /* values still to be read */
};

static gboolean skip(struct cursor *c, uint64_t bytes)
{
	if (bytes > c->bytes_left)
		return FALSE;
	c->next += bytes;
	c->bytes_left -= bytes;
	return TRUE;
}

static gboolean skip_table_value(struct cursor *c, const struct type_format *t)
{
	uint64_t size = 0;

	if (t->size_bytes > c->bytes_left)
		return FALSE;
	for (uint8_t i = 0; i < t->size_bytes; i++)
		size = size << 8 | c->next[i];
	c->pending_values += size * t->values_per_size;
	return skip(c,
		    t->size_bytes + t->extra_bytes + size * t->bytes_per_size);
}

static gboolean skip_value(struct cursor *c)
{
	uint8_t type = *c->next;

	skip(c, 1);
	c->pending_values--;
	if (type < FIXMAP || type >= NEGATIVE_FIXINT)
		return TRUE;
	if (type >= TABLE_FIRST_TYPE)
		return skip_table_value(c, &formats[type - TABLE_FIRST_TYPE]);
	if (type >= FIXSTR)
		return skip(c, type - FIXSTR);
	if (type >= FIXARRAY)
		c->pending_values += type - FIXARRAY;
	else
		c->pending_values += (uint64_t)(type - FIXMAP) * 2;
	return TRUE;
}

gboolean pack_check(const void *data, gsize bytes)
{
	struct cursor c = { .next = data,
			    .bytes_left = bytes,
			    .pending_values = 1 };

	while (c.pending_values > 0) {
		/* Each value takes at least one byte. */
		if (c.pending_values > c.bytes_left || !skip_value(&c))
			return FALSE;
	}
	return c.bytes_left == 0;
}
