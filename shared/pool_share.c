#include "shared/pool_share.h"

#include <string.h>

uint64_t pool_share_score(const char *key, const char *member)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_MD5);
	guint8 digest[16];
	gsize len = sizeof(digest);
	uint64_t score;

	g_checksum_update(checksum, (const guchar *)key, -1);
	g_checksum_update(checksum, (const guchar *)"/", 1);
	g_checksum_update(checksum, (const guchar *)member, -1);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	memcpy(&score, digest, sizeof(score));
	return GUINT64_FROM_BE(score);
}

static gboolean ranks_before(const char *pool, const char *a, const char *b)
{
	uint64_t score_a = pool_share_score(pool, a);
	uint64_t score_b = pool_share_score(pool, b);

	if (score_a != score_b)
		return score_a > score_b;
	return strcmp(a, b) < 0;
}

/* Returns the best member for a pool that has not reached the bound. */
static const char *choose(const GPtrArray *members, const char *pool,
			  const guint *loads, guint bound, guint *index)
{
	const char *best = NULL;

	for (guint i = 0; i < members->len; i++) {
		if (loads[i] >= bound ||
		    (best && !ranks_before(pool, members->pdata[i], best)))
			continue;
		best = members->pdata[i];
		*index = i;
	}
	return best;
}

static const char *first_candidate(const GPtrArray *pools,
				   const GPtrArray *members, const char *pool)
{
	guint bound = (pools->len + members->len - 1) / members->len;
	guint *loads = g_new0(guint, members->len);
	const char *first = NULL;

	for (guint i = 0; i < pools->len && !first; i++) {
		guint index = 0;
		const char *best;

		best = choose(members, pools->pdata[i], loads, bound, &index);
		loads[index]++;
		if (strcmp(pools->pdata[i], pool) == 0)
			first = best;
	}
	g_free(loads);
	return first;
}

guint pool_share_rank(const GPtrArray *pools, const GPtrArray *members,
		      const char *pool, const char *member)
{
	const char *first;
	guint rank = 0;

	if (members->len == 0)
		return 0;
	first = first_candidate(pools, members, pool);
	if (g_strcmp0(first, member) == 0)
		return 0;
	for (guint i = 0; i < members->len; i++) {
		const char *other = members->pdata[i];

		if (g_str_equal(other, member))
			continue;
		if (g_strcmp0(other, first) == 0 ||
		    ranks_before(pool, other, member))
			rank++;
	}
	return rank;
}
