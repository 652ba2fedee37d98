/**
 * @file
 * A job in the memory of its pool's holder: the row as it ought to be, what
 * of it is in the table, and the present attempt. Pure.
 */
#ifndef JOB_JOB_ENTRY_H
#define JOB_JOB_ENTRY_H

#include <glib.h>
#include <stdint.h>

#include "job/gang.h"
#include "job/job_record.h"

/** Between a write that failed and the next; doubled each time. */
#define ENTRY_RETRY_MIN_MS INT64_C(200)
#define ENTRY_RETRY_MAX_MS INT64_C(5000)
/** Before a job whose attempt was refused is placed again; doubled too. */
#define ENTRY_REQUEUE_MIN_MS INT64_C(500)
#define ENTRY_REQUEUE_MAX_MS INT64_C(8000)

/** For which a row stays after its job has ended. */
#define JOB_KEEP_ENDED_MS (INT64_C(3600) * 1000)

enum entry_call {
	ENTRY_IDLE,
	ENTRY_WRITING,
	ENTRY_READING, /**< after a conflict or a lost answer */
};

struct job_entry {
	struct job_record record; /**< as it ought to be */
	int64_t version;	  /**< of the row, as last known */
	int64_t known_attempt;	  /**< in the row, as last known */
	int64_t last_attempt; /**< highest number that tasks were named by */
	gboolean is_deleting; /**< the write in flight deletes the row */
	enum entry_call call;
	int64_t call_id;  /**< of the call in flight */
	guint64 wanted;	  /**< counts changes of the record */
	guint64 sent;	  /**< change that the last write carried */
	guint64 written;  /**< change that is known to be in the table */
	int64_t retry_ms; /**< when to write again, 0 for at once */
	int64_t backoff_ms;
	int64_t requeue_ms; /**< when to queue again, 0 for not waiting */
	int64_t requeue_backoff_ms;
	int64_t running_since_ms; /**< monotonic */
	struct gang *gang;	  /**< NULL without an attempt */
	enum gang_state followed; /**< state of the gang last acted on */
	GHashTable *blockers;	  /**< set of ids that have to end first */
	char *choice;		  /**< why here, or why it waits */
	char *runner_up;
};

/** @param r	copied */
struct job_entry *job_entry_new(const struct job_record *r, int64_t version);
void job_entry_free(struct job_entry *e);

/** Notes that the record was changed and has to be written. */
void job_entry_touch(struct job_entry *e);

/** Tells whether to write now. */
gboolean job_entry_wants_write(const struct job_entry *e, int64_t now_ms);

/** Tells whether the row has been kept long enough after its end. */
gboolean job_entry_is_old(const struct job_entry *e, int64_t wall_ms,
			  int64_t now_ms);

/**
 * Returns when a deadline of the entry is over, WAKE_NEVER for none.
 *
 * @param wall_offset_ms	wall clock less monotonic clock
 */
int64_t job_entry_due_ms(const struct job_entry *e, int64_t wall_offset_ms);

/** Notes a write on its way; sets the row's commit_id. */
void job_entry_on_write(struct job_entry *e, const char *writer);

/** Takes the success of the last write, or its finding by reading back. */
void job_entry_on_written(struct job_entry *e, int64_t version);

/** Takes a failure: the same change is written again after a while. */
void job_entry_on_failure(struct job_entry *e, int64_t now_ms);

/** Tells whether the row in the table is as it ought to be. */
gboolean job_entry_is_clean(const struct job_entry *e);

/** Returns the attempt number that no other attempt has had. */
int64_t job_entry_next_attempt(const struct job_entry *e);

/** Sets when to queue again after a refusal. */
void job_entry_back_off(struct job_entry *e, int64_t now_ms);

/** Frees the attempt. */
void job_entry_drop_gang(struct job_entry *e);

#endif
