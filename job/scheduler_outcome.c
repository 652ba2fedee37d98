/*
 * Handles changes of a gang's state: updates the job's row, releases resources,
 * records the health of workers, and requeues or ends the job.
 */
#include "job/scheduler_state.h"

#include "base/log.h"

/* Starts the reservations of gangs that waited only for this job to end. */
static void unblock(struct scheduler *s, const char *id, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct job_entry *e = item;

		if (!e->gang || e->gang->state != GANG_CLEARING ||
		    !g_hash_table_remove(e->blockers, id))
			continue;
		if (g_hash_table_size(e->blockers) == 0) {
			gang_reserve(e->gang, now_ms);
			scheduler_update_entry(s, e, now_ms);
		}
	}
}

void scheduler_end_job(struct scheduler *s, struct job_entry *e,
		       enum job_state state, const char *reason, int64_t now_ms)
{
	e->record.ended_ms = scheduler_wall_ms(s, now_ms);
	worker_health_forget_job(s->health, e->record.id);
	scheduler_set_state(s, e, state, reason);
}

/* Queues a job again, at once or after a backoff. */
static void requeue(struct scheduler *s, struct job_entry *e,
		    const char *reason, gboolean is_immediate, int64_t now_ms)
{
	g_ptr_array_set_size(e->record.placement, 0);
	scheduler_set_state(s, e, JOB_QUEUED, reason);
	if (is_immediate)
		scheduler_enqueue(s, e);
	else
		job_entry_back_off(e, now_ms);
}

static void record_success(struct scheduler *s, const struct job_entry *e)
{
	const GArray *members = e->gang->members;

	for (guint i = 0; i < members->len; i++)
		worker_health_succeeded(
			s->health,
			g_array_index(members, struct gang_member, i).worker,
			e->record.id);
}

static void finish_done(struct scheduler *s, struct job_entry *e,
			const char *reason, int64_t now_ms)
{
	struct pool_job job = job_record_pool_job(&e->record);

	if (e->running_since_ms)
		job_queue_record_run_time(s->queue, &job,
					  now_ms - e->running_since_ms);
	record_success(s, e);
	scheduler_end_job(s, e, JOB_DONE, reason, now_ms);
}

/* Records a failure of each worker on which a member failed. */
static enum health_verdict
record_failures(struct scheduler *s, const struct job_entry *e, int64_t now_ms)
{
	const GArray *members = e->gang->members;
	enum health_verdict worst = HEALTH_RETRY;

	for (guint i = 0; i < members->len; i++) {
		const struct gang_member *m =
			&g_array_index(members, struct gang_member, i);
		enum health_verdict verdict;

		if (!m->has_failed)
			continue;
		verdict = worker_health_failed(s->health, m->worker,
					       e->record.id, now_ms);
		worst = MAX(worst, verdict);
	}
	return worst;
}

static void finish_task_failed(struct scheduler *s, struct job_entry *e,
			       const char *reason, int64_t now_ms)
{
	enum health_verdict verdict = record_failures(s, e, now_ms);

	e->record.failures++;
	if (verdict == HEALTH_WORKER_QUARANTINED)
		scheduler_update_usable(s, now_ms);
	if (verdict == HEALTH_JOB_FAILED ||
	    e->record.failures >= JOB_MAX_FAILURES)
		scheduler_end_job(s, e, JOB_FAILED, reason, now_ms);
	else
		requeue(s, e, reason, FALSE, now_ms);
}

static void finish_preempted(struct scheduler *s, struct job_entry *e,
			     const char *reason, int64_t now_ms)
{
	e->record.stops++;
	e->record.remaining_ms =
		gang_remaining_ms(e->gang, e->record.remaining_ms);
	requeue(s, e, reason, TRUE, now_ms);
}

static void finish_lost(struct scheduler *s, struct job_entry *e,
			const char *reason, int64_t now_ms)
{
	requeue(s, e, reason, TRUE, now_ms);
}

static void finish_refused(struct scheduler *s, struct job_entry *e,
			   const char *reason, int64_t now_ms)
{
	requeue(s, e, reason, FALSE, now_ms);
}

typedef void (*finish_fn)(struct scheduler *s, struct job_entry *e,
			  const char *reason, int64_t now_ms);

static const finish_fn finish_handlers[GANG_OUTCOME_COUNT] = {
	[GANG_OUTCOME_NONE] = finish_lost,
	[GANG_OUTCOME_DONE] = finish_done,
	[GANG_OUTCOME_TASK_FAILED] = finish_task_failed,
	[GANG_OUTCOME_REFUSED] = finish_refused,
	[GANG_OUTCOME_LOST] = finish_lost,
	[GANG_OUTCOME_TIMEOUT] = finish_refused,
	[GANG_OUTCOME_PREEMPTED] = finish_preempted,
	[GANG_OUTCOME_CANCELLED] = finish_lost,
	[GANG_OUTCOME_ROW_CHANGED] = finish_lost,
};

static void finish_gang(struct scheduler *s, struct job_entry *e,
			int64_t now_ms)
{
	enum gang_outcome outcome = e->gang->outcome;
	const char *cause = e->gang->cause;
	char *reason = g_strdup_printf(
		"attempt %" G_GINT64_FORMAT ": %s%s%s", e->gang->attempt,
		gang_outcome_name(outcome), cause && cause[0] ? ": " : "",
		cause ? cause : "");

	pool_release(s->pool, e->record.id);
	scheduler_remove_tasks(s, e);
	if (!job_record_is_ended(&e->record)) {
		if (e->record.is_cancelled && outcome != GANG_OUTCOME_DONE)
			scheduler_end_job(s, e, JOB_CANCELLED,
					  "cancelled by caller", now_ms);
		else
			finish_handlers[outcome](s, e, reason, now_ms);
	}
	job_entry_drop_gang(e);
	e->running_since_ms = 0;
	s->needs_decision = TRUE;
	unblock(s, e->record.id, now_ms);
	g_free(reason);
}

static void commit_gang(struct scheduler *s, struct job_entry *e)
{
	const struct gang *g = e->gang;
	struct job_record *r = &e->record;

	r->attempt = g->attempt;
	r->epoch = s->epoch;
	g_ptr_array_set_size(r->placement, 0);
	for (guint i = 0; i < g->members->len; i++)
		g_ptr_array_add(r->placement,
				g_strdup(g_array_index(g->members,
						       struct gang_member, i)
						 .worker));
	scheduler_set_state(s, e, JOB_COMMITTED, "reserved on all workers");
}

static void on_gang_running(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms)
{
	e->running_since_ms = now_ms;
	e->requeue_backoff_ms = 0;
	if (e->record.state == JOB_RUNNING)
		return;
	e->record.started_ms = scheduler_wall_ms(s, now_ms);
	scheduler_set_state(s, e, JOB_RUNNING, "all members run");
}

/* Reverts a commitment that is not known to be in the table. */
static void on_gang_ending(struct scheduler *s, struct job_entry *e)
{
	if (e->record.state == JOB_COMMITTED && !job_entry_is_clean(e))
		scheduler_set_state(s, e, JOB_QUEUED, "commitment withdrawn");
}

static void on_gang_state(struct scheduler *s, struct job_entry *e,
			  int64_t now_ms)
{
	switch (e->gang->state) {
	case GANG_COMMITTING:
		commit_gang(s, e);
		break;
	case GANG_RUNNING:
		on_gang_running(s, e, now_ms);
		break;
	case GANG_ENDING:
		on_gang_ending(s, e);
		break;
	case GANG_ENDED:
		finish_gang(s, e, now_ms);
		break;
	default:
		break;
	}
}

void scheduler_update_entry(struct scheduler *s, struct job_entry *e,
			    int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE)
		return;
	if (e->gang && e->gang->state != e->handled_gang_state) {
		e->handled_gang_state = e->gang->state;
		scheduler_mark_calls_due(s, e);
		on_gang_state(s, e, now_ms);
	}
	scheduler_write_row(s, e, now_ms);
}
