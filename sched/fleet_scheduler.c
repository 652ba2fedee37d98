#include "sched/fleet_scheduler.h"

#include "base/log.h"
#include "base/util.h"
#include "sched/fleet_internal.h"

/* Run numbers reserved for each epoch, far more than an epoch uses. */
#define RUNS_PER_EPOCH (INT64_C(1) << 20)
/* Minimum age of a start order that got no answer, counted towards
 * START_TIMEOUT_MS. */
#define UNANSWERED_START_AGE_MS 100
/* A start that isn't confirmed within this time is given up. */
#define START_TIMEOUT_MS 1500
/* Workers' clocks may run slow by this share: the platform's bound of 2% and a
 * margin. */
#define MAX_CLOCK_DRIFT 0.03
/* Added, with the clock drift, to the lease length in lease_bound_ms. */
#define LEASE_SLACK_MS 200
/* A worker with FAILURES_TO_AVOID failed runs in a row gets no new tasks for
 * this long. */
#define AVOID_MS 8000
/* A worker that left a start unanswered or refused it gets no new tasks for
 * this long. */
#define AVOID_UNANSWERED_MS 1000
/* Failed runs in a row until a worker is avoided; one is enough before its
 * first completed run. */
#define FAILURES_TO_AVOID 2
/* A worker with stalled tasks gets no new tasks for this long. */
#define AVOID_STALLED_MS 5000
/* A task without progress for this long is stalled; the answer to each renewal
 * reports its progress. */
#define STALL_MS 3000
/* Shortest time span over which the progress rate is computed; over less time
 * it is unreliable. */
#define MIN_RATE_SPAN_MS 500
/* Time after a pause of the process to read what has arrived meanwhile. */
#define RESUME_MS 100
/* Margin between the expected end of a task and the shutdown of its worker. */
#define EVACUATION_MARGIN_MS 300
/* Most run ends that a worker lists in one report. A task missing from a full
 * report may have ended, with its end still to be listed. */
#define MAX_LISTED_ENDS 500

void fleet_scheduler_init(struct fleet_scheduler *s,
			  const struct fleet_bounds *bounds,
			  const struct fleet_ports *ports)
{
	*s = (struct fleet_scheduler){ .bounds = *bounds, .ports = *ports };
	fleet_init(&s->fleet);
	s->run_times = run_times_new();
}

void fleet_scheduler_clear(struct fleet_scheduler *s)
{
	run_times_free(s->run_times);
	fleet_clear(&s->fleet);
}

void fleet_scheduler_begin(struct fleet_scheduler *s, int64_t epoch,
			   int64_t unknown_runs_until_ms)
{
	fleet_clear(&s->fleet);
	fleet_init(&s->fleet);
	s->epoch = epoch;
	s->runs = 0;
	s->unknown_runs_until_ms = unknown_runs_until_ms;
	s->resumed_ms = 0;
	s->is_reading = FALSE;
	s->has_workers = FALSE;
	s->has_unregistered_workers = FALSE;
}

const struct queue_route *fleet_scheduler_route(const struct fleet_scheduler *s,
						const struct fleet_job *job)
{
	return s->config ? fleet_config_route(s->config, job->route) : NULL;
}

int64_t fleet_job_priority(const struct fleet_scheduler *s,
			   const struct fleet_job *job)
{
	const struct queue_route *route = fleet_scheduler_route(s, job);

	return route ? route->priority : INT64_MAX;
}

static void log_job(const struct fleet_job *job, const char *event,
		    const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "job", job->id);
	log_str(&line, "route", job->route);
	log_str(&line, "state", fleet_job_state_name(job->state));
	if (reason)
		log_str(&line, "reason", reason);
	log_end(&line);
}

static void set_state(struct fleet_job *job, enum fleet_job_state state,
		      const char *reason, int64_t now_ms)
{
	job->state = state;
	job->is_dirty = TRUE;
	if (fleet_job_has_ended(job))
		job->ended_ms = now_ms;
	log_job(job, "job_state", reason);
}

void fleet_scheduler_add_job(struct fleet_scheduler *s, const char *id,
			     json_object *row, int64_t version,
			     int64_t store_ms, int64_t now_ms)
{
	int64_t accepted_store_ms = 0;
	struct fleet_job *job = fleet_job(&s->fleet, id);
	struct log_line line;

	if (job)
		return;
	job = job_row_decode(&s->fleet, id, row, &accepted_store_ms);
	if (!job) {
		log_begin(&line, LOG_LEVEL_ERROR, "job_row_unreadable");
		log_str(&line, "job", id);
		log_end(&line);
		return;
	}
	job->accepted_version = version;
	job->accepted_ms = now_ms;
	if (accepted_store_ms && store_ms > accepted_store_ms)
		job->accepted_ms -= store_ms - accepted_store_ms;
	if (!job->spec.repeat_count)
		fleet_job_add_occurrence(job);
	if (!s->is_reading)
		log_job(job, "job_known", NULL);
}

void fleet_scheduler_merge_progress(struct fleet_scheduler *s, const char *id,
				    json_object *row, int64_t version)
{
	struct fleet_job *job = fleet_job(&s->fleet, id);

	if (!job || version <= job->progress_version)
		return;
	job->progress_version = version;
	if (job_progress_state(row) != FLEET_JOB_QUEUED) {
		job->is_active_stored = TRUE;
		/* If this epoch set the job active, it wrote the row itself. */
		job->is_inherited |= job->state == FLEET_JOB_QUEUED;
	}
	if (job_progress_merge(job, row))
		job->is_dirty = TRUE;
}

void fleet_scheduler_cancel(struct fleet_scheduler *s, const char *id,
			    int64_t now_ms)
{
	struct fleet_job *job = fleet_job(&s->fleet, id);

	if (!job || job->is_cancelled || fleet_job_has_ended(job))
		return;
	job->is_cancelled = TRUE;
	set_state(job, FLEET_JOB_CANCELLED, "cancelled by the client", now_ms);
}

/* Releases the tasks of a worker on which certainly nothing runs any more. */
static void release_lost_tasks(struct fleet_worker *w, const char *reason)
{
	struct log_line line;

	if (!w->tasks->len)
		return;
	log_begin(&line, LOG_LEVEL_WARN, "worker_tasks_lost");
	log_str(&line, "worker", w->id);
	log_int(&line, "tasks", w->tasks->len);
	log_str(&line, "reason", reason);
	log_end(&line);
	while (w->tasks->len)
		fleet_task_release(w->tasks->pdata[w->tasks->len - 1]);
}

/*
 * Handles a restart of a worker. The runs that the previous incarnation listed
 * are lost. A run that was ordered but never listed may have been started by
 * the new incarnation before its restart was known; the next report shows it.
 */
static void begin_incarnation(struct fleet_worker *w, int64_t born_ms)
{
	guint lost = 0;
	struct log_line line;

	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t = w->tasks->pdata[i];

		if (!t->listed_born_ms || t->listed_born_ms >= born_ms)
			continue;
		fleet_task_release(t);
		lost++;
	}
	log_begin(&line, LOG_LEVEL_WARN, "worker_restarted");
	log_str(&line, "worker", w->id);
	log_int(&line, "born_ms", born_ms);
	log_int(&line, "tasks_lost", lost);
	log_int(&line, "tasks_to_be_listed", w->tasks->len);
	log_end(&line);
	w->reg.incarnation_start_ms = born_ms;
	w->renew_again = TRUE;
	w->processed_end = 0;
	w->saved_end = 0;
	w->saving_end = 0;
	w->is_clock_offset_known = FALSE;
	w->failures_in_row = 0;
	w->runs_done = 0;
}

static void log_registration(const char *id,
			     const struct worker_registration *reg)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "worker_registered");
	log_str(&line, "worker", id);
	log_str(&line, "address", reg->address);
	log_str(&line, "rack", reg->rack);
	log_int(&line, "is_draining", reg->is_draining);
	log_int(&line, "drain_left_ms", reg->drain_left_ms);
	log_end(&line);
}

void fleet_scheduler_update_worker(struct fleet_scheduler *s, const char *id,
				   struct worker_registration *reg,
				   int64_t now_ms)
{
	struct fleet_worker *w = fleet_worker(&s->fleet, id);
	struct log_line line;

	s->has_workers = TRUE;
	if (!reg) {
		if (!w || w->is_deregistered)
			return;
		w->is_deregistered = TRUE;
		log_begin(&line, LOG_LEVEL_INFO, "worker_gone");
		log_str(&line, "worker", id);
		log_int(&line, "was_draining", w->reg.is_draining);
		log_int(&line, "tasks", w->tasks->len);
		log_end(&line);
		/* Also a draining worker may only be cut off from the store:
		 * its tasks are kept until their leases have expired. */
		return;
	}
	if (!s->is_reading && (!w || w->reg.is_draining != reg->is_draining ||
			       w->is_deregistered))
		log_registration(id, reg);
	w = fleet_add_worker(&s->fleet, id);
	if (w->reg.incarnation_start_ms &&
	    reg->incarnation_start_ms > w->reg.incarnation_start_ms)
		begin_incarnation(w, reg->incarnation_start_ms);
	/* A report may have shown the new incarnation earlier. */
	reg->incarnation_start_ms =
		MAX(reg->incarnation_start_ms, w->reg.incarnation_start_ms);
	w->is_deregistered = FALSE;
	if (reg->is_draining && !w->reg.is_draining)
		w->drain_until_ms = now_ms + reg->drain_left_ms;
	worker_registration_clear(&w->reg);
	w->reg = *reg;
	*reg = (struct worker_registration){ 0 };
}

gboolean fleet_worker_has_no_runs(const struct fleet_scheduler *s,
				  const struct fleet_worker *w, int64_t now_ms)
{
	/* By then the leases granted by the previous holder have expired. */
	if (now_ms > s->unknown_runs_until_ms && !w)
		return TRUE;
	if (!w || !w->is_deregistered || w->tasks->len)
		return FALSE;
	/* A worker that never answered may run the previous holder's tasks. */
	return now_ms > w->lease_bound_ms &&
	       (w->is_fenced || now_ms > s->unknown_runs_until_ms);
}

int64_t fleet_scheduler_lease_end(const struct fleet_scheduler *s,
				  struct fleet_worker *w, int64_t now_ms)
{
	int64_t bound_ms =
		now_ms +
		(int64_t)((double)s->bounds.lease_ms * (1 + MAX_CLOCK_DRIFT)) +
		LEASE_SLACK_MS;

	w->lease_bound_ms = MAX(w->lease_bound_ms, bound_ms);
	return now_ms + w->clock_offset_ms + s->bounds.lease_ms;
}

int64_t fleet_scheduler_renewal_end(const struct fleet_scheduler *s,
				    struct fleet_worker *w, int64_t now_ms)
{
	if (!w->is_clock_offset_known)
		return 0;
	/* A worker that is probably gone would never lose its tasks if each
	 * attempt extended their leases. */
	if (w->is_deregistered && w->has_failed_renewal)
		return 0;
	return fleet_scheduler_lease_end(s, w, now_ms);
}

static void log_task(const struct fleet_scheduler *s,
		     const struct fleet_task *t, const char *event,
		     const char *reason)
{
	char *name = fleet_task_name(t);
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "task", name);
	log_int(&line, "run", t->run);
	log_int(&line, "epoch", s->epoch);
	log_int(&line, "percent", (int64_t)t->percent);
	if (t->worker)
		log_str(&line, "worker", t->worker->id);
	if (reason)
		log_str(&line, "reason", reason);
	log_end(&line);
	g_free(name);
}

static void send_start(struct fleet_scheduler *s, struct fleet_task *t,
		       int64_t now_ms)
{
	char *name = fleet_task_name(t);
	struct start_order order = {
		.task = name,
		.run = t->run,
		.payload = t->step->job->spec.payload,
		.lease_end_ms = fleet_scheduler_lease_end(s, t->worker, now_ms),
		.epoch = s->epoch,
		.checkpoint = t->checkpoint,
	};

	t->is_order_in_flight = TRUE;
	s->ports.start(s->ports.data, t->worker, &order);
	g_free(name);
}

static void send_stop(struct fleet_scheduler *s, struct fleet_task *t)
{
	char *name = fleet_task_name(t);

	t->is_order_in_flight = TRUE;
	s->ports.stop(s->ports.data, t->worker, name, t->run);
	g_free(name);
}

void fleet_start_tasks(struct fleet_scheduler *s, struct fleet_task **tasks,
		       struct fleet_worker **workers, guint count,
		       int64_t now_ms)
{
	int64_t run = s->epoch * RUNS_PER_EPOCH + ++s->runs;
	struct fleet_job *job = tasks[0]->step->job;
	const char *checkpoint = NULL;

	/* A gang resumes from one checkpoint, which any member may hold. */
	for (guint i = 0; i < count && tasks[0]->step->spec->is_gang; i++) {
		if (tasks[i]->checkpoint)
			checkpoint = tasks[i]->checkpoint;
	}
	for (guint i = 0; i < count; i++) {
		struct fleet_task *t = tasks[i];

		if (checkpoint)
			fleet_task_set_checkpoint(t, checkpoint);
		fleet_task_place(t, workers[i]);
		t->run = run;
		t->state = TASK_STARTING;
		t->ordered_ms = now_ms;
		t->last_progress_ms = now_ms;
		t->confirmed_ms = 0;
		t->stop_answered_ms = 0;
		log_task(s, t, "task_start", NULL);
		send_start(s, t, now_ms);
	}
	job->has_started = TRUE;
}

void fleet_activate_job(struct fleet_job *job, int64_t now_ms)
{
	if (job->state == FLEET_JOB_QUEUED)
		set_state(job, FLEET_JOB_ACTIVE, "its tasks are about to start",
			  now_ms);
}

/* Orders a stop of a task that may run. The reason is logged. */
static void stop_task(struct fleet_scheduler *s, struct fleet_task *t,
		      const char *reason)
{
	if (!t->worker || t->is_stop_ordered)
		return;
	t->is_stop_ordered = TRUE;
	if (t->state != TASK_DONE)
		t->state = TASK_STOPPING;
	t->stop_answered_ms = 0;
	log_task(s, t, "task_stop", reason);
	send_stop(s, t);
}

void fleet_stop_unit(struct fleet_scheduler *s, struct fleet_task *t,
		     const char *reason)
{
	struct fleet_step *step = t->step;

	if (!step->spec->is_gang) {
		stop_task(s, t, reason);
		return;
	}
	for (guint i = 0; i < step->task_count; i++) {
		if (step->tasks[i].state != TASK_DONE)
			stop_task(s, &step->tasks[i], reason);
	}
}

static gboolean all_steps_are_done(const struct fleet_job *job)
{
	if (job->occurrences < job_spec_occurrences(&job->spec))
		return FALSE;
	for (guint i = 0; i < job->steps->len; i++) {
		const struct fleet_step *step = job->steps->pdata[i];

		if (step->done_count < step->task_count)
			return FALSE;
	}
	return TRUE;
}

/* Handles a completed run, which need not be the task's current run. */
static void handle_run_done(struct fleet_scheduler *s, struct fleet_task *t,
			    const struct fleet_worker *w, int64_t run,
			    int64_t now_ms)
{
	struct fleet_step *step = t->step;
	gboolean is_gang = step->spec->is_gang != 0;

	if (t->worker == w && t->run == run && t->confirmed_ms &&
	    !t->checkpoint && t->state == TASK_RUNNING)
		run_times_observe(s->run_times, step->job->route,
				  now_ms - t->ordered_ms);

	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *member = &step->tasks[i];

		if (!is_gang && member != t)
			continue;
		fleet_task_mark_done(member);
		/* The members of a gang complete together. */
		if (member->worker && member->run == run &&
		    (is_gang || member->worker == w))
			fleet_task_release(member);
	}
	step->job->is_dirty = TRUE;
	if (all_steps_are_done(step->job) && !fleet_job_has_ended(step->job))
		set_state(step->job, FLEET_JOB_COMPLETED,
			  "all tasks have completed", now_ms);
}

static void count_failure(struct fleet_scheduler *s, struct fleet_task *t,
			  int64_t run, int64_t now_ms)
{
	const struct queue_route *route =
		fleet_scheduler_route(s, t->step->job);
	struct fleet_step *step = t->step;
	struct run_set *failed =
		step->spec->is_gang ? &step->gang_failed : &t->failed;

	/* Services have no limit of attempts. */
	if (step->spec->is_service || !run_set_add(failed, run))
		return;
	step->job->is_dirty = TRUE;
	if (!route || run_set_count(failed) < route->max_attempts)
		return;
	set_state(step->job, FLEET_JOB_FAILED,
		  "a task has used up its attempts", now_ms);
}

static void update_worker_failures(struct fleet_worker *w, enum run_end end,
				   int64_t now_ms)
{
	struct log_line line;

	if (end == RUN_DONE) {
		w->failures_in_row = 0;
		w->runs_done++;
		return;
	}
	if (end != RUN_FAILED)
		return;
	w->failures_in_row++;
	if (w->failures_in_row < FAILURES_TO_AVOID && w->runs_done)
		return;
	w->avoid_until_ms = now_ms + AVOID_MS;
	log_begin(&line, LOG_LEVEL_WARN, "worker_avoided");
	log_str(&line, "worker", w->id);
	log_int(&line, "failures_in_row", w->failures_in_row);
	log_int(&line, "for_ms", AVOID_MS);
	log_end(&line);
}

static void handle_run_end(struct fleet_scheduler *s, struct fleet_worker *w,
			   const struct ended_entry *e, int64_t now_ms)
{
	struct fleet_task *t = fleet_task(&s->fleet, e->task);
	gboolean is_current;
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "task_end");
	log_str(&line, "task", e->task);
	log_int(&line, "run", e->run);
	log_str(&line, "end", run_end_name(e->end));
	log_str(&line, "worker", w->id);
	log_int(&line, "number", e->number);
	if (t && t->worker == w && t->run == e->run) {
		log_int(&line, "ran_ms", now_ms - t->ordered_ms);
		log_int(&line, "accelerators", t->step->spec->accelerators);
		log_int(&line, "saves", t->step->spec->is_checkpointed);
	}
	log_end(&line);
	update_worker_failures(w, e->end, now_ms);
	if (!t)
		return;
	is_current = t->worker == w && t->run == e->run;
	if (e->end == RUN_DONE && !t->step->spec->is_service) {
		handle_run_done(s, t, w, e->run, now_ms);
		return;
	}
	if (t->state != TASK_DONE)
		fleet_task_set_checkpoint(t, e->checkpoint);
	if (is_current)
		fleet_task_release(t);
	if (t->state == TASK_DONE || fleet_job_has_ended(t->step->job))
		return;
	if (e->end == RUN_FAILED)
		count_failure(s, t, e->run, now_ms);
	if (is_current && t->step->spec->is_gang)
		fleet_stop_unit(s, t, "the run of a gang member has ended");
	t->step->job->is_dirty = TRUE;
}

static void record_progress(struct fleet_task *t, double percent,
			    int64_t now_ms)
{
	if (!t->first_progress_ms) {
		t->first_progress_ms = now_ms;
		t->first_percent = percent;
	}
	if (percent > t->percent)
		t->last_progress_ms = now_ms;
	t->percent = percent;
}

/*
 * Handles a run that a worker lists as running: confirms the current run of a
 * task, adopts it for a waiting task, or stops it.
 */
static void handle_run_listed(struct fleet_scheduler *s, struct fleet_worker *w,
			      const struct running_entry *e, int64_t born_ms,
			      int64_t now_ms)
{
	struct fleet_task *t = fleet_task(&s->fleet, e->task);
	struct log_line line;

	if (t && t->worker == w && t->run == e->run) {
		t->listed_report = w->report_count;
		t->listed_born_ms = born_ms;
		if (t->state == TASK_STARTING)
			t->state = TASK_RUNNING;
		if (!t->confirmed_ms)
			t->confirmed_ms = now_ms;
		record_progress(t, e->percent, now_ms);
		fleet_task_set_checkpoint(t, e->checkpoint);
		return;
	}
	if (t && t->state == TASK_WAITING && !t->worker &&
	    !fleet_job_has_ended(t->step->job)) {
		fleet_task_place(t, w);
		t->run = e->run;
		t->state = TASK_RUNNING;
		t->ordered_ms = now_ms;
		t->last_progress_ms = now_ms;
		t->confirmed_ms = now_ms;
		record_progress(t, e->percent, now_ms);
		t->listed_report = w->report_count;
		t->listed_born_ms = born_ms;
		fleet_task_set_checkpoint(t, e->checkpoint);
		t->step->job->has_started = TRUE;
		if (t->step->job->state == FLEET_JOB_QUEUED)
			set_state(t->step->job, FLEET_JOB_ACTIVE, "adopted",
				  now_ms);
		log_task(s, t, "task_adopted", NULL);
		return;
	}
	w->unwanted_runs++;
	/* A gang's members complete together, but are listed one by one. */
	if (t && t->state == TASK_DONE && t->step->spec->is_gang &&
	    t->run == e->run)
		return;
	log_begin(&line, LOG_LEVEL_WARN, "run_unwanted");
	log_str(&line, "task", e->task);
	log_int(&line, "run", e->run);
	log_str(&line, "worker", w->id);
	log_end(&line);
	s->ports.stop(s->ports.data, w, e->task, e->run);
}

/*
 * Releases the tasks that a report doesn't list and that certainly don't run
 * any more: the worker had confirmed the start or the stop of the run before
 * the report was requested.
 */
static void check_missing(struct fleet_scheduler *s, struct fleet_worker *w,
			  int64_t asked_ms)
{
	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t;
		int64_t known_ms;

		if (i >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i];
		if (t->listed_report == w->report_count)
			continue;
		known_ms = t->stop_answered_ms ? t->stop_answered_ms
					       : t->confirmed_ms;
		if (!known_ms || known_ms >= asked_ms)
			continue;
		log_task(s, t, "task_not_listed", NULL);
		fleet_task_release(t);
	}
}

/* Logs a report of an earlier incarnation. It is ignored, as it doesn't show
 * what the current one runs. */
static void log_old_report(const struct fleet_worker *w,
			   const struct run_report *report)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "worker_report_outdated");
	log_str(&line, "worker", w->id);
	log_int(&line, "born_ms", report->incarnation_start_ms);
	log_int(&line, "known_born_ms", w->reg.incarnation_start_ms);
	log_end(&line);
}

void fleet_scheduler_apply_report(struct fleet_scheduler *s,
				  struct fleet_worker *w,
				  const struct run_report *report,
				  int64_t asked_ms, int64_t now_ms)
{
	if (report->incarnation_start_ms &&
	    report->incarnation_start_ms < w->reg.incarnation_start_ms) {
		log_old_report(w, report);
		return;
	}
	if (w->reg.incarnation_start_ms &&
	    report->incarnation_start_ms > w->reg.incarnation_start_ms)
		begin_incarnation(w, report->incarnation_start_ms);
	w->report_count++;
	w->contact_ms = now_ms;
	w->last_report_ms = now_ms;
	w->has_failed_renewal = FALSE;
	w->is_fenced = TRUE;
	w->unwanted_runs = 0;
	w->is_clock_offset_known = TRUE;
	w->clock_offset_ms = report->clock_ms - (asked_ms + now_ms) / 2;
	for (guint i = 0; i < report->ended->len; i++) {
		const struct ended_entry *e =
			&g_array_index(report->ended, struct ended_entry, i);

		if (e->number <= w->processed_end)
			continue;
		handle_run_end(s, w, e, now_ms);
		w->processed_end = e->number;
	}
	for (guint i = 0; i < report->running->len; i++)
		handle_run_listed(s, w,
				  &g_array_index(report->running,
						 struct running_entry, i),
				  report->incarnation_start_ms, now_ms);
	if (report->ended->len < MAX_LISTED_ENDS)
		check_missing(s, w, asked_ms);
}

/* Returns the task if the run is its current one on the worker, or NULL. */
static struct fleet_task *current_task(struct fleet_scheduler *s,
				       const char *worker, const char *task,
				       int64_t run)
{
	struct fleet_task *t = fleet_task(&s->fleet, task);

	if (!t || !t->worker || t->run != run ||
	    !g_str_equal(t->worker->id, worker))
		return NULL;
	return t;
}

void fleet_scheduler_start_answered(struct fleet_scheduler *s,
				    const char *worker, const char *task,
				    int64_t run, enum order_outcome outcome,
				    enum order_refusal refusal, int64_t now_ms)
{
	struct fleet_task *t = current_task(s, worker, task, run);
	struct log_line line;

	if (outcome != ORDER_DONE) {
		log_begin(&line, LOG_LEVEL_WARN, "task_start_failed");
		log_str(&line, "task", task);
		log_int(&line, "run", run);
		log_str(&line, "worker", worker);
		log_str(&line, "refusal",
			outcome == ORDER_REFUSED ? order_refusal_name(refusal)
						 : "no answer");
		log_end(&line);
	}
	if (!t)
		return;
	t->is_order_in_flight = FALSE;
	if (t->state != TASK_STARTING)
		return;
	switch (outcome) {
	case ORDER_DONE:
		t->state = TASK_RUNNING;
		t->confirmed_ms = now_ms;
		t->worker->contact_ms = now_ms;
		return;
	case ORDER_NO_ANSWER:
		t->has_unanswered_start = TRUE;
		t->worker->avoid_until_ms = MAX(t->worker->avoid_until_ms,
						now_ms + AVOID_UNANSWERED_MS);
		t->ordered_ms =
			MIN(t->ordered_ms, now_ms - UNANSWERED_START_AGE_MS);
		return;
	case ORDER_REFUSED:
		break;
	}
	t->worker->avoid_until_ms =
		MAX(t->worker->avoid_until_ms, now_ms + AVOID_UNANSWERED_MS);
	/* The run may have ended, or an earlier order may still arrive. */
	if (refusal == REFUSAL_OLD_RUN || t->has_unanswered_start) {
		fleet_stop_unit(
			s, t,
			t->has_unanswered_start
				? "an earlier start order had no answer"
				: "the worker refused the run as outdated");
		return;
	}
	fleet_task_release(t);
	if (t->step->spec->is_gang)
		fleet_stop_unit(s, t, "the start of a gang member was refused");
}

void fleet_scheduler_stop_answered(struct fleet_scheduler *s,
				   const char *worker, const char *task,
				   int64_t run, enum order_outcome outcome,
				   int64_t now_ms)
{
	struct fleet_task *t = current_task(s, worker, task, run);

	if (!t)
		return;
	t->is_order_in_flight = FALSE;
	if (outcome == ORDER_DONE) {
		t->stop_answered_ms = now_ms;
		t->worker->renew_again = TRUE;
	}
}

static void retry_orders(struct fleet_scheduler *s, struct fleet_task *t,
			 int64_t now_ms)
{
	if (t->is_order_in_flight)
		return;
	switch (t->state) {
	case TASK_STARTING:
		if (now_ms - t->ordered_ms > START_TIMEOUT_MS)
			fleet_stop_unit(s, t,
					"the start was not confirmed in time");
		else
			send_start(s, t, now_ms);
		break;
	case TASK_STOPPING:
	case TASK_DONE:
		if (t->is_stop_ordered && !t->stop_answered_ms)
			send_stop(s, t);
		break;
	default:
		break;
	}
}

static void check_worker_tasks(struct fleet_scheduler *s,
			       struct fleet_worker *w, int64_t now_ms)
{
	if (w->tasks->len && now_ms > w->lease_bound_ms &&
	    w->lease_bound_ms > 0)
		release_lost_tasks(w, "all its leases have expired");
	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t;

		if (i >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i];
		if (fleet_job_has_ended(t->step->job) || t->state == TASK_DONE)
			stop_task(s, t,
				  "the job has ended or the task is done");
		retry_orders(s, t, now_ms);
	}
}

/* Stops a gang of which only some members run, as it can't complete. */
static void check_gang(struct fleet_scheduler *s, struct fleet_step *step,
		       int64_t now_ms)
{
	struct fleet_task *running = NULL;
	gboolean has_waiting = FALSE;

	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];

		if (t->state == TASK_RUNNING || t->state == TASK_STARTING)
			running = t;
		if (t->state == TASK_WAITING)
			has_waiting = TRUE;
	}
	if (running && has_waiting && now_ms > s->unknown_runs_until_ms)
		fleet_stop_unit(s, running,
				"only some members of the gang run");
}

static void add_due_occurrences(struct fleet_job *job)
{
	int64_t wall_ms;

	if (!job->spec.repeat_count)
		return;
	wall_ms = util_wall_ms();
	while (fleet_job_may_open(job) &&
	       wall_ms >= job->spec.first_ms +
				  job->occurrences * job->spec.interval_ms)
		fleet_job_add_occurrence(job);
}

/* Returns the progress of a task in percent per second, 0 if unknown. */
static double percent_per_s(const struct fleet_task *t)
{
	int64_t span_ms = t->last_progress_ms - t->first_progress_ms;

	if (!t->first_progress_ms || span_ms < MIN_RATE_SPAN_MS)
		return 0;
	return (t->percent - t->first_percent) * (double)MS_PER_S /
	       (double)span_ms;
}

/* Returns the expected remaining run time of a running task. */
static int64_t expected_remaining_ms(const struct fleet_scheduler *s,
				     const struct fleet_task *t, int64_t now_ms)
{
	double rate = percent_per_s(t);
	int64_t expected_ms = run_times_expected_ms(
		s->run_times, t->step->job->route, t->step->spec->estimate_ms);

	if (rate > 0)
		return (int64_t)((100 - t->percent) * (double)MS_PER_S / rate) -
		       (now_ms - t->last_progress_ms);
	return MAX(expected_ms - (now_ms - t->ordered_ms), 0);
}

/* Returns TRUE if a task makes no progress although its worker answers. */
static gboolean is_stalled(const struct fleet_scheduler *s,
			   const struct fleet_task *t, int64_t now_ms)
{
	return t->state == TASK_RUNNING && t->first_progress_ms &&
	       !t->step->spec->is_service && t->percent < 100 &&
	       now_ms - t->worker->contact_ms <= STALL_MS / 2 &&
	       now_ms - t->last_progress_ms > STALL_MS;
}

/* Returns TRUE if a task won't end well before its worker may shut down. */
static gboolean outlasts_drain(const struct fleet_scheduler *s,
			       const struct fleet_task *t, int64_t now_ms)
{
	return t->state == TASK_RUNNING &&
	       now_ms + expected_remaining_ms(s, t, now_ms) +
			       EVACUATION_MARGIN_MS >
		       t->worker->drain_until_ms;
}

typedef gboolean (*task_check)(const struct fleet_scheduler *s,
			       const struct fleet_task *t, int64_t now_ms);

/* Stops the tasks of a worker that pass a check. Returns TRUE if any did. */
static gboolean stop_matching_tasks(struct fleet_scheduler *s,
				    struct fleet_worker *w, task_check check,
				    const char *reason, int64_t now_ms)
{
	gboolean has_stopped = FALSE;

	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t;

		if (i >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i];
		if (!check(s, t, now_ms))
			continue;
		fleet_stop_unit(s, t, reason);
		has_stopped = TRUE;
	}
	return has_stopped;
}

void fleet_scheduler_resume(struct fleet_scheduler *s, int64_t now_ms)
{
	s->resumed_ms = now_ms + RESUME_MS;
}

void fleet_scheduler_plan(struct fleet_scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;
	gboolean all_fenced = TRUE;

	if (now_ms < s->resumed_ms)
		return;
	g_hash_table_iter_init(&iter, s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_worker *w = item;

		check_worker_tasks(s, w, now_ms);
		if (stop_matching_tasks(s, w, is_stalled,
					"the task makes no progress", now_ms))
			w->avoid_until_ms = MAX(w->avoid_until_ms,
						now_ms + AVOID_STALLED_MS);
		if (w->reg.is_draining && !w->is_deregistered)
			stop_matching_tasks(
				s, w, outlasts_drain,
				"the worker drains before the task would end",
				now_ms);
		if (!w->is_fenced)
			all_fenced = FALSE;
		if (w->is_deregistered && !w->tasks->len && !w->is_renewing &&
		    now_ms > s->unknown_runs_until_ms)
			g_hash_table_iter_remove(&iter);
	}
	/* All workers that may run unlisted tasks have reported. */
	if (all_fenced && s->has_workers && !s->has_unregistered_workers &&
	    now_ms < s->unknown_runs_until_ms)
		s->unknown_runs_until_ms = now_ms;
	g_hash_table_iter_init(&iter, s->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		if (fleet_job_has_ended(job))
			continue;
		fleet_job_drop_done(job);
		add_due_occurrences(job);
		for (guint i = 0; i < job->steps->len; i++) {
			struct fleet_step *step = job->steps->pdata[i];

			if (step->spec->is_gang)
				check_gang(s, step, now_ms);
		}
	}
	fleet_place_all(s, now_ms);
}
