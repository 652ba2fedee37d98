/**
 * @file
 * The state of one pool: a hierarchy of cells (rack, worker, accelerators),
 * the jobs on each worker, and the guaranteed shapes that must stay
 * reclaimable. Does no I/O and reads no clock; callers pass the time.
 */
#ifndef JOB_POOL_H
#define JOB_POOL_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/status.h"
#include "config/config_doc.h"

struct pool;

/** A worker as it is added to a pool. */
struct worker_spec {
	const char *name;
	const char *rack;
	const char *address; /**< "IP:PORT" of its HTTP interface */
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

/** A job as the pool sees it; also a request to place it. */
struct pool_job {
	const char *id;
	const char *client_account;
	const char *family; /**< name shared by similar jobs, or NULL */
	int64_t class;	    /**< enum job_class */
	struct shape shape;
	int64_t expected_run_ms;
	gboolean is_checkpointable;
	int64_t stops; /**< how often it was stopped for other jobs */
};

/** The workers chosen for a job, and the jobs to stop first. */
struct placement {
	GPtrArray *workers;	/**< of char *, one per member, owned */
	GPtrArray *preempt;	/**< of char *, ids of jobs to stop, owned */
	gboolean is_guaranteed; /**< runs in slots of a guarantee */
	char *reason;		/**< why chosen, or why it waits, owned */
	char *runner_up;	/**< next best choice or "", owned */
};

void placement_init(struct placement *p);
void placement_clear(struct placement *p);

struct pool *pool_new(const char *name);
void pool_free(struct pool *pool);

/** Adds a worker, or updates its rack, address and capacity. */
void pool_add_worker(struct pool *pool, const struct worker_spec *spec);

/**
 * Sets whether a worker may receive jobs. Lost, leaving and quarantined workers
 * are not usable. Ignores unknown workers.
 */
void pool_set_worker_usable(struct pool *pool, const char *worker,
			    gboolean is_usable);

/**
 * Removes a worker on which no job can run any more. A rack is removed with
 * its last worker.
 *
 * @return	STATUS_OK, STATUS_NOT_FOUND, or STATUS_CONFLICT while jobs are
 *		still assigned to it
 */
enum status pool_remove_worker(struct pool *pool, const char *worker);

/**
 * Replaces the guarantees by those of this pool in a configuration. Running
 * guaranteed jobs that no longer fit one become borrowed.
 */
void pool_set_guarantees(struct pool *pool, const struct config_doc *doc);

/**
 * Assigns a job to the workers of a placement, whose resources it uses from
 * now on. The jobs to preempt count as being stopped until each is released;
 * the caller may start the job once all of them are.
 *
 * @return	STATUS_OK, STATUS_NOT_FOUND for an unknown worker,
 *		STATUS_FULL when the workers lack resources,
 *		STATUS_CONFLICT when the id is in use or the job does not fit
 *		its account's guarantees on these workers (it may be assigned
 *		as borrowed)
 */
enum status pool_assign(struct pool *pool, const struct pool_job *job,
			const struct placement *placement, int64_t now_ms);

/** Frees the resources of a job that ended or stopped; ignores unknown ids. */
void pool_release(struct pool *pool, const char *job_id);

/** Returns TRUE if a job is assigned and not being stopped. */
gboolean pool_is_running(const struct pool *pool, const char *job_id);

/**
 * Returns TRUE if a shape fits the usable workers when they are empty.
 *
 * @param reason	set when it does not fit; free it with g_free()
 */
gboolean pool_could_fit(const struct pool *pool, const struct shape *shape,
			char **reason);

/**
 * Checks that the idle slots of all guarantees can be reclaimed together: the
 * plan has each of them on a usable worker where stopping borrowed work alone
 * makes room. Adds a finding for each guarantee or worker that fails.
 *
 * @return		TRUE if no finding was added
 */
gboolean pool_check_guarantees(const struct pool *pool,
			       struct finding_list *findings);

/**
 * Checks the resource accounting: no worker is oversubscribed, its counters
 * match its jobs, and guaranteed jobs stay within their slots. Adds a finding
 * for each violation.
 *
 * @return		TRUE if no finding was added
 */
gboolean pool_check_accounting(const struct pool *pool,
			       struct finding_list *findings);

/**
 * Returns how many cells were visited since the pool was created: a measure of
 * the work of decisions.
 */
uint64_t pool_visits(const struct pool *pool);

#endif
