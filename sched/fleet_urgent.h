/**
 * @file
 * Keeps capacity for urgent jobs. Work that a stop would lose is placed only in
 * on workers that urgent jobs have not needed recently. Work with checkpoints
 * may use the others meanwhile, as it loses nothing when it is stopped.
 */
#ifndef SCHED_FLEET_URGENT_H
#define SCHED_FLEET_URGENT_H

#include "sched/fleet_round.h"

/**
 * Updates the urgent jobs' recent peak, the workers kept for them and the
 * accelerators of work that a stop would lose.
 */
void fleet_urgent_update(struct fleet_round *r, const GPtrArray *units);

/** Updates is_lightly_used after a change of in_use. */
void fleet_urgent_update_use(struct fleet_round *r);

/**
 * Returns TRUE if a unit may be placed on a worker: any unit while the pool is
 * lightly used; otherwise work that a stop would lose uses the workers kept for
 * urgent jobs only in the rack of its data.
 */
gboolean fleet_urgent_may_use(const struct fleet_round *r,
			      const struct fleet_unit *u,
			      const struct fleet_round_worker *rw);

/**
 * Returns how many tasks of a unit may be placed now. A gang may be placed only
 * if that is all of its tasks.
 */
guint fleet_urgent_allowed(const struct fleet_round *r,
			   const struct fleet_unit *u);

#endif
