#include "job/job_entry.h"

#include "base/wake_plan.h"

struct job_entry *job_entry_new(const struct job_record *r, int64_t version)
{
	struct job_entry *e = g_new0(struct job_entry, 1);

	job_record_copy(&e->record, r);
	e->version = version;
	e->stored_attempt = r->attempt;
	e->blockers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->choice = g_strdup("");
	e->runner_up = g_strdup("");
	return e;
}

void job_entry_drop_gang(struct job_entry *e)
{
	g_clear_pointer(&e->gang, gang_free);
	g_hash_table_remove_all(e->blockers);
}

void job_entry_free(struct job_entry *e)
{
	job_entry_drop_gang(e);
	g_hash_table_unref(e->blockers);
	job_record_clear(&e->record);
	g_free(e->choice);
	g_free(e->runner_up);
	g_free(e);
}

void job_entry_mark_dirty(struct job_entry *e)
{
	e->record_revision++;
}

gboolean job_entry_is_clean(const struct job_entry *e)
{
	return e->written_revision == e->record_revision;
}

gboolean job_entry_wants_write(const struct job_entry *e, int64_t now_ms)
{
	return !job_entry_is_clean(e) && e->call == ENTRY_IDLE &&
	       now_ms >= e->retry_ms;
}

gboolean job_entry_is_expired(const struct job_entry *e, int64_t wall_ms,
			      int64_t now_ms)
{
	if (!job_record_is_ended(&e->record) || e->gang)
		return FALSE;
	if (!job_entry_is_clean(e) || e->call != ENTRY_IDLE)
		return FALSE;
	return now_ms >= e->retry_ms && e->record.ended_ms &&
	       wall_ms - e->record.ended_ms >= JOB_ENDED_RETENTION_MS;
}

static int64_t row_due_ms(const struct job_entry *e, int64_t wall_offset_ms)
{
	int64_t expiry_ms = e->record.ended_ms + JOB_ENDED_RETENTION_MS;

	if (e->call != ENTRY_IDLE)
		return WAKE_NEVER;
	if (!job_entry_is_clean(e))
		return e->retry_ms;
	if (!job_record_is_ended(&e->record) || e->gang || !e->record.ended_ms)
		return WAKE_NEVER;
	return MAX(e->retry_ms, expiry_ms - wall_offset_ms);
}

int64_t job_entry_due_ms(const struct job_entry *e, int64_t wall_offset_ms)
{
	int64_t due_ms = row_due_ms(e, wall_offset_ms);

	if (e->requeue_ms)
		due_ms = MIN(due_ms, e->requeue_ms);
	if (!e->gang)
		return due_ms;
	if (e->gang->state != e->handled_gang_state)
		return 0;
	if (e->gang->deadline_ms)
		due_ms = MIN(due_ms, e->gang->deadline_ms);
	return due_ms;
}

void job_entry_on_write(struct job_entry *e, const char *commit_prefix)
{
	e->call = ENTRY_WRITING;
	e->sent_revision = e->record_revision;
	g_free(e->record.commit_id);
	e->record.commit_id = g_strdup_printf(
		"%s.%" G_GUINT64_FORMAT, commit_prefix, e->record_revision);
}

void job_entry_on_written(struct job_entry *e, int64_t version)
{
	e->call = ENTRY_IDLE;
	e->version = version;
	e->written_revision = e->sent_revision;
	e->stored_attempt = MAX(e->stored_attempt, e->record.attempt);
	e->retry_ms = 0;
	e->backoff_ms = 0;
}

static int64_t doubled(int64_t backoff_ms, int64_t min_ms, int64_t max_ms)
{
	return CLAMP(backoff_ms * 2, min_ms, max_ms);
}

void job_entry_on_failure(struct job_entry *e, int64_t now_ms)
{
	e->call = ENTRY_IDLE;
	e->backoff_ms =
		doubled(e->backoff_ms, ENTRY_RETRY_MIN_MS, ENTRY_RETRY_MAX_MS);
	e->retry_ms = now_ms + e->backoff_ms;
}

int64_t job_entry_next_attempt(const struct job_entry *e)
{
	int64_t attempt = MAX(e->stored_attempt, e->record.attempt);

	return MAX(attempt, e->last_attempt) + 1;
}

void job_entry_back_off(struct job_entry *e, int64_t now_ms)
{
	e->requeue_backoff_ms =
		doubled(e->requeue_backoff_ms, ENTRY_REQUEUE_MIN_MS,
			ENTRY_REQUEUE_MAX_MS);
	e->requeue_ms = now_ms + e->requeue_backoff_ms;
}
