/**
 * @file
 * Reservation of a rack for a waiting gang, so that its tasks can run out
 * there. For the files of the fleet scheduler only.
 */
#ifndef SCHED_FLEET_RESERVE_H
#define SCHED_FLEET_RESERVE_H

#include "sched/fleet_round.h"

/**
 * Reserves, for a gang that has waited for a while, what it needs of the rack
 * that will have the most free accelerators. A rack that the gang can't get, as
 * services hold too much of it, is not reserved; a reservation lapses for a
 * while if it doesn't lead to a start.
 *
 * @param options	racks that the gang may use, NULL for several at once
 * @return		FALSE if nothing is reserved
 */
gboolean fleet_reserve_rack(struct fleet_round *r, const struct fleet_unit *u,
			    const GPtrArray *options);

#endif
