/**
 * @file
 * A baseline policy that counts accelerators: an account within its quota, the
 * sum of its guaranteed shapes, may stop as much work of accounts that exceed
 * theirs as it takes to make room (defragmentation by preemption). It ignores
 * cells, so an account can have its quota free and still not get its shape.
 */
#ifndef JOB_PLACEMENT_QUOTA_H
#define JOB_PLACEMENT_QUOTA_H

#include "job/placement/placement.h"

extern const struct placement_policy_class quota_policy;

#endif
