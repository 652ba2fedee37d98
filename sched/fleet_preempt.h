/**
 * @file
 * Frees capacity for urgent units by stopping the tasks that lose the least
 * work: those of lower priority first, then urgent ones that the unit's account
 * may take back by its guarantee.
 */
#ifndef SCHED_FLEET_PREEMPT_H
#define SCHED_FLEET_PREEMPT_H

#include "sched/fleet_round.h"

/**
 * Stops tasks so that the unit will fit, and reserves the freed capacity. Does
 * nothing if no such stops free enough: for a gang and for work beyond a
 * guarantee, capacity for all tasks.
 *
 * @param options	racks to choose from, see fleet_round_choose_whole()
 * @param c		scratch space
 * @return		number of tasks that will fit, the first ones of the
 * unit
 */
guint fleet_preempt(struct fleet_round *r, struct fleet_unit *u,
		    const GPtrArray *options, struct worker_choice *c);

#endif
