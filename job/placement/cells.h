/**
 * @file
 * The default policy. Work within a guarantee goes to the guarantee's slots,
 * which move to where the least borrowed work has to stop. Other work is
 * borrowed: best fit by cell, away from planned slots and from racks that are
 * still whole.
 */
#ifndef JOB_PLACEMENT_CELLS_H
#define JOB_PLACEMENT_CELLS_H

#include "job/placement/placement.h"

extern const struct placement_policy_class cells_policy;

#endif
