/**
 * @file
 * The state of a scheduler, shared by the files scheduler*.c only.
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

/** Which member of which job a task is. */
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
	char *writer; /**< prefix of commit ids, of this time as holder */
	int64_t terms;
	int64_t calls; /**< made so far, for their ids */

	struct pool *pool;
	struct placement_policy *policy;
	struct job_queue *queue;
	int64_t impossible_grace_ms;
	const struct config_doc *doc;
	int64_t config_version;
	gboolean needs_decision;

	GHashTable *workers;  /**< name to struct worker_contact */
	GHashTable *entries;  /**< job id to struct job_entry */
	gboolean has_workers; /**< the platform's list was read */
	guint listed_workers;
	gboolean shares_always;
	guint schedulers;	 /**< that live in the failure domain */
	GHashTable *delegates;	 /**< node to struct delegate_seen */
	gboolean is_share_stale; /**< shares have to be dealt anew */

	gboolean is_scanned;
	int64_t recovery_since_ms;
	int64_t recoveries;
	int64_t recovery_ms;

	struct worker_health *health; /**< kept over all roles */
	struct guarantee_watch *unmet;
	struct caretaker *caretaker;
	int64_t wall_offset_ms; /**< wall clock less monotonic clock */
	int64_t next_decision_ms;
};

/* scheduler.c */

/** Ends each public event: decides and sends what is due. */
void scheduler_finish_event(struct scheduler *s, int64_t now_ms);

/** Stops deciding because a newer holder was met. */
void scheduler_set_fenced(struct scheduler *s, const char *where);

/** Queues a job. */
void scheduler_queue(struct scheduler *s, struct job_entry *e);

void scheduler_log_phase(const struct scheduler *s);

/** Returns the wall clock's time of a moment. */
static inline int64_t scheduler_wall_ms(const struct scheduler *s,
					int64_t now_ms)
{
	return now_ms + s->wall_offset_ms;
}

/* scheduler_recovery.c */

/** Begins to learn what the pool runs. */
void scheduler_begin_recovery(struct scheduler *s, int64_t now_ms);

/** Takes over all that was found, once all is known. */
void scheduler_check_recovery(struct scheduler *s, int64_t now_ms);

/** Makes the attempt recorded in the row known to its workers' contacts. */
void scheduler_recover_gang(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms);

/* scheduler_outcome.c */

/** Acts on what a gang's state asks for since it was last followed. */
void scheduler_follow(struct scheduler *s, struct job_entry *e, int64_t now_ms);

/** Ends a job for good. */
void scheduler_end_job(struct scheduler *s, struct job_entry *e,
		       enum job_state state, const char *reason,
		       int64_t now_ms);

/* scheduler_workers.c */

struct worker_contact *scheduler_contact(struct scheduler *s, const char *name);
void scheduler_add_tasks(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms);
void scheduler_remove_tasks(struct scheduler *s, struct job_entry *e);
void scheduler_mark_due(struct scheduler *s, const struct job_entry *e);
/** Returns when a worker that is gone is forgotten, or WAKE_NEVER. */
int64_t scheduler_forget_ms(const struct scheduler *s,
			    const struct worker_contact *c);
/** Tells the pool of workers that may be used, or no longer. */
void scheduler_update_usable(struct scheduler *s, int64_t now_ms);
void scheduler_check_workers(struct scheduler *s, int64_t now_ms);
void scheduler_send_calls(struct scheduler *s, int64_t now_ms);
int64_t scheduler_lease_ms(const struct scheduler *s);
/** Returns the longest that another holder may have given. */
int64_t scheduler_longest_lease_ms(const struct scheduler *s);

/* scheduler_renewals.c */

/** Returns the number of schedulers that renewals are shared among. */
guint scheduler_peers(const struct scheduler *s);
void scheduler_forget_delegates(struct scheduler *s);
/** Takes back the shares of delegates that are silent. */
void scheduler_check_delegates(struct scheduler *s, int64_t now_ms);
/** Returns when the first of them will have been silent too long. */
int64_t scheduler_delegates_due_ms(const struct scheduler *s);

/* scheduler_rows.c */

/** Writes a row if that is due. */
void scheduler_write(struct scheduler *s, struct job_entry *e, int64_t now_ms);

/** Deletes a row that was kept long enough. */
void scheduler_delete(struct scheduler *s, struct job_entry *e);

/** Sets what the row ought to say, to be written. */
void scheduler_set_state(struct scheduler *s, struct job_entry *e,
			 enum job_state state, const char *reason);

#endif
