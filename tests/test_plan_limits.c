/*
 * Plans stay short at any size of input: jobs at the limits of what is accepted
 * come beside ordinary ones, in virtual time with simulated workers. The time
 * of a plan is measured as processor time of the thread. That includes time for
 * which the machine stands still or the sanitizer's allocator cleans up after
 * earlier cases, so each case runs in a process of its own, and a plan that
 * takes too long is measured again: the whole case is replayed with the
 * recorded values of the clock, so that each plan does the same work.
 */
#include <glib.h>
#include <time.h>

#include "base/util.h"
#include "sched/fleet_scheduler.h"

#define SERVICE "salkhi"
#define T0_MS INT64_C(1000000)
#define STEP_MS 100
#define RUN_MS 1000
#define WORKERS 48
#define WORKERS_PER_RACK 8
#define SECONDS 20
#define STEPS_PER_S (MS_PER_S / STEP_MS)
/* Bounds by the targets: urgent work starts within 1.5 s, a plan takes less
 * than a tenth of the time after which another VM takes over. */
#define START_MS 1500
#define PLAN_US 90000
#define PLAN_LIMIT_US 50000
#define STEPS (SECONDS * STEPS_PER_S)

struct sim_run {
	char *worker;
	char *task;
	int64_t run;
	int64_t end_ms; /* INT64_MAX without an end */
	gboolean is_stopped;
};

struct world {
	struct fleet_scheduler s;
	struct fleet_config config;
	GArray *runs;	    /* of struct sim_run */
	GHashTable *cursor; /* worker id to its number of ends */
	int64_t now_ms;
	int64_t fake_us;  /* clock that advances with each look, 0: none */
	int64_t begin_us; /* of the present plan */
	int64_t plan_us[STEPS];
	guint steps;
	guint ordinary;
	struct clock_record *record; /* or NULL */
	guint next_read;	     /* in the record */
};

/* What the clock told each plan, for a replay. */
struct clock_record {
	GArray *reads_us; /* int64_t, relative to the plan's begin */
	gboolean is_replay;
};

static void sim_run_clear(gpointer data)
{
	struct sim_run *r = data;

	g_free(r->worker);
	g_free(r->task);
}

static void port_start(void *data, struct fleet_worker *worker,
		       const struct start_order *order)
{
	struct world *w = data;
	struct sim_run r = {
		.worker = g_strdup(worker->id),
		.task = g_strdup(order->task),
		.run = order->run,
		.end_ms = w->now_ms + RUN_MS,
	};

	g_array_append_val(w->runs, r);
}

static void port_stop(void *data, struct fleet_worker *worker, const char *task,
		      int64_t run)
{
	struct world *w = data;

	for (guint i = 0; i < w->runs->len; i++) {
		struct sim_run *r = &g_array_index(w->runs, struct sim_run, i);

		if (r->run == run && g_str_equal(r->task, task)) {
			r->end_ms = w->now_ms;
			r->is_stopped = TRUE;
		}
	}
}

static int64_t thread_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return t.tv_sec * G_USEC_PER_SEC + t.tv_nsec / 1000;
}

static int64_t port_clock(void *data)
{
	struct world *w = data;
	int64_t now_us = thread_us() - w->begin_us;

	if (w->fake_us)
		return w->fake_us += MS_PER_S;
	if (w->record->is_replay) {
		g_assert_cmpuint(w->next_read, <, w->record->reads_us->len);
		return g_array_index(w->record->reads_us, int64_t,
				     w->next_read++);
	}
	g_array_append_val(w->record->reads_us, now_us);
	return now_us;
}

static void add_route(struct world *w, const char *name, int64_t priority)
{
	struct queue_route route = {
		.name = g_strdup(name),
		.host = g_strdup("h"),
		.path_prefix = g_strdup("/"),
		.service = g_strdup(SERVICE),
		.priority = priority,
		.max_attempts = 2,
		.stretch = 3,
		.objective_ms = 1000,
	};

	g_array_append_val(w->config.routes, route);
}

static void report(struct world *w, const char *id, GArray *ended)
{
	struct run_report r = {
		.clock_ms = w->now_ms,
		.running =
			g_array_new(FALSE, TRUE, sizeof(struct running_entry)),
		.ended = ended,
	};

	for (guint i = 0; i < w->runs->len; i++) {
		const struct sim_run *run =
			&g_array_index(w->runs, struct sim_run, i);
		struct running_entry e = { .task = run->task,
					   .run = run->run,
					   .checkpoint = "",
					   .percent = 50 };

		e.percent += (double)(w->now_ms % 1000) / 100;
		if (g_str_equal(run->worker, id))
			g_array_append_val(r.running, e);
	}
	fleet_scheduler_apply_report(&w->s, fleet_worker(&w->s.fleet, id), &r,
				     w->now_ms, w->now_ms);
	run_report_clear(&r);
}

static void add_worker(struct world *w, guint number)
{
	struct worker_registration reg = {
		.service = g_strdup(SERVICE),
		.address = g_strdup("127.0.0.1:1"),
		.failure_domain = g_strdup("tov-a"),
		.rack = g_strdup_printf("r%u", number / WORKERS_PER_RACK),
		.capacity = { 64000, 131072, 8 },
	};
	char *id = g_strdup_printf("w%03u", number);

	fleet_scheduler_update_worker(&w->s, id, &reg, w->now_ms);
	fleet_worker(&w->s.fleet, id)->is_use_stored = TRUE;
	report(w, id, g_array_new(FALSE, TRUE, sizeof(struct ended_entry)));
	g_free(id);
}

static void world_init(struct world *w)
{
	const struct fleet_bounds bounds = {
		.lease_ms = 3000,
		.plan_us = PLAN_LIMIT_US,
	};
	const struct fleet_ports ports = {
		.start = port_start,
		.stop = port_stop,
		.data = w,
		.clock_us = port_clock,
	};

	*w = (struct world){ .now_ms = T0_MS };
	w->runs = g_array_new(FALSE, TRUE, sizeof(struct sim_run));
	g_array_set_clear_func(w->runs, sim_run_clear);
	w->cursor =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->config.routes = g_array_new(FALSE, TRUE, sizeof(struct queue_route));
	add_route(w, "urgent", 0);
	add_route(w, "bulk", 2);
	fleet_scheduler_init(&w->s, &bounds, &ports);
	w->s.config = &w->config;
	fleet_scheduler_begin(&w->s, 7, 0);
	for (guint i = 0; i < WORKERS; i++)
		add_worker(w, i);
}

static void world_clear(struct world *w)
{
	fleet_scheduler_clear(&w->s);
	fleet_config_clear(&w->config);
	g_hash_table_unref(w->cursor);
	g_array_unref(w->runs);
}

struct job_shape {
	const char *name;
	const char *route;
	guint jobs;
	int64_t steps;
	int64_t tasks; /* of each step */
	int64_t occurrences;
	int64_t accelerators;
	int64_t millicores;
	gboolean is_gang;
	gboolean varies; /* each step asks for another number of cores */
};

/* Adds a job; returns it. Its steps don't depend on each other. */
static struct fleet_job *add_job(struct world *w, const char *id,
				 const struct job_shape *x)
{
	struct job_spec spec = { .repeat_count = x->occurrences };
	struct fleet_job *job;

	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	for (int64_t i = 0; i < x->steps; i++) {
		struct step_spec step = {
			.task_count = x->tasks,
			.millicores = x->millicores + (x->varies ? i : 0),
			.memory_mb = 100,
			.accelerators = x->accelerators,
			.estimate_ms = RUN_MS,
			.is_gang = x->is_gang,
			.is_one_rack = x->is_gang,
		};

		g_array_append_val(spec.steps, step);
	}
	job = fleet_add_job(&w->s.fleet, id, x->route, NULL, &spec);
	job->accepted_ms = w->now_ms;
	if (!x->occurrences)
		fleet_job_add_occurrence(job);
	return job;
}

static void add_shaped_jobs(struct world *w, const struct job_shape *x)
{
	for (guint i = 0; i < x->jobs; i++) {
		char *id = g_strdup_printf("%016x", 0xa0000 + i);

		add_job(w, id, x);
		g_free(id);
	}
}

static void add_ordinary_job(struct world *w)
{
	static const struct job_shape ordinary = {
		.route = "urgent",
		.steps = 1,
		.tasks = 1,
		.millicores = 4000,
		.accelerators = 1,
	};
	char *id = g_strdup_printf("%016x", w->ordinary++);

	add_job(w, id, &ordinary);
	g_free(id);
}

/* Reports of all workers, with the runs that have ended. */
static void report_all(struct world *w)
{
	GHashTable *ended =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	GPtrArray *tasks = g_ptr_array_new_with_free_func(g_free);

	for (guint i = w->runs->len; i-- > 0;) {
		struct sim_run *r = &g_array_index(w->runs, struct sim_run, i);
		guint number;
		struct ended_entry e = { 0 };
		const struct fleet_worker *worker;
		GArray *list;
		char *name;

		if (r->end_ms > w->now_ms)
			continue;
		worker = fleet_worker(&w->s.fleet, r->worker);
		number = GPOINTER_TO_UINT(
				 g_hash_table_lookup(w->cursor, worker->id)) +
			 1;
		g_hash_table_replace(w->cursor, g_strdup(worker->id),
				     GUINT_TO_POINTER(number));
		list = g_hash_table_lookup(ended, worker->id);
		if (!list) {
			list = g_array_new(FALSE, TRUE,
					   sizeof(struct ended_entry));
			g_hash_table_insert(ended, worker->id, list);
		}
		name = g_strdup(r->task);
		g_ptr_array_add(tasks, name);
		e.number = number;
		e.task = name;
		e.run = r->run;
		e.end = r->is_stopped ? RUN_STOPPED : RUN_DONE;
		e.checkpoint = "";
		g_array_append_val(list, e);
		g_array_remove_index_fast(w->runs, i);
	}
	for (guint i = 0; i < WORKERS; i++) {
		char *id = g_strdup_printf("w%03u", i);
		GArray *list = g_hash_table_lookup(ended, id);

		report(w, id,
		       list ? list
			    : g_array_new(FALSE, TRUE,
					  sizeof(struct ended_entry)));
		g_free(id);
	}
	g_hash_table_unref(ended);
	g_ptr_array_unref(tasks);
}

/* Does what the writer of the progress rows does. */
static void store_progress(struct world *w)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->s.fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		job->is_dirty = FALSE;
		job->is_active_stored |= job->state != FLEET_JOB_QUEUED;
		job->stored_first = job->first_occurrence;
	}
}

static void answer_starts(struct world *w, guint first)
{
	for (guint i = first; i < w->runs->len; i++) {
		const struct sim_run *r =
			&g_array_index(w->runs, struct sim_run, i);

		fleet_scheduler_start_answered(&w->s, r->worker, r->task,
					       r->run, ORDER_DONE,
					       REFUSAL_OTHER, w->now_ms);
	}
}

static void step(struct world *w)
{
	guint runs;

	w->now_ms += STEP_MS;
	report_all(w);
	runs = w->runs->len;
	w->begin_us = thread_us();
	fleet_scheduler_plan(&w->s, w->now_ms);
	g_assert_cmpuint(w->steps, <, STEPS);
	w->plan_us[w->steps++] = thread_us() - w->begin_us;
	answer_starts(w, runs);
	store_progress(w);
}

/* Returns the longest time that an ordinary job has waited for its start. */
static int64_t longest_wait_ms(const struct world *w)
{
	int64_t longest_ms = 0;

	for (guint i = 0; i < w->ordinary; i++) {
		char *id = g_strdup_printf("%016x", i);
		const struct fleet_job *job = fleet_job(&w->s.fleet, id);
		const struct fleet_step *first =
			job->steps->len ? job->steps->pdata[0] : NULL;

		/* An ended job has been started. */
		if (!fleet_job_has_ended(job) && first &&
		    first->tasks[0].state == TASK_WAITING)
			longest_ms =
				MAX(longest_ms, w->now_ms - job->accepted_ms);
		g_free(id);
	}
	return longest_ms;
}

static const struct job_shape shapes[] = {
	{ "/plan-limits/none", "urgent", 0, 1, 1, 0, 0, 0, FALSE, FALSE },
	/* Case 1 of the review: all occurrences are due, none fits a worker. */
	{ "/plan-limits/hopeless", "urgent", 1, 100, 1, 1000, 16, 1000, FALSE,
	  FALSE },
	{ "/plan-limits/hopeless-many", "urgent", 30, 100, 1, 1000, 16, 1000,
	  FALSE, TRUE },
	{ "/plan-limits/hopeless-wide", "urgent", 5, 1, 10000, 10, 16, 1000,
	  FALSE, FALSE },
	{ "/plan-limits/hopeless-gang", "urgent", 20, 1, 10000, 0, 8, 1000,
	  TRUE, FALSE },
	/* They fit, and there are more than the pool can run. */
	{ "/plan-limits/many-occurrences", "bulk", 10, 1, 1, 10000, 1, 4000,
	  FALSE, FALSE },
	{ "/plan-limits/many-steps", "bulk", 30, 100, 1, 100, 1, 4000, FALSE,
	  TRUE },
	{ "/plan-limits/many-jobs", "bulk", 3000, 1, 4, 0, 2, 4000, FALSE,
	  FALSE },
};

/* Plays a shape; returns the longest wait of an ordinary job. */
static int64_t play_shape(struct world *w, const struct job_shape *x)
{
	int64_t longest_ms = 0;

	for (guint i = 0; i < STEPS; i++) {
		if (i == STEPS_PER_S)
			add_shaped_jobs(w, x);
		if (i % 3 == 0 && i < (SECONDS - 2) * STEPS_PER_S)
			add_ordinary_job(w);
		step(w);
		longest_ms = MAX(longest_ms, longest_wait_ms(w));
	}
	return longest_ms;
}

static int64_t longest_plan_us(const int64_t *plan_us)
{
	int64_t longest_us = 0;

	for (guint i = 0; i < STEPS; i++)
		longest_us = MAX(longest_us, plan_us[i]);
	return longest_us;
}

/* Plays a shape again. Keeps the shorter time of each plan in @plan_us. */
static void replay_shape(const struct job_shape *x, struct clock_record *record,
			 int64_t *plan_us)
{
	struct world w;

	g_printerr("%s: a plan took %" G_GINT64_FORMAT " us, replayed\n",
		   x->name, longest_plan_us(plan_us));
	record->is_replay = TRUE;
	world_init(&w);
	w.record = record;
	play_shape(&w, x);
	g_assert_cmpuint(w.next_read, ==, record->reads_us->len);
	for (guint i = 0; i < STEPS; i++)
		plan_us[i] = MIN(plan_us[i], w.plan_us[i]);
	world_clear(&w);
}

/*
 * One hopeless job with many occurrences must not stop the scheduling of the
 * others: plans took longer than the lease (review, case 1).
 */
static void test_shape(gconstpointer data)
{
	const struct job_shape *x = data;
	struct clock_record record = { 0 };
	int64_t longest_ms;
	struct world w;

	if (!g_test_subprocess()) {
		g_test_trap_subprocess(NULL, 0,
				       G_TEST_SUBPROCESS_INHERIT_STDERR);
		g_test_trap_assert_passed();
		return;
	}
	record.reads_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	world_init(&w);
	w.record = &record;
	longest_ms = play_shape(&w, x);
	if (longest_plan_us(w.plan_us) >= PLAN_US)
		replay_shape(x, &record, w.plan_us);
	g_printerr("%s: longest plan %" G_GINT64_FORMAT
		   " us, longest wait %" G_GINT64_FORMAT " ms\n",
		   x->name, longest_plan_us(w.plan_us), longest_ms);
	g_assert_cmpint(longest_ms, <=, START_MS);
	g_assert_cmpint(longest_plan_us(w.plan_us), <, PLAN_US);
	world_clear(&w);
	g_array_unref(record.reads_us);
}

static void assert_all_tried(const struct world *w)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->s.fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_job *job = item;

		for (guint i = 0; i < job->steps->len && job->steps->len > 1;
		     i++) {
			const struct fleet_step *x = job->steps->pdata[i];

			g_assert_cmpuint(x->tried_pass, ==, w->s.pass);
		}
	}
}

/*
 * Units that a plan had no time for come first in the next one: all are tried
 * after a few plans, whichever come before them in the order.
 */
static void test_pass(void)
{
	/* Each look at the clock takes 1 ms, and there is one for each unit. */
	const struct job_shape hopeless = {
		.route = "urgent",
		.jobs = 5,
		.steps = 100,
		.tasks = 1,
		.millicores = 1000,
		.accelerators = 16,
		.varies = TRUE,
	};
	guint plans = 0;
	struct world w;

	world_init(&w);
	add_shaped_jobs(&w, &hopeless);
	add_ordinary_job(&w);
	w.fake_us = 1;
	do {
		step(&w);
		plans++;
		g_assert_cmpuint(w.s.plan.units_tried, <=,
				 PLAN_LIMIT_US / MS_PER_S);
		g_assert_cmpuint(plans, <, 50);
	} while (w.s.is_pass_open);
	g_assert_cmpuint(plans, >, 1);
	assert_all_tried(&w);
	/* The job is activated in one pass and started in the next. */
	for (guint i = 0; i < plans; i++)
		step(&w);
	g_assert_cmpint(longest_wait_ms(&w), ==, 0);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(shapes); i++)
		g_test_add_data_func(shapes[i].name, &shapes[i], test_shape);
	g_test_add_func("/plan-limits/pass", test_pass);
	return g_test_run();
}
