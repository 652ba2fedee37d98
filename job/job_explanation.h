/**
 * @file
 * Explains why a job waits, where and why it was placed, or why it was refused.
 */
#ifndef JOB_JOB_EXPLANATION_H
#define JOB_JOB_EXPLANATION_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

struct member_explanation {
	char *worker;
	char *task;
	char *state;
};

struct job_explanation {
	char *id;
	char *pool;
	char *client_account;
	char *state;
	char *reason;	 /**< reason for the state, or why it waits */
	char *choice;	 /**< why it was placed on these workers */
	char *runner_up; /**< next best placement */
	char *gang; /**< state of the current attempt, "none" without one */
	int64_t attempt;
	int64_t failures;
	int64_t stops;	      /**< times preempted for other jobs */
	int64_t epoch;	      /**< epoch of the answering holder */
	GPtrArray *lines;     /**< of char *, the same as readable text */
	GPtrArray *waits_for; /**< of char *, ids of jobs being preempted */
	GArray *members;      /**< of struct member_explanation */
};

extern const struct schema job_explanation_schema;

#endif
