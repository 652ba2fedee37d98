/*
 * The rows of a scheduler: writes by compare-and-set, with conflicts and lost
 * answers resolved by reading back.
 */
#include "job/scheduler_state.h"

#include <string.h>

#include "base/log.h"

void scheduler_write(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE || !job_entry_wants_write(e, now_ms))
		return;
	job_entry_on_write(e, s->writer);
	e->call_id = ++s->calls;
	s->ops->write_row(e->record.id, e->call_id, &e->record, e->version,
			  s->data);
}

void scheduler_delete(struct scheduler *s, struct job_entry *e)
{
	e->call = ENTRY_WRITING;
	e->is_deleting = TRUE;
	e->call_id = ++s->calls;
	s->ops->write_row(e->record.id, e->call_id, NULL, e->version, s->data);
}

/* A row that is still there is read again by the next scan. */
static void take_deletion(struct scheduler *s, struct job_entry *e,
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
	job_entry_touch(e);
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

static void on_clean(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	struct gang *g = e->gang;

	if (g && g->state == GANG_COMMITTING &&
	    e->record.state == JOB_COMMITTED && e->record.attempt == g->attempt)
		gang_on_committed(g, now_ms);
}

static void read_back(struct scheduler *s, struct job_entry *e)
{
	e->call = ENTRY_READING;
	e->call_id = ++s->calls;
	s->ops->read_row(e->record.id, e->call_id, s->data);
}

void scheduler_on_written(struct scheduler *s, const char *id, int64_t call_id,
			  enum status status, int64_t version, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, id);

	if (!e || e->call != ENTRY_WRITING || e->call_id != call_id)
		return;
	if (e->is_deleting) {
		take_deletion(s, e, status, now_ms);
		return;
	}
	if (status == STATUS_OK) {
		job_entry_on_written(e, version);
		if (job_entry_is_clean(e))
			on_clean(s, e, now_ms);
	} else if (status == STATUS_UNAVAILABLE) {
		job_entry_on_failure(e, now_ms);
	} else {
		read_back(s, e);
	}
	scheduler_follow(s, e, now_ms);
	scheduler_finish_event(s, now_ms);
}

/* An older holder's commitment came late: its attempt has to end first. */
static void take_late_commitment(struct scheduler *s, struct job_entry *e,
				 const struct job_record *r, int64_t now_ms)
{
	job_queue_cancel(s->queue, e->record.id);
	e->requeue_ms = 0;
	scheduler_remove_tasks(s, e);
	job_entry_drop_gang(e);
	job_record_clear(&e->record);
	job_record_copy(&e->record, r);
	e->written = e->wanted;
	e->known_attempt = r->attempt;
	scheduler_recover_gang(s, e, now_ms);
	gang_abort(e->gang, GANG_OUTCOME_CHANGED, "", now_ms);
}

static void take_end(struct scheduler *s, struct job_entry *e,
		     const struct job_record *r, int64_t now_ms)
{
	job_queue_cancel(s->queue, e->record.id);
	e->requeue_ms = 0;
	if (e->gang)
		gang_abort(e->gang, GANG_OUTCOME_CHANGED, "", now_ms);
	job_record_clear(&e->record);
	job_record_copy(&e->record, r);
	e->written = e->wanted;
}

static void take_cancel(struct scheduler *s, struct job_entry *e,
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

/* Takes what somebody else wrote into the row. */
static void merge(struct scheduler *s, struct job_entry *e, int64_t version,
		  const struct job_record *r, int64_t now_ms)
{
	if (r->epoch > s->epoch) {
		scheduler_set_fenced(s, e->record.id);
		return;
	}
	e->version = version;
	if (job_record_is_ended(r) && !job_record_is_ended(&e->record))
		take_end(s, e, r, now_ms);
	else if (r->attempt > e->known_attempt)
		take_late_commitment(s, e, r, now_ms);
	if (r->is_cancelled && !e->record.is_cancelled)
		take_cancel(s, e, now_ms);
}

static gboolean is_own(const struct scheduler *s, const struct job_record *r)
{
	size_t len = strlen(s->writer);

	return r->commit_id && g_str_has_prefix(r->commit_id, s->writer) &&
	       r->commit_id[len] == '.';
}

static void take_read(struct scheduler *s, struct job_entry *e, int64_t version,
		      const struct job_record *r, int64_t now_ms)
{
	if (version == e->version) {
		/* Our write is not there; it may still come, once. */
		job_entry_on_failure(e, now_ms);
	} else if (g_strcmp0(r->commit_id, e->record.commit_id) == 0) {
		job_entry_on_written(e, version);
		if (job_entry_is_clean(e))
			on_clean(s, e, now_ms);
	} else {
		e->call = ENTRY_IDLE;
		e->version = version;
		if (!is_own(s, r))
			merge(s, e, version, r, now_ms);
	}
}

/* The row was deleted: nothing of it may go on. */
static void take_deleted(struct scheduler *s, struct job_entry *e,
			 int64_t now_ms)
{
	e->call = ENTRY_IDLE;
	e->version = 0;
	take_cancel(s, e, now_ms);
	if (job_record_is_ended(&e->record))
		e->written = e->wanted;
}

void scheduler_on_read(struct scheduler *s, const char *id, int64_t call_id,
		       enum status status, int64_t version,
		       const struct job_record *r, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, id);

	if (!e || e->call != ENTRY_READING || e->call_id != call_id)
		return;
	if (status == STATUS_OK)
		take_read(s, e, version, r, now_ms);
	else if (status == STATUS_NOT_FOUND)
		take_deleted(s, e, now_ms);
	else
		job_entry_on_failure(e, now_ms);
	scheduler_follow(s, e, now_ms);
	scheduler_finish_event(s, now_ms);
}

static struct job_entry *add_entry(struct scheduler *s, int64_t version,
				   const struct job_record *r)
{
	struct job_entry *e = job_entry_new(r, version);

	g_hash_table_insert(s->entries, g_strdup(r->id), e);
	return e;
}

/* A row that was not known while active. */
static void take_new(struct scheduler *s, struct job_entry *e,
		     const struct job_record *r, int64_t now_ms)
{
	if (r->epoch > s->epoch)
		scheduler_set_fenced(s, r->id);
	else if (r->state == JOB_COMMITTED || r->state == JOB_RUNNING)
		take_late_commitment(s, e, r, now_ms);
	else if (r->is_cancelled && !job_record_is_ended(r))
		take_cancel(s, e, now_ms);
	else if (r->state == JOB_QUEUED)
		scheduler_queue(s, e);
}

static void take_row(struct scheduler *s, int64_t version,
		     const struct job_record *r, int64_t now_ms)
{
	struct job_entry *e = g_hash_table_lookup(s->entries, r->id);

	if (!e) {
		e = add_entry(s, version, r);
		if (s->phase == SCHEDULER_ACTIVE)
			take_new(s, e, r, now_ms);
		else if (r->state == JOB_COMMITTED || r->state == JOB_RUNNING)
			scheduler_recover_gang(s, e, now_ms);
	} else if (version > e->version && e->call == ENTRY_IDLE &&
		   !is_own(s, r)) {
		merge(s, e, version, r, now_ms);
	}
	scheduler_follow(s, e, now_ms);
}

void scheduler_on_row(struct scheduler *s, int64_t version,
		      const struct job_record *r, int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE && s->phase != SCHEDULER_RECOVERING)
		return;
	take_row(s, version, r, now_ms);
	scheduler_finish_event(s, now_ms);
}

gboolean scheduler_is_news(const struct scheduler *s, const char *id,
			   int64_t version)
{
	const struct job_entry *e = g_hash_table_lookup(s->entries, id);

	return !e || version > e->version;
}
