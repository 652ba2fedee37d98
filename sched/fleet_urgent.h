/**
 * @file
 * Keeps room for urgent jobs. Work that a stop throws away is placed only in
 * rooms that urgent jobs have not needed of late; work with checkpoints may use
 * the others meanwhile, as it loses nothing when it is stopped.
 */
#ifndef SCHED_FLEET_URGENT_H
#define SCHED_FLEET_URGENT_H

#include "sched/fleet_round.h"

/** Updates what urgent jobs need now or needed of late, and the rooms that are
 * kept for them. */
void fleet_urgent_update(struct fleet_round *r, const GPtrArray *units);

/** Notes that what is in use has changed; part of fleet_round_take(). */
void fleet_urgent_note_use(struct fleet_round *r);

/** Tells whether a unit may be placed in a room. */
gboolean fleet_urgent_may_use(const struct fleet_round *r,
			      const struct fleet_unit *u,
			      const struct fleet_room *room);

/**
 * Returns how many tasks of a unit may be placed now; a gang only if that is
 * all of them.
 */
guint fleet_urgent_allowed(const struct fleet_round *r,
			   const struct fleet_unit *u);

#endif
