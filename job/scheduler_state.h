/**
 * @file
 * Internal state of a scheduler, private to scheduler*.c.
 */
#ifndef JOB_SCHEDULER_STATE_H
#define JOB_SCHEDULER_STATE_H

#include "job/caretaker.h"
#include "job/guarantee_watch.h"
#include "job/job_entry.h"
#include "job/job_queue.h"
#include "job/placement/placement.h"
#include "job/scheduler.h"
#include "job/worker_contact.h"
#include "job/worker_health.h"

/** The job and gang member that a task belongs to. */
struct member_ref {
	struct job_entry *entry;
	guint member;
};

struct scheduler {
	char *pool_name;
	char *node;
	char *incarnation;
	const struct scheduler_ops *ops;
	void *data;

	enum scheduler_phase phase;
	enum pool_role role;
	int64_t epoch;
	char *commit_prefix;  /**< of commit ids, unique to this holder term */
	int64_t holder_terms; /**< times this process became holder */
	int64_t last_call_id;

	struct pool *pool;
	struct placement_policy *policy;
	struct job_queue *queue;
	int64_t impossible_grace_ms;
	const struct config_doc *doc;
	int64_t config_version;
	gboolean needs_decision;

	GHashTable *workers;	  /**< name to struct worker_contact */
	GHashTable *entries;	  /**< job id to struct job_entry */
	gboolean has_worker_list; /**< the platform's list was read */
	guint listed_workers;	  /**< length of that list */
	gboolean always_share_renewals;
	guint scheduler_count;	 /**< live ones in the failure domain */
	GHashTable *delegates;	 /**< node to struct delegate_state */
	gboolean is_share_stale; /**< shares have to be reassigned */

	gboolean is_scanned; /**< all rows were read in this recovery */
	int64_t recovery_since_ms;
	int64_t recoveries;
	int64_t recovery_ms;

	struct worker_health *health; /**< survives changes of role */
	struct guarantee_watch *guarantee_watch;
	struct caretaker *caretaker;
	int64_t wall_offset_ms; /**< wall clock minus monotonic clock */
	int64_t next_decision_ms;
};

/* scheduler.c */

/** Runs at the end of each public event: places jobs and sends due calls. */
void scheduler_finish_event(struct scheduler *s, int64_t now_ms);

/**
 * Stops all decisions and calls because a newer epoch was seen.
 *
 * @param where	worker or row that showed it, for the log
 */
void scheduler_set_fenced(struct scheduler *s, const char *where);

/** Puts a job into the queue. */
void scheduler_enqueue(struct scheduler *s, struct job_entry *e);

void scheduler_log_phase(const struct scheduler *s);

/** Converts monotonic to wall clock time. */
static inline int64_t scheduler_wall_ms(const struct scheduler *s,
					int64_t now_ms)
{
	return now_ms + s->wall_offset_ms;
}

/* scheduler_recovery.c */

/** Starts a recovery: collects what the pool runs. */
void scheduler_begin_recovery(struct scheduler *s, int64_t now_ms);

/** Ends the recovery once the rows and all workers' reports are in. */
void scheduler_check_recovery(struct scheduler *s, int64_t now_ms);

/** Restores the attempt recorded in the row and adds its tasks to workers. */
void scheduler_recover_gang(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms);

/* scheduler_outcome.c */

/** Handles a change of the gang's state, then writes the row if due. */
void scheduler_update_entry(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms);

/** Sets a job's final state and end time. */
void scheduler_end_job(struct scheduler *s, struct job_entry *e,
		       enum job_state state, const char *reason,
		       int64_t now_ms);

/* scheduler_workers.c */

/** Returns the contact with a worker, or NULL. */
struct worker_contact *scheduler_find_contact(struct scheduler *s,
					      const char *name);
void scheduler_add_tasks(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms);
void scheduler_remove_tasks(struct scheduler *s, struct job_entry *e);
void scheduler_mark_calls_due(struct scheduler *s, const struct job_entry *e);
/** Returns when an unlisted worker may be forgotten, or WAKE_NEVER. */
int64_t scheduler_forget_ms(const struct scheduler *s,
			    const struct worker_contact *c);
/** Updates which workers the pool may place new work on. */
void scheduler_update_usable(struct scheduler *s, int64_t now_ms);
void scheduler_check_workers(struct scheduler *s, int64_t now_ms);
void scheduler_send_calls(struct scheduler *s, int64_t now_ms);
/** Returns the lease that this process gives with each call. */
int64_t scheduler_lease_ms(const struct scheduler *s);
/** Returns the longest lease that any holder may have given. */
int64_t scheduler_longest_lease_ms(const struct scheduler *s);

/* scheduler_renewals.c */

/** Returns the number of schedulers that share the renewals, at least 1. */
guint scheduler_peers(const struct scheduler *s);
void scheduler_forget_delegates(struct scheduler *s);
/** Revokes the shares of delegates that stopped reporting. */
void scheduler_check_delegates(struct scheduler *s, int64_t now_ms);
/** Returns when the next such share expires, WAKE_NEVER for none. */
int64_t scheduler_delegates_due_ms(const struct scheduler *s);

/* scheduler_rows.c */

/** Writes the job's row if a write is due. */
void scheduler_write_row(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms);

/** Deletes the row of a job that ended long enough ago. */
void scheduler_delete_row(struct scheduler *s, struct job_entry *e);

/** Changes the job's state; the row is written by the next write. */
void scheduler_set_state(struct scheduler *s, struct job_entry *e,
			 enum job_state state, const char *reason);

#endif
