/**
 * @file
 * Places a job within its own account's guarantees: chooses slots and moves
 * idle ones to where the least borrowed work has to stop.
 */
#ifndef JOB_PLACEMENT_GUARANTEED_H
#define JOB_PLACEMENT_GUARANTEED_H

#include "job/placement/reclaim.h"

/** A way to place a job within its account's guarantees. */
struct guaranteed_offer {
	GPtrArray *workers; /**< of struct worker_cell, one per member */
	struct reclaim reclaim;
	gboolean is_good_fit; /**< the job fills at least half of its slots */
	gboolean is_whole_guarantee; /**< good fit, takes a whole guarantee */
	const char *runner_up; /**< next best cell, "" for none; not owned */
};

/**
 * Finds the offer that loses the least work. It may move idle slots, whether
 * the offer is accepted or not; no guarantee loses its plan by that.
 *
 * @param o	out: initialised in any case, free it with
 *		guaranteed_offer_clear()
 * @return	FALSE when the account's guarantees don't cover the job
 */
gboolean guaranteed_offer_find(struct guaranteed_offer *o, struct pool *pool,
			       const struct pool_job *job, int64_t now_ms);
void guaranteed_offer_clear(struct guaranteed_offer *o);

#endif
