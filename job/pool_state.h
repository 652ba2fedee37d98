/**
 * @file
 * Internals of a pool, for the placement and guarantee modules: cells, running
 * jobs and guarantees. A guarantee has one slot per member of its shape, and
 * the plan assigns each slot to a worker on which it can be reclaimed. The
 * slots planned on a worker fit its capacity together, and guaranteed work runs
 * only inside slots, so stopping borrowed work alone always frees a planned
 * slot. Idle slots may be replanned to other workers at any time (late
 * binding).
 */
#ifndef JOB_POOL_STATE_H
#define JOB_POOL_STATE_H

#include "job/cell_index.h"
#include "job/pool.h"
#include "job/resources.h"

struct rack_cell {
	char *name;
	guint index;			 /**< in pool->racks */
	GPtrArray *workers;		 /**< of struct worker_cell */
	int64_t free_accelerators;	 /**< not in use, on usable workers */
	int64_t unplanned_accelerators;	 /**< in no planned slot */
	int64_t borrowable_accelerators; /**< see worker_cell_borrowable() */
};

struct worker_cell {
	char *name;
	char *address; /**< "IP:PORT" of its HTTP interface */
	guint index;   /**< in pool->workers */
	struct rack_cell *rack;
	gboolean is_usable;
	struct resources capacity;
	struct resources used;	   /**< by jobs that are not being stopped */
	struct resources stopping; /**< by jobs that are being stopped */
	struct resources borrowed; /**< part of @used, by borrowed jobs */
	struct resources planned;  /**< sum of the slots planned here */
	GPtrArray *jobs;  /**< of struct running_job, one entry per member */
	GPtrArray *slots; /**< of struct slot, planned here */
	/** Remaining room as computed by a trial or by reservation_plan(). */
	struct resources trial_room;
	uint64_t trial_id;	  /**< trial that computed it last */
	int64_t reserved_from_ms; /**< for a waiting gang, 0 if not reserved */
};

struct guarantee;

/** The resources guaranteed for one member of a shape. */
struct slot {
	struct guarantee *guarantee;
	struct worker_cell *worker; /**< where it is planned, NULL if nowhere */
	struct resources used;	    /**< by guaranteed jobs of the account */
};

struct guarantee {
	char *client_account;
	char *name;
	struct shape shape;
	struct resources size; /**< of one slot */
	struct slot *slots;    /**< array of shape.members */
};

struct running_job {
	struct pool_job job; /**< strings owned */
	int64_t started_ms;
	gboolean is_guaranteed;
	gboolean is_stopping;
	GPtrArray *workers;  /**< of struct worker_cell, one per member */
	struct slot **slots; /**< one per member; NULL if borrowed */
	uint64_t trial_id;   /**< trial that last chose it to be stopped */
};

/** Accelerators in use by an account's jobs that are not being stopped. */
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
	GHashTable *jobs; /**< struct running_job by id */
	/** Of struct guarantee, hardest to place first. */
	GPtrArray *guarantees;
	/** GPtrArray of struct guarantee by account. */
	GHashTable *guarantees_by_account;
	struct cell_index workers_by_free; /**< workers by free accelerators */
	/** Workers by borrowable cores, those without accelerators first. */
	struct cell_index workers_by_cores;
	struct cell_index
		workers_by_unplanned; /**< workers by unplanned accelerators */
	struct cell_index racks_by_free; /**< racks by free accelerators */
	struct cell_index
		racks_by_borrowable; /**< racks by borrowable accelerators */
	/** Racks by unplanned accelerators. */
	struct cell_index racks_by_unplanned;
	GHashTable *use_by_account;  /**< struct account_use by account */
	int64_t free_accelerators;   /**< on usable workers */
	GPtrArray *reserved_workers; /**< of struct worker_cell */
	char *reserved_for;	     /**< id of the waiting job, or NULL */
	/** int64_t by struct shape, cached for pool_could_fit(). */
	GHashTable *max_members_by_shape;
	/** Of struct slot_change, to undo a move; NULL if not recording. */
	GArray *plan_changes;
	guint unplanned_slots;	/**< number of slots planned on no worker */
	gboolean is_plan_stale; /**< a new search may plan more slots */
	uint64_t trial_id;	/**< of the latest trial */
	/** Next worker or rack to sample, modulo their number. */
	guint next_sample;
	/** Incremented when a job is released or a worker changes. */
	uint64_t version;
	uint64_t visits; /**< cells visited, the cost of decisions */
};

/**
 * Returns the resources that are not in use; negative while preempted jobs are
 * still being stopped for a job that is already assigned.
 */
static inline struct resources worker_cell_free(const struct worker_cell *w)
{
	struct resources r = resources_minus(w->capacity, w->used);

	if (!w->is_usable)
		return (struct resources){ 0, 0, 0 };
	return resources_minus(r, w->stopping);
}

/** Returns the resources in no planned slot. */
static inline struct resources
worker_cell_unplanned(const struct worker_cell *w)
{
	if (!w->is_usable)
		return (struct resources){ 0, 0, 0 };
	return resources_minus(w->capacity, w->planned);
}

/** Returns what borrowed work can use without preventing use of a slot. */
struct resources worker_cell_borrowable(const struct worker_cell *w);

/** Updates the indexes and rack totals after a change of a worker. */
void pool_refresh_worker(struct pool *pool, struct worker_cell *w);

/** Destroy functions for g_ptr_array_new_with_free_func(). */
void rack_cell_destroy(gpointer rack);
void worker_cell_destroy(gpointer worker);

/** Return a worker or an assigned job, or NULL; owned by the pool. */
struct worker_cell *pool_worker(const struct pool *pool, const char *name);
struct running_job *pool_running_job(const struct pool *pool, const char *id);

/** Returns the struct guarantee of an account, or NULL; owned by the pool. */
GPtrArray *pool_guarantees_of(const struct pool *pool, const char *account);

/** Returns TRUE if a shape fits all workers, also unusable ones, when empty. */
gboolean pool_known_workers_fit(const struct pool *pool,
				const struct shape *shape);

/** Returns the use of an account, created if missing; owned by the pool. */
struct account_use *pool_account_use(struct pool *pool, const char *account);

#endif
