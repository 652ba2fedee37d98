/**
 * @file
 * State machine of one attempt to run a gang: reserved on all workers,
 * committed once in the table, started, running, ended. It consumes events and
 * yields, for each member, the commands to send to its worker until they are
 * answered. Performs no I/O and reads no clock.
 *
 *	clearing -> reserving -> committing -> starting -> running -> ended
 *	    |           |            |            |     checkpointing
 *	    +-----------+------------+------------+--------+-> ending -> ended
 *
 * No member starts before the commitment is confirmed to be in the table. When
 * one member is lost, all others are stopped. An attempt has ended only when no
 * member can still be running.
 */
#ifndef JOB_GANG_H
#define JOB_GANG_H

#include <glib.h>
#include <stdint.h>

#include "job/job_record.h"
#include "job/worker_report.h"

/** Time limit for reserving all members. */
#define GANG_RESERVE_TIMEOUT_MS INT64_C(2000)
/** Time limit for the commitment; reservations are released after it. */
#define GANG_COMMIT_TIMEOUT_MS INT64_C(5000)
/** Time limit for starting all members. */
#define GANG_START_TIMEOUT_MS INT64_C(2000)
/** Time for checkpoints between a preemption and the stop. */
#define GANG_CHECKPOINT_GRACE_MS INT64_C(700)
/** Maximum delay of a worker's report behind the state of its tasks. */
#define WORKER_REPORT_LAG_MS INT64_C(1000)

enum gang_state {
	GANG_CLEARING, /**< waiting for preempted jobs to end */
	GANG_RESERVING,
	GANG_COMMITTING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_CHECKPOINTING,
	GANG_ENDING, /**< releasing or stopping members */
	GANG_ENDED,
	GANG_STATE_COUNT,
};

enum gang_outcome {
	GANG_OUTCOME_NONE,
	GANG_OUTCOME_DONE,
	GANG_OUTCOME_TASK_FAILED,
	GANG_OUTCOME_REFUSED, /**< a worker refused a reservation or a start */
	GANG_OUTCOME_LOST,    /**< a worker, its lease or a task was lost */
	GANG_OUTCOME_TIMEOUT, /**< a state's deadline passed */
	GANG_OUTCOME_PREEMPTED,
	GANG_OUTCOME_CANCELLED,
	GANG_OUTCOME_ROW_CHANGED, /**< another writer changed the row */
	GANG_OUTCOME_COUNT,
};

enum member_state {
	MEMBER_WAITING, /**< no command sent yet */
	MEMBER_RESERVING,
	MEMBER_RESERVED,
	MEMBER_UNKNOWN, /**< recovered, not yet in any report */
	MEMBER_STARTING,
	MEMBER_RUNNING,
	MEMBER_CHECKPOINTING,
	MEMBER_CHECKPOINTED,
	MEMBER_RELEASING, /**< releasing a reservation, never started */
	MEMBER_STOPPING,
	MEMBER_DONE,
	MEMBER_GONE, /**< can no longer run */
	MEMBER_STATE_COUNT,
};

struct gang_member {
	char *worker;
	char *task;
	enum member_state state;
	gboolean has_failed;	       /**< the task failed */
	int64_t state_since_ms;	       /**< time of the last state change */
	int64_t reported_remaining_ms; /**< remaining work in the last report */
	int64_t checkpoint_remaining_ms; /**< at the checkpoint, else 0 */
};

struct gang {
	char *job;
	int64_t attempt;
	gboolean is_checkpointable;
	enum gang_state state;
	enum gang_outcome outcome; /**< set from GANG_ENDING on */
	char *cause;	     /**< worker, state or text; "" or NULL for none */
	int64_t deadline_ms; /**< deadline of the current state, 0 for none */
	GArray *members;     /**< of struct gang_member */
};

/**
 * Returns a new attempt in GANG_CLEARING; free with gang_free().
 *
 * @param workers	of char *, one for each member; copied
 */
struct gang *gang_new(const struct job_record *r, const GPtrArray *workers,
		      int64_t attempt, int64_t now_ms);

/**
 * Returns an attempt that a previous holder committed; free with gang_free().
 * All members are treated as started until gang_on_task() or
 * gang_on_task_missing() reports otherwise; gang_adopt() then decides whether
 * to keep it.
 */
struct gang *gang_recover(const struct job_record *r, int64_t now_ms);
void gang_free(struct gang *g);

/** Starts reserving; call once all preempted jobs have ended. */
void gang_reserve(struct gang *g, int64_t now_ms);

/** Handles the confirmation that the commitment is in the table. */
void gang_on_committed(struct gang *g, int64_t now_ms);

/**
 * Keeps a recovered attempt if all members run, else aborts it. If it was being
 * preempted, the missing checkpoints are requested first.
 */
void gang_adopt(struct gang *g, int64_t now_ms);

/**
 * Handles a worker's answer to a command.
 *
 * @param op	the command that was answered
 */
void gang_on_result(struct gang *g, guint member, enum worker_op op,
		    gboolean is_refused, int64_t now_ms);

/** Applies a member's task state from a worker's report. */
void gang_on_task(struct gang *g, guint member, enum task_state state,
		  int64_t remaining_ms, int64_t now_ms);

/**
 * Handles a worker's report in which a member's task is missing.
 *
 * @param as_of_ms	earliest time that the report may describe
 */
void gang_on_task_missing(struct gang *g, guint member, int64_t as_of_ms,
			  int64_t now_ms);

/** Aborts the attempt because a worker has stopped answering. */
void gang_on_worker_lost(struct gang *g, const char *worker, int64_t now_ms);

/** Handles the expiry of a worker's leases: its tasks can no longer run. */
void gang_on_worker_expired(struct gang *g, const char *worker, int64_t now_ms);

/** Stops the attempt; running members may checkpoint within the grace first. */
void gang_preempt(struct gang *g, int64_t now_ms);

/** Aborts the attempt: releases or stops all members. */
void gang_abort(struct gang *g, enum gang_outcome outcome, const char *cause,
		int64_t now_ms);

/** Aborts the attempt if the deadline of its state has passed. */
void gang_tick(struct gang *g, int64_t now_ms);

/**
 * Gets the commands to send to a member's worker now.
 *
 * @param ops	array of at least two elements
 * @return	the number of commands
 */
guint gang_member_ops(const struct gang *g, guint member, enum worker_op *ops);

/** Returns TRUE if a member may be running on its worker. */
gboolean gang_member_may_run(const struct gang *g, guint member);

/**
 * Returns the remaining work of the slowest member, or @fallback_ms unless all
 * members have a checkpoint or are done.
 */
int64_t gang_remaining_ms(const struct gang *g, int64_t fallback_ms);

const char *gang_state_name(enum gang_state state);
const char *gang_outcome_name(enum gang_outcome outcome);
const char *gang_member_state_name(enum member_state state);

#endif
