/* Event handlers of the job simulation. */
#include "bench/sim/job_sim_internal.h"

#include <string.h>

/* Time between checkpoints: the most run time that a checkpointable job loses
 * with its worker. */
#define CHECKPOINT_PERIOD_MS (10 * MINUTE_MS)

/* Returns TRUE if a guarantee of exactly this shape is planned and unused. */
static gboolean has_idle_guarantee(const struct job_sim *s,
				   const struct pool_job *j)
{
	const GPtrArray *list = pool_guarantees_of(s->pool, j->client_account);

	for (guint i = 0; list && i < list->len; i++) {
		const struct guarantee *g = list->pdata[i];
		gboolean is_idle =
			memcmp(&g->shape, &j->shape, sizeof(g->shape)) == 0;

		for (int64_t k = 0; is_idle && k < g->shape.members; k++)
			is_idle = g->slots[k].worker &&
				  resources_is_zero(g->slots[k].used);
		if (is_idle)
			return TRUE;
	}
	return FALSE;
}

void job_sim_on_arrive(struct job_sim *s, struct job_event *e)
{
	struct sim_job *j = e->job;

	j->has_start_bound = j->trace->has_guaranteed_shape &&
			     has_idle_guarantee(s, &j->trace->job);
	if (job_sim_adjust_active(s, &j->trace->job, 1) > 0)
		j->has_start_bound = FALSE;
	job_sim_submit(s, j);
}

void job_sim_on_stopped(struct job_sim *s, struct job_event *e)
{
	struct sim_job *j = e->job;

	j->stops++;
	s->stats.max_stops = MAX(s->stats.max_stops, j->stops);
	s->stats.lost_ms += job_sim_save_progress(s, j, 0);
	pool_release(s->pool, j->trace->job.id);
	job_sim_submit(s, j);
	job_sim_wake_waiters(s, j);
}

void job_sim_on_end(struct job_sim *s, struct job_event *e)
{
	struct sim_job *j = e->job;
	const struct running_job *r =
		pool_running_job(s->pool, j->trace->job.id);

	for (guint i = 0; i < r->workers->len; i++) {
		const struct worker_cell *w = r->workers->pdata[i];

		worker_health_succeeded(s->health, w->name, j->trace->job.id);
	}
	pool_release(s->pool, j->trace->job.id);
	job_queue_record_run_time(s->queue, &j->trace->job, j->trace->run_ms);
	j->end_ms = s->now_ms;
	job_sim_end_job(s, j);
	job_sim_wake_waiters(s, j);
}

/* Makes workers usable whose quarantine has expired or was ended early. */
static void readmit_workers(struct job_sim *s)
{
	for (guint i = 0; i < s->pool->workers->len; i++) {
		const struct worker_cell *w = s->pool->workers->pdata[i];

		if (w->is_usable ||
		    worker_health_is_quarantined(s->health, w->name, s->now_ms))
			continue;
		if (!g_str_equal(w->rack->name, "lost"))
			pool_set_worker_usable(s->pool, w->name, TRUE);
	}
}

void job_sim_on_fail(struct job_sim *s, struct job_event *e)
{
	struct sim_job *j = e->job;
	const char *id = j->trace->job.id;
	enum health_verdict verdict = worker_health_failed(
		s->health, j->failing_worker, id, s->now_ms);

	pool_release(s->pool, id);
	j->was_disrupted = TRUE;
	if (verdict == HEALTH_WORKER_QUARANTINED) {
		s->stats.quarantines++;
		pool_set_worker_usable(s->pool, j->failing_worker, FALSE);
		job_sim_schedule(s, s->now_ms + WORKER_HEALTH_QUARANTINE_MS,
				 EVENT_QUARANTINE_END, NULL);
	}
	if (verdict == HEALTH_JOB_FAILED) {
		s->stats.failed++;
		job_sim_end_job(s, j);
		readmit_workers(s);
	} else {
		job_sim_submit(s, j);
	}
	job_sim_wake_waiters(s, j);
}

/* Withdraws a job from the queue and the pool, and drops its events. */
static void withdraw_job(struct job_sim *s, struct sim_job *j)
{
	j->was_disrupted = TRUE;
	job_queue_cancel(s->queue, j->trace->job.id);
	pool_release(s->pool, j->trace->job.id);
	j->attempt++;
}

void job_sim_on_cancel_wave(struct job_sim *s, struct job_event *e)
{
	for (guint i = 0; i < s->trace->jobs->len; i++) {
		struct sim_job *j = &s->sim_jobs[i];

		if (!j->trace->in_cancel_wave || j->state == SIM_NEW ||
		    j->state == SIM_ENDED)
			continue;
		withdraw_job(s, j);
		job_sim_end_job(s, j);
		job_sim_wake_waiters(s, j);
	}
}

static void requeue_lost_jobs(struct job_sim *s, struct worker_cell *w)
{
	while (w->jobs->len > 0) {
		const struct running_job *r = w->jobs->pdata[0];
		struct sim_job *j =
			g_hash_table_lookup(s->jobs_by_id, r->job.id);

		job_sim_save_progress(s, j, CHECKPOINT_PERIOD_MS);
		withdraw_job(s, j);
		job_sim_submit(s, j);
		job_sim_wake_waiters(s, j);
	}
}

/* Takes the second rack, the one that is lost, out of use or back into use. */
static void set_rack_usable(struct job_sim *s, gboolean is_usable)
{
	struct rack_cell *rack = s->pool->racks->pdata[1];

	for (guint i = 0; i < rack->workers->len; i++) {
		struct worker_cell *w = rack->workers->pdata[i];

		if (is_usable &&
		    worker_health_is_quarantined(s->health, w->name, s->now_ms))
			continue;
		pool_set_worker_usable(s->pool, w->name, is_usable);
		if (!is_usable)
			requeue_lost_jobs(s, w);
	}
}

void job_sim_on_rack_lost(struct job_sim *s, struct job_event *e)
{
	set_rack_usable(s, FALSE);
}

void job_sim_on_rack_recovered(struct job_sim *s, struct job_event *e)
{
	set_rack_usable(s, TRUE);
}

void job_sim_on_quarantine_end(struct job_sim *s, struct job_event *e)
{
	readmit_workers(s);
}
