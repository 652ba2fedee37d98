#include "sched/fleet_round.h"

#include "sched/fleet_guarantee.h"
#include "sched/fleet_internal.h"

int64_t fleet_step_expected_ms(const struct fleet_scheduler *s,
			       const struct fleet_job *job,
			       const struct step_spec *spec)
{
	return run_times_expected_ms(s->run_times, job->route,
				     spec->estimate_ms);
}

/* Expected lengths of a job's chains of steps. */
struct chains {
	gboolean is_known;
	/* By step: the longest chain up to and with it. */
	int64_t ends_ms[JOB_MAX_STEPS];
	int64_t longest_ms;
};

/* A step depends on earlier ones only, so one pass in their order is enough; a
 * walk along all chains would take exponential time. */
static void measure_chains(const struct fleet_scheduler *s,
			   const struct fleet_job *job, struct chains *c)
{
	guint count = MIN(job->spec.steps->len, JOB_MAX_STEPS);

	for (guint i = 0; i < count; i++) {
		const struct step_spec *spec = job_spec_step(&job->spec, i);
		int64_t begin_ms = 0;

		for (guint k = 0; k < step_spec_dependency_count(spec); k++) {
			guint before = step_spec_dependency(spec, k);

			if (before < i)
				begin_ms = MAX(begin_ms, c->ends_ms[before]);
		}
		c->ends_ms[i] = begin_ms + fleet_step_expected_ms(s, job, spec);
		c->longest_ms = MAX(c->longest_ms, c->ends_ms[i]);
	}
	c->is_known = TRUE;
}

/* Returns when a job has to end to meet its objective. */
static int64_t objective_ms(const struct fleet_scheduler *s,
			    const struct fleet_job *job,
			    const struct chains *chains)
{
	const struct queue_route *route = fleet_scheduler_route(s, job);

	if (!route)
		return INT64_MAX;
	return job->accepted_ms + route->objective_ms +
	       (int64_t)(route->stretch * (double)chains->longest_ms);
}

/* Returns the expected time from the start of a step to the end of its job. */
static int64_t remaining_ms(const struct fleet_scheduler *s,
			    const struct fleet_step *step,
			    const struct chains *chains)
{
	return chains->longest_ms - chains->ends_ms[step->index] +
	       fleet_step_expected_ms(s, step->job, step->spec);
}

static void unit_free(gpointer data)
{
	struct fleet_unit *u = data;

	g_ptr_array_unref(u->tasks);
	g_free(u);
}

static struct fleet_unit *unit_new(const struct fleet_round *r,
				   struct fleet_step *step,
				   const struct chains *chains)
{
	struct fleet_unit *u = g_new0(struct fleet_unit, 1);

	u->step = step;
	u->service = fleet_scheduler_route(r->s, step->job)->service;
	u->tasks = g_ptr_array_new();
	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];

		if (t->state == TASK_WAITING && !t->worker)
			g_ptr_array_add(u->tasks, t);
	}
	u->priority = fleet_job_priority(r->s, step->job);
	u->latest_start_ms = objective_ms(r->s, step->job, chains) -
			     remaining_ms(r->s, step, chains);
	u->is_late = u->latest_start_ms < r->now_ms;
	return u;
}

struct fleet_unit *fleet_unit_divide(struct fleet_unit *u, guint count)
{
	struct fleet_unit *rest = g_new(struct fleet_unit, 1);

	*rest = *u;
	rest->tasks = g_ptr_array_new();
	for (guint i = count; i < u->tasks->len; i++)
		g_ptr_array_add(rest->tasks, u->tasks->pdata[i]);
	g_ptr_array_set_size(u->tasks, (gint)count);
	return rest;
}

static void collect_step(const struct fleet_round *r, struct fleet_step *step,
			 struct chains *chains, GPtrArray *units)
{
	struct fleet_unit *u;

	if (step->done_count == step->task_count ||
	    step->tried_pass == r->s->pass)
		return;
	if (!fleet_step_is_ready(step)) {
		step->tried_pass = r->s->pass;
		return;
	}
	/* Unlisted tasks may run on workers that haven't answered yet. */
	if (step->job->is_inherited && r->now_ms < r->s->unknown_runs_until_ms)
		return;
	if (!step->ready_ms)
		step->ready_ms = r->now_ms;
	if (!chains->is_known)
		measure_chains(r->s, step->job, chains);
	u = unit_new(r, step, chains);
	if (!u->tasks->len ||
	    (step->spec->is_gang && u->tasks->len < step->task_count)) {
		unit_free(u);
		return;
	}
	g_ptr_array_add(units, u);
}

static void collect_job(const struct fleet_round *r, struct fleet_job *job,
			GPtrArray *units)
{
	struct chains chains = { 0 };

	for (guint i = 0; i < job->steps->len; i++)
		collect_step(r, job->steps->pdata[i], &chains, units);
}

/* A quarter of the round's time is for collecting; what is collected has to be
 * sorted and freed too. */
static gboolean is_collecting_over(const struct fleet_round *r,
				   int64_t begin_us)
{
	const struct fleet_ports *ports = &r->s->ports;

	return r->end_us && ports->clock_us(ports->data) >=
				    begin_us + (r->end_us - begin_us) / 4;
}

static GPtrArray *collect(struct fleet_round *r)
{
	const struct fleet_ports *ports = &r->s->ports;
	int64_t begin_us = r->end_us ? ports->clock_us(ports->data) : 0;
	GPtrArray *units = g_ptr_array_new_with_free_func(unit_free);
	gboolean is_over = FALSE;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->s->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		if (fleet_job_has_ended(job))
			continue;
		if (is_over) {
			r->s->plan.jobs_postponed++;
			continue;
		}
		if (!fleet_scheduler_route(r->s, job))
			continue;
		collect_job(r, job, units);
		is_over = is_collecting_over(r, begin_us);
	}
	return units;
}

/* Sorts by priority, acceptance of the job, occurrence and step. */
static gint compare_accepted(gconstpointer a, gconstpointer b)
{
	const struct fleet_unit *x = *(const struct fleet_unit *const *)a;
	const struct fleet_unit *y = *(const struct fleet_unit *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->step->job->accepted_version != y->step->job->accepted_version)
		return x->step->job->accepted_version <
				       y->step->job->accepted_version
			       ? -1
			       : 1;
	if (x->step->occurrence != y->step->occurrence)
		return x->step->occurrence < y->step->occurrence ? -1 : 1;
	return x->step->index < y->step->index ? -1 : 1;
}

/* Within a priority, guaranteed units come first, then those that can still
 * meet their objective before those that are late anyway. */
static gint compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct fleet_unit *x = *(const struct fleet_unit *const *)a;
	const struct fleet_unit *y = *(const struct fleet_unit *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->is_guaranteed != y->is_guaranteed)
		return x->is_guaranteed ? -1 : 1;
	if (x->is_late != y->is_late)
		return y->is_late ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return compare_accepted(a, b);
}

GPtrArray *fleet_units_collect(struct fleet_round *r)
{
	GPtrArray *units = collect(r);

	g_ptr_array_sort(units, compare_accepted);
	fleet_accounts_cover(r, units);
	g_ptr_array_sort(units, compare_urgency);
	return units;
}

gboolean fleet_unit_loses_work_on_stop(const struct fleet_unit *u)
{
	const struct step_spec *spec = u->step->spec;

	return u->priority != 0 && !spec->is_checkpointed && spec->accelerators;
}
