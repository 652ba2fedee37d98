/**
 * @file
 * Writes a job's row for a caller: a submission into a row that must not
 * exist, or the mark that the caller cancelled it. A lost answer is resolved
 * by reading back; the same write may then be sent again, since its commit_id
 * and the expected version let it take effect once.
 */
#ifndef DAEMON_JOB_ROW_WRITER_H
#define DAEMON_JOB_ROW_WRITER_H

#include "job/job_record.h"
#include "store/platform.h"

enum row_outcome {
	ROW_WRITTEN,
	ROW_SAME,      /**< the row was there already and asks for the same */
	ROW_OTHER,     /**< the id is taken by another job */
	ROW_NOT_FOUND, /**< nothing to cancel */
	ROW_NOT_WRITTEN,
	ROW_UNKNOWN, /**< may have been written, or may still be */
};

typedef void (*row_outcome_fn)(enum row_outcome outcome, void *data);

struct job_row_writer;

/**
 * Submits a job. The callback comes once, unless the writer is freed first;
 * the writer is freed after it.
 *
 * @param r	copied
 */
struct job_row_writer *job_row_submit(struct platform *p,
				      const struct job_record *r,
				      row_outcome_fn fn, void *data);

/** Marks a job as cancelled; as job_row_submit(). */
struct job_row_writer *job_row_cancel(struct platform *p, const char *pool,
				      const char *id, row_outcome_fn fn,
				      void *data);

/** Ends a write without its callback. */
void job_row_writer_free(struct job_row_writer *w);

#endif
