/**
 * @file
 * Plays a trace in virtual time against the real pool, queue, policy and
 * worker health; only workers and the passing of time are stood in for.
 * Included by one program only.
 */
#ifndef BENCH_JOB_SIM_H
#define BENCH_JOB_SIM_H

#include <string.h>

#include "bench/job_trace.h"
#include "bench/sim/event_queue.h"
#include "job/job_queue.h"
#include "job/pool_state.h"
#include "job/worker_health.h"

/** Reserve, commit and start, with two messages of 1.4 ms each way. */
#define START_DELAY_MS 60
/** A checkpoint is given this long before the job is stopped. */
#define CHECKPOINT_GRACE_MS 1000
/** Stopping a job that has no checkpoint. */
#define STOP_DELAY_MS 100
/** Bound of the letter for urgent work, also taken for any reclaim. */
#define START_BOUND_MS 1500
/** Work that a checkpointable job loses when its worker is lost. */
#define CHECKPOINT_PERIOD_MS (10 * MINUTE_MS)
/** Time until a task fails on a bad worker, or of a bad job. */
#define FAIL_AFTER_MS 5000
#define RACK_LOSS_MS HOUR_MS
#define SAMPLES 400
#define BAD_WORKER_EVERY 50

enum event_kind {
	EVENT_ARRIVE,
	EVENT_STOPPED, /* of a preempted job */
	EVENT_END,
	EVENT_FAIL,
	EVENT_CANCEL_WAVE,
	EVENT_RACK_LOST,
	EVENT_RACK_BACK,
	EVENT_ASIDE_OVER,
	EVENT_SAMPLE,
	EVENT_COUNT,
};

enum sim_state { SIM_NEW, SIM_WAITING, SIM_STARTING, SIM_RUNNING, SIM_ENDED };

struct sim_job {
	const struct trace_job *trace;
	enum sim_state state;
	gboolean is_stopping;
	guint attempt;
	guint stops;
	guint moves;	/* of these, for work without a guarantee or urgency */
	guint blockers; /* jobs that have to stop before it starts */
	int64_t remaining_ms;
	int64_t started_ms;
	int64_t first_start_ms; /* -1 before */
	int64_t end_ms;		/* -1 unless it ended well */
	gboolean is_owed; /* within a guarantee that was idle on arrival */
	gboolean was_hit; /* by a loss, a failure or a cancellation */
	char *worker;	  /* that failed it */
	GArray *waiters;  /* of struct waiter */
};

struct waiter {
	struct sim_job *job;
	guint attempt;
};

struct event {
	struct queued_event base; /* time in ms */
	enum event_kind kind;
	struct sim_job *job;
	guint attempt;
	char *worker;
};

struct sim_stats {
	double free_sum;     /* free accelerators, by sample */
	double stranded_sum; /* of these, unable to host what waits */
	double waiting_free_sum;
	double used_sum;
	guint samples;
	int64_t lost_ms; /* accelerator time lost by preemption */
	guint64 preempted;
	guint most_stops; /* of one job, for others */
	guint most_moves;
	guint64 violations;
	guint64 broken_plans;
	guint64 owed;
	guint64 partial_gangs;
	guint64 decisions;
	guint64 visits;
	int64_t decide_us;
	guint refused;
	guint failed;
	guint aside;
};

struct sim {
	const struct trace *trace;
	struct pool *pool;
	struct job_queue *queue;
	struct placement_policy *policy;
	struct worker_health *health;
	struct event_queue events;
	GHashTable *jobs; /* id to struct sim_job */
	struct sim_job *all;
	GHashTable *active; /* account/shape to number of jobs in the system */
	gboolean forgets_stops; /* the policy is not told of earlier stops */
	int64_t now_ms;
	struct sim_stats stats;
};

static void event_free(gpointer data)
{
	struct event *e = data;

	g_free(e->worker);
	g_free(e);
}

static void schedule(struct sim *s, int64_t time_ms, enum event_kind kind,
		     struct sim_job *job)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->job = job;
	e->attempt = job ? job->attempt : 0;
	event_queue_add(&s->events, &e->base, time_ms);
}

static gboolean is_bad_worker(const struct sim *s, const struct worker_cell *w)
{
	return s->trace->workload->has_bad_workers &&
	       w->index % BAD_WORKER_EVERY == BAD_WORKER_EVERY / 2;
}

static char *shape_key(const struct pool_job *j)
{
	return g_strdup_printf(
		"%s/%d/%d/%d", j->client_account, (int)j->shape.members,
		(int)j->shape.accelerators, (int)j->shape.adjacency);
}

static gint count_active(struct sim *s, const struct pool_job *j, gint change)
{
	char *key = shape_key(j);
	gint n = GPOINTER_TO_INT(g_hash_table_lookup(s->active, key));

	g_hash_table_insert(s->active, key, GINT_TO_POINTER(n + change));
	return n;
}

/* Tells whether a guarantee of just this shape is idle. */
static gboolean has_idle_guarantee(const struct sim *s,
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

static void submit(struct sim *s, struct sim_job *j)
{
	struct pool_job job;

	j->state = SIM_WAITING;
	j->attempt++;
	j->is_stopping = FALSE;
	j->blockers = 0;
	job = j->trace->job;
	job.stops = s->forgets_stops ? 0 : j->stops;
	job_queue_submit(s->queue, &job, j->trace->arrival_ms);
}

static void end_job(struct sim *s, struct sim_job *j)
{
	j->state = SIM_ENDED;
	count_active(s, &j->trace->job, -1);
	worker_health_forget_job(s->health, j->trace->job.id);
}

/* Returns the worker that fails a job, or NULL. */
static const char *failing_worker(const struct sim *s, const struct sim_job *j)
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

static void check_start(struct sim *s, struct sim_job *j)
{
	int64_t waited_ms = s->now_ms + START_DELAY_MS - j->trace->arrival_ms;
	const struct running_job *r =
		pool_running_job(s->pool, j->trace->job.id);

	if (r->workers->len != j->trace->job.shape.members)
		s->stats.partial_gangs++;
	if (j->first_start_ms >= 0)
		return;
	j->first_start_ms = s->now_ms + START_DELAY_MS;
	if (!j->is_owed || j->was_hit)
		return;
	s->stats.owed++;
	if (waited_ms > START_BOUND_MS)
		s->stats.violations++;
}

static void start(struct sim *s, struct sim_job *j)
{
	const char *worker = failing_worker(s, j);
	int64_t start_ms = s->now_ms + START_DELAY_MS;

	check_start(s, j);
	j->state = SIM_RUNNING;
	j->started_ms = start_ms;
	if (worker) {
		g_free(j->worker);
		j->worker = g_strdup(worker);
		schedule(s, start_ms + FAIL_AFTER_MS, EVENT_FAIL, j);
		return;
	}
	schedule(s, start_ms + j->remaining_ms, EVENT_END, j);
}

/* Wakes the jobs that waited for this one to stop. */
static void wake_waiters(struct sim *s, struct sim_job *j)
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

/* Keeps what a checkpoint saved; returns what is lost. */
static int64_t keep_progress(const struct sim *s, struct sim_job *j,
			     int64_t most_lost_ms)
{
	int64_t ran_ms = 0;
	int64_t lost_ms;

	if (j->state == SIM_RUNNING)
		ran_ms = MAX(s->now_ms - j->started_ms, 0);
	lost_ms = j->trace->job.is_checkpointable ? MIN(ran_ms, most_lost_ms)
						  : ran_ms;
	if (j->trace->job.is_checkpointable)
		j->remaining_ms = MAX(j->remaining_ms - (ran_ms - lost_ms), 1);
	else
		j->remaining_ms = j->trace->run_ms;
	return lost_ms * MAX(shape_accelerators(&j->trace->job.shape), 1);
}

static void preempt(struct sim *s, struct sim_job *victim, struct sim_job *j,
		    gboolean is_move)
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
	victim->moves += is_move;
	s->stats.most_moves = MAX(s->stats.most_moves, victim->moves);
	schedule(s,
		 s->now_ms + (has_grace ? CHECKPOINT_GRACE_MS : STOP_DELAY_MS),
		 EVENT_STOPPED, victim);
}

static void take_decision(struct sim *s, const struct job_decision *d)
{
	struct sim_job *j = g_hash_table_lookup(s->jobs, d->job_id);
	gboolean is_move = !d->placement.is_guaranteed &&
			   j->trace->job.class != JOB_CLASS_URGENT;

	j->state = SIM_STARTING;
	for (guint i = 0; i < d->placement.preempt->len; i++)
		preempt(s,
			g_hash_table_lookup(s->jobs,
					    d->placement.preempt->pdata[i]),
			j, is_move);
	if (j->blockers == 0)
		start(s, j);
}

static void refuse(struct sim *s, const struct job_decision *d)
{
	struct sim_job *j = g_hash_table_lookup(s->jobs, d->job_id);

	s->stats.refused++;
	end_job(s, j);
}

static void decide(struct sim *s)
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
			take_decision(s, &d);
		else if (status == STATUS_REFUSED)
			refuse(s, &d);
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}

static void on_arrive(struct sim *s, struct event *e)
{
	struct sim_job *j = e->job;

	j->is_owed =
		j->trace->is_guarantee && has_idle_guarantee(s, &j->trace->job);
	if (count_active(s, &j->trace->job, 1) > 0)
		j->is_owed = FALSE;
	submit(s, j);
}

static void on_stopped(struct sim *s, struct event *e)
{
	struct sim_job *j = e->job;

	j->stops++;
	s->stats.most_stops = MAX(s->stats.most_stops, j->stops);
	s->stats.lost_ms += keep_progress(s, j, 0);
	pool_release(s->pool, j->trace->job.id);
	submit(s, j);
	wake_waiters(s, j);
}

static void on_end(struct sim *s, struct event *e)
{
	struct sim_job *j = e->job;
	const struct running_job *r =
		pool_running_job(s->pool, j->trace->job.id);

	for (guint i = 0; i < r->workers->len; i++) {
		const struct worker_cell *w = r->workers->pdata[i];

		worker_health_succeeded(s->health, w->name, j->trace->job.id);
	}
	pool_release(s->pool, j->trace->job.id);
	job_queue_observe(s->queue, &j->trace->job, j->trace->run_ms);
	j->end_ms = s->now_ms;
	end_job(s, j);
	wake_waiters(s, j);
}

/* Puts workers whose time aside was cut short back to use. */
static void return_cleared(struct sim *s)
{
	for (guint i = 0; i < s->pool->workers->len; i++) {
		const struct worker_cell *w = s->pool->workers->pdata[i];

		if (w->is_usable ||
		    worker_health_is_aside(s->health, w->name, s->now_ms))
			continue;
		if (!g_str_equal(w->rack->name, "lost"))
			pool_set_worker_usable(s->pool, w->name, TRUE);
	}
}

static void on_fail(struct sim *s, struct event *e)
{
	struct sim_job *j = e->job;
	const char *id = j->trace->job.id;
	enum health_verdict verdict =
		worker_health_failed(s->health, j->worker, id, s->now_ms);

	pool_release(s->pool, id);
	j->was_hit = TRUE;
	if (verdict == HEALTH_WORKER_ASIDE) {
		s->stats.aside++;
		pool_set_worker_usable(s->pool, j->worker, FALSE);
		schedule(s, s->now_ms + WORKER_HEALTH_ASIDE_MS,
			 EVENT_ASIDE_OVER, NULL);
	}
	if (verdict == HEALTH_JOB_FAILED) {
		s->stats.failed++;
		end_job(s, j);
		return_cleared(s);
	} else {
		submit(s, j);
	}
	wake_waiters(s, j);
}

/* Takes a job off, whatever it does. */
static void take_off(struct sim *s, struct sim_job *j)
{
	j->was_hit = TRUE;
	job_queue_cancel(s->queue, j->trace->job.id);
	pool_release(s->pool, j->trace->job.id);
	j->attempt++;
}

static void on_cancel_wave(struct sim *s, struct event *e)
{
	for (guint i = 0; i < s->trace->jobs->len; i++) {
		struct sim_job *j = &s->all[i];

		if (!j->trace->is_wave || j->state == SIM_NEW ||
		    j->state == SIM_ENDED)
			continue;
		take_off(s, j);
		end_job(s, j);
		wake_waiters(s, j);
	}
}

static void lose_jobs(struct sim *s, struct worker_cell *w)
{
	while (w->jobs->len > 0) {
		const struct running_job *r = w->jobs->pdata[0];
		struct sim_job *j = g_hash_table_lookup(s->jobs, r->job.id);

		keep_progress(s, j, CHECKPOINT_PERIOD_MS);
		take_off(s, j);
		submit(s, j);
		wake_waiters(s, j);
	}
}

static void set_rack(struct sim *s, gboolean is_usable)
{
	struct rack_cell *rack = s->pool->racks->pdata[1];

	for (guint i = 0; i < rack->workers->len; i++) {
		struct worker_cell *w = rack->workers->pdata[i];

		if (is_usable &&
		    worker_health_is_aside(s->health, w->name, s->now_ms))
			continue;
		pool_set_worker_usable(s->pool, w->name, is_usable);
		if (!is_usable)
			lose_jobs(s, w);
	}
}

static void on_rack_lost(struct sim *s, struct event *e)
{
	set_rack(s, FALSE);
}

static void on_rack_back(struct sim *s, struct event *e)
{
	set_rack(s, TRUE);
}

static void on_aside_over(struct sim *s, struct event *e)
{
	return_cleared(s);
}

/* Free accelerators that could host members of a shape now. */
static int64_t hosts(const struct sim *s, const struct shape *shape)
{
	struct resources need = resources_of_member(shape);
	int64_t in_pool = 0;
	int64_t in_near = 0;

	for (guint i = 0; i < s->pool->racks->len; i++) {
		const struct rack_cell *rack = s->pool->racks->pdata[i];
		int64_t in_rack = 0;

		for (guint k = 0; k < rack->workers->len; k++) {
			int64_t n = resources_times(
				worker_cell_free(rack->workers->pdata[k]),
				need);

			in_rack += n;
			if (shape->adjacency == ADJACENCY_WORKER)
				in_near += n / shape->members * shape->members;
		}
		in_pool += in_rack;
		if (shape->adjacency == ADJACENCY_RACK)
			in_near += in_rack / shape->members * shape->members;
	}
	if (shape->adjacency == ADJACENCY_NONE)
		in_near = in_pool / shape->members * shape->members;
	return in_near * shape->accelerators;
}

struct stranding {
	const struct sim *sim;
	GHashTable *hosts; /* shape to accelerators, as pointers */
	int64_t free;
	double weight;
	double stranded;
};

static void add_stranded(const struct pool_job *job, void *data)
{
	struct stranding *x = data;
	double weight = (double)shape_accelerators(&job->shape);
	char *key;
	int64_t n;

	if (weight == 0 || x->free == 0)
		return;
	key = g_strdup_printf("%d/%d/%d/%d", (int)job->shape.members,
			      (int)job->shape.accelerators,
			      (int)job->shape.cores, (int)job->shape.adjacency);
	if (!g_hash_table_contains(x->hosts, key))
		g_hash_table_insert(
			x->hosts, g_strdup(key),
			GINT_TO_POINTER((gint)hosts(x->sim, &job->shape)));
	n = GPOINTER_TO_INT(g_hash_table_lookup(x->hosts, key));
	g_free(key);
	x->weight += weight;
	x->stranded += weight * (double)(x->free - MIN(n, x->free));
}

static void check_plan(struct sim *s)
{
	struct finding_list findings;

	finding_list_init(&findings);
	if (!pool_check_books(s->pool, &findings) ||
	    (s->pool->unheld == 0 &&
	     !pool_check_guarantees(s->pool, &findings)))
		s->stats.broken_plans++;
	finding_list_clear(&findings);
}

static void on_sample(struct sim *s, struct event *e)
{
	struct stranding x = { .sim = s };
	int64_t usable = 0;

	for (guint i = 0; i < s->pool->workers->len; i++) {
		const struct worker_cell *w = s->pool->workers->pdata[i];

		x.free += MAX(worker_cell_free(w).accelerators, 0);
		usable += w->is_usable ? w->capacity.accelerators : 0;
	}
	x.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	job_queue_foreach(s->queue, add_stranded, &x);
	g_hash_table_unref(x.hosts);
	s->stats.samples++;
	s->stats.free_sum += (double)x.free / (double)MAX(usable, 1);
	s->stats.used_sum += (double)(usable - x.free) / (double)MAX(usable, 1);
	if (x.weight > 0) {
		s->stats.stranded_sum +=
			x.stranded / x.weight / (double)MAX(usable, 1);
		s->stats.waiting_free_sum +=
			(double)x.free / (double)MAX(usable, 1);
	}
	check_plan(s);
}

typedef void (*event_fn)(struct sim *s, struct event *e);

static const event_fn event_fns[EVENT_COUNT] = {
	[EVENT_ARRIVE] = on_arrive,
	[EVENT_STOPPED] = on_stopped,
	[EVENT_END] = on_end,
	[EVENT_FAIL] = on_fail,
	[EVENT_CANCEL_WAVE] = on_cancel_wave,
	[EVENT_RACK_LOST] = on_rack_lost,
	[EVENT_RACK_BACK] = on_rack_back,
	[EVENT_ASIDE_OVER] = on_aside_over,
	[EVENT_SAMPLE] = on_sample,
};

/* Tells whether an event's job has gone on to another attempt since. */
static gboolean is_stale(const struct event *e)
{
	if (!e->job || e->kind == EVENT_ARRIVE)
		return FALSE;
	if (e->job->attempt != e->attempt || e->job->state == SIM_ENDED)
		return TRUE;
	return e->job->is_stopping && e->kind == EVENT_FAIL;
}

static void add_workers(struct sim *s)
{
	const struct workload *w = s->trace->workload;
	guint count = w->accelerator_workers + w->plain_workers;

	for (guint i = 0; i < count; i++) {
		char *name = g_strdup_printf("w%04u", i);
		char *rack = g_strdup_printf("r%03u", i / 8);
		struct worker_spec spec = {
			.name = name,
			.rack = rack,
			.address = "127.0.0.1:1",
			.accelerators = i < w->accelerator_workers ? 8 : 0,
			.cores = w->cores,
			.memory_mb = w->memory_mb,
		};

		pool_add_worker(s->pool, &spec);
		g_free(name);
		g_free(rack);
	}
}

static void schedule_all(struct sim *s)
{
	const struct workload *w = s->trace->workload;
	int64_t horizon = s->trace->horizon_ms;

	for (guint i = 0; i < s->trace->jobs->len; i++) {
		struct sim_job *j = &s->all[i];

		j->trace = &g_array_index(s->trace->jobs, struct trace_job, i);
		j->remaining_ms = j->trace->run_ms;
		j->first_start_ms = -1;
		j->end_ms = -1;
		g_hash_table_insert(s->jobs, (gpointer)j->trace->job.id, j);
		schedule(s, j->trace->arrival_ms, EVENT_ARRIVE, j);
	}
	for (gint i = 1; i <= SAMPLES; i++)
		schedule(s, horizon * i / SAMPLES, EVENT_SAMPLE, NULL);
	for (gint i = 1; w->has_cancel_waves && i <= 4; i++)
		schedule(s, horizon * i / 5, EVENT_CANCEL_WAVE, NULL);
	if (w->has_rack_loss) {
		schedule(s, horizon / 2, EVENT_RACK_LOST, NULL);
		schedule(s, horizon / 2 + RACK_LOSS_MS, EVENT_RACK_BACK, NULL);
	}
}

static void sim_init(struct sim *s, const struct trace *trace,
		     const char *policy)
{
	memset(s, 0, sizeof(*s));
	s->trace = trace;
	s->pool = pool_new(TRACE_POOL);
	s->policy = placement_policy_new(policy);
	s->queue = job_queue_new(s->policy->class->discipline);
	s->health = worker_health_new();
	event_queue_init(&s->events, event_free);
	s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
	s->active =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->all = g_new0(struct sim_job, trace->jobs->len);
	add_workers(s);
	pool_set_guarantees(s->pool, &trace->doc);
	job_queue_set_shares(s->queue, &trace->doc);
	schedule_all(s);
}

static void sim_clear(struct sim *s)
{
	for (guint i = 0; i < s->trace->jobs->len; i++) {
		g_free(s->all[i].worker);
		if (s->all[i].waiters)
			g_array_unref(s->all[i].waiters);
	}
	g_free(s->all);
	g_hash_table_unref(s->active);
	g_hash_table_unref(s->jobs);
	event_queue_clear(&s->events);
	worker_health_free(s->health);
	job_queue_free(s->queue);
	placement_policy_free(s->policy);
	pool_free(s->pool);
}

static void sim_run(struct sim *s)
{
	struct event *e;

	while ((e = (struct event *)event_queue_first(&s->events))) {
		s->now_ms = e->base.time;
		if (!is_stale(e)) {
			event_fns[e->kind](s, e);
			if (e->kind != EVENT_SAMPLE)
				decide(s);
		}
		event_queue_remove_first(&s->events);
	}
}

#endif
