#include "link/pack_check.h"

#include <stdint.h>

#define FIRST_OF_TABLE 0xc0
#define FIRST_NEGATIVE 0xe0
#define FIXMAP 0x80
#define FIXARRAY 0x90
#define FIXSTR 0xa0

/* What follows a type byte of the table. */
struct token {
	uint8_t size_bytes;  /* of a big endian number that follows it */
	uint8_t extra_bytes; /* fixed payload */
	uint8_t per_size;    /* payload bytes for each of the number */
	uint8_t children;    /* values for each of the number */
};

static const struct token tokens[FIRST_NEGATIVE - FIRST_OF_TABLE] = {
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
	const uint8_t *at;
	gsize left;
	uint64_t values; /* that must still follow */
};

static gboolean skip(struct cursor *c, uint64_t bytes)
{
	if (bytes > c->left)
		return FALSE;
	c->at += bytes;
	c->left -= bytes;
	return TRUE;
}

static gboolean take_table_token(struct cursor *c, const struct token *t)
{
	uint64_t size = 0;

	if (t->size_bytes > c->left)
		return FALSE;
	for (uint8_t i = 0; i < t->size_bytes; i++)
		size = size << 8 | c->at[i];
	c->values += size * t->children;
	return skip(c, t->size_bytes + t->extra_bytes + size * t->per_size);
}

static gboolean take_value(struct cursor *c)
{
	uint8_t type = *c->at;

	skip(c, 1);
	c->values--;
	if (type < FIXMAP || type >= FIRST_NEGATIVE)
		return TRUE;
	if (type >= FIRST_OF_TABLE)
		return take_table_token(c, &tokens[type - FIRST_OF_TABLE]);
	if (type >= FIXSTR)
		return skip(c, type - FIXSTR);
	if (type >= FIXARRAY)
		c->values += type - FIXARRAY;
	else
		c->values += (uint64_t)(type - FIXMAP) * 2;
	return TRUE;
}

gboolean pack_check(const void *data, gsize bytes)
{
	struct cursor c = { .at = data, .left = bytes, .values = 1 };

	while (c.values > 0) {
		/* Each value takes a byte at least. */
		if (c.values > c.left || !take_value(&c))
			return FALSE;
	}
	return c.left == 0;
}
