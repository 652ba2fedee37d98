/**
 * @file
 * Baseline policies that ignore guarantees: the first workers with room, in
 * arrival order ("first_fit") or with backfill ("backfill").
 */
#ifndef JOB_PLACEMENT_FIRST_FIT_H
#define JOB_PLACEMENT_FIRST_FIT_H

#include "job/placement/placement.h"

extern const struct placement_policy_class first_fit_policy;
extern const struct placement_policy_class backfill_policy;

#endif
