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

/** Length of a row's text as it is stored, in bytes. */
gsize job_row_bytes(json_object *row);

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

/** What an encoded progress row lacks, as it would have become too large. */
enum progress_cut {
	PROGRESS_WHOLE,
	/** Some checkpoints: their tasks may start again from the beginning. */
	PROGRESS_NO_CHECKPOINTS,
	/** All but the last failed run of each task; they are counted. */
	PROGRESS_LAST_RUNS,
	/** The numbers of failed runs; they are counted. */
	PROGRESS_NO_RUNS,
	PROGRESS_TOO_LARGE, /**< it can't be cut any further */
};

/**
 * Encodes the progress of a job in at most @max_bytes of text; free with put.
 *
 * @param cut	set to what the row lacks
 */
json_object *job_progress_encode(const struct fleet_job *job, gsize max_bytes,
				 enum progress_cut *cut);

const char *progress_cut_name(enum progress_cut cut);

/**
 * Merges a progress row into the job's state.
 *
 * @return	TRUE if the job has progress that the row lacks
 */
gboolean job_progress_merge(struct fleet_job *job, json_object *row);

/** Returns the state in a row, FLEET_JOB_STATE_COUNT if it has none. */
enum fleet_job_state job_progress_state(json_object *row);

#endif
