#include "soak/soak_check.h"

#include <stdlib.h>
#include <string.h>

#include "sched/run_report.h"
#include "standin/common/steppe_worker.h"

/* No task of a job starts later than this after the job's cancel was
 * acknowledged: the platform's cancel_ms, plus the longest fault, plus the time
 * in which an unreachable holder may still start tasks. */
#define CANCEL_BOUND_MS 12000

/* One history line. */
struct event {
	int64_t time_ms;
	char *kind;
	char *worker;
	char *task;
	int64_t run;
	char *outcome; /* how a run ended: "done", "failed", ... */
};

struct task_history {
	char *current_worker; /* NULL if not running */
	int64_t current_run;
	int64_t acked_done_ms;	    /* earliest acknowledged success */
	int64_t first_done_ms;	    /* first success, acknowledged or not */
	guint acked_failures;	    /* acknowledged failed runs */
	GArray *start_times;	    /* of int64_t, ms */
	GHashTable *done_ms_by_run; /* "WORKER RUN" to end time, ms */
};

struct check {
	GHashTable *jobs;
	GHashTable *tasks;   /* from name to struct task_history */
	GHashTable *workers; /* from id to struct demand in use */
	GPtrArray *findings;
	guint starts;
};

static void task_history_free(gpointer data)
{
	struct task_history *t = data;

	g_free(t->current_worker);
	g_array_unref(t->start_times);
	g_hash_table_unref(t->done_ms_by_run);
	g_free(t);
}

static struct task_history *get_task_history(struct check *c, const char *name)
{
	struct task_history *t = g_hash_table_lookup(c->tasks, name);

	if (t)
		return t;
	t = g_new0(struct task_history, 1);
	t->start_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	t->done_ms_by_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(c->tasks, g_strdup(name), t);
	return t;
}

static const struct soak_job *find_job(const struct check *c, const char *task)
{
	char *id = g_strndup(task, strcspn(task, "."));
	const struct soak_job *job = g_hash_table_lookup(c->jobs, id);

	g_free(id);
	return job;
}

static struct demand job_demand(const struct soak_job *job)
{
	return (struct demand){ .millicores = job->millicores,
				.memory_mb = job->memory_mb,
				.accelerators = job->accelerators };
}

static void add_finding(struct check *c, const char *rule,
			const struct event *e, const char *what)
{
	g_ptr_array_add(c->findings,
			g_strdup_printf("%s time_ms=%" G_GINT64_FORMAT
					" task=%s run=%" G_GINT64_FORMAT
					" worker=%s: %s",
					rule, e->time_ms, e->task, e->run,
					e->worker, what));
}

static struct demand *worker_demand(struct check *c, const char *worker)
{
	struct demand *in_use = g_hash_table_lookup(c->workers, worker);

	if (!in_use) {
		in_use = g_new0(struct demand, 1);
		g_hash_table_insert(c->workers, g_strdup(worker), in_use);
	}
	return in_use;
}

static gboolean is_refused(const struct soak_job *job)
{
	return !job->accepted_ms && !job->may_be_accepted;
}

static void on_start(struct check *c, const struct event *e)
{
	const struct soak_job *job = find_job(c, e->task);
	const struct demand capacity = {
		.millicores = STEPPE_WORKER_MILLICORES,
		.memory_mb = STEPPE_WORKER_MEMORY_MB,
		.accelerators = STEPPE_WORKER_ACCELERATORS,
	};
	struct task_history *t = get_task_history(c, e->task);
	struct demand *in_use;
	struct demand d;

	c->starts++;
	if (!job) {
		add_finding(c, "UNASKED", e, "no caller submitted its job");
		return;
	}
	if (t->current_worker)
		add_finding(c, "TWICE", e, "it was already running");
	if (is_refused(job))
		add_finding(c, "REFUSED", e, "its job was refused");
	if (job->cancel_acked_ms &&
	    e->time_ms > job->cancel_acked_ms + CANCEL_BOUND_MS)
		add_finding(c, "UNASKED", e,
			    "too late after its job was cancelled");
	if (t->acked_failures >= SOAK_MAX_ATTEMPTS)
		add_finding(c, "BUDGET", e, "its attempts were exhausted");
	d = job_demand(job);
	in_use = worker_demand(c, e->worker);
	demand_add(in_use, &d);
	if (!demand_fits(in_use, &capacity))
		add_finding(c, "LIMIT", e, "the worker's capacity is exceeded");
	g_free(t->current_worker);
	t->current_worker = g_strdup(e->worker);
	t->current_run = e->run;
	g_array_append_val(t->start_times, e->time_ms);
}

static void on_end(struct check *c, const struct event *e)
{
	const struct soak_job *job = find_job(c, e->task);
	struct task_history *t = get_task_history(c, e->task);
	struct demand d;

	if (!job)
		return;
	d = job_demand(job);
	demand_subtract(worker_demand(c, e->worker), &d);
	if (g_strcmp0(t->current_worker, e->worker) == 0 &&
	    t->current_run == e->run)
		g_clear_pointer(&t->current_worker, g_free);
	if (!g_str_equal(e->outcome, "done"))
		return;
	if (!t->first_done_ms)
		t->first_done_ms = e->time_ms;
	g_hash_table_insert(
		t->done_ms_by_run,
		g_strdup_printf("%s %" G_GINT64_FORMAT, e->worker, e->run),
		g_memdup2(&e->time_ms, sizeof(e->time_ms)));
}

static void on_ack(struct check *c, const struct event *e)
{
	struct task_history *t = get_task_history(c, e->task);
	char *key = g_strdup_printf("%s %" G_GINT64_FORMAT, e->worker, e->run);
	const int64_t *done_ms = g_hash_table_lookup(t->done_ms_by_run, key);

	if (done_ms && (!t->acked_done_ms || *done_ms < t->acked_done_ms))
		t->acked_done_ms = *done_ms;
	if (g_str_equal(e->outcome, "failed"))
		t->acked_failures++;
	g_free(key);
}

/* The crash loses the worker's runs and its unacknowledged ends. */
static void on_crash(struct check *c, const struct event *e)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_remove(c->workers, e->worker);
	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct task_history *t = item;

		if (g_strcmp0(t->current_worker, e->worker) == 0)
			g_clear_pointer(&t->current_worker, g_free);
	}
}

static const struct {
	const char *kind;
	void (*handle)(struct check *c, const struct event *e);
} event_handlers[] = {
	{ "start", on_start },
	{ "end", on_end },
	{ "ack", on_ack },
	{ "crash", on_crash },
};

/* Returns the value of a key=value field, to be freed; NULL if missing. */
static char *field_value(const char *line, const char *key)
{
	char *pattern = g_strdup_printf(" %s=", key);
	const char *start = strstr(line, pattern);
	char *value = NULL;

	if (start) {
		start += strlen(pattern);
		value = g_strndup(start, strcspn(start, " "));
	}
	g_free(pattern);
	return value;
}

static void handle_line(struct check *c, const char *line)
{
	char *time_text = field_value(line, "time_ms");
	char *run_text = field_value(line, "run");
	struct event e = {
		.time_ms = time_text ? g_ascii_strtoll(time_text, NULL, 10) : 0,
		.kind = field_value(line, "event"),
		.worker = field_value(line, "worker"),
		.task = field_value(line, "task"),
		.run = run_text ? g_ascii_strtoll(run_text, NULL, 10) : 0,
		.outcome = field_value(line, "how"),
	};

	for (guint i = 0; i < G_N_ELEMENTS(event_handlers); i++) {
		if (g_strcmp0(event_handlers[i].kind, e.kind) == 0)
			event_handlers[i].handle(c, &e);
	}
	g_free(e.kind);
	g_free(e.worker);
	g_free(e.task);
	g_free(e.outcome);
	g_free(time_text);
	g_free(run_text);
}

/* Checks that no task was started after an acknowledged success. */
static void check_starts_after_end(struct check *c)
{
	GHashTableIter iter;
	gpointer name;
	gpointer item;

	g_hash_table_iter_init(&iter, c->tasks);
	while (g_hash_table_iter_next(&iter, &name, &item)) {
		const struct task_history *t = item;

		for (guint i = 0; t->acked_done_ms && i < t->start_times->len;
		     i++) {
			int64_t start_ms =
				g_array_index(t->start_times, int64_t, i);

			if (start_ms > t->acked_done_ms)
				g_ptr_array_add(
					c->findings,
					g_strdup_printf(
						"TWICE task=%s: started at "
						"%" G_GINT64_FORMAT
						" after it was done at "
						"%" G_GINT64_FORMAT,
						(const char *)name, start_ms,
						t->acked_done_ms));
		}
	}
}

/*
 * Returns when a task first succeeded, 0 if never. Counts unacknowledged ends
 * too: a worker may crash after it reported an end and before the
 * acknowledgement.
 */
static int64_t task_done_ms(const struct check *c, const struct soak_job *job,
			    guint index)
{
	char *name = g_strdup_printf("%s.0.0.%u", job->id, index);
	const struct task_history *t = g_hash_table_lookup(c->tasks, name);

	g_free(name);
	return t ? t->first_done_ms : 0;
}

/* Returns when all tasks of a job were done, INT64_MAX if never. The success of
 * one member of a gang counts for all. */
static int64_t job_done_ms(const struct check *c, const struct soak_job *job)
{
	gboolean is_gang = job->kind == SOAK_JOB_SPOT;
	int64_t all_ms = is_gang ? INT64_MAX : 0;

	for (guint i = 0; i < job->tasks; i++) {
		int64_t one_ms = task_done_ms(c, job, i);

		if (is_gang && one_ms)
			all_ms = MIN(all_ms, one_ms);
		if (!is_gang)
			all_ms = MAX(all_ms, one_ms ? one_ms : INT64_MAX);
	}
	return all_ms;
}

/* Checks that a job was reported completed only after it was done. */
static void check_completed(struct check *c, const struct soak_job *job)
{
	if (job->completed_ms && job_done_ms(c, job) > job->completed_ms)
		g_ptr_array_add(c->findings,
				g_strdup_printf("MIXED job=%s: reported "
						"completed at %" G_GINT64_FORMAT
						" before it was done",
						job->id, job->completed_ms));
}

guint soak_check_history(const struct soak_site *site,
			 const struct soak_jobs *jobs, GPtrArray *findings)
{
	struct check c = {
		.jobs = soak_jobs_all(jobs),
		.tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       task_history_free),
		.workers = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free),
		.findings = findings,
	};
	GHashTableIter iter;
	gpointer item;
	char *text = NULL;
	char **lines;

	g_assert_true(g_file_get_contents(site->platform->log_path, &text, NULL,
					  NULL));
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i]; i++) {
		if (g_str_has_prefix(lines[i], "history "))
			handle_line(&c, lines[i]);
	}
	check_starts_after_end(&c);
	g_hash_table_iter_init(&iter, c.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		check_completed(&c, item);
	g_strfreev(lines);
	g_free(text);
	g_hash_table_unref(c.tasks);
	g_hash_table_unref(c.workers);
	return c.starts;
}

void soak_check_jobs(const struct soak_jobs *jobs, GPtrArray *findings)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, soak_jobs_all(jobs));
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct soak_job *job = item;

		if (job->accepted_ms && !job->has_ended)
			g_ptr_array_add(
				findings,
				g_strdup_printf(
					"LOST job=%s kind=%s: accepted "
					"at %" G_GINT64_FORMAT " but not ended",
					job->id, soak_job_kind_name(job->kind),
					job->accepted_ms));
	}
}
