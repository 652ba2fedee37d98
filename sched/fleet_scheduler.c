#include "sched/fleet_scheduler.h"

#include "base/log.h"
#include "base/util.h"
#include "sched/fleet_parts.h"

/* Runs of one epoch; a task is started far less often than that. */
#define RUNS_PER_EPOCH (INT64_C(1) << 20)
/* An order without an answer is sent again after this time. */
#define ORDER_RETRY_MS 100
/* After this time without a confirmation a start is given up. */
#define START_GIVE_UP_MS 1500
/* Workers' clocks may be this much slow (platform's bound of 2%, and a bit). */
#define CLOCK_DRIFT 0.03
#define LEASE_SLACK_MS 200
/* A worker that fails runs in a row gets nothing new for this time. */
#define AVOID_MS 8000
/* After an order without an answer, others are chosen for this time. */
#define AVOID_SILENT_MS 1000
#define FAILURES_TO_AVOID 2
/* A worker on which tasks stand still gets nothing for this time. */
#define AVOID_STALLED_MS 5000
/* Without progress for so long a task stands still; it is told of each hold. */
#define STALL_MS 3000
/* Progress over less time than this says little. */
#define MIN_TOLD_MS 500
/* Left between the expected end of a task and that of its worker. */
#define EVACUATION_MARGIN_MS 300
/* Ends that a worker lists at most in one answer. */
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
			   int64_t unseen_until_ms)
{
	fleet_clear(&s->fleet);
	fleet_init(&s->fleet);
	s->epoch = epoch;
	s->runs = 0;
	s->unseen_until_ms = unseen_until_ms;
	s->has_workers = FALSE;
	s->unregistered_workers = FALSE;
}

const struct queue_route *fleet_scheduler_route(const struct fleet_scheduler *s,
						const struct fleet_job *job)
{
	return s->config ? fleet_config_route(s->config, job->route) : NULL;
}

int64_t fleet_priority(const struct fleet_scheduler *s,
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

void fleet_scheduler_job(struct fleet_scheduler *s, const char *id,
			 json_object *row, int64_t version, int64_t store_ms,
			 int64_t now_ms)
{
	int64_t accepted_store_ms = 0;
	struct fleet_job *job = fleet_job(&s->fleet, id);
	struct log_line line;

	if (job)
		return;
	job = job_row_take(&s->fleet, id, row, &accepted_store_ms);
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
	log_job(job, "job_known", NULL);
}

void fleet_scheduler_progress(struct fleet_scheduler *s, const char *id,
			      json_object *row, int64_t version)
{
	struct fleet_job *job = fleet_job(&s->fleet, id);

	if (!job || version <= job->progress_version)
		return;
	job->progress_version = version;
	if (job_progress_state(row) != FLEET_JOB_QUEUED) {
		job->is_marked = TRUE;
		/* A row of a job that this epoch has marked is its own. */
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
	set_state(job, FLEET_JOB_CANCELLED, "asked by the caller", now_ms);
}

/* Everything that ran on a worker has certainly ended. */
static void lose_tasks(struct fleet_worker *w, const char *reason)
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
 * A worker was started again. What its former life has listed is gone. An order
 * that was only answered may have reached the new life before we knew of it:
 * that is told by the next lists.
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
	w->reg.born_ms = born_ms;
	w->hold_again = TRUE;
	w->processed_end = 0;
	w->saved_end = 0;
	w->saving_end = 0;
	w->has_clock = FALSE;
	w->failures_in_row = 0;
	w->runs_done = 0;
}

void fleet_scheduler_worker(struct fleet_scheduler *s, const char *id,
			    struct worker_registration *reg, int64_t now_ms)
{
	struct fleet_worker *w = fleet_worker(&s->fleet, id);
	struct log_line line;

	s->has_workers = TRUE;
	if (!reg) {
		if (!w || w->is_gone)
			return;
		w->is_gone = TRUE;
		log_begin(&line, LOG_LEVEL_INFO, "worker_gone");
		log_str(&line, "worker", id);
		log_int(&line, "was_draining", w->reg.is_draining);
		log_end(&line);
		/* After a graceful drain nothing can run there any more. */
		if (w->reg.is_draining)
			lose_tasks(w, "the worker has left");
		return;
	}
	if (!w || w->reg.is_draining != reg->is_draining || w->is_gone) {
		log_begin(&line, LOG_LEVEL_INFO, "worker_registered");
		log_str(&line, "worker", id);
		log_str(&line, "address", reg->address);
		log_str(&line, "rack", reg->rack);
		log_int(&line, "is_draining", reg->is_draining);
		log_int(&line, "drain_left_ms", reg->drain_left_ms);
		log_end(&line);
	}
	w = fleet_add_worker(&s->fleet, id);
	if (w->reg.born_ms && reg->born_ms > w->reg.born_ms)
		begin_incarnation(w, reg->born_ms);
	/* The worker itself may have told of its new life before. */
	reg->born_ms = MAX(reg->born_ms, w->reg.born_ms);
	w->is_gone = FALSE;
	if (reg->is_draining && !w->reg.is_draining)
		w->drain_until_ms = now_ms + reg->drain_left_ms;
	worker_registration_clear(&w->reg);
	w->reg = *reg;
	*reg = (struct worker_registration){ 0 };
}

gboolean fleet_worker_is_over(const struct fleet_scheduler *s,
			      const struct fleet_worker *w, int64_t now_ms)
{
	/* By then the leases that the holder before gave have run out. */
	if (now_ms > s->unseen_until_ms && !w)
		return TRUE;
	if (!w || !w->is_gone || w->tasks->len)
		return FALSE;
	if (w->reg.is_draining)
		return TRUE;
	/* One that never answered runs what that holder started. */
	return now_ms > w->lease_bound_ms &&
	       (w->is_fenced || now_ms > s->unseen_until_ms);
}

int64_t fleet_scheduler_lease_end(const struct fleet_scheduler *s,
				  struct fleet_worker *w, int64_t now_ms)
{
	int64_t bound_ms =
		now_ms +
		(int64_t)((double)s->bounds.lease_ms * (1 + CLOCK_DRIFT)) +
		LEASE_SLACK_MS;

	w->lease_bound_ms = MAX(w->lease_bound_ms, bound_ms);
	return now_ms + w->clock_offset_ms + s->bounds.lease_ms;
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

	t->is_order_out = TRUE;
	s->ports.start(s->ports.data, t->worker, &order);
	g_free(name);
}

static void send_stop(struct fleet_scheduler *s, struct fleet_task *t)
{
	char *name = fleet_task_name(t);

	t->is_order_out = TRUE;
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

	/* A gang resumes from one checkpoint, which any member may have. */
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
		t->moved_ms = now_ms;
		t->confirmed_ms = 0;
		t->stop_answered_ms = 0;
		log_task(s, t, "task_start", NULL);
		send_start(s, t, now_ms);
	}
	job->has_started = TRUE;
}

void fleet_mark_job(struct fleet_job *job, int64_t now_ms)
{
	if (job->state == FLEET_JOB_QUEUED)
		set_state(job, FLEET_JOB_ACTIVE, "about to start", now_ms);
}

/* Orders a stop of a task that may run; the reason is for the log. */
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

static void mark_done(struct fleet_task *t)
{
	if (t->state == TASK_DONE)
		return;
	t->state = TASK_DONE;
	t->step->done_count++;
}

/* A run of a task has ended well, perhaps not the one that counts now. */
static void take_done(struct fleet_scheduler *s, struct fleet_task *t,
		      const struct fleet_worker *w, int64_t run, int64_t now_ms)
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
		mark_done(member);
		/* The members of a gang end together. */
		if (member->worker && member->run == run &&
		    (is_gang || member->worker == w))
			fleet_task_release(member);
	}
	step->job->is_dirty = TRUE;
	if (all_steps_are_done(step->job) && !fleet_job_has_ended(step->job))
		set_state(step->job, FLEET_JOB_COMPLETED, "all tasks are done",
			  now_ms);
}

static void count_failure(struct fleet_scheduler *s, struct fleet_task *t,
			  int64_t run, int64_t now_ms)
{
	const struct queue_route *route =
		fleet_scheduler_route(s, t->step->job);
	struct fleet_step *step = t->step;
	struct run_set *failed =
		step->spec->is_gang ? &step->gang_failed : &t->failed;

	if (!run_set_add(failed, run))
		return;
	step->job->is_dirty = TRUE;
	if (step->spec->is_service || !route ||
	    run_set_count(failed) < route->max_attempts)
		return;
	set_state(step->job, FLEET_JOB_FAILED, "attempts are used up", now_ms);
}

static void judge_worker(struct fleet_worker *w, enum run_end end,
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

static void take_end(struct fleet_scheduler *s, struct fleet_worker *w,
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
	judge_worker(w, e->end, now_ms);
	if (!t)
		return;
	is_current = t->worker == w && t->run == e->run;
	if (e->end == RUN_DONE && !t->step->spec->is_service) {
		take_done(s, t, w, e->run, now_ms);
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
		fleet_stop_unit(s, t, "a member of the gang has ended");
	t->step->job->is_dirty = TRUE;
}

static void note_progress(struct fleet_task *t, double percent, int64_t now_ms)
{
	if (!t->first_told_ms) {
		t->first_told_ms = now_ms;
		t->first_percent = percent;
	}
	if (percent > t->percent)
		t->moved_ms = now_ms;
	t->percent = percent;
}

static void take_running(struct fleet_scheduler *s, struct fleet_worker *w,
			 const struct running_entry *e, int64_t born_ms,
			 int64_t now_ms)
{
	struct fleet_task *t = fleet_task(&s->fleet, e->task);
	struct log_line line;

	if (t && t->worker == w && t->run == e->run) {
		t->seen_report = w->reports;
		t->listed_born_ms = born_ms;
		if (t->state == TASK_STARTING)
			t->state = TASK_RUNNING;
		if (!t->confirmed_ms)
			t->confirmed_ms = now_ms;
		note_progress(t, e->percent, now_ms);
		fleet_task_set_checkpoint(t, e->checkpoint);
		return;
	}
	if (t && t->state == TASK_WAITING && !t->worker &&
	    !fleet_job_has_ended(t->step->job)) {
		fleet_task_place(t, w);
		t->run = e->run;
		t->state = TASK_RUNNING;
		t->ordered_ms = now_ms;
		t->moved_ms = now_ms;
		t->confirmed_ms = now_ms;
		note_progress(t, e->percent, now_ms);
		t->seen_report = w->reports;
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
	/* The members of a gang end together, but are listed one by one. */
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

/* Tasks that the worker should list and doesn't have ended unseen. */
static void check_missing(struct fleet_scheduler *s, struct fleet_worker *w,
			  int64_t asked_ms)
{
	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t;
		int64_t known_ms;

		if (i >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i];
		if (t->seen_report == w->reports)
			continue;
		known_ms = t->stop_answered_ms ? t->stop_answered_ms
					       : t->confirmed_ms;
		if (!known_ms || known_ms >= asked_ms)
			continue;
		log_task(s, t, "task_not_listed", NULL);
		fleet_task_release(t);
	}
}

/* Lists of a life that is over say nothing of the present one. */
static void log_old_report(const struct fleet_worker *w,
			   const struct run_report *report)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "worker_report_outdated");
	log_str(&line, "worker", w->id);
	log_int(&line, "born_ms", report->born_ms);
	log_int(&line, "known_born_ms", w->reg.born_ms);
	log_end(&line);
}

void fleet_scheduler_report(struct fleet_scheduler *s, struct fleet_worker *w,
			    const struct run_report *report, int64_t asked_ms,
			    int64_t now_ms)
{
	if (report->born_ms && report->born_ms < w->reg.born_ms) {
		log_old_report(w, report);
		return;
	}
	if (w->reg.born_ms && report->born_ms > w->reg.born_ms)
		begin_incarnation(w, report->born_ms);
	w->reports++;
	w->contact_ms = now_ms;
	w->listed_ms = now_ms;
	w->has_failed_hold = FALSE;
	w->is_fenced = TRUE;
	w->unwanted_runs = 0;
	w->has_clock = TRUE;
	w->clock_offset_ms = report->clock_ms - (asked_ms + now_ms) / 2;
	for (guint i = 0; i < report->ended->len; i++) {
		const struct ended_entry *e =
			&g_array_index(report->ended, struct ended_entry, i);

		if (e->number <= w->processed_end)
			continue;
		take_end(s, w, e, now_ms);
		w->processed_end = e->number;
	}
	for (guint i = 0; i < report->running->len; i++)
		take_running(s, w,
			     &g_array_index(report->running,
					    struct running_entry, i),
			     report->born_ms, now_ms);
	if (report->ended->len < MAX_LISTED_ENDS)
		check_missing(s, w, asked_ms);
}

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

void fleet_scheduler_started(struct fleet_scheduler *s, const char *worker,
			     const char *task, int64_t run,
			     enum order_outcome outcome,
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
	t->is_order_out = FALSE;
	if (t->state != TASK_STARTING)
		return;
	switch (outcome) {
	case ORDER_DONE:
		t->state = TASK_RUNNING;
		t->confirmed_ms = now_ms;
		t->worker->contact_ms = now_ms;
		return;
	case ORDER_NO_ANSWER:
		t->is_doubtful = TRUE;
		t->worker->avoid_until_ms = MAX(t->worker->avoid_until_ms,
						now_ms + AVOID_SILENT_MS);
		t->ordered_ms = MIN(t->ordered_ms, now_ms - ORDER_RETRY_MS);
		return;
	case ORDER_REFUSED:
		break;
	}
	t->worker->avoid_until_ms =
		MAX(t->worker->avoid_until_ms, now_ms + AVOID_SILENT_MS);
	/* It may have ended already, or still come by an earlier order. */
	if (refusal == REFUSAL_OLD_RUN || t->is_doubtful) {
		fleet_stop_unit(s, t,
				t->is_doubtful ? "an order had no answer"
					       : "the run is over there");
		return;
	}
	fleet_task_release(t);
	if (t->step->spec->is_gang)
		fleet_stop_unit(s, t, "a member was refused");
}

void fleet_scheduler_stopped(struct fleet_scheduler *s, const char *worker,
			     const char *task, int64_t run,
			     enum order_outcome outcome, int64_t now_ms)
{
	struct fleet_task *t = current_task(s, worker, task, run);

	if (!t)
		return;
	t->is_order_out = FALSE;
	if (outcome == ORDER_DONE) {
		t->stop_answered_ms = now_ms;
		t->worker->hold_again = TRUE;
	}
}

static void retry_orders(struct fleet_scheduler *s, struct fleet_task *t,
			 int64_t now_ms)
{
	if (t->is_order_out)
		return;
	switch (t->state) {
	case TASK_STARTING:
		if (now_ms - t->ordered_ms > START_GIVE_UP_MS)
			fleet_stop_unit(s, t, "the start has no answer");
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

static void tend_worker(struct fleet_scheduler *s, struct fleet_worker *w,
			int64_t now_ms)
{
	if (w->tasks->len && now_ms > w->lease_bound_ms &&
	    w->lease_bound_ms > 0)
		lose_tasks(w, "its leases have run out");
	for (guint i = w->tasks->len; i-- > 0;) {
		struct fleet_task *t;

		if (i >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i];
		if (fleet_job_has_ended(t->step->job) || t->state == TASK_DONE)
			stop_task(s, t, "no longer wanted");
		retry_orders(s, t, now_ms);
	}
}

/* A gang of which only a part runs can't come to its end. */
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
	if (running && has_waiting && now_ms > s->unseen_until_ms)
		fleet_stop_unit(s, running, "the gang is not whole");
}

static void add_due_occurrences(struct fleet_job *job)
{
	int64_t wall_ms;

	if (!job->spec.repeat_count)
		return;
	wall_ms = util_wall_ms();
	while (job->occurrences < job_spec_occurrences(&job->spec) &&
	       wall_ms >= job->spec.first_ms +
				  job->occurrences * job->spec.interval_ms)
		fleet_job_add_occurrence(job);
}

/* Progress that a task makes in a second, 0 when nothing is known of it. */
static double percent_per_s(const struct fleet_task *t)
{
	int64_t told_ms = t->moved_ms - t->first_told_ms;

	if (!t->first_told_ms || told_ms < MIN_TOLD_MS)
		return 0;
	return (t->percent - t->first_percent) * (double)MS_PER_S /
	       (double)told_ms;
}

/* The time that a running task is expected to need still. */
static int64_t left_ms(const struct fleet_scheduler *s,
		       const struct fleet_task *t, int64_t now_ms)
{
	double rate = percent_per_s(t);
	int64_t expected_ms = run_times_expected_ms(
		s->run_times, t->step->job->route, t->step->spec->estimate_ms);

	if (rate > 0)
		return (int64_t)((100 - t->percent) * (double)MS_PER_S / rate) -
		       (now_ms - t->moved_ms);
	return MAX(expected_ms - (now_ms - t->ordered_ms), 0);
}

/* Tells whether a task makes no progress though its worker answers. */
static gboolean stands_still(const struct fleet_scheduler *s,
			     const struct fleet_task *t, int64_t now_ms)
{
	return t->state == TASK_RUNNING && t->first_told_ms &&
	       !t->step->spec->is_service && t->percent < 100 &&
	       now_ms - t->worker->contact_ms <= STALL_MS / 2 &&
	       now_ms - t->moved_ms > STALL_MS;
}

/* Tells whether a task would not end before its worker leaves. */
static gboolean ends_too_late(const struct fleet_scheduler *s,
			      const struct fleet_task *t, int64_t now_ms)
{
	return t->state == TASK_RUNNING &&
	       now_ms + left_ms(s, t, now_ms) + EVACUATION_MARGIN_MS >
		       t->worker->drain_until_ms;
}

typedef gboolean (*task_check)(const struct fleet_scheduler *s,
			       const struct fleet_task *t, int64_t now_ms);

/* Stops the tasks of a worker that a check holds for; TRUE when there were. */
static gboolean stop_where(struct fleet_scheduler *s, struct fleet_worker *w,
			   task_check check, const char *reason, int64_t now_ms)
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

void fleet_scheduler_plan(struct fleet_scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;
	gboolean all_fenced = TRUE;

	g_hash_table_iter_init(&iter, s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_worker *w = item;

		tend_worker(s, w, now_ms);
		if (stop_where(s, w, stands_still, "no progress", now_ms))
			w->avoid_until_ms = MAX(w->avoid_until_ms,
						now_ms + AVOID_STALLED_MS);
		if (w->reg.is_draining && !w->is_gone)
			stop_where(s, w, ends_too_late, "the worker leaves",
				   now_ms);
		if (!w->is_fenced)
			all_fenced = FALSE;
		if (w->is_gone && !w->tasks->len && !w->is_holding &&
		    now_ms > s->unseen_until_ms)
			g_hash_table_iter_remove(&iter);
	}
	if (all_fenced && s->has_workers && !s->unregistered_workers &&
	    now_ms < s->unseen_until_ms)
		s->unseen_until_ms = now_ms;
	g_hash_table_iter_init(&iter, s->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		if (fleet_job_has_ended(job))
			continue;
		add_due_occurrences(job);
		for (guint i = 0; i < job->steps->len; i++) {
			struct fleet_step *step = job->steps->pdata[i];

			if (step->spec->is_gang)
				check_gang(s, step, now_ms);
		}
	}
	fleet_place_all(s, now_ms);
}
