/*
 * Recovery by a new holder: collects what the pool runs from the rows and from
 * a report of each worker made after it was fenced. Nothing is placed before
 * all of these are in.
 */
#include "job/scheduler_state.h"

#include "base/log.h"

void scheduler_begin_recovery(struct scheduler *s, int64_t now_ms)
{
	s->phase = SCHEDULER_RECOVERING;
	s->is_scanned = FALSE;
	s->recovery_since_ms = now_ms;
	g_free(s->commit_prefix);
	s->commit_prefix =
		g_strdup_printf("%s.%" G_GINT64_FORMAT ".%" G_GINT64_FORMAT,
				s->incarnation, s->epoch, ++s->holder_terms);
	s->ops->scan_rows(s->data);
}

void scheduler_recover_gang(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms)
{
	e->gang = gang_recover(&e->record, now_ms);
	e->handled_gang_state = e->gang->state;
	scheduler_add_tasks(s, e, now_ms);
}

/* Assigns a recovered gang's resources, within guarantees if they allow it. */
static void assign_recovered(struct scheduler *s, struct job_entry *e,
			     int64_t now_ms)
{
	struct pool_job job = job_record_pool_job(&e->record);
	struct placement p;
	enum status status;

	placement_init(&p);
	for (guint i = 0; i < e->record.placement->len; i++)
		g_ptr_array_add(p.workers,
				g_strdup(e->record.placement->pdata[i]));
	p.is_guaranteed = TRUE;
	status = pool_assign(s->pool, &job, &p, now_ms);
	if (status == STATUS_CONFLICT) {
		p.is_guaranteed = FALSE;
		status = pool_assign(s->pool, &job, &p, now_ms);
	}
	if (status != STATUS_OK) {
		struct log_line line;

		log_begin(&line, LOG_LEVEL_WARN, "recovered_unaccounted");
		log_str(&line, "job", e->record.id);
		log_str(&line, "status", status_name(status));
		log_end(&line);
	}
	placement_clear(&p);
}

static void adopt_gang(struct scheduler *s, struct job_entry *e, int64_t now_ms)
{
	struct log_line line;

	assign_recovered(s, e, now_ms);
	gang_adopt(e->gang, now_ms);
	if (e->record.is_cancelled)
		gang_abort(e->gang, GANG_OUTCOME_CANCELLED, "", now_ms);
	log_begin(&line, LOG_LEVEL_INFO, "recovered");
	log_str(&line, "pool", s->pool_name);
	log_str(&line, "job", e->record.id);
	log_int(&line, "attempt", e->gang->attempt);
	log_str(&line, "gang", gang_state_name(e->gang->state));
	log_int(&line, "epoch", s->epoch);
	log_int(&line, "config_version", s->config_version);
	log_end(&line);
	scheduler_update_entry(s, e, now_ms);
}

static void recover_job(struct scheduler *s, struct job_entry *e,
			int64_t now_ms)
{
	if (e->gang) {
		adopt_gang(s, e, now_ms);
	} else if (e->record.state == JOB_QUEUED && e->record.is_cancelled) {
		scheduler_end_job(s, e, JOB_CANCELLED, "cancelled by caller",
				  now_ms);
		scheduler_update_entry(s, e, now_ms);
	} else if (e->record.state == JOB_QUEUED) {
		scheduler_enqueue(s, e);
	}
}

static gboolean is_recovery_complete(const struct scheduler *s)
{
	GHashTableIter iter;
	gpointer item;

	if (!s->is_scanned || !s->has_worker_list)
		return FALSE;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct worker_contact *c = item;

		if (!c->has_fresh_report && !c->is_lost)
			return FALSE;
	}
	return TRUE;
}

static void finish_recovery(struct scheduler *s, int64_t now_ms)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	s->phase = SCHEDULER_ACTIVE;
	s->recoveries++;
	s->recovery_ms = now_ms - s->recovery_since_ms;
	guarantee_watch_restart(s->guarantee_watch, now_ms);
	s->needs_decision = TRUE;
	scheduler_log_phase(s);
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((struct worker_contact *)item)->is_call_due = TRUE;
	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		g_ptr_array_add(all, item);
	for (guint i = 0; i < all->len; i++)
		recover_job(s, all->pdata[i], now_ms);
	g_ptr_array_unref(all);
}

void scheduler_check_recovery(struct scheduler *s, int64_t now_ms)
{
	if (s->phase == SCHEDULER_RECOVERING && is_recovery_complete(s))
		finish_recovery(s, now_ms);
}

void scheduler_on_scanned(struct scheduler *s, enum status status,
			  int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	if (s->phase != SCHEDULER_RECOVERING || s->is_scanned)
		return;
	if (status != STATUS_OK) {
		s->ops->scan_rows(s->data);
		return;
	}
	s->is_scanned = TRUE;
	/* Earlier reports were not matched with all rows: wait for new ones. */
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		c->has_fresh_report = FALSE;
		c->next_call_ms = MIN(c->next_call_ms, now_ms);
		if (c->is_fenced)
			c->next_call_ms =
				MAX(now_ms,
				    c->fenced_ms + WORKER_REPORT_LAG_MS + 1);
	}
	scheduler_finish_event(s, now_ms);
}
