/**
 * @file
 * Callers of a soak run: they submit jobs, poll their states, cancel some, and
 * check and record the answers.
 */
#ifndef SOAK_SOAK_JOBS_H
#define SOAK_SOAK_JOBS_H

#include "soak/soak_site.h"

enum soak_job_kind {
	SOAK_JOB_SPOT,	 /**< urgent, one gang */
	SOAK_JOB_BULK,	 /**< independent tasks */
	SOAK_JOB_POISON, /**< every run fails */
	SOAK_JOB_KIND_COUNT,
};

struct soak_job {
	char *id;
	enum soak_job_kind kind;
	guint tasks;
	int64_t accelerators; /**< per task */
	int64_t millicores;   /**< per task */
	int64_t memory_mb;    /**< per task */
	int64_t run_ms;
	guint attempts;		  /**< number of submissions sent */
	int64_t retry_at_ms;	  /**< time of the next submission, 0 if none */
	gboolean may_be_accepted; /**< a submission had an unknown outcome */
	int64_t accepted_ms;	  /**< first 200 answer, 0 if none */
	int64_t cancel_acked_ms; /**< first 200 answer to a cancel, 0 if none */
	gboolean is_cancel_sent;
	int64_t completed_ms; /**< first reported completed, 0 if never */
	gboolean has_ended;   /**< the last reported state is final */
	guint calls_in_flight;
};

struct soak_jobs;

/**
 * Starts the callers; they run on the main loop.
 *
 * @param findings	receives one string per violation; borrowed, as are
 *			@site and @rand
 */
struct soak_jobs *soak_jobs_new(struct soak_site *site, GRand *rand,
				GPtrArray *findings);

/** Waits for the calls in flight, then frees the jobs. */
void soak_jobs_free(struct soak_jobs *j);

/** Stops submitting new jobs; the others are polled until they end. */
void soak_jobs_stop(struct soak_jobs *j);

/** Returns TRUE if all accepted jobs have ended and no call is pending. */
gboolean soak_jobs_are_settled(const struct soak_jobs *j);

/** Returns the jobs as a map from id to struct soak_job; not owned. */
GHashTable *soak_jobs_all(const struct soak_jobs *j);

const char *soak_job_kind_name(enum soak_job_kind kind);

#endif
