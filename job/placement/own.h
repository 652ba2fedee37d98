/**
 * @file
 * Places a job within the guarantees of its account: chooses slots and moves
 * idle ones to where the least borrowed work has to stop.
 */
#ifndef JOB_PLACEMENT_OWN_H
#define JOB_PLACEMENT_OWN_H

#include "job/placement/reclaim.h"

/** A way to place a job within its account's guarantees. */
struct own_offer {
	GPtrArray *workers; /**< of struct worker_cell, one a member */
	struct reclaim reclaim;
	gboolean is_snug;  /**< the job fills at least half of its slots */
	gboolean is_whole; /**< it is snug and takes a whole guarantee */
	const char *runner_up;
};

/**
 * Finds the offer with the least loss. Idle slots may have moved afterwards,
 * which breaks no guarantee, whether the offer is taken or not.
 *
 * @return	FALSE when the job is not within the account's guarantees;
 *		own_offer_clear() in any case
 */
gboolean own_offer_find(struct own_offer *o, struct pool *pool,
			const struct pool_job *job, int64_t now_ms);
void own_offer_clear(struct own_offer *o);

#endif
