/**
 * @file
 * The inside of a pool, for the modules that decide: cells, running jobs and
 * guarantees. A guarantee is planned slot by slot: each slot names the worker
 * on which it can be reclaimed now. The plan is the proof of the promise:
 * on every worker the slots planned there fit into the worker together, and
 * guaranteed work runs only inside of slots, so that stopping borrowed work
 * alone always makes room. Idle slots move freely (late binding).
 */
#ifndef JOB_POOL_STATE_H
#define JOB_POOL_STATE_H

#include "job/cell_index.h"
#include "job/pool.h"
#include "job/resources.h"

struct rack_cell {
	char *name;
	guint index;
	GPtrArray *workers;		/**< of struct worker_cell */
	int64_t free_accelerators;	/**< on usable workers */
	int64_t unplanned_accelerators; /**< not promised to a slot */
	int64_t open_accelerators;	/**< in no slot's way */
};

struct worker_cell {
	char *name;
	char *address;
	guint index;
	struct rack_cell *rack;
	gboolean is_usable;
	struct resources capacity;
	struct resources used;	    /**< by jobs that are not being stopped */
	struct resources stopping;  /**< by jobs that are being stopped */
	struct resources borrowed;  /**< part of used: by borrowed work */
	struct resources committed; /**< sum of the slots planned here */
	GPtrArray *jobs;  /**< of struct running_job, one entry a member */
	GPtrArray *slots; /**< of struct slot, planned here */
	struct resources scratch; /**< of a policy's trial, see trial_id */
	uint64_t trial_id;
	int64_t reserved_from_ms; /**< for a waiting gang, 0 for none */
};

struct guarantee;

struct slot {
	struct guarantee *guarantee;
	struct worker_cell *worker; /**< NULL while it can't be held */
	struct resources used;	    /**< by the account's guaranteed jobs */
};

struct guarantee {
	char *client_account;
	char *name;
	struct shape shape;
	struct resources size; /**< of one slot */
	struct slot *slots;    /**< shape.members of them */
};

struct running_job {
	struct pool_job job; /**< strings owned */
	int64_t started_ms;
	gboolean is_guaranteed;
	gboolean is_stopping;
	GPtrArray *workers;  /**< of struct worker_cell, one a member */
	struct slot **slots; /**< one a member, NULL when borrowed */
	uint64_t trial_id;   /**< the trial that chose it to be stopped */
};

/** What an account uses now, in accelerators. */
struct account_use {
	int64_t borrowed;
	int64_t guaranteed;
};

struct pool {
	char *name;
	GPtrArray *workers; /**< of struct worker_cell */
	GPtrArray *racks;   /**< of struct rack_cell */
	GHashTable *workers_by_name;
	GHashTable *racks_by_name;
	GHashTable *jobs;	 /**< id to struct running_job */
	GPtrArray *guarantees;	 /**< of struct guarantee, hardest first */
	GHashTable *by_account;	 /**< account to GPtrArray of guarantees */
	struct cell_index free;	 /**< workers by free accelerators */
	struct cell_index cores; /**< workers by free cores, plain ones first */
	struct cell_index unplanned;  /**< workers by accelerators to plan on */
	struct cell_index racks_free; /**< racks by free accelerators */
	struct cell_index racks_open; /**< racks by open accelerators */
	struct cell_index racks_unplanned; /**< racks, by those to plan on */
	GHashTable *uses;		   /**< account to struct account_use */
	int64_t free_accelerators;
	GPtrArray *reserved;	  /**< of struct worker_cell */
	char *reserved_for;	  /**< id of the job, or NULL */
	GHashTable *most_members; /**< struct shape to its most members */
	GArray *plan_changes;	  /**< noted to be undone, or NULL */
	guint unheld;		  /**< slots without a worker */
	gboolean is_plan_stale;	  /**< a new search may hold more slots */
	uint64_t trial_id;
	guint next_sample; /**< cell to go on with in samples of all */
	uint64_t version;  /**< rises when anything is freed or lost */
	uint64_t visits;   /**< cells looked at: the work of decisions */
};

/** Returns what can be taken now; negative while a reclaim is going on. */
static inline struct resources worker_cell_free(const struct worker_cell *w)
{
	struct resources r = resources_minus(w->capacity, w->used);

	if (!w->is_usable)
		return (struct resources){ 0, 0, 0 };
	return resources_minus(r, w->stopping);
}

/** Returns what no slot is planned on. */
static inline struct resources
worker_cell_unplanned(const struct worker_cell *w)
{
	if (!w->is_usable)
		return (struct resources){ 0, 0, 0 };
	return resources_minus(w->capacity, w->committed);
}

/** Returns what borrowed work can take without being in a slot's way. */
struct resources worker_cell_open(const struct worker_cell *w);

/** Brings the indexes up to date after a change of a worker. */
void pool_refresh_worker(struct pool *pool, struct worker_cell *w);

/** Free cells, for g_ptr_array_new_with_free_func(). */
void rack_cell_destroy(gpointer rack);
void worker_cell_destroy(gpointer worker);

struct worker_cell *pool_worker(const struct pool *pool, const char *name);
struct running_job *pool_running_job(const struct pool *pool, const char *id);

/** Returns the guarantees of an account, or NULL. */
GPtrArray *pool_guarantees_of(const struct pool *pool, const char *account);

/** Tells whether all workers, lost ones too, could hold a shape if empty. */
gboolean pool_known_workers_fit(const struct pool *pool,
				const struct shape *shape);

/** Returns what an account uses; owned by the pool. */
struct account_use *pool_account_use(struct pool *pool, const char *account);

#endif
