/**
 * @file
 * A baseline that counts accelerators: an account within its quota, the sum of
 * its guaranteed shapes, may stop work of accounts beyond theirs, as much as
 * it takes to make room (defragmentation by stopping). It knows no cells, so
 * the count may be kept while the shape can't be had.
 */
#ifndef JOB_PLACEMENT_QUOTA_H
#define JOB_PLACEMENT_QUOTA_H

#include "job/placement/placement.h"

extern const struct placement_policy_class quota_policy;

#endif
