/**
 * @file
 * The row that keeps how far a job has come, and the row of the job itself.
 * What two schedulers wrote one after the other is merged: an end that was
 * ever noted stays noted.
 */
#ifndef SCHED_JOB_PROGRESS_H
#define SCHED_JOB_PROGRESS_H

#include <json-c/json.h>

#include "sched/fleet.h"

#define JOB_TABLE "jobs"
#define JOB_PROGRESS_TABLE "progress"
#define JOB_CANCEL_TABLE "cancels"

/**
 * What the holder of the pool writes is in one part, in batches. What callers
 * cause is spread over several, as commits within a part wait for each other.
 */
#define HOLDER_PART "holder"

/** Parts of the tables of jobs and cancels, ends with NULL. */
extern const char *const job_parts[];

/** Returns the part of a job's rows. */
const char *job_part(const char *id);

/** Encodes an accepted job; free with put. */
json_object *job_row_encode(const char *route, const char *account,
			    const struct job_spec *spec,
			    int64_t accepted_store_ms);

/** Adds the job of a row, NULL when the row can't be read. */
struct fleet_job *job_row_take(struct fleet *f, const char *id,
			       json_object *row, int64_t *accepted_store_ms);

/** Encodes the progress of a job; free with put. */
json_object *job_progress_encode(const struct fleet_job *job);

/**
 * Merges a row into the job's state.
 *
 * @return	TRUE when the job knows something that the row lacks
 */
gboolean job_progress_merge(struct fleet_job *job, json_object *row);

/** Returns the state that a row tells, FLEET_JOB_STATE_COUNT for none. */
enum fleet_job_state job_progress_state(json_object *row);

#endif
