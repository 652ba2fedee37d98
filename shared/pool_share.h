/**
 * @file
 * Distributes pools over processes by rendezvous hashing with bounded loads: no
 * process is first candidate for more pools than its even share, rounded up.
 * Processes with the same members compute the same result. Performs no I/O.
 */
#ifndef SHARED_POOL_SHARE_H
#define SHARED_POOL_SHARE_H

#include <glib.h>
#include <stdint.h>

/** Returns the rendezvous score of a member for a key; the highest wins. */
uint64_t pool_share_score(const char *key, const char *member);

/**
 * Returns a member's rank among the candidates for a pool, 0 for the first.
 *
 * @param pools		of char *, sorted
 * @param members	of char *, node names
 */
guint pool_share_rank(const GPtrArray *pools, const GPtrArray *members,
		      const char *pool, const char *member);

#endif
