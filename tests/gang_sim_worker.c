/*
 * Workers of the gang simulation: commands, task states and reports.
 */
#include "tests/gang_sim_internal.h"

#include <string.h>

static void sim_task_free(gpointer data)
{
	struct sim_task *t = data;

	g_free(t->name);
	g_free(t);
}

static void report_task_clear(gpointer data)
{
	g_free(((struct worker_task *)data)->task);
}

static gboolean is_live(const struct sim_task *t)
{
	return t->state == TASK_RESERVED || t->state == TASK_RUNNING;
}

static struct sim_task *find_task(const struct sim_worker *w, const char *name)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct sim_task *t = w->tasks->pdata[i];

		if (g_str_equal(t->name, name))
			return t;
	}
	return NULL;
}

static struct sim_task *add_task(struct sim_worker *w, const char *name,
				 enum task_state state)
{
	struct sim_task *t = g_new0(struct sim_task, 1);

	t->name = g_strdup(name);
	t->state = state;
	g_ptr_array_add(w->tasks, t);
	return t;
}

/* Checks that the attempt was committed to the table before it starts. */
static void check_committed(struct gang_sim *s, const struct task_name *name)
{
	const struct sim_row *row = &s->rows[gang_sim_job_index(name->job)];

	if (row->record.attempt < name->attempt)
		gang_sim_violate(s, "started before its commitment", name->job);
}

static void record_start(struct gang_sim *s, const char *task)
{
	struct task_name name = { 0 };
	gpointer was_started = g_hash_table_lookup(s->started_tasks, task);

	if (was_started)
		gang_sim_violate(s, "task started twice", task);
	g_hash_table_insert(s->started_tasks, g_strdup(task),
			    GINT_TO_POINTER(1));
	if (!task_name_parse(task, &name))
		return;
	check_committed(s, &name);
	task_name_clear(&name);
}

/* Follows cs-standin-worker; returns FALSE if the command is refused. */
static gboolean run_command(struct gang_sim *s, struct sim_worker *w,
			    const struct worker_command *c)
{
	struct sim_task *t = find_task(w, c->task);

	switch (c->op) {
	case WORKER_RESERVE:
		if (t)
			return is_live(t);
		add_task(w, c->task, TASK_RESERVED);
		return TRUE;
	case WORKER_START:
		if (!t || (t->state != TASK_RESERVED && !t->was_started) ||
		    t->state == TASK_STOPPED)
			return FALSE;
		if (t->was_started)
			return TRUE;
		t->state = TASK_RUNNING;
		t->was_started = TRUE;
		t->end_ms = s->now_ms + c->run_ms;
		record_start(s, c->task);
		return TRUE;
	case WORKER_RELEASE:
		if (t && t->state == TASK_RUNNING)
			return FALSE;
		if (t && t->state == TASK_RESERVED)
			t->state = TASK_STOPPED;
		break;
	case WORKER_STOP:
		if (t && is_live(t))
			t->state = TASK_STOPPED;
		break;
	default:
		break;
	}
	if (!t)
		add_task(w, c->task, TASK_STOPPED);
	return TRUE;
}

static void take_snapshot(struct gang_sim *s, struct sim_worker *w)
{
	if (w->snapshot_ms + WORKER_REPORT_LAG_MS > s->now_ms)
		return;
	w->snapshot_ms = s->now_ms;
	g_array_set_size(w->snapshot, 0);
	for (guint i = 0; i < w->tasks->len; i++) {
		const struct sim_task *t = w->tasks->pdata[i];
		struct worker_task x = { g_strdup(t->name), t->state,
					 MAX(t->end_ms - s->now_ms, 0) };

		g_array_append_val(w->snapshot, x);
	}
}

void gang_sim_worker_step(struct gang_sim *s, struct sim_worker *w)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct sim_task *t = w->tasks->pdata[i];
		gboolean is_expired = s->now_ms >= t->lease_until_ms &&
				      s->defect != DEFECT_LEASE_IGNORED;

		if (!is_live(t))
			continue;
		if (t->state == TASK_RUNNING && s->now_ms >= t->end_ms)
			t->state = TASK_DONE;
		else if (is_expired)
			t->state = TASK_STOPPED;
	}
	take_snapshot(s, w);
}

/*
 * Sets the report's digest, at every second worker. Returns TRUE if the caller
 * knows it, so that the tasks can be left out.
 */
static gboolean set_digest(struct gang_sim *s, const struct sim_worker *w,
			   const char *known, struct worker_report *r)
{
	const struct worker_report full_report = { .tasks = w->snapshot };

	if (w->name[1] % 2)
		return FALSE;
	r->digest = g_strdup_printf("%" G_GINT64_FORMAT,
				    worker_report_digest(&full_report));
	r->is_unchanged = g_strcmp0(known, r->digest) == 0;
	s->unchanged_reports += r->is_unchanged ? 1 : 0;
	return r->is_unchanged != 0;
}

static void fill_report(struct gang_sim *s, const struct sim_worker *w,
			const char *known, struct worker_report *r)
{
	r->epoch = w->epoch;
	r->results = g_array_new(FALSE, TRUE, sizeof(struct worker_result));
	r->tasks = g_array_new(FALSE, TRUE, sizeof(struct worker_task));
	if (set_digest(s, w, known, r))
		return;
	for (guint i = 0; i < w->snapshot->len; i++) {
		struct worker_task t =
			g_array_index(w->snapshot, struct worker_task, i);

		t.task = g_strdup(t.task);
		g_array_append_val(r->tasks, t);
	}
}

static void execute_call(struct gang_sim *s, struct sim_worker *w,
			 const struct worker_call *call,
			 struct worker_report *report)
{
	w->epoch = MAX(w->epoch, call->epoch);
	for (guint i = 0; i < w->tasks->len; i++)
		((struct sim_task *)w->tasks->pdata[i])->lease_until_ms =
			s->now_ms + call->lease_ms;
	for (guint i = 0; i < call->commands->len; i++) {
		const struct worker_command *c = &g_array_index(
			call->commands, struct worker_command, i);
		struct worker_result result = { .task = g_strdup(c->task) };
		struct sim_task *t;

		result.is_refused = !run_command(s, w, c);
		gang_sim_trace(s, "%s op %d %s%s", w->name, (int)c->op, c->task,
			       result.is_refused ? " refused" : "");
		t = find_task(w, c->task);
		if (t)
			t->lease_until_ms = s->now_ms + call->lease_ms;
		g_array_append_val(report->results, result);
	}
}

void gang_sim_worker_on_call(struct gang_sim *s, struct sim_event *e)
{
	struct sim_worker *w = &s->workers[e->worker];
	struct sim_event *answer;
	gboolean is_stale =
		e->call.epoch < w->epoch && s->defect != DEFECT_EPOCH_IGNORED;

	if (s->now_ms < w->down_until_ms)
		return;
	answer = gang_sim_event_new(s, EVENT_CALL_ANSWER, e->node);
	answer->incarnation = e->incarnation;
	answer->worker = e->worker;
	answer->call_id = e->call_id;
	answer->is_delegate_call = e->is_delegate_call;
	answer->answer = is_stale ? WORKER_STALE_EPOCH : WORKER_ANSWERED;
	fill_report(s, w, e->call.known, &answer->report);
	if (!is_stale)
		execute_call(s, w, &e->call, &answer->report);
	if (e->is_answered)
		gang_sim_post(s, answer, gang_sim_network_ms(s));
	else
		gang_sim_event_free(answer);
}

void gang_sim_worker_crash(struct gang_sim *s, struct sim_worker *w)
{
	gang_sim_trace(s, "%s crashes", w->name);
	g_ptr_array_set_size(w->tasks, 0);
	g_array_set_size(w->snapshot, 0);
	w->epoch = 0;
	w->down_until_ms = s->now_ms + g_rand_int_range(s->rand, 0, 8000);
}

void gang_sim_worker_init(struct sim_worker *w, guint index)
{
	g_snprintf(w->name, sizeof(w->name), "w%u", index);
	w->tasks = g_ptr_array_new_with_free_func(sim_task_free);
	w->snapshot = g_array_new(FALSE, TRUE, sizeof(struct worker_task));
	g_array_set_clear_func(w->snapshot, report_task_clear);
}

void gang_sim_worker_clear(struct sim_worker *w)
{
	g_ptr_array_unref(w->tasks);
	g_array_unref(w->snapshot);
}
