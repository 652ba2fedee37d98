/**
 * @file
 * The life of one attempt of a gang: reserved on all workers, committed once
 * in the table, started, running, ended. Pure: events in, and for each member
 * the command that its worker has to be sent, again until it is answered.
 *
 *	clearing -> reserving -> committing -> starting -> running -> ended
 *	    |           |            |            |     checkpointing
 *	    +-----------+------------+------------+--------+-> ending -> ended
 *
 * No member starts before the commitment is known to be in the table. After
 * one member is lost all others are stopped. An attempt has ended only when
 * no member can run any more.
 */
#ifndef JOB_GANG_H
#define JOB_GANG_H

#include <glib.h>
#include <stdint.h>

#include "job/job_record.h"
#include "job/worker_report.h"

/** For all reservations, from the first to the last. */
#define GANG_RESERVE_TIMEOUT_MS INT64_C(2000)
/** For the commitment, before the reservations are released. */
#define GANG_COMMIT_TIMEOUT_MS INT64_C(5000)
/** For all starts, from the first to the last. */
#define GANG_START_TIMEOUT_MS INT64_C(2000)
/** From a preemption to the stop, for checkpoints. */
#define GANG_CHECKPOINT_GRACE_MS INT64_C(700)
/** By which a worker's report may be behind. */
#define WORKER_REPORT_LAG_MS INT64_C(1000)

enum gang_state {
	GANG_CLEARING, /**< waits for preempted jobs to end */
	GANG_RESERVING,
	GANG_COMMITTING,
	GANG_STARTING,
	GANG_RUNNING,
	GANG_CHECKPOINTING,
	GANG_ENDING, /**< members are released or stopped */
	GANG_ENDED,
	GANG_STATE_COUNT,
};

enum gang_outcome {
	GANG_OUTCOME_NONE,
	GANG_OUTCOME_DONE,
	GANG_OUTCOME_TASK_FAILED,
	GANG_OUTCOME_REFUSED, /**< a worker refused a reservation or a start */
	GANG_OUTCOME_LOST,    /**< a worker or a lease was lost */
	GANG_OUTCOME_TIMEOUT, /**< a step took too long */
	GANG_OUTCOME_PREEMPTED,
	GANG_OUTCOME_CANCELLED,
	GANG_OUTCOME_CHANGED, /**< the row was written by somebody else */
	GANG_OUTCOME_COUNT,
};

enum member_state {
	MEMBER_WAITING, /**< nothing was sent */
	MEMBER_RESERVING,
	MEMBER_RESERVED,
	MEMBER_UNKNOWN, /**< recovered, not seen in a report yet */
	MEMBER_STARTING,
	MEMBER_RUNNING,
	MEMBER_CHECKPOINTING,
	MEMBER_CHECKPOINTED,
	MEMBER_RELEASING, /**< never started */
	MEMBER_STOPPING,
	MEMBER_DONE,
	MEMBER_GONE, /**< can't run any more */
	MEMBER_STATE_COUNT,
};

struct gang_member {
	char *worker;
	char *task;
	enum member_state state;
	gboolean has_failed;  /**< its task ended with a failure */
	int64_t changed_ms;   /**< when the state was entered */
	int64_t reported_ms;  /**< work left, by the last report */
	int64_t remaining_ms; /**< work left after the checkpoint */
};

struct gang {
	char *job;
	int64_t attempt;
	gboolean is_checkpointable;
	enum gang_state state;
	enum gang_outcome outcome; /**< known from GANG_ENDING on */
	char *cause;		   /**< the worker or task that ended it */
	int64_t deadline_ms;	   /**< of this state, 0 for none */
	GArray *members;	   /**< of struct gang_member */
};

/**
 * Returns a new attempt in GANG_CLEARING; free with gang_free().
 *
 * @param workers	of char *, one a member
 */
struct gang *gang_new(const struct job_record *r, const GPtrArray *workers,
		      int64_t attempt, int64_t now_ms);

/**
 * Returns an attempt that was committed before, by another holder. Its members
 * are all taken as started until gang_on_task() or gang_on_absent() says more;
 * gang_adopt() then decides.
 */
struct gang *gang_recover(const struct job_record *r, int64_t now_ms);
void gang_free(struct gang *g);

/** Starts reserving, once nothing is in the way. */
void gang_reserve(struct gang *g, int64_t now_ms);

/** Takes the commitment as known to be in the table. */
void gang_on_committed(struct gang *g, int64_t now_ms);

/**
 * Keeps a recovered attempt if it is whole, else ends it. One that was being
 * stopped for others first gets the checkpoints that are still missing.
 */
void gang_adopt(struct gang *g, int64_t now_ms);

/**
 * Takes the answer to a command.
 *
 * @param op	of the command that was answered
 */
void gang_on_result(struct gang *g, guint member, enum worker_op op,
		    gboolean is_refused, int64_t now_ms);

/** Takes a member's state from a report. */
void gang_on_task(struct gang *g, guint member, enum task_state state,
		  int64_t remaining_ms, int64_t now_ms);

/**
 * Takes a report that does not have a member.
 *
 * @param as_of_ms	time that the report is certainly not older than
 */
void gang_on_absent(struct gang *g, guint member, int64_t as_of_ms,
		    int64_t now_ms);

/** Ends the attempt because a worker does not answer any more. */
void gang_on_worker_lost(struct gang *g, const char *worker, int64_t now_ms);

/** Tells that whatever was on a worker can't run any more. */
void gang_on_worker_expired(struct gang *g, const char *worker, int64_t now_ms);

/** Takes the running members' checkpoints within the grace, then stops. */
void gang_preempt(struct gang *g, int64_t now_ms);

/** Ends the attempt. */
void gang_abort(struct gang *g, enum gang_outcome outcome, const char *cause,
		int64_t now_ms);

/** Acts on deadlines. */
void gang_tick(struct gang *g, int64_t now_ms);

/**
 * Returns the commands that a member's worker has to be sent now.
 *
 * @param ops	room for two
 * @return	how many there are
 */
guint gang_member_ops(const struct gang *g, guint member, enum worker_op *ops);

/** Tells whether a member may be running on its worker. */
gboolean gang_member_may_run(const struct gang *g, guint member);

/** Returns the work left; fallback unless all members are saved or done. */
int64_t gang_remaining_ms(const struct gang *g, int64_t fallback_ms);

const char *gang_state_name(enum gang_state state);
const char *gang_outcome_name(enum gang_outcome outcome);
const char *gang_member_state_name(enum member_state state);

#endif
