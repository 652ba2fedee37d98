/**
 * @file
 * A walk over the table "claims" in parts, by the hash that its keys begin
 * with. Parts get smaller when answers are large, and larger when they are
 * nearly empty. Pure: no calls, no clock.
 */
#ifndef REQUEST_CLAIM_WALK_H
#define REQUEST_CLAIM_WALK_H

#include <glib.h>
#include <stdint.h>

/** Of an answer: smaller parts from here on. */
#define CLAIM_WALK_LARGE_BYTES INT64_C(32768)
/** Of an answer: larger parts below. */
#define CLAIM_WALK_SMALL_BYTES (CLAIM_WALK_LARGE_BYTES / 16)

struct claim_walk {
	uint32_t position; /**< of the part in the range of hashes */
	guint digits;	   /**< of the hash that the part's keys share */
	uint64_t covered;  /**< in this pass */
};

/** @param node	whose name says where the walk begins */
void claim_walk_init(struct claim_walk *w, const char *node);

/** Returns what the keys of the part begin with; free it. */
char *claim_walk_prefix(const struct claim_walk *w);

/**
 * Goes on to the next part.
 *
 * @param bytes		of the answer to this one
 * @return		TRUE when all parts have been walked
 */
gboolean claim_walk_next(struct claim_walk *w, int64_t bytes);

#endif
