/**
 * @file
 * Brings jobs into the store. A job's row is looked for before it is written:
 * a store that doesn't answer is found out by a read, which has no effect, so
 * that the caller can be told truthfully that the job will not run. While a
 * part of the store is known to be silent, its jobs are refused at once.
 */
#ifndef ENTRY_SUBMISSION_H
#define ENTRY_SUBMISSION_H

#include <json-c/json.h>
#include <stdint.h>

#include "store/platform.h"

enum submission_outcome {
	SUBMISSION_ACCEPTED,
	SUBMISSION_KNOWN,   /**< an earlier attempt has brought it in */
	SUBMISSION_REFUSED, /**< certainly not written by this attempt */
	SUBMISSION_UNKNOWN, /**< it may be there, or come there later */
};

struct submitter;

struct submitter *submitter_new(struct platform *p);
/** Ends all submissions without their callbacks. */
void submitter_free(struct submitter *s);

/** Called once, never from within submitter_begin(). */
typedef void (*submission_fn)(enum submission_outcome outcome, void *data);

/**
 * Starts to bring a job in.
 *
 * @param row		of the job; not taken over
 * @param time_ms	that the caller waits for an answer
 */
void submitter_begin(struct submitter *s, const char *id, json_object *row,
		     int64_t time_ms, submission_fn fn, void *data);

#endif
