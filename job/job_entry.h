/**
 * @file
 * In-memory state of a job at its pool's holder: the intended row, how much of
 * it is stored in the table, and the current attempt. Performs no I/O and reads
 * no clock.
 */
#ifndef JOB_JOB_ENTRY_H
#define JOB_JOB_ENTRY_H

#include <glib.h>
#include <stdint.h>

#include "job/gang.h"
#include "job/job_record.h"

/** Backoff after a failed write; doubles from MIN to MAX. */
#define ENTRY_RETRY_MIN_MS INT64_C(200)
#define ENTRY_RETRY_MAX_MS INT64_C(5000)
/** Backoff before a failed or refused job is queued again; doubles too. */
#define ENTRY_REQUEUE_MIN_MS INT64_C(500)
#define ENTRY_REQUEUE_MAX_MS INT64_C(8000)

/** How long a job's row is kept after the job has ended. */
#define JOB_ENDED_RETENTION_MS (INT64_C(3600) * 1000)

/** The call to the table that is in flight for an entry. */
enum entry_call {
	ENTRY_IDLE,
	ENTRY_WRITING,
	ENTRY_READING, /**< reading back after a conflict or a lost answer */
};

struct job_entry {
	struct job_record record; /**< intended content of the row */
	int64_t version;	  /**< last known version of the row */
	int64_t stored_attempt;	  /**< last known attempt in the row */
	int64_t last_attempt;	  /**< highest number used in task names */
	gboolean is_deleting;	  /**< the write in flight deletes the row */
	enum entry_call call;
	int64_t call_id;	  /**< id of the call in flight */
	guint64 record_revision;  /**< revision of the record, counts changes */
	guint64 sent_revision;	  /**< revision in the last write */
	guint64 written_revision; /**< revision known to be in the table */
	int64_t retry_ms; /**< earliest time of the next write, 0 for now */
	int64_t backoff_ms;
	int64_t requeue_ms; /**< when to queue again, 0 if not backing off */
	int64_t requeue_backoff_ms;
	int64_t running_since_ms; /**< monotonic clock, 0 if not running */
	struct gang *gang;	  /**< current attempt, or NULL */
	enum gang_state
		handled_gang_state; /**< gang state that was last handled */
	GHashTable *blockers; /**< set of ids of jobs that must end first */
	char *choice;	      /**< why it was placed on these workers */
	char *runner_up;      /**< next best placement, "" for none */
};

/** Returns an entry with a copy of @r; free with job_entry_free(). */
struct job_entry *job_entry_new(const struct job_record *r, int64_t version);
void job_entry_free(struct job_entry *e);

/** Marks the record as changed, so that it is written. */
void job_entry_mark_dirty(struct job_entry *e);

/** Returns TRUE if the record should be written now. */
gboolean job_entry_wants_write(const struct job_entry *e, int64_t now_ms);

/** Returns TRUE if the row's retention time after the job's end is over. */
gboolean job_entry_is_expired(const struct job_entry *e, int64_t wall_ms,
			      int64_t now_ms);

/**
 * Returns the next deadline of the entry, WAKE_NEVER for none.
 *
 * @param wall_offset_ms	wall clock minus monotonic clock
 */
int64_t job_entry_due_ms(const struct job_entry *e, int64_t wall_offset_ms);

/**
 * Records that a write is in flight; sets the row's commit_id.
 *
 * @param commit_prefix	unique to this process's term as holder
 */
void job_entry_on_write(struct job_entry *e, const char *commit_prefix);

/** Handles a successful write, also one confirmed by reading back. */
void job_entry_on_written(struct job_entry *e, int64_t version);

/** Handles a failed write or read: schedules the next write with backoff. */
void job_entry_on_failure(struct job_entry *e, int64_t now_ms);

/** Returns TRUE if the row in the table equals the record. */
gboolean job_entry_is_clean(const struct job_entry *e);

/** Returns an attempt number that was never used for this job. */
int64_t job_entry_next_attempt(const struct job_entry *e);

/** Schedules when to queue again, with exponential backoff. */
void job_entry_back_off(struct job_entry *e, int64_t now_ms);

/** Frees the current attempt and clears the blockers. */
void job_entry_drop_gang(struct job_entry *e);

#endif
