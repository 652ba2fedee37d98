#include "request/claim_walk.h"

#include "request/claim.h"

#define HASH_BITS 32U
#define DIGIT_BITS 4U
#define FIRST_DIGITS 4U
#define MAX_DIGITS 7U

static uint64_t width(guint digits)
{
	return UINT64_C(1) << (HASH_BITS - DIGIT_BITS * digits);
}

void claim_walk_init(struct claim_walk *w, const char *node)
{
	uint32_t hash = claim_key_hash(node);

	*w = (struct claim_walk){ .digits = FIRST_DIGITS };
	w->position = hash - hash % (uint32_t)width(FIRST_DIGITS);
}

char *claim_walk_prefix(const struct claim_walk *w)
{
	char *text = g_strdup_printf("%08x", w->position);

	text[w->digits] = '\0';
	return text;
}

static void adapt(struct claim_walk *w, int64_t bytes)
{
	if (bytes > CLAIM_WALK_LARGE_BYTES && w->digits < MAX_DIGITS)
		w->digits++;
	else if (bytes < CLAIM_WALK_SMALL_BYTES && w->digits > 0 &&
		 w->position % width(w->digits - 1) == 0)
		w->digits--;
}

gboolean claim_walk_next(struct claim_walk *w, int64_t bytes)
{
	uint64_t step = width(w->digits);
	gboolean is_over;

	w->position += (uint32_t)step;
	w->covered += step;
	is_over = w->covered >= width(0);
	if (is_over)
		w->covered = 0;
	adapt(w, bytes);
	return is_over;
}
