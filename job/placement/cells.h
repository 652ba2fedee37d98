/**
 * @file
 * The default policy. Work within a guarantee goes to the guarantee's slots,
 * which move to where the least borrowed work has to stop. Other work is
 * borrowed: placed by best fit per cell, preferably not on planned slots or on
 * racks that are still empty.
 */
#ifndef JOB_PLACEMENT_CELLS_H
#define JOB_PLACEMENT_CELLS_H

#include "job/placement/placement.h"

extern const struct placement_policy_class cells_policy;

#endif
