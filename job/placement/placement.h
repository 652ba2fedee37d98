/**
 * @file
 * Placement policies: each a file in this folder, chosen by name from one
 * table in placement.c.
 */
#ifndef JOB_PLACEMENT_PLACEMENT_H
#define JOB_PLACEMENT_PLACEMENT_H

#include "job/pool.h"

struct placement_policy;

/** In which order jobs wait. */
enum queue_discipline {
	QUEUE_FIFO,	/**< by arrival; the first one blocks the others */
	QUEUE_BACKFILL, /**< by arrival; later ones may fill gaps in time */
	QUEUE_FAIR,	/**< guarantees first, then by share, with backfill */
};

struct placement_policy_class {
	const char *name;
	enum queue_discipline discipline; /**< of the queue that it goes with */
	/**
	 * Chooses workers for a whole job.
	 *
	 * @param out	initialised; filled on success, its reason in any case
	 * @return	STATUS_OK, STATUS_FULL (has to wait) or STATUS_REFUSED
	 *		(can never run on this pool)
	 */
	enum status (*place)(struct placement_policy *p, struct pool *pool,
			     const struct pool_job *job, int64_t now_ms,
			     struct placement *out);
	void (*free)(struct placement_policy *p);
};

/** First member of every policy. */
struct placement_policy {
	const struct placement_policy_class *class;
};

/** Name of the policy in use. */
#define PLACEMENT_POLICY_DEFAULT "cells"

enum status placement_policy_place(struct placement_policy *p,
				   struct pool *pool,
				   const struct pool_job *job, int64_t now_ms,
				   struct placement *out);
void placement_policy_free(struct placement_policy *p);

/** Returns a new policy by name, or NULL for an unknown name. */
struct placement_policy *placement_policy_new(const char *name);

/** Returns the names of all policies; ends with NULL. */
const char *const *placement_policy_names(void);

#endif
