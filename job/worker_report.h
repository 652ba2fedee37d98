/**
 * @file
 * Messages of a call to a worker: commands in the request, their results and
 * a report of the worker's tasks in the answer.
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
	WORKER_THROTTLE, /**< in the protocol, but never sent */
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

/** A request: commands, and the renewal of all leases on the worker. */
struct worker_call {
	char *pool;
	int64_t epoch;
	char *holder; /**< name of the calling node */
	int64_t lease_ms;
	char *known;	  /**< worker's digest of the report the caller has */
	GArray *commands; /**< of struct worker_command */
};

/** The result of one command. */
struct worker_result {
	char *task;
	int64_t is_refused; /**< "status" in the message */
	char *reason;
};

/** A task on a worker. */
struct worker_task {
	char *task;
	int64_t state; /**< enum task_state */
	int64_t remaining_ms;
};

/** Unused resources of a worker. */
struct worker_free_capacity {
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

struct worker_report {
	int64_t epoch;	 /**< highest that the worker has seen */
	GArray *results; /**< of struct worker_result, one per command */
	/** Of struct worker_task, up to WORKER_REPORT_LAG_MS old. */
	GArray *tasks;
	struct worker_free_capacity free;
	char *digest;	      /**< of tasks and states; NULL if not supported */
	int64_t is_unchanged; /**< no tasks listed: same as in "known" */
};

extern const struct schema worker_call_schema;
extern const struct schema worker_report_schema;

/**
 * Decodes a worker's answer.
 *
 * @param r	a zeroed struct; worker_report_clear() it in any case
 * @return	TRUE if the message is valid, without findings
 */
gboolean worker_report_decode(struct worker_report *r, json_object *json,
			      struct finding_list *findings);
void worker_report_clear(struct worker_report *r);

/**
 * Returns a digest of the tasks and their states, never negative. The order of
 * tasks and their remaining time don't change it.
 */
int64_t worker_report_digest(const struct worker_report *r);

/** Initialises a call without commands. */
void worker_call_init(struct worker_call *c, const char *pool, int64_t epoch,
		      const char *holder, int64_t lease_ms);
void worker_call_clear(struct worker_call *c);

#endif
