/**
 * @file
 * Why a job waits, where it was put and why, or why it was refused.
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
	char *reason; /**< of the state, or why it waits */
	char *choice; /**< why it was put there */
	char *runner_up;
	char *gang; /**< state of the present attempt */
	int64_t attempt;
	int64_t failures;
	int64_t stops;	      /**< for others */
	int64_t epoch;	      /**< of the holder that explains */
	GPtrArray *lines;     /**< of char *, for people */
	GPtrArray *waits_for; /**< of char *, jobs that are stopped for it */
	GArray *members;      /**< of struct member_explanation */
};

extern const struct schema job_explanation_schema;

#endif
