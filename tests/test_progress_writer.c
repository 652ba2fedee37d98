/* Tests of the progress writer, with a fake store that the test answers. */
#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "entry/progress_writer.h"

#define STATUS_RETENTION_MS INT64_C(1000)
/* The store's limits: bytes of a value and of a call, there in base64. */
#define ROW_BYTES 65536
#define CALL_BYTES 1000000
/* Long after the retention of an ended job has passed. */
#define LONG_EXPIRED_MS INT64_C(3600000)
#define STEP_MS 1200
/* STEPS * STEP_MS is less than the retention plus the 30 s for which the rows
 * of an ended job are kept after it. */
#define STEPS 24

/* Holds one commit until the test answers it. */
struct fake_store {
	struct platform base;
	platform_fn fn;
	void *data;
	guint removed; /* rows that the last commit removes */
	char removed_keys[100][20];
	guint progress; /* progress rows that it writes */
	guint commits;
	gsize largest; /* value of all commits, in bytes */
};

/* As a store that refuses what is too large. */
static void check_sizes(struct fake_store *f, const struct table_write *writes,
			guint count)
{
	gsize bytes = 0;

	for (guint i = 0; i < count; i++) {
		gsize value =
			writes[i].value ? job_row_bytes(writes[i].value) : 0;

		g_assert_cmpuint(value, <=, ROW_BYTES);
		f->largest = MAX(f->largest, value);
		bytes += (value + 2) / 3 * 4 + strlen(writes[i].table) +
			 strlen(writes[i].key);
	}
	g_assert_cmpuint(bytes, <, CALL_BYTES);
}

static void fake_commit(struct platform *p, const struct table_write *writes,
			guint count, platform_fn fn, void *data)
{
	struct fake_store *f = (struct fake_store *)p;

	g_assert_null(f->fn);
	f->fn = fn;
	f->data = data;
	f->commits++;
	f->removed = 0;
	f->progress = 0;
	check_sizes(f, writes, count);
	for (guint i = 0; i < count; i++) {
		if (writes[i].is_condition)
			continue;
		if (!writes[i].value)
			g_strlcpy(f->removed_keys[f->removed++], writes[i].key,
				  sizeof(f->removed_keys[0]));
		f->progress += writes[i].value &&
			       g_str_equal(writes[i].table, JOB_PROGRESS_TABLE);
	}
}

static void fake_forget(struct platform *p, const void *data)
{
	((struct fake_store *)p)->fn = NULL;
}

static const struct platform_class fake_class = {
	.name = "fake",
	.commit = fake_commit,
	.forget = fake_forget,
};

struct world {
	struct fake_store store;
	struct fleet_scheduler scheduler;
	struct counters counters;
	GHashTable *recorded_workers;
	GHashTable *pending_cancels;
	struct progress_writer *writer;
	int64_t now_ms;
};

static void on_written(void *data)
{
}

static void world_init(struct world *w)
{
	const struct fleet_bounds bounds = { .lease_ms = 10000 };
	const struct fleet_ports ports = { NULL };
	struct progress_writer_spec spec = {
		.platform = &w->store.base,
		.scheduler = &w->scheduler,
		.counters = &w->counters,
		.row_bytes = ROW_BYTES,
		.status_retention_ms = STATUS_RETENTION_MS,
		.on_written = on_written,
		.data = w,
	};

	w->store.base.class = &fake_class;
	counters_init(&w->counters);
	w->recorded_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	spec.recorded_workers = w->recorded_workers;
	w->pending_cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	spec.pending_cancels = w->pending_cancels;
	w->now_ms = util_monotonic_ms() + LONG_EXPIRED_MS;
	fleet_scheduler_init(&w->scheduler, &bounds, &ports);
	fleet_scheduler_begin(&w->scheduler, 1, 0);
	w->writer = progress_writer_new(&spec);
	progress_writer_begin(w->writer, 1);
}

static void world_clear(struct world *w)
{
	progress_writer_free(w->writer);
	fleet_scheduler_clear(&w->scheduler);
	g_hash_table_unref(w->recorded_workers);
	g_hash_table_unref(w->pending_cancels);
	counters_clear(&w->counters);
}

static struct fleet_job *add_job(struct world *w, guint number)
{
	struct job_spec spec = { 0 };
	struct step_spec step = { .task_count = 1, .millicores = 1000 };
	char *id = g_strdup_printf("%016x", number);
	struct fleet_job *job;

	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	g_array_append_val(spec.steps, step);
	job = fleet_add_job(&w->scheduler.fleet, id, "bulk", NULL, &spec);
	fleet_job_add_occurrence(job);
	g_free(id);
	return job;
}

static void end_job(const struct world *w, struct fleet_job *job,
		    int64_t ago_ms)
{
	job->state = FLEET_JOB_COMPLETED;
	job->ended_ms = w->now_ms - ago_ms;
}

/* Answers the commit in flight, if there is one. */
static void answer(struct world *w, enum status status)
{
	const struct platform_result result = {
		.status = status,
		.version = w->store.commits,
	};
	platform_fn fn = w->store.fn;

	w->store.fn = NULL;
	if (fn)
		fn(&result, w->store.data);
}

static void step(struct world *w, enum status status)
{
	w->now_ms += STEP_MS;
	progress_writer_write(w->writer, w->now_ms);
	answer(w, status);
}

struct removal_case {
	const char *path;
	int64_t ended_ago_ms;
	enum status first; /* outcome of the first removal */
	guint ended;	   /* count of ended jobs */
	guint left;	   /* jobs in memory after all steps */
	gboolean is_busy;  /* the job that has not ended changes in each step */
};

static const struct removal_case removal_cases[] = {
	{ "/progress-writer/removed/some", LONG_EXPIRED_MS, STATUS_OK, 5, 1,
	  FALSE },
	/* More rows than fit into one commit. */
	{ "/progress-writer/removed/many", LONG_EXPIRED_MS, STATUS_OK, 100, 1,
	  FALSE },
	{ "/progress-writer/removed/busy", LONG_EXPIRED_MS, STATUS_OK, 100, 1,
	  TRUE },
	{ "/progress-writer/removed/unanswered", LONG_EXPIRED_MS,
	  STATUS_UNKNOWN, 5, 1, FALSE },
	{ "/progress-writer/removed/refused", LONG_EXPIRED_MS,
	  STATUS_UNAVAILABLE, 5, 1, FALSE },
	{ "/progress-writer/removed/too-early", 0, STATUS_OK, 5, 6, FALSE },
};

/*
 * Ended jobs are removed from the store and from memory once their retention
 * has passed, not earlier; a failed removal is repeated.
 */
static void test_removal(const void *data)
{
	const struct removal_case *c = data;
	struct world w = { 0 };
	enum status status = c->first;
	struct fleet_job *open;
	/* Rows of each removed job: job, progress and cancel. */
	guint expected = 3 * (c->ended + 1 - c->left);
	guint removed = 0;

	world_init(&w);
	open = add_job(&w, 0);
	for (guint i = 1; i <= c->ended; i++)
		end_job(&w, add_job(&w, i), c->ended_ago_ms);
	for (guint i = 0; i < STEPS; i++) {
		gboolean is_removal;

		open->is_dirty |= c->is_busy;
		w.now_ms += STEP_MS;
		progress_writer_write(w.writer, w.now_ms);
		/* Only the open job has progress to write. */
		g_assert_cmpuint(w.store.progress, <=, 1);
		is_removal = w.store.fn && w.store.removed;
		if (is_removal && status == STATUS_OK)
			removed += w.store.removed;
		answer(&w, is_removal ? status : STATUS_OK);
		if (is_removal)
			status = STATUS_OK;
	}
	g_assert_cmpuint(g_hash_table_size(w.scheduler.fleet.jobs), ==,
			 c->left);
	g_assert_cmpuint(removed, ==, expected);
	world_clear(&w);
}

/* A job is kept while one of its tasks may run, even after it has ended. */
static void test_running_is_kept(void)
{
	struct world w = { 0 };
	struct fleet_worker *worker;
	struct fleet_job *job;
	struct fleet_step *first;

	world_init(&w);
	job = add_job(&w, 1);
	first = job->steps->pdata[0];
	worker = fleet_add_worker(&w.scheduler.fleet, "w0");
	worker->is_use_stored = TRUE;
	fleet_task_place(&first->tasks[0], worker);
	end_job(&w, job, LONG_EXPIRED_MS);
	step(&w, STATUS_OK);
	step(&w, STATUS_OK);
	g_assert_cmpuint(g_hash_table_size(w.scheduler.fleet.jobs), ==, 1);
	fleet_task_release(&first->tasks[0]);
	step(&w, STATUS_OK);
	step(&w, STATUS_OK);
	g_assert_cmpuint(g_hash_table_size(w.scheduler.fleet.jobs), ==, 0);
	world_clear(&w);
}

/* Adds a job of one step, each of whose tasks has a checkpoint. */
static struct fleet_job *add_wide_job(struct world *w, guint number,
				      int64_t tasks)
{
	struct job_spec spec = { 0 };
	struct step_spec step = { .task_count = tasks, .millicores = 1000 };
	char *id = g_strdup_printf("%016x", number);
	struct fleet_job *job;
	struct fleet_step *first;

	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	g_array_append_val(spec.steps, step);
	job = fleet_add_job(&w->scheduler.fleet, id, "bulk", NULL, &spec);
	fleet_job_add_occurrence(job);
	first = job->steps->pdata[0];
	for (guint i = 0; i < first->task_count; i++)
		first->tasks[i].checkpoint = g_strdup_printf("%016x", i);
	job->state = FLEET_JOB_ACTIVE;
	job->is_dirty = TRUE;
	g_free(id);
	return job;
}

static const struct large_case {
	const char *path;
	guint jobs;
	int64_t tasks;
} large_cases[] = {
	{ "/progress-writer/large/one", 1, 10000 },
	{ "/progress-writer/large/fits", 3, 2000 },
	/* More than one call may hold. */
	{ "/progress-writer/large/many", 100, 2000 },
	{ "/progress-writer/large/many-cut", 100, 10000 },
};

/*
 * Rows and calls stay within the store's limits: a row that had outgrown them
 * made the store refuse all further writes, so that no job started any more
 * (review, case 2).
 */
static void test_large(const void *data)
{
	const struct large_case *c = data;
	struct world w = { 0 };
	struct fleet_job *small;

	world_init(&w);
	for (guint i = 1; i <= c->jobs; i++)
		add_wide_job(&w, i, c->tasks);
	small = add_job(&w, 0);
	small->state = FLEET_JOB_ACTIVE;
	small->is_dirty = TRUE;
	for (guint i = 0; i < c->jobs + 1; i++)
		step(&w, STATUS_OK);
	g_assert_cmpuint(w.store.largest, >, ROW_BYTES / 2);
	for (guint i = 0; i <= c->jobs; i++) {
		char *id = g_strdup_printf("%016x", i);
		const struct fleet_job *job = fleet_job(&w.scheduler.fleet, id);

		g_assert_true(job->is_active_stored);
		g_assert_false(job->is_dirty);
		g_free(id);
	}
	world_clear(&w);
}

static const struct mark_case {
	const char *path;
	guint count;
	int64_t age_ms;
	guint removed; /* expected */
} mark_cases[] = {
	{ "/progress-writer/marks/young", 5, 0, 0 },
	{ "/progress-writer/marks/old", 5, LONG_EXPIRED_MS, 5 },
	{ "/progress-writer/marks/many-old", 300, LONG_EXPIRED_MS, 300 },
};

/* Cancels of jobs that never come are removed after a while, each once. */
static void test_marks(const void *data)
{
	const struct mark_case *c = data;
	struct world w = { 0 };
	guint removed = 0;

	world_init(&w);
	for (guint i = 0; i < c->count; i++) {
		int64_t *read_ms = g_new(int64_t, 1);

		*read_ms = w.now_ms - c->age_ms;
		g_hash_table_insert(w.pending_cancels,
				    g_strdup_printf("%016x", i), read_ms);
	}
	for (guint i = 0; i < STEPS; i++) {
		w.now_ms += 300;
		progress_writer_write(w.writer, w.now_ms);
		if (w.store.fn) {
			removed += w.store.removed;
			for (guint k = 0; k < w.store.removed; k++)
				g_hash_table_remove(w.pending_cancels,
						    w.store.removed_keys[k]);
		}
		answer(&w, STATUS_OK);
	}
	g_assert_cmpuint(removed, ==, c->removed);
	g_assert_cmpuint(g_hash_table_size(w.pending_cancels), ==,
			 c->count - c->removed);
	world_clear(&w);
}

/* The lengths of queues are counted for configured routes only: names of former
 * ones must not fill the row. */
static void test_former_routes(void)
{
	struct world w = { 0 };

	world_init(&w);
	for (guint i = 0; i < 3000; i++) {
		struct job_spec spec = { 0 };
		struct step_spec one = { .task_count = 1 };
		char *id = g_strdup_printf("%016x", i);
		char *route =
			g_strdup_printf("route-of-a-former-version-%u", i);

		spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
		g_array_append_val(spec.steps, one);
		fleet_add_job(&w.scheduler.fleet, id, route, NULL, &spec);
		g_free(id);
		g_free(route);
	}
	step(&w, STATUS_OK);
	g_assert_cmpuint(w.store.commits, ==, 1);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(removal_cases); i++)
		g_test_add_data_func(removal_cases[i].path, &removal_cases[i],
				     test_removal);
	for (guint i = 0; i < G_N_ELEMENTS(large_cases); i++)
		g_test_add_data_func(large_cases[i].path, &large_cases[i],
				     test_large);
	for (guint i = 0; i < G_N_ELEMENTS(mark_cases); i++)
		g_test_add_data_func(mark_cases[i].path, &mark_cases[i],
				     test_marks);
	g_test_add_func("/progress-writer/former-routes", test_former_routes);
	g_test_add_func("/progress-writer/running-is-kept",
			test_running_is_kept);
	return g_test_run();
}
