/**
 * @file
 * The jobs of one pool that wait, and the decision which one starts next.
 * Run times are taken as wrong and corrected per account and job family by
 * what was observed. Pure: time is passed in.
 */
#ifndef JOB_JOB_QUEUE_H
#define JOB_JOB_QUEUE_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_doc.h"
#include "job/placement/placement.h"
#include "job/pool.h"

/** Before a waiting job is told that its workers are gone, unless set. */
#define JOB_IMPOSSIBLE_GRACE_MS (INT64_C(10) * 60 * 1000)

struct job_queue;

/** One decision; init before, clear after each use. */
struct job_decision {
	char *job_id;
	char *client_account;
	int64_t waited_ms;	    /**< since it was submitted */
	struct placement placement; /**< of a job that starts */
};

void job_decision_init(struct job_decision *d);
void job_decision_clear(struct job_decision *d);

struct job_queue *job_queue_new(enum queue_discipline discipline);
void job_queue_free(struct job_queue *q);

/** Sets how long waiting jobs give lost workers to return. */
void job_queue_set_impossible_grace(struct job_queue *q, int64_t grace_ms);

/** Takes the accounts' shares of a configuration. */
void job_queue_set_shares(struct job_queue *q, const struct config_doc *doc);

/**
 * Adds a job; its strings are copied.
 *
 * @param submitted_ms	when it first came, also for one that waits again
 *			after it was stopped
 * @return	STATUS_OK, or STATUS_CONFLICT when the id waits already
 */
enum status job_queue_submit(struct job_queue *q, const struct pool_job *job,
			     int64_t submitted_ms);

/** Takes a waiting job off at constant cost; FALSE when it doesn't wait. */
gboolean job_queue_cancel(struct job_queue *q, const char *job_id);

/**
 * Decides on one job. Call again until STATUS_NOT_FOUND after every change:
 * submit, cancel, release, worker lost or returned, configuration.
 *
 * @return	STATUS_OK: the job is off the queue and assigned in the pool,
 *		to be started once all jobs in placement.preempt have stopped
 *		and were released; STATUS_REFUSED: it can never run on this
 *		pool and is off the queue, placement.reason says why;
 *		STATUS_NOT_FOUND: nothing to do now
 */
enum status job_queue_decide(struct job_queue *q, struct pool *pool,
			     struct placement_policy *policy, int64_t now_ms,
			     struct job_decision *out);

/** Takes note how long a job ran that ended by itself. */
void job_queue_observe(struct job_queue *q, const struct pool_job *job,
		       int64_t ran_ms);

/** Returns the run time to expect, corrected by what was observed. */
int64_t job_queue_expected_run_ms(const struct job_queue *q,
				  const struct pool_job *job);

/** Returns why a job waits, as last decided, or NULL; owned by the queue. */
const char *job_queue_reason(const struct job_queue *q, const char *job_id);

/** Returns the number of jobs that wait. */
guint job_queue_length(const struct job_queue *q);

/** Calls a function for each waiting job, in no particular order. */
void job_queue_foreach(const struct job_queue *q,
		       void (*fn)(const struct pool_job *job, void *data),
		       void *data);

#endif
