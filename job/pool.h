/**
 * @file
 * The state of one pool: a hierarchy of cells (rack, worker, accelerators),
 * what runs where, and the guaranteed shapes that must stay reclaimable.
 * Pure: no clock, no sockets.
 */
#ifndef JOB_POOL_H
#define JOB_POOL_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/status.h"
#include "config/config_doc.h"

struct pool;

struct worker_spec {
	const char *name;
	const char *rack;
	const char *address; /**< "IP:PORT" of its HTTP interface */
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

/** What the pool knows of one job; also the request to place it. */
struct pool_job {
	const char *id;
	const char *client_account;
	const char *family; /**< jobs that resemble each other, may be NULL */
	int64_t class;	    /**< enum job_class */
	struct shape shape;
	int64_t expected_run_ms;
	gboolean is_checkpointable;
	int64_t stops; /**< times that it was stopped for others so far */
};

/** Where a job goes, and what has to be stopped first. */
struct placement {
	GPtrArray *workers; /**< of char *, one a member, owned */
	GPtrArray *preempt; /**< of char *, ids of jobs to stop first, owned */
	gboolean is_guaranteed; /**< counts against a guaranteed shape */
	char *reason;		/**< why here, or why it has to wait */
	char *runner_up;	/**< next best choice, "" for none */
};

void placement_init(struct placement *p);
void placement_clear(struct placement *p);

struct pool *pool_new(const char *name);
void pool_free(struct pool *pool);

/** Adds a worker or updates its size. */
void pool_add_worker(struct pool *pool, const struct worker_spec *spec);

/** Marks a worker usable or not (lost, leaving, set aside). */
void pool_set_worker_usable(struct pool *pool, const char *worker,
			    gboolean is_usable);

/**
 * Forgets a worker on which nothing can run any more. Its rack goes with the
 * last worker.
 *
 * @return	STATUS_OK, STATUS_NOT_FOUND, or STATUS_CONFLICT while jobs are
 *		still booked on it
 */
enum status pool_remove_worker(struct pool *pool, const char *worker);

/** Takes the guaranteed shapes of this pool from a configuration. */
void pool_set_guarantees(struct pool *pool, const struct config_doc *doc);

/**
 * Takes a placement as done: its resources are in use from now on. The jobs
 * that it preempts count as being stopped until they are released; the job may
 * be started once all of them are.
 *
 * @return	STATUS_OK, STATUS_NOT_FOUND for an unknown worker,
 *		STATUS_FULL when the workers have no room, STATUS_CONFLICT when
 *		the id is in use or the job is not within its account's
 *		guarantees on these workers (it may be assigned as borrowed)
 */
enum status pool_assign(struct pool *pool, const struct pool_job *job,
			const struct placement *placement, int64_t now_ms);

/** Frees what a job uses or used until it stopped; ignores unknown ids. */
void pool_release(struct pool *pool, const char *job_id);

/** Tells whether a job is assigned and not being stopped. */
gboolean pool_is_running(const struct pool *pool, const char *job_id);

/** Tells whether a job could run on the pool with nothing else in it. */
gboolean pool_could_fit(const struct pool *pool, const struct shape *shape,
			char **reason);

/**
 * Checks that every unmet guaranteed shape can be reclaimed: there is an
 * assignment of all of them to usable workers that needs only borrowed work
 * to stop. Adds a finding for each that has none.
 */
gboolean pool_check_guarantees(const struct pool *pool,
			       struct finding_list *findings);

/**
 * Checks the books: no worker is oversubscribed, counters agree with the jobs
 * and guaranteed jobs are within their slots. Adds a finding for each fault.
 */
gboolean pool_check_books(const struct pool *pool,
			  struct finding_list *findings);

/** Returns the number of cells that decisions have looked at. */
uint64_t pool_visits(const struct pool *pool);

#endif
