/**
 * @file
 * Queue of the waiting jobs of one pool; decides which job starts next.
 * Declared run times are not trusted: they are corrected by the observed run
 * times of the same client account and job family. Performs no I/O; time is
 * passed in.
 */
#ifndef JOB_JOB_QUEUE_H
#define JOB_JOB_QUEUE_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_doc.h"
#include "job/placement/placement.h"
#include "job/pool.h"

/** Default time that a job waits for lost workers before it is refused. */
#define JOB_IMPOSSIBLE_GRACE_MS (INT64_C(10) * 60 * 1000)

struct job_queue;

/** One decision; initialise it before and clear it after each use. */
struct job_decision {
	char *job_id;
	char *client_account;
	int64_t waited_ms;	    /**< time since submission */
	struct placement placement; /**< only its reason if refused */
};

void job_decision_init(struct job_decision *d);
void job_decision_clear(struct job_decision *d);

struct job_queue *job_queue_new(enum queue_discipline discipline);
void job_queue_free(struct job_queue *q);

/** Sets how long a job waits for lost workers before it is refused. */
void job_queue_set_impossible_grace(struct job_queue *q, int64_t grace_ms);

/** Sets the client accounts' shares from a configuration. */
void job_queue_set_shares(struct job_queue *q, const struct config_doc *doc);

/**
 * Adds a job; its strings are copied.
 *
 * @param submitted_ms	time of the first submission, also for a job that is
 *			queued again after a stop
 * @return	STATUS_OK, or STATUS_CONFLICT if the id is already queued
 */
enum status job_queue_submit(struct job_queue *q, const struct pool_job *job,
			     int64_t submitted_ms);

/** Removes a waiting job in constant time; FALSE if it isn't queued. */
gboolean job_queue_cancel(struct job_queue *q, const char *job_id);

/**
 * Decides on one job. After every change (submit, cancel, release, worker lost
 * or returned, configuration), call it until it returns STATUS_NOT_FOUND.
 *
 * @return	STATUS_OK: the job is dequeued and assigned in the pool; start
 *		it once all jobs in placement.preempt have stopped and were
 *		released. STATUS_REFUSED: the job is dequeued, as the pool
 *		can't run it; placement.reason says why. STATUS_NOT_FOUND: no
 *		job can start now
 */
enum status job_queue_decide(struct job_queue *q, struct pool *pool,
			     struct placement_policy *policy, int64_t now_ms,
			     struct job_decision *out);

/** Records the run time of a job that completed. */
void job_queue_record_run_time(struct job_queue *q, const struct pool_job *job,
			       int64_t ran_ms);

/** Returns a job's expected run time, corrected by observed run times. */
int64_t job_queue_expected_run_ms(const struct job_queue *q,
				  const struct pool_job *job);

/** Returns why a job waits, NULL if it isn't queued; owned by the queue. */
const char *job_queue_reason(const struct job_queue *q, const char *job_id);

/** Returns the number of waiting jobs. */
guint job_queue_length(const struct job_queue *q);

/** Calls @fn for each waiting job, in no particular order. */
void job_queue_foreach(const struct job_queue *q,
		       void (*fn)(const struct pool_job *job, void *data),
		       void *data);

#endif
