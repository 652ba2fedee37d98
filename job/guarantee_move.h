/**
 * @file
 * Moves idle slots of guarantees to given workers.
 */
#ifndef JOB_GUARANTEE_MOVE_H
#define JOB_GUARANTEE_MOVE_H

#include "job/pool_state.h"

/** Takes idle slots of others off a worker until one of a guarantee fits. */
gboolean guarantee_make_room(struct pool *pool, struct worker_cell *w,
			     const struct guarantee *g);

/**
 * Moves idle slots of one guarantee to given workers, as near each other as
 * it needs. Idle slots of others that are in the way are planned elsewhere.
 *
 * @return	FALSE, and nothing changed, when a slot would lose its place
 */
gboolean guarantee_move(struct pool *pool, struct slot **slots,
			struct worker_cell **targets, guint count);

#endif
