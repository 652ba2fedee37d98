/**
 * @file
 * Schedules the jobs of one pool under one epoch. Its inputs are worker
 * reports, job rows and this process's role for the pool; its outputs are calls
 * to workers and writes of rows. Does no I/O itself: calls go out through
 * struct scheduler_ops, and the answers come back as scheduler_on_*() events.
 */
#ifndef JOB_SCHEDULER_H
#define JOB_SCHEDULER_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_doc.h"
#include "job/job_record.h"
#include "job/pool.h"
#include "job/renewal_message.h"
#include "job/worker_report.h"
#include "shared/pool_lease.h"

/** Attempts with a failed task, on any workers, after which a job fails. */
#define JOB_MAX_FAILURES 10

enum scheduler_phase {
	SCHEDULER_IDLE,	      /**< has no role for the pool */
	SCHEDULER_RECOVERING, /**< collects the running tasks, places nothing */
	SCHEDULER_ACTIVE,     /**< holder: places jobs, commands workers */
	SCHEDULER_CARETAKER,  /**< supervises as in caretaker.h */
	SCHEDULER_FENCED,     /**< saw a newer epoch, makes no more calls */
	SCHEDULER_PHASE_COUNT,
};

struct scheduler;

/** Outgoing calls. None may call back into the scheduler synchronously. */
struct scheduler_ops {
	/** Calls a worker; answered by scheduler_on_worker_answer(). */
	void (*call_worker)(const char *worker, const char *address,
			    int64_t call_id, const struct worker_call *call,
			    void *data);
	/**
	 * Writes the row if it has the expected version, or deletes it if @p r
	 * is NULL; answered by scheduler_on_written().
	 */
	void (*write_row)(const char *id, int64_t call_id,
			  const struct job_record *r, int64_t expected_version,
			  void *data);
	/** Reads a row; answered by scheduler_on_read(). */
	void (*read_row)(const char *id, int64_t call_id, void *data);
	/**
	 * Reads all rows of the pool; answered by scheduler_on_row() for each
	 * and scheduler_on_scanned() at the end.
	 */
	void (*scan_rows)(void *data);
};

struct scheduler_spec {
	const char *pool;
	const char *node;
	const char *incarnation;
	const char *policy;	     /**< name of the placement policy */
	int64_t impossible_grace_ms; /**< 0 for JOB_IMPOSSIBLE_GRACE_MS */
	/** Share renewals even if worker_renewals_are_shared() is FALSE. */
	gboolean always_share_renewals;
	const struct scheduler_ops *ops;
	void *data;
};

/** A worker in the platform's list of VMs. */
struct listed_worker {
	struct worker_spec spec;
	gboolean is_leaving;
};

enum worker_answer {
	WORKER_ANSWERED,
	WORKER_STALE_EPOCH, /**< refused: the worker has seen a newer epoch */
	WORKER_FAILED, /**< no answer; the commands may have been executed */
};

/** Counters and settings of a scheduler for status pages and metrics. */
struct scheduler_stats {
	enum scheduler_phase phase;
	int64_t epoch;
	guint workers; /**< in the platform's list */
	guint usable_workers;
	guint quarantined_workers; /**< quarantined after repeated task failures
				    */
	guint queued;		   /**< jobs in the queue */
	guint gangs;		   /**< jobs with a current attempt */
	int64_t recoveries;	   /**< completed */
	int64_t recovery_ms;	   /**< duration of the last recovery */
	guint delegates;	   /**< processes that renew for this holder */
	guint shared_workers;	   /**< renewed by a delegate */
	int64_t renew_ms;	   /**< renewal period */
	int64_t lease_ms;	   /**< lease given by each call */
	int64_t partial_bound_ms;  /**< worker_partial_bound_ms() */
};

struct scheduler *scheduler_new(const struct scheduler_spec *spec);
void scheduler_free(struct scheduler *s);

/**
 * Sets the role and its epoch. A change of either discards all jobs and worker
 * state; a new holder then recovers them.
 */
void scheduler_set_role(struct scheduler *s, enum pool_role role, int64_t epoch,
			int64_t now_ms);

/** @param doc	not owned, valid until the next call */
void scheduler_set_config(struct scheduler *s, const struct config_doc *doc,
			  int64_t version, int64_t now_ms);

/** Replaces the platform's list of this pool's workers. */
void scheduler_on_worker_list(struct scheduler *s,
			      const struct listed_worker *workers, guint count,
			      int64_t now_ms);

/**
 * Handles the answer to a call to a worker.
 *
 * @param call_id	of the call; an answer to any other than the call in
 *			flight is ignored
 * @param report	may be NULL; not owned
 */
void scheduler_on_worker_answer(struct scheduler *s, const char *worker,
				int64_t call_id, enum worker_answer answer,
				const struct worker_report *report,
				int64_t now_ms);

/**
 * Sets the number of live schedulers in the failure domain, including this one.
 */
void scheduler_set_scheduler_count(struct scheduler *s, guint count);

/**
 * Handles a delegate's report and assigns it a share of the workers.
 *
 * @param grant		initialised; filled if TRUE is returned, to be sent at
 *			once
 * @return		FALSE if the report is for another pool or epoch, or
 *			if renewals are not shared now
 */
gboolean scheduler_on_renewal_report(struct scheduler *s, const char *node,
				     const struct renewal_report *report,
				     int64_t now_ms,
				     struct renewal_grant *grant);

/** Handles a row from a scan or from a read outside the scheduler. */
void scheduler_on_row(struct scheduler *s, int64_t version,
		      const struct job_record *r, int64_t now_ms);

/** Returns TRUE if the row is unknown or newer than the known version. */
gboolean scheduler_is_row_newer(const struct scheduler *s, const char *id,
				int64_t version);

/**
 * Handles the end of a scan.
 *
 * @param status	anything but STATUS_OK starts another scan
 */
void scheduler_on_scanned(struct scheduler *s, enum status status,
			  int64_t now_ms);

/**
 * Handles the answer to a write, a deletion or a read of a row.
 *
 * @param call_id	of the call; an answer to any other than the call in
 *			flight is ignored
 */
void scheduler_on_written(struct scheduler *s, const char *id, int64_t call_id,
			  enum status status, int64_t version, int64_t now_ms);
void scheduler_on_read(struct scheduler *s, const char *id, int64_t call_id,
		       enum status status, int64_t version,
		       const struct job_record *r, int64_t now_ms);

/**
 * Handles expired deadlines; call after events and at scheduler_due_ms().
 *
 * @param now_ms	monotonic clock
 * @param wall_ms	wall clock at @now_ms rounded up, for the times in rows
 */
void scheduler_tick(struct scheduler *s, int64_t now_ms, int64_t wall_ms);

/**
 * Returns the time of the next scheduler_tick() if no event comes before;
 * WAKE_NEVER for none.
 */
int64_t scheduler_due_ms(const struct scheduler *s, int64_t now_ms);

/**
 * Returns the state of a job for operators, or NULL if the job is unknown
 * here. Free with json_object_put().
 */
json_object *scheduler_explain(const struct scheduler *s, const char *id);

/**
 * Returns the state of a client account's guarantees for operators, or NULL
 * if this scheduler is not active or the account has none in this pool. Free
 * with json_object_put().
 */
json_object *scheduler_explain_guarantee(const struct scheduler *s,
					 const char *client_account,
					 int64_t now_ms);

void scheduler_get_stats(const struct scheduler *s,
			 struct scheduler_stats *stats);
const char *scheduler_phase_name(enum scheduler_phase phase);

/** Calls a function for each guarantee that is not held now. */
void scheduler_foreach_unheld_guarantee(const struct scheduler *s,
					void (*fn)(const char *place,
						   const char *problem,
						   int64_t since_ms,
						   void *data),
					void *data);

#endif
