/**
 * @file
 * Bodies of the calls to a worker: commands out, results and report back.
 */
#ifndef JOB_WORKER_REPORT_H
#define JOB_WORKER_REPORT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"

enum worker_op {
	WORKER_RESERVE,
	WORKER_START,
	WORKER_RELEASE,
	WORKER_CHECKPOINT,
	WORKER_THROTTLE,
	WORKER_STOP,
	WORKER_OP_COUNT,
};

enum task_state {
	TASK_RESERVED,
	TASK_RUNNING,
	TASK_CHECKPOINTED,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
	TASK_STATE_COUNT,
};

struct worker_command {
	int64_t op; /**< enum worker_op */
	char *task;
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
	int64_t run_ms;
};

/** One call: commands, and the renewal of all leases on the worker. */
struct worker_call {
	char *pool;
	int64_t epoch;
	char *holder; /**< name of the calling node */
	int64_t lease_ms;
	char *known;	  /**< digest of the report that the caller has */
	GArray *commands; /**< of struct worker_command */
};

struct worker_result {
	char *task;
	int64_t is_refused; /**< as the wire's status */
	char *reason;
};

struct worker_task {
	char *task;
	int64_t state; /**< enum task_state */
	int64_t remaining_ms;
};

struct worker_free {
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

struct worker_report {
	int64_t epoch;	 /**< highest that the worker saw */
	GArray *results; /**< of struct worker_result, one a command */
	GArray *tasks;	 /**< of struct worker_task, lags */
	struct worker_free free;
	char *digest; /**< of tasks and their states; NULL: gives none */
	int64_t is_unchanged; /**< tasks as in the report that is known */
};

extern const struct schema worker_call_schema;
extern const struct schema worker_report_schema;

/**
 * Decodes a worker's answer.
 *
 * @param r	a zeroed struct; worker_report_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean worker_report_decode(struct worker_report *r, json_object *json,
			      struct finding_list *findings);
void worker_report_clear(struct worker_report *r);

/**
 * Returns a number that tells reports with other tasks or states apart, the
 * order and what time changes by itself left out; never negative.
 */
int64_t worker_report_digest(const struct worker_report *r);

/** Initialises a call without commands. */
void worker_call_init(struct worker_call *c, const char *pool, int64_t epoch,
		      const char *holder, int64_t lease_ms);
void worker_call_clear(struct worker_call *c);

#endif
