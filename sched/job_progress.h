/**
 * @file
 * Encodes and decodes the row of a job and the row of its progress. Progress
 * that successive schedulers wrote is merged: an end that was once recorded is
 * never lost.
 */
#ifndef SCHED_JOB_PROGRESS_H
#define SCHED_JOB_PROGRESS_H

#include <json-c/json.h>

#include "sched/fleet.h"

#define JOB_TABLE "jobs"
#define JOB_PROGRESS_TABLE "progress"
#define JOB_CANCEL_TABLE "cancels"

/**
 * Part of the rows that the pool's lease holder writes, in batches. Rows that
 * client calls write are spread over several parts, since commits within one
 * part are serialized.
 */
#define HOLDER_PART "holder"

/** Parts of the job and cancel tables, NULL-terminated. */
extern const char *const job_parts[];

/** Returns the part that holds a job's rows. */
const char *job_part(const char *id);

/** Encodes an accepted job; free with put. */
json_object *job_row_encode(const char *route, const char *account,
			    const struct job_spec *spec,
			    int64_t accepted_store_ms);

/**
 * Decodes a job's row and adds the job to the fleet.
 *
 * @param accepted_store_ms	time of acceptance, on the store's clock
 * @return			NULL if the row is invalid
 */
struct fleet_job *job_row_decode(struct fleet *f, const char *id,
				 json_object *row, int64_t *accepted_store_ms);

/** Encodes the progress of a job; free with put. */
json_object *job_progress_encode(const struct fleet_job *job);

/**
 * Merges a progress row into the job's state.
 *
 * @return	TRUE if the job has progress that the row lacks
 */
gboolean job_progress_merge(struct fleet_job *job, json_object *row);

/** Returns the state in a row, FLEET_JOB_STATE_COUNT if it has none. */
enum fleet_job_state job_progress_state(json_object *row);

#endif
