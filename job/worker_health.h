/**
 * @file
 * Tells workers that fail what they start apart from jobs that fail wherever
 * they run. A worker is set aside when several jobs failed on it with no
 * success between; a job is given up when it failed on several workers. Blame
 * that settles on the one is taken off the other. Pure: time is passed in.
 */
#ifndef JOB_WORKER_HEALTH_H
#define JOB_WORKER_HEALTH_H

#include <glib.h>
#include <stdint.h>

/** Different jobs that fail on a worker before it is set aside. */
#define WORKER_HEALTH_JOBS 3
/** Failures in a row, of any jobs, before a worker is set aside. */
#define WORKER_HEALTH_FAILURES 5
/** Different workers that a job fails on before it is given up. */
#define WORKER_HEALTH_WORKERS 3
/** Time that a worker is set aside before it gets work again, on trial. */
#define WORKER_HEALTH_ASIDE_MS (INT64_C(60) * 60 * 1000)

enum health_verdict {
	HEALTH_RETRY,	     /**< not known yet: run the job again */
	HEALTH_WORKER_ASIDE, /**< set the worker aside, run the job again */
	HEALTH_JOB_FAILED,   /**< the job fails wherever it runs */
};

struct worker_health;

struct worker_health *worker_health_new(void);
void worker_health_free(struct worker_health *h);

/** Takes note of a task that failed on a worker. */
enum health_verdict worker_health_failed(struct worker_health *h,
					 const char *worker, const char *job_id,
					 int64_t now_ms);

/** Takes note of a task that ended well on a worker. */
void worker_health_succeeded(struct worker_health *h, const char *worker,
			     const char *job_id);

/** Forgets a job that has ended. */
void worker_health_forget_job(struct worker_health *h, const char *job_id);

/** Forgets a worker that was replaced. */
void worker_health_forget_worker(struct worker_health *h, const char *worker);

/** Tells whether a worker is set aside now; its time may run out by itself. */
gboolean worker_health_is_aside(const struct worker_health *h,
				const char *worker, int64_t now_ms);

/** Returns why a worker is set aside, for operators; free it. */
char *worker_health_reason(const struct worker_health *h, const char *worker,
			   int64_t now_ms);

#endif
