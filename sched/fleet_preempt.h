/**
 * @file
 * Frees capacity for urgent units by stopping the tasks of lower priority that
 * lose the least work.
 */
#ifndef SCHED_FLEET_PREEMPT_H
#define SCHED_FLEET_PREEMPT_H

#include "sched/fleet_round.h"

/**
 * Stops tasks of lower priority so that the whole unit will fit, and reserves
 * the freed capacity. Does nothing if no such stops free enough.
 *
 * @param options	racks to choose from, see fleet_round_choose_whole()
 * @param c		scratch space
 * @return		FALSE if nothing was stopped
 */
gboolean fleet_preempt(struct fleet_round *r, struct fleet_unit *u,
		       const GPtrArray *options, struct worker_choice *c);

#endif
