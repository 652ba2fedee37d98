/**
 * @file
 * A job's row in the table "jobs", key POOL/ID: the request and its progress.
 * Written only by compare-and-set.
 */
#ifndef JOB_JOB_RECORD_H
#define JOB_JOB_RECORD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"
#include "config/config_doc.h"
#include "job/pool.h"

#define JOBS_TABLE "jobs"
#define JOB_ID_MAX_BYTES 128
#define JOB_MAX_RUN_MS (INT64_C(30) * 24 * 3600 * 1000)

enum job_state {
	JOB_QUEUED,
	JOB_COMMITTED, /**< the placement is recorded; members may start */
	JOB_RUNNING,   /**< all members have started */
	JOB_DONE,
	JOB_FAILED,
	JOB_REFUSED, /**< the pool can't run it */
	JOB_CANCELLED,
	JOB_STATE_COUNT,
};

struct job_record {
	char *id;
	char *pool;
	char *client_account;
	char *family;  /**< job name in the configuration, "" for none */
	int64_t class; /**< enum job_class */
	struct shape shape;
	int64_t run_ms;		 /**< declared amount of work */
	int64_t expected_run_ms; /**< declared run time, used for planning */
	int64_t is_checkpointable;
	int64_t is_cancelled; /**< cancellation was requested */
	int64_t state;	      /**< enum job_state */
	int64_t attempt;      /**< last committed attempt, 0 for none */
	int64_t epoch;	      /**< holder's epoch at the last commitment */
	int64_t failures;     /**< number of attempts with a failed task */
	int64_t stops;	      /**< times preempted for other jobs */
	int64_t remaining_ms; /**< remaining work at the last checkpoint */
	int64_t submitted_ms; /**< wall clock, like the next two */
	int64_t started_ms;
	int64_t ended_ms;
	GPtrArray *placement; /**< of char *, the worker of each member */
	char *reason;	      /**< reason for the state */
	char *commit_id;      /**< unique id of the last write */
	json_object *rest; /**< unknown members of a later version, or NULL */
};

extern const struct schema job_record_schema;
extern const char *const job_state_names[];

/**
 * Decodes a row.
 *
 * @param r	a zeroed struct; always clear with job_record_clear()
 * @return	TRUE if there were no findings
 */
gboolean job_record_decode(struct job_record *r, json_object *json,
			   struct finding_list *findings);

/** Encodes a row; free with json_object_put(). */
json_object *job_record_encode(const struct job_record *r);

void job_record_clear(struct job_record *r);

/** Copies a row into a zeroed struct. */
void job_record_copy(struct job_record *to, const struct job_record *from);

/** Sets the state and its reason; long reasons are cut. */
void job_record_set_state(struct job_record *r, enum job_state state,
			  const char *reason);

/** Returns the key of a row; free it. */
char *job_record_key(const char *pool, const char *id);

/** Returns TRUE if the job is in a final state. */
gboolean job_record_is_ended(const struct job_record *r);

/** Returns TRUE if two rows hold the same request. */
gboolean job_record_same_request(const struct job_record *a,
				 const struct job_record *b);

/** Returns the job as seen by the pool; its strings belong to the row. */
struct pool_job job_record_pool_job(const struct job_record *r);

#endif
