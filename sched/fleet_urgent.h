/**
 * @file
 * Keeps capacity for urgent jobs. Work that a stop would lose is placed only in
 * rooms that urgent jobs have not needed recently. Work with checkpoints may
 * use the others meanwhile, as it loses nothing when it is stopped.
 */
#ifndef SCHED_FLEET_URGENT_H
#define SCHED_FLEET_URGENT_H

#include "sched/fleet_round.h"

/** Updates the urgent jobs' recent peak and the rooms kept for them. */
void fleet_urgent_update(struct fleet_round *r, const GPtrArray *units);

/** Updates is_lightly_used after a change of in_use. */
void fleet_urgent_update_use(struct fleet_round *r);

/** Returns TRUE if a unit may be placed in a room. */
gboolean fleet_urgent_may_use(const struct fleet_round *r,
			      const struct fleet_unit *u,
			      const struct fleet_room *room);

/**
 * Returns how many tasks of a unit may be placed now. A gang may be placed only
 * if that is all of its tasks.
 */
guint fleet_urgent_allowed(const struct fleet_round *r,
			   const struct fleet_unit *u);

#endif
