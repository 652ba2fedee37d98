/**
 * @file
 * Makes room for urgent units by stops of other tasks, where that throws away
 * least work.
 */
#ifndef SCHED_FLEET_PREEMPT_H
#define SCHED_FLEET_PREEMPT_H

#include "sched/fleet_round.h"

/**
 * Stops tasks of lower priority so that the whole unit will fit, and takes that
 * room; does nothing when there is no such room to make.
 *
 * @param options	racks, see fleet_round_choose_whole()
 * @param c		scratch
 */
void fleet_preempt(struct fleet_round *r, struct fleet_unit *u,
		   const GPtrArray *options, struct room_choice *c);

#endif
