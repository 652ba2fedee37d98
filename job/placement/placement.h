/**
 * @file
 * Placement policies. Each is a file in this folder and an entry in the table
 * in placement.c, and is selected by name.
 */
#ifndef JOB_PLACEMENT_PLACEMENT_H
#define JOB_PLACEMENT_PLACEMENT_H

#include "job/pool.h"

struct placement_policy;

/** Order in which waiting jobs are placed. */
enum queue_discipline {
	QUEUE_FIFO,	/**< by arrival; the first one blocks the others */
	QUEUE_BACKFILL, /**< by arrival; later ones may run ahead in gaps */
	QUEUE_FAIR,	/**< urgent first, then by share, with backfill */
};

struct placement_policy_class {
	const char *name;
	enum queue_discipline discipline; /**< of the job queue */
	/**
	 * Chooses workers for all members of a job.
	 *
	 * @param out	initialised by the caller; filled on success, its reason
	 *		set in any case
	 * @return	STATUS_OK, STATUS_FULL (has to wait) or STATUS_REFUSED
	 *		(can never run on this pool)
	 */
	enum status (*place)(struct placement_policy *p, struct pool *pool,
			     const struct pool_job *job, int64_t now_ms,
			     struct placement *out);
	void (*free)(struct placement_policy *p);
};

/** Base of every policy: its first member. */
struct placement_policy {
	const struct placement_policy_class *class;
};

/** Name of the default policy. */
#define PLACEMENT_POLICY_DEFAULT "cells"

/** Places a job; refuses one that can never run on the pool. */
enum status placement_policy_place(struct placement_policy *p,
				   struct pool *pool,
				   const struct pool_job *job, int64_t now_ms,
				   struct placement *out);
void placement_policy_free(struct placement_policy *p);

/** Returns a new policy by name, or NULL for an unknown name. */
struct placement_policy *placement_policy_new(const char *name);

/** Returns the names of all policies, NULL-terminated; static. */
const char *const *placement_policy_names(void);

#endif
