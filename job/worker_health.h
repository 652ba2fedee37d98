/**
 * @file
 * Distinguishes faulty workers from jobs that fail on any worker. A worker is
 * quarantined ("aside_workers" in the status) when several jobs have failed on
 * it without a success in between; a job is failed for good when it has failed
 * on several workers. Failures attributed to one no longer count against the
 * other. Performs no I/O; time is passed in.
 */
#ifndef JOB_WORKER_HEALTH_H
#define JOB_WORKER_HEALTH_H

#include <glib.h>
#include <stdint.h>

/** Number of different failed jobs that quarantines a worker. */
#define WORKER_HEALTH_JOB_LIMIT 3
/** Number of failures in a row, of any jobs, that quarantines a worker. */
#define WORKER_HEALTH_FAILURE_LIMIT 5
/** A job that has failed on this many different workers fails for good. */
#define WORKER_HEALTH_WORKER_LIMIT 3
/** Duration of a quarantine; the worker then gets work again, on trial. */
#define WORKER_HEALTH_QUARANTINE_MS (INT64_C(60) * 60 * 1000)

enum health_verdict {
	HEALTH_RETRY,		   /**< cause unknown: run the job again */
	HEALTH_WORKER_QUARANTINED, /**< quarantine the worker, rerun the job */
	HEALTH_JOB_FAILED,	   /**< the job fails on any worker: give up */
};

struct worker_health;

struct worker_health *worker_health_new(void);
void worker_health_free(struct worker_health *h);

/** Records a failed task and returns what to do about it. */
enum health_verdict worker_health_failed(struct worker_health *h,
					 const char *worker, const char *job_id,
					 int64_t now_ms);

/** Records a successful task: clears the worker's and the job's failures. */
void worker_health_succeeded(struct worker_health *h, const char *worker,
			     const char *job_id);

/** Removes the failures of a job that has ended. */
void worker_health_forget_job(struct worker_health *h, const char *job_id);

/** Removes the failures of a worker that was replaced. */
void worker_health_forget_worker(struct worker_health *h, const char *worker);

/** Returns TRUE if a worker is quarantined; this ends by time alone. */
gboolean worker_health_is_quarantined(const struct worker_health *h,
				      const char *worker, int64_t now_ms);

/** Returns why a worker is quarantined, for operators; free with g_free(). */
char *worker_health_reason(const struct worker_health *h, const char *worker,
			   int64_t now_ms);

#endif
