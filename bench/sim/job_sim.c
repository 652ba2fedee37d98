#include "bench/sim/job_sim_internal.h"

#include <string.h>

static void event_free(gpointer data)
{
	struct job_event *e = data;

	g_free(e->worker);
	g_free(e);
}

void job_sim_schedule(struct job_sim *s, int64_t time_ms, enum event_kind kind,
		      struct sim_job *job)
{
	struct job_event *e = g_new0(struct job_event, 1);

	e->kind = kind;
	e->job = job;
	e->attempt = job ? job->attempt : 0;
	event_queue_add(&s->events, &e->base, time_ms);
}

typedef void (*event_fn)(struct job_sim *s, struct job_event *e);

static const event_fn event_fns[EVENT_COUNT] = {
	[EVENT_ARRIVE] = job_sim_on_arrive,
	[EVENT_STOPPED] = job_sim_on_stopped,
	[EVENT_END] = job_sim_on_end,
	[EVENT_FAIL] = job_sim_on_fail,
	[EVENT_CANCEL_WAVE] = job_sim_on_cancel_wave,
	[EVENT_RACK_LOST] = job_sim_on_rack_lost,
	[EVENT_RACK_RECOVERED] = job_sim_on_rack_recovered,
	[EVENT_QUARANTINE_END] = job_sim_on_quarantine_end,
	[EVENT_SAMPLE] = job_sim_sample,
};

/*
 * Returns TRUE if an event no longer applies: its job has ended or begun
 * another attempt, or a job that would fail is already being stopped.
 */
static gboolean is_stale(const struct job_event *e)
{
	if (!e->job || e->kind == EVENT_ARRIVE)
		return FALSE;
	if (e->job->attempt != e->attempt || e->job->state == SIM_ENDED)
		return TRUE;
	return e->job->is_stopping && e->kind == EVENT_FAIL;
}

static void add_workers(struct job_sim *s)
{
	const struct workload *w = s->trace->workload;
	guint count = w->accelerator_workers + w->cpu_workers;

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

static void schedule_all(struct job_sim *s)
{
	const struct workload *w = s->trace->workload;
	int64_t horizon = s->trace->horizon_ms;

	for (guint i = 0; i < s->trace->jobs->len; i++) {
		struct sim_job *j = &s->sim_jobs[i];

		j->trace = &g_array_index(s->trace->jobs, struct trace_job, i);
		j->remaining_ms = j->trace->run_ms;
		j->first_start_ms = -1;
		j->end_ms = -1;
		g_hash_table_insert(s->jobs_by_id, (gpointer)j->trace->job.id,
				    j);
		job_sim_schedule(s, j->trace->arrival_ms, EVENT_ARRIVE, j);
	}
	for (gint i = 1; i <= SAMPLE_COUNT; i++)
		job_sim_schedule(s, horizon * i / SAMPLE_COUNT, EVENT_SAMPLE,
				 NULL);
	for (gint i = 1; w->has_cancel_waves && i <= 4; i++)
		job_sim_schedule(s, horizon * i / 5, EVENT_CANCEL_WAVE, NULL);
	if (w->has_rack_loss) {
		job_sim_schedule(s, horizon / 2, EVENT_RACK_LOST, NULL);
		job_sim_schedule(s, horizon / 2 + RACK_OUTAGE_MS,
				 EVENT_RACK_RECOVERED, NULL);
	}
}

void job_sim_init(struct job_sim *s, const struct trace *trace,
		  const char *policy)
{
	memset(s, 0, sizeof(*s));
	s->trace = trace;
	s->pool = pool_new(TRACE_POOL);
	s->policy = placement_policy_new(policy);
	s->queue = job_queue_new(s->policy->class->discipline);
	s->health = worker_health_new();
	event_queue_init(&s->events, event_free);
	s->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->active_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->sim_jobs = g_new0(struct sim_job, trace->jobs->len);
	add_workers(s);
	pool_set_guarantees(s->pool, &trace->doc);
	job_queue_set_shares(s->queue, &trace->doc);
	schedule_all(s);
}

void job_sim_clear(struct job_sim *s)
{
	for (guint i = 0; i < s->trace->jobs->len; i++) {
		g_free(s->sim_jobs[i].failing_worker);
		if (s->sim_jobs[i].waiters)
			g_array_unref(s->sim_jobs[i].waiters);
	}
	g_free(s->sim_jobs);
	g_hash_table_unref(s->active_counts);
	g_hash_table_unref(s->jobs_by_id);
	event_queue_clear(&s->events);
	worker_health_free(s->health);
	job_queue_free(s->queue);
	placement_policy_free(s->policy);
	pool_free(s->pool);
}

void job_sim_run(struct job_sim *s)
{
	struct job_event *e;

	while ((e = (struct job_event *)event_queue_first(&s->events))) {
		s->now_ms = e->base.time;
		if (!is_stale(e)) {
			event_fns[e->kind](s, e);
			if (e->kind != EVENT_SAMPLE)
				job_sim_decide(s);
		}
		event_queue_remove_first(&s->events);
	}
}
