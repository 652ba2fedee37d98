/*
 * A scheduler's access to its job rows: writes by compare-and-set; conflicts
 * and lost answers are resolved by reading the row back.
 */
#include "job/scheduler_state.h"

#include <string.h>

#include "base/log.h"

void scheduler_write_row(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE || !job_entry_wants_write(e, now_ms))
		return;
	job_entry_on_write(e, s->commit_prefix);
	e->call_id = ++s->last_call_id;
	s->ops->write_row(e->record.id, e->call_id, &e->record, e->version,
			  s->data);
}

void scheduler_delete_row(struct scheduler *s, struct job_entry *e)
{
	e->call = ENTRY_WRITING;
	e->is_deleting = TRUE;
	e->call_id = ++s->last_call_id;
	s->ops->write_row(e->record.id, e->call_id, NULL, e->version, s->data);
}

/* After a conflict the row still exists; the next scan reads it again. */
static void on_deleted(struct scheduler *s, struct job_entry *e,
		       enum status status, int64_t now_ms)
{
	e->is_deleting = FALSE;
	if (status == STATUS_OK || status == STATUS_CONFLICT)
		g_hash_table_remove(s->entries, e->record.id);
	else
		job_entry_on_failure(e, now_ms);
}

void scheduler_set_state(struct scheduler *s, struct job_entry *e,
			 enum job_state state, const char *reason)
{
	struct log_line line;

	job_record_set_state(&e->record, state, reason);
	job_entry_mark_dirty(e);
	log_begin(&line, LOG_LEVEL_INFO, "job_state");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "job", e->record.id);
	log_str(&line, "state", job_state_names[state]);
	log_int(&line, "attempt", e->record.attempt);
	log_str(&line, "reason", reason);
	log_int(&line, "epoch", s->epoch);
	log_int(&line, "config_version", s->config_version);
	log_end(&line);
}

static void on_row_written(struct scheduler *s, struct job_entry *e,
			   int64_t now_ms)
{
	struct gang *g = e->gang;

	if (g && g->state == GANG_COMMITTING &&
	    e->record.state == JOB_COMMITTED && e->record.attempt == g->attempt)
		gang_on_committed(g, now_ms);
}

static void read_back(struct scheduler *s, struct job_entry *e)
{
	e->call = ENTRY_READING;
	e->call_id = ++s->last_call_id;
	s->ops->read_row(e->record.id, e->call_id, s->data);
}

void scheduler_on_written(struct scheduler *s, const char *id, int64_t call_id,
			  enum status status, int64_t version, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, id);

	if (!e || e->call != ENTRY_WRITING || e->call_id != call_id)
		return;
	if (e->is_deleting) {
		on_deleted(s, e, status, now_ms);
		return;
	}
	if (status == STATUS_OK) {
		job_entry_on_written(e, version);
		if (job_entry_is_clean(e))
			on_row_written(s, e, now_ms);
	} else if (status == STATUS_UNAVAILABLE) {
		job_entry_on_failure(e, now_ms);
	} else {
		read_back(s, e);
	}
	scheduler_update_entry(s, e, now_ms);
	scheduler_finish_event(s, now_ms);
}

/* Ends an older holder's late attempt before the job may start another. */
static void end_late_commitment(struct scheduler *s, struct job_entry *e,
				const struct job_record *r, int64_t now_ms)
{
	job_queue_cancel(s->queue, e->record.id);
	e->requeue_ms = 0;
	scheduler_remove_tasks(s, e);
	job_entry_drop_gang(e);
	job_record_clear(&e->record);
	job_record_copy(&e->record, r);
	e->written_revision = e->record_revision;
	e->stored_attempt = r->attempt;
	scheduler_recover_gang(s, e, now_ms);
	gang_abort(e->gang, GANG_OUTCOME_ROW_CHANGED, "", now_ms);
}

/* Takes over a final state that another process wrote; aborts the attempt. */
static void apply_end(struct scheduler *s, struct job_entry *e,
		      const struct job_record *r, int64_t now_ms)
{
	job_queue_cancel(s->queue, e->record.id);
	e->requeue_ms = 0;
	if (e->gang)
		gang_abort(e->gang, GANG_OUTCOME_ROW_CHANGED, "", now_ms);
	job_record_clear(&e->record);
	job_record_copy(&e->record, r);
	e->written_revision = e->record_revision;
}

static void apply_cancel(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms)
{
	e->record.is_cancelled = 1;
	if (e->gang) {
		gang_abort(e->gang, GANG_OUTCOME_CANCELLED, "", now_ms);
	} else if (!job_record_is_ended(&e->record)) {
		job_queue_cancel(s->queue, e->record.id);
		e->requeue_ms = 0;
		scheduler_set_state(s, e, JOB_CANCELLED, "cancelled by caller");
	}
}

/* Merges a row written by another process. */
static void merge_row(struct scheduler *s, struct job_entry *e, int64_t version,
		      const struct job_record *r, int64_t now_ms)
{
	if (r->epoch > s->epoch) {
		scheduler_set_fenced(s, e->record.id);
		return;
	}
	e->version = version;
	if (job_record_is_ended(r) && !job_record_is_ended(&e->record))
		apply_end(s, e, r, now_ms);
	else if (r->attempt > e->stored_attempt)
		end_late_commitment(s, e, r, now_ms);
	if (r->is_cancelled && !e->record.is_cancelled)
		apply_cancel(s, e, now_ms);
}

static gboolean is_own_write(const struct scheduler *s,
			     const struct job_record *r)
{
	size_t len = strlen(s->commit_prefix);

	return r->commit_id &&
	       g_str_has_prefix(r->commit_id, s->commit_prefix) &&
	       r->commit_id[len] == '.';
}

static void on_row_read(struct scheduler *s, struct job_entry *e,
			int64_t version, const struct job_record *r,
			int64_t now_ms)
{
	if (version == e->version) {
		/*
		 * Our write is missing and is retried. If the first one still
		 * arrives, only one of the two matches the row's version.
		 */
		job_entry_on_failure(e, now_ms);
	} else if (g_strcmp0(r->commit_id, e->record.commit_id) == 0) {
		job_entry_on_written(e, version);
		if (job_entry_is_clean(e))
			on_row_written(s, e, now_ms);
	} else {
		e->call = ENTRY_IDLE;
		e->version = version;
		if (!is_own_write(s, r))
			merge_row(s, e, version, r, now_ms);
	}
}

/* Stops a job whose row was deleted. */
static void on_row_missing(struct scheduler *s, struct job_entry *e,
			   int64_t now_ms)
{
	e->call = ENTRY_IDLE;
	e->version = 0;
	apply_cancel(s, e, now_ms);
	if (job_record_is_ended(&e->record))
		e->written_revision = e->record_revision;
}

void scheduler_on_read(struct scheduler *s, const char *id, int64_t call_id,
		       enum status status, int64_t version,
		       const struct job_record *r, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, id);

	if (!e || e->call != ENTRY_READING || e->call_id != call_id)
		return;
	if (status == STATUS_OK)
		on_row_read(s, e, version, r, now_ms);
	else if (status == STATUS_NOT_FOUND)
		on_row_missing(s, e, now_ms);
	else
		job_entry_on_failure(e, now_ms);
	scheduler_update_entry(s, e, now_ms);
	scheduler_finish_event(s, now_ms);
}

static struct job_entry *add_entry(struct scheduler *s, int64_t version,
				   const struct job_record *r)
{
	struct job_entry *e = job_entry_new(r, version);

	g_hash_table_insert(s->entries, g_strdup(r->id), e);
	return e;
}

/* Handles a row that was unknown while the scheduler was active. */
static void on_new_row(struct scheduler *s, struct job_entry *e,
		       const struct job_record *r, int64_t now_ms)
{
	if (r->epoch > s->epoch)
		scheduler_set_fenced(s, r->id);
	else if (r->state == JOB_COMMITTED || r->state == JOB_RUNNING)
		end_late_commitment(s, e, r, now_ms);
	else if (r->is_cancelled && !job_record_is_ended(r))
		apply_cancel(s, e, now_ms);
	else if (r->state == JOB_QUEUED)
		scheduler_enqueue(s, e);
}

static void on_row(struct scheduler *s, int64_t version,
		   const struct job_record *r, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, r->id);

	if (!e) {
		e = add_entry(s, version, r);
		if (s->phase == SCHEDULER_ACTIVE)
			on_new_row(s, e, r, now_ms);
		else if (r->state == JOB_COMMITTED || r->state == JOB_RUNNING)
			scheduler_recover_gang(s, e, now_ms);
	} else if (version > e->version && e->call == ENTRY_IDLE &&
		   !is_own_write(s, r)) {
		merge_row(s, e, version, r, now_ms);
	}
	scheduler_update_entry(s, e, now_ms);
}

void scheduler_on_row(struct scheduler *s, int64_t version,
		      const struct job_record *r, int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE && s->phase != SCHEDULER_RECOVERING)
		return;
	on_row(s, version, r, now_ms);
	scheduler_finish_event(s, now_ms);
}

gboolean scheduler_is_row_newer(const struct scheduler *s, const char *id,
				int64_t version)
{
	const struct job_entry *e = g_hash_table_lookup(s->entries, id);

	return !e || version > e->version;
}
