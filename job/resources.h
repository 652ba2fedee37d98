/**
 * @file
 * Amounts of the resources that a worker has and a task uses.
 */
#ifndef JOB_RESOURCES_H
#define JOB_RESOURCES_H

#include <glib.h>
#include <stdint.h>

#include "config/config_doc.h"

struct resources {
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

/** Returns the resources that one member of a shape needs. */
static inline struct resources resources_of_member(const struct shape *s)
{
	return (struct resources){ s->accelerators, s->cores, s->memory_mb };
}

static inline struct resources resources_plus(struct resources a,
					      struct resources b)
{
	return (struct resources){ a.accelerators + b.accelerators,
				   a.cores + b.cores,
				   a.memory_mb + b.memory_mb };
}

static inline struct resources resources_minus(struct resources a,
					       struct resources b)
{
	return (struct resources){ a.accelerators - b.accelerators,
				   a.cores - b.cores,
				   a.memory_mb - b.memory_mb };
}

/** Returns TRUE if @need is at most @room for every resource. */
static inline gboolean resources_fit(struct resources need,
				     struct resources room)
{
	return need.accelerators <= room.accelerators &&
	       need.cores <= room.cores && need.memory_mb <= room.memory_mb;
}

/** Returns TRUE if every amount is 0. */
static inline gboolean resources_is_zero(struct resources r)
{
	return r.accelerators == 0 && r.cores == 0 && r.memory_mb == 0;
}

/** Returns how many times @need fits into @room, INT64_MAX if it is zero. */
static inline int64_t resources_fit_count(struct resources room,
					  struct resources need)
{
	int64_t n = INT64_MAX;

	if (need.accelerators > 0)
		n = MIN(n, room.accelerators / need.accelerators);
	if (need.cores > 0)
		n = MIN(n, room.cores / need.cores);
	if (need.memory_mb > 0)
		n = MIN(n, room.memory_mb / need.memory_mb);
	return MAX(n, 0);
}

#endif
