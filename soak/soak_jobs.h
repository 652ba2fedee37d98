/**
 * @file
 * Callers of a soak run: they submit jobs, ask for their state, cancel some and
 * note every answer.
 */
#ifndef SOAK_SOAK_JOBS_H
#define SOAK_SOAK_JOBS_H

#include "soak/soak_site.h"

enum soak_job_kind {
	SOAK_JOB_SPOT,	 /**< urgent, a gang */
	SOAK_JOB_BULK,	 /**< tasks of their own */
	SOAK_JOB_POISON, /**< every run fails */
	SOAK_JOB_KIND_COUNT,
};

struct soak_job {
	char *id;
	enum soak_job_kind kind;
	guint tasks;
	int64_t accelerators; /**< of one task, as the next two */
	int64_t millicores;
	int64_t memory_mb;
	int64_t run_ms;
	guint attempts;		  /**< submissions sent */
	int64_t retry_at_ms;	  /**< 0 for not */
	gboolean may_be_accepted; /**< one of them had no whole answer */
	int64_t accepted_ms;	  /**< first 2xx, 0 for none */
	int64_t cancel_acked_ms;  /**< 0 for none */
	gboolean is_cancel_sent;
	int64_t completed_ms;  /**< first told as completed, 0 for never */
	gboolean has_ended;    /**< whatever was told last was an end */
	guint calls_in_flight; /**< in flight */
};

struct soak_jobs;

/** @param findings	strings, one for each broken promise that is seen */
struct soak_jobs *soak_jobs_new(struct soak_site *site, GRand *rand,
				GPtrArray *findings);
void soak_jobs_free(struct soak_jobs *j);

/** Stops new jobs; the others are asked for until they have ended. */
void soak_jobs_stop(struct soak_jobs *j);

/** Tells whether nothing is left to ask for. */
gboolean soak_jobs_are_settled(const struct soak_jobs *j);

/** Returns the jobs, id to struct soak_job. */
GHashTable *soak_jobs_all(const struct soak_jobs *j);

const char *soak_job_kind_name(enum soak_job_kind kind);

#endif
