/* Decisions, starts, preemptions and ends of simulated jobs. */
#include "bench/sim/job_sim_internal.h"

/* Time from a preemption to the stop of a checkpointable job, which writes its
 * checkpoint in that time. */
#define CHECKPOINT_GRACE_MS 1000
/* Time from a preemption to the stop of any other job. */
#define STOP_DELAY_MS 100
/* Required start time of urgent jobs; applied to any start within an idle
 * guarantee. */
#define START_BOUND_MS 1500
/* Run time until a task fails, because of its worker or its job. */
#define FAIL_AFTER_MS 5000
/* One worker in this many is bad. */
#define BAD_WORKER_INTERVAL 50

static gboolean is_bad_worker(const struct job_sim *s,
			      const struct worker_cell *w)
{
	return s->trace->workload->has_bad_workers &&
	       w->index % BAD_WORKER_INTERVAL == BAD_WORKER_INTERVAL / 2;
}

static char *active_key(const struct pool_job *j)
{
	return g_strdup_printf(
		"%s/%d/%d/%d", j->client_account, (int)j->shape.members,
		(int)j->shape.accelerators, (int)j->shape.adjacency);
}

gint job_sim_adjust_active(struct job_sim *s, const struct pool_job *j,
			   gint change)
{
	char *key = active_key(j);
	gint n = GPOINTER_TO_INT(g_hash_table_lookup(s->active_counts, key));

	g_hash_table_insert(s->active_counts, key, GINT_TO_POINTER(n + change));
	return n;
}

void job_sim_submit(struct job_sim *s, struct sim_job *j)
{
	struct pool_job job;

	j->state = SIM_WAITING;
	j->attempt++;
	j->is_stopping = FALSE;
	j->blockers = 0;
	job = j->trace->job;
	job.stops = s->ignores_stops ? 0 : j->stops;
	job_queue_submit(s->queue, &job, j->trace->arrival_ms);
}

void job_sim_end_job(struct job_sim *s, struct sim_job *j)
{
	j->state = SIM_ENDED;
	job_sim_adjust_active(s, &j->trace->job, -1);
	worker_health_forget_job(s->health, j->trace->job.id);
}

/* Returns the first worker on which a started job will fail, or NULL. */
static const char *find_failing_worker(const struct job_sim *s,
				       const struct sim_job *j)
{
	const struct running_job *r =
		pool_running_job(s->pool, j->trace->job.id);

	for (guint i = 0; i < r->workers->len; i++) {
		const struct worker_cell *w = r->workers->pdata[i];

		if (j->trace->fails || is_bad_worker(s, w))
			return w->name;
	}
	return NULL;
}

/* Checks that the gang is complete and that a bounded start is in time. */
static void check_start(struct job_sim *s, struct sim_job *j)
{
	int64_t waited_ms = s->now_ms + START_DELAY_MS - j->trace->arrival_ms;
	const struct running_job *r =
		pool_running_job(s->pool, j->trace->job.id);

	if (r->workers->len != j->trace->job.shape.members)
		s->stats.partial_gangs++;
	if (j->first_start_ms >= 0)
		return;
	j->first_start_ms = s->now_ms + START_DELAY_MS;
	if (!j->has_start_bound || j->was_disrupted)
		return;
	s->stats.bounded_starts++;
	if (waited_ms > START_BOUND_MS)
		s->stats.guarantee_violations++;
}

static void start(struct job_sim *s, struct sim_job *j)
{
	const char *worker = find_failing_worker(s, j);
	int64_t start_ms = s->now_ms + START_DELAY_MS;

	check_start(s, j);
	j->state = SIM_RUNNING;
	j->started_ms = start_ms;
	if (worker) {
		g_free(j->failing_worker);
		j->failing_worker = g_strdup(worker);
		job_sim_schedule(s, start_ms + FAIL_AFTER_MS, EVENT_FAIL, j);
		return;
	}
	job_sim_schedule(s, start_ms + j->remaining_ms, EVENT_END, j);
}

void job_sim_wake_waiters(struct job_sim *s, struct sim_job *j)
{
	GArray *waiters = j->waiters;

	j->waiters = NULL;
	for (guint i = 0; waiters && i < waiters->len; i++) {
		struct waiter *w = &g_array_index(waiters, struct waiter, i);

		if (w->job->attempt != w->attempt ||
		    w->job->state != SIM_STARTING)
			continue;
		if (--w->job->blockers == 0)
			start(s, w->job);
	}
	if (waiters)
		g_array_unref(waiters);
}

int64_t job_sim_save_progress(const struct job_sim *s, struct sim_job *j,
			      int64_t max_lost_ms)
{
	int64_t ran_ms = 0;
	int64_t lost_ms;

	if (j->state == SIM_RUNNING)
		ran_ms = MAX(s->now_ms - j->started_ms, 0);
	lost_ms = j->trace->job.is_checkpointable ? MIN(ran_ms, max_lost_ms)
						  : ran_ms;
	if (j->trace->job.is_checkpointable)
		j->remaining_ms = MAX(j->remaining_ms - (ran_ms - lost_ms), 1);
	else
		j->remaining_ms = j->trace->run_ms;
	return lost_ms * MAX(shape_accelerators(&j->trace->job.shape), 1);
}

static void preempt(struct job_sim *s, struct sim_job *victim,
		    struct sim_job *j, gboolean is_move)
{
	struct waiter w = { j, j->attempt };
	gboolean has_grace = victim->trace->job.is_checkpointable;

	if (!victim->waiters)
		victim->waiters =
			g_array_new(FALSE, FALSE, sizeof(struct waiter));
	g_array_append_val(victim->waiters, w);
	j->blockers++;
	if (victim->is_stopping)
		return;
	victim->is_stopping = TRUE;
	s->stats.preempted++;
	victim->migrations += is_move;
	s->stats.max_migrations =
		MAX(s->stats.max_migrations, victim->migrations);
	job_sim_schedule(
		s,
		s->now_ms + (has_grace ? CHECKPOINT_GRACE_MS : STOP_DELAY_MS),
		EVENT_STOPPED, victim);
}

static void apply_decision(struct job_sim *s, const struct job_decision *d)
{
	struct sim_job *j = g_hash_table_lookup(s->jobs_by_id, d->job_id);
	gboolean is_move = !d->placement.is_guaranteed &&
			   j->trace->job.class != JOB_CLASS_URGENT;

	j->state = SIM_STARTING;
	for (guint i = 0; i < d->placement.preempt->len; i++)
		preempt(s,
			g_hash_table_lookup(s->jobs_by_id,
					    d->placement.preempt->pdata[i]),
			j, is_move);
	if (j->blockers == 0)
		start(s, j);
}

static void refuse(struct job_sim *s, const struct job_decision *d)
{
	struct sim_job *j = g_hash_table_lookup(s->jobs_by_id, d->job_id);

	s->stats.refused++;
	job_sim_end_job(s, j);
}

void job_sim_decide(struct job_sim *s)
{
	enum status status;

	do {
		struct job_decision d;
		int64_t began_us = g_get_monotonic_time();
		uint64_t visits = pool_visits(s->pool);

		job_decision_init(&d);
		status = job_queue_decide(s->queue, s->pool, s->policy,
					  s->now_ms, &d);
		s->stats.decide_us += g_get_monotonic_time() - began_us;
		s->stats.visits += pool_visits(s->pool) - visits;
		s->stats.decisions++;
		if (status == STATUS_OK)
			apply_decision(s, &d);
		else if (status == STATUS_REFUSED)
			refuse(s, &d);
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}
