#include "sched/fleet.h"

#include <string.h>

/* Within this time of its last report a worker can't have restarted: a process
 * takes longer than that to start and register. */
#define ACK_FRESH_MS 500
/* Least time that is left for sending an acknowledgement. */
#define ACK_SEND_MS 100

static const char *const state_names[FLEET_JOB_STATE_COUNT] = {
	[FLEET_JOB_QUEUED] = "queued",	     [FLEET_JOB_ACTIVE] = "active",
	[FLEET_JOB_COMPLETED] = "completed", [FLEET_JOB_FAILED] = "failed",
	[FLEET_JOB_CANCELLED] = "cancelled",
};

static void step_free(gpointer data)
{
	struct fleet_step *step = data;

	for (guint i = 0; i < step->task_count; i++) {
		g_free(step->tasks[i].checkpoint);
		run_set_clear(&step->tasks[i].failed);
	}
	run_set_clear(&step->gang_failed);
	g_free(step->tasks);
	g_free(step);
}

static void job_free(gpointer data)
{
	struct fleet_job *job = data;

	g_ptr_array_unref(job->steps);
	g_free(job->unplaced_rounds);
	job_spec_clear(&job->spec);
	g_free(job->id);
	g_free(job->route);
	g_free(job->account);
	g_free(job);
}

static void worker_free(gpointer data)
{
	struct fleet_worker *w = data;

	worker_registration_clear(&w->reg);
	g_ptr_array_unref(w->tasks);
	g_free(w->id);
	g_free(w);
}

void fleet_init(struct fleet *f)
{
	f->jobs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	f->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   worker_free);
}

void fleet_clear(struct fleet *f)
{
	g_clear_pointer(&f->jobs, g_hash_table_unref);
	g_clear_pointer(&f->workers, g_hash_table_unref);
}

struct fleet_job *fleet_job(const struct fleet *f, const char *id)
{
	return g_hash_table_lookup(f->jobs, id);
}

struct fleet_job *fleet_add_job(struct fleet *f, const char *id,
				const char *route, const char *account,
				struct job_spec *spec)
{
	struct fleet_job *job = g_new0(struct fleet_job, 1);

	job->id = g_strdup(id);
	job->route = g_strdup(route);
	job->account = g_strdup(account);
	job->spec = *spec;
	*spec = (struct job_spec){ 0 };
	job->steps = g_ptr_array_new_with_free_func(step_free);
	job->unplaced_rounds = g_new0(uint64_t, job->spec.steps->len);
	g_hash_table_replace(f->jobs, job->id, job);
	return job;
}

gboolean fleet_job_may_run(const struct fleet_job *job)
{
	for (guint i = 0; i < job->steps->len; i++) {
		const struct fleet_step *step = job->steps->pdata[i];

		for (guint k = 0; k < step->task_count; k++) {
			if (step->tasks[k].worker)
				return TRUE;
		}
	}
	return FALSE;
}

void fleet_remove_job(struct fleet *f, const char *id)
{
	const struct fleet_job *job = fleet_job(f, id);

	g_return_if_fail(!job || !fleet_job_may_run(job));
	g_hash_table_remove(f->jobs, id);
}

void fleet_job_add_occurrence(struct fleet_job *job)
{
	for (guint i = 0; i < job->spec.steps->len; i++) {
		struct fleet_step *step = g_new0(struct fleet_step, 1);

		step->job = job;
		step->occurrence = job->occurrences;
		step->index = i;
		step->spec = job_spec_step(&job->spec, i);
		step->task_count = (guint)step->spec->task_count;
		step->tasks = g_new0(struct fleet_task, step->task_count);
		for (guint k = 0; k < step->task_count; k++) {
			step->tasks[k].step = step;
			step->tasks[k].index = k;
		}
		g_ptr_array_add(job->steps, step);
	}
	job->occurrences++;
}

gboolean fleet_job_may_open(const struct fleet_job *job)
{
	return job->occurrences < job_spec_occurrences(&job->spec) &&
	       job->occurrences - job->stored_first <
		       job_spec_open_occurrences(&job->spec);
}

static gboolean may_drop(const struct fleet_step *step)
{
	if (step->done_count < step->task_count)
		return FALSE;
	for (guint i = 0; i < step->task_count; i++) {
		if (step->tasks[i].worker)
			return FALSE;
	}
	return TRUE;
}

void fleet_job_drop_done(struct fleet_job *job)
{
	guint count = job->spec.steps->len;

	while (job->first_occurrence < job->occurrences) {
		for (guint i = 0; i < count; i++) {
			if (!may_drop(job->steps->pdata[i]))
				return;
		}
		g_ptr_array_remove_range(job->steps, 0, count);
		job->first_occurrence++;
		job->is_dirty = TRUE;
	}
}

void fleet_job_skip_to(struct fleet_job *job, guint first)
{
	guint end = MIN(first, job_spec_occurrences(&job->spec));
	guint open_end = MIN(end, job->occurrences);

	for (guint i = 0; i < job->steps->len; i++) {
		struct fleet_step *step = job->steps->pdata[i];

		for (guint k = 0;
		     step->occurrence < open_end && k < step->task_count; k++)
			fleet_task_mark_done(&step->tasks[k]);
	}
	fleet_job_drop_done(job);
	if (!job->steps->len && job->occurrences < end) {
		job->first_occurrence = end;
		job->occurrences = end;
	}
}

gboolean fleet_job_has_ended(const struct fleet_job *job)
{
	return job->state == FLEET_JOB_COMPLETED ||
	       job->state == FLEET_JOB_FAILED ||
	       job->state == FLEET_JOB_CANCELLED;
}

struct fleet_step *fleet_job_step(const struct fleet_job *job, guint occurrence,
				  guint index)
{
	guint steps = job->spec.steps->len;

	if (occurrence < job->first_occurrence ||
	    occurrence >= job->occurrences || index >= steps)
		return NULL;
	occurrence -= job->first_occurrence;
	return job->steps->pdata[occurrence * steps + index];
}

gboolean fleet_step_is_ready(const struct fleet_step *step)
{
	for (guint i = 0; i < step_spec_dependency_count(step->spec); i++) {
		const struct fleet_step *before =
			fleet_job_step(step->job, step->occurrence,
				       step_spec_dependency(step->spec, i));

		if (!before || before->done_count < before->task_count)
			return FALSE;
	}
	return TRUE;
}

struct fleet_task *fleet_task(const struct fleet *f, const char *name)
{
	char **parts = g_strsplit(name, ".", 4);
	struct fleet_task *t = NULL;
	const struct fleet_job *job;
	struct fleet_step *step;
	guint64 index;

	if (g_strv_length(parts) != 4)
		goto out;
	job = fleet_job(f, parts[0]);
	if (!job)
		goto out;
	step = fleet_job_step(job, (guint)g_ascii_strtoull(parts[1], NULL, 10),
			      (guint)g_ascii_strtoull(parts[2], NULL, 10));
	index = g_ascii_strtoull(parts[3], NULL, 10);
	if (step && index < step->task_count)
		t = &step->tasks[index];
out:
	g_strfreev(parts);
	return t;
}

char *fleet_task_name(const struct fleet_task *t)
{
	return g_strdup_printf("%s.%u.%u.%u", t->step->job->id,
			       t->step->occurrence, t->step->index, t->index);
}

struct demand fleet_task_demand(const struct fleet_task *t)
{
	const struct step_spec *spec = t->step->spec;

	return (struct demand){
		/* A filler uses only cores that other tasks leave idle. */
		.millicores = spec->is_filler ? 0 : spec->millicores,
		.memory_mb = spec->memory_mb,
		.accelerators = spec->accelerators,
	};
}

void fleet_task_place(struct fleet_task *t, struct fleet_worker *w)
{
	struct demand d = fleet_task_demand(t);

	g_assert(!t->worker);
	t->worker = w;
	demand_add(&w->used, &d);
	g_ptr_array_add(w->tasks, t);
}

void fleet_task_mark_done(struct fleet_task *t)
{
	if (t->state == TASK_DONE)
		return;
	t->state = TASK_DONE;
	t->step->done_count++;
}

void fleet_task_release(struct fleet_task *t)
{
	struct demand d = fleet_task_demand(t);

	if (t->worker) {
		demand_subtract(&t->worker->used, &d);
		g_ptr_array_remove_fast(t->worker->tasks, t);
		t->worker = NULL;
	}
	if (t->state != TASK_DONE)
		t->state = TASK_WAITING;
	t->confirmed_ms = 0;
	t->stop_answered_ms = 0;
	t->is_stop_ordered = FALSE;
	t->has_unanswered_start = FALSE;
	t->is_order_in_flight = FALSE;
	t->listed_born_ms = 0;
	t->percent = 0;
	t->first_percent = 0;
	t->first_progress_ms = 0;
}

void fleet_task_set_checkpoint(struct fleet_task *t, const char *checkpoint)
{
	if (!checkpoint || !checkpoint[0] ||
	    g_strcmp0(t->checkpoint, checkpoint) == 0)
		return;
	g_free(t->checkpoint);
	t->checkpoint = g_strdup(checkpoint);
}

struct fleet_worker *fleet_worker(const struct fleet *f, const char *id)
{
	return g_hash_table_lookup(f->workers, id);
}

struct fleet_worker *fleet_add_worker(struct fleet *f, const char *id)
{
	struct fleet_worker *w = fleet_worker(f, id);

	if (w)
		return w;
	w = g_new0(struct fleet_worker, 1);
	w->id = g_strdup(id);
	w->tasks = g_ptr_array_new();
	g_hash_table_replace(f->workers, w->id, w);
	return w;
}

struct demand fleet_worker_free_capacity(const struct fleet_worker *w)
{
	struct demand capacity = w->reg.capacity;

	demand_subtract(&capacity, &w->used);
	return capacity;
}

int64_t fleet_worker_end_to_ack(const struct fleet_worker *w, int64_t now_ms)
{
	if (w->has_failed_renewal ||
	    fleet_worker_ack_valid_ms(w, now_ms) < ACK_SEND_MS)
		return 0;
	return w->saved_end;
}

int64_t fleet_worker_ack_valid_ms(const struct fleet_worker *w, int64_t now_ms)
{
	return w->last_report_ms + ACK_FRESH_MS - now_ms;
}

gboolean fleet_worker_has_label(const struct fleet_worker *w, const char *label)
{
	for (guint i = 0; w->reg.labels && i < w->reg.labels->len; i++) {
		if (g_str_equal(w->reg.labels->pdata[i], label))
			return TRUE;
	}
	return FALSE;
}

const char *fleet_job_state_name(enum fleet_job_state state)
{
	return state_names[state];
}

enum fleet_job_state fleet_job_state_from_name(const char *name)
{
	for (guint i = 0; name && i < FLEET_JOB_STATE_COUNT; i++) {
		if (g_str_equal(state_names[i], name))
			return (enum fleet_job_state)i;
	}
	return FLEET_JOB_STATE_COUNT;
}
