/**
 * @file
 * Writes a job's row for a caller: a submission, whose row must not exist yet,
 * or a cancellation. When the answer to a write is lost, the row is read back
 * and the write may be repeated: its commit_id and expected version ensure that
 * it takes effect at most once.
 */
#ifndef DAEMON_JOB_ROW_WRITER_H
#define DAEMON_JOB_ROW_WRITER_H

#include "job/job_record.h"
#include "store/platform.h"

enum row_outcome {
	ROW_WRITTEN,
	ROW_UNCHANGED,	 /**< the row already has what was to be written */
	ROW_ID_TAKEN,	 /**< the row is of another job, or invalid */
	ROW_NOT_FOUND,	 /**< there is no job to cancel */
	ROW_NOT_WRITTEN, /**< gave up; no write took effect */
	ROW_UNKNOWN,	 /**< gave up; a write may take effect, even later */
};

typedef void (*row_outcome_fn)(enum row_outcome outcome, void *data);

struct job_row_writer;

/**
 * Submits a job. The callback is called once, unless the writer is freed first.
 * The writer frees itself just before the callback.
 *
 * @param r	copied
 */
struct job_row_writer *job_row_submit(struct platform *p,
				      const struct job_record *r,
				      row_outcome_fn fn, void *data);

/**
 * Marks a job as cancelled; callback and ownership as in job_row_submit().
 * ROW_UNCHANGED stands for a job that is cancelled or has ended already.
 */
struct job_row_writer *job_row_cancel(struct platform *p, const char *pool,
				      const char *id, row_outcome_fn fn,
				      void *data);

/** Abandons a write; its callback is not called. */
void job_row_writer_free(struct job_row_writer *w);

#endif
