/**
 * @file
 * Spreads pools evenly over processes by rendezvous hashing, with a bound on
 * the pools of each. Every process that sees the same members comes to the
 * same result. Pure.
 */
#ifndef SHARED_POOL_SHARE_H
#define SHARED_POOL_SHARE_H

#include <glib.h>
#include <stdint.h>

/** Returns the score of a member for a key; the highest one comes first. */
uint64_t pool_share_score(const char *key, const char *member);

/**
 * Returns a member's place among the candidates for a pool, 0 for the first.
 *
 * @param pools		of char *, sorted
 * @param members	of char *
 */
guint pool_share_rank(const GPtrArray *pools, const GPtrArray *members,
		      const char *pool, const char *member);

#endif
