/**
 * @file
 * Moves idle slots of guarantees to chosen workers.
 */
#ifndef JOB_GUARANTEE_MOVE_H
#define JOB_GUARANTEE_MOVE_H

#include "job/pool_state.h"

/**
 * Unplans idle slots of other guarantees on a worker until a slot of @g fits.
 *
 * @return	FALSE when it doesn't fit even without them; they stay unplanned
 */
gboolean guarantee_displace_idle(struct pool *pool, struct worker_cell *w,
				 const struct guarantee *g);

/**
 * Moves idle slots of one guarantee to the given workers, which must satisfy
 * its adjacency. Idle slots of other guarantees that are in the way are planned
 * elsewhere.
 *
 * @param targets	the worker for each slot
 * @param count		number of slots and of targets
 * @return		FALSE, with the plan unchanged, when any planned slot
 *			would end up without a worker
 */
gboolean guarantee_move(struct pool *pool, struct slot **slots,
			struct worker_cell **targets, guint count);

#endif
