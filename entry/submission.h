/**
 * @file
 * Writes submitted jobs to the store. A job's row is read before it is written:
 * a read that times out has no side effect, so the client can be told for
 * certain that the job will not run. While a part of the store is known to be
 * unresponsive, its jobs are refused without waiting.
 */
#ifndef ENTRY_SUBMISSION_H
#define ENTRY_SUBMISSION_H

#include <json-c/json.h>
#include <stdint.h>

#include "store/platform.h"

enum submission_outcome {
	SUBMISSION_ACCEPTED,
	SUBMISSION_DUPLICATE, /**< an earlier attempt stored the job */
	SUBMISSION_REFUSED,   /**< certainly not written by this attempt */
	SUBMISSION_UNKNOWN,   /**< may be stored, now or later */
};

struct submitter;

struct submitter *submitter_new(struct platform *p);
/** Drops all submissions in flight; their callbacks are not called. */
void submitter_free(struct submitter *s);

/** Called once per submission, never from within submitter_submit(). */
typedef void (*submission_fn)(enum submission_outcome outcome, void *data);

/**
 * Starts to submit a job.
 *
 * @param row			the job's row; takes its own reference
 * @param read_timeout_ms	of the read before the write, after which the
 *				job is refused; 0 for the usual one
 * @param timeout_ms		how long the client waits for an answer
 */
void submitter_submit(struct submitter *s, const char *id, json_object *row,
		      int64_t read_timeout_ms, int64_t timeout_ms,
		      submission_fn fn, void *data);

#endif
