/* Table-driven tests of the fleet scheduler with simulated workers. */
#include <glib.h>

#include "tests/sched_world.h"

/* Responses to a start order and to its retry, and what follows. */
struct start_answer_case {
	const char *name;
	enum order_outcome first;
	enum order_outcome second;
	gboolean has_second;
	gboolean is_released; /* may be started elsewhere immediately */
};

static const struct start_answer_case start_answer_cases[] = {
	{ "/fleet/answer/refused", ORDER_REFUSED, ORDER_REFUSED, FALSE, TRUE },
	{ "/fleet/answer/no-answer", ORDER_NO_ANSWER, ORDER_REFUSED, FALSE,
	  FALSE },
	/* The first attempt may arrive late (aol-slips trouble-1). */
	{ "/fleet/answer/no-answer-then-refused", ORDER_NO_ANSWER,
	  ORDER_REFUSED, TRUE, FALSE },
};

/* A task whose start order was not answered is released only by a confirmed
 * stop or the end of its lease. */
static void assert_stop_releases(struct world *w, struct fleet_task *t)
{
	world_plan_after(w, 2000);
	g_assert_nonnull(t->worker);
	g_assert_cmpuint(world_count_orders(w, FALSE, "job"), >=, 1);
	fleet_scheduler_stop_answered(&w->s, "w1", "job.0.0.0", t->run,
				      ORDER_DONE, w->now_ms);
	w->now_ms++;
	world_report(w, "w1", NULL, NULL);
	g_assert_null(t->worker);
}

static void test_answers(gconstpointer data)
{
	const struct start_answer_case *c = data;
	struct world w = { 0 };
	struct fleet_task *t;
	struct order first;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	world_plan_after(&w, 1);
	g_assert_cmpuint(w.order_count, ==, 1);
	first = w.orders[0];
	fleet_scheduler_start_answered(&w.s, "w1", first.task, first.run,
				       c->first, REFUSAL_OTHER, w.now_ms);
	if (c->has_second) {
		world_plan_after(&w, 150);
		fleet_scheduler_start_answered(&w.s, "w1", first.task,
					       first.run, c->second,
					       REFUSAL_OTHER, w.now_ms);
	}
	t = fleet_task(&w.s.fleet, "job.0.0.0");
	g_assert_cmpint(t->worker == NULL, ==, c->is_released);
	if (!c->is_released)
		assert_stop_releases(&w, t);
	world_clear(&w);
}

/* A worker that reports an unwanted run gets a stop order for it, and no new
 * tasks until the run is gone. */
static void test_unwanted_run(void)
{
	struct world w = { 0 };

	world_init(&w);
	world_register_worker(&w, "w1", "r1");
	world_report(&w, "w1", world_running_list("gone.0.0.0", 3), NULL);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "gone"), ==, 1);
	world_add_job(&w, "job", "bulk", 1, 8, FALSE);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 0);
	world_report(&w, "w1", NULL, NULL);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 1);
	world_clear(&w);
}

/* A failure that a worker reports again after a takeover counts once. */
static void test_failure_counts_once(void)
{
	struct world w = { 0 };
	struct fleet_job *job;
	enum progress_cut cut;
	json_object *row;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	world_plan_after(&w, 1);
	world_report(
		&w, "w1", NULL,
		world_ended_list(1, "job.0.0.0", w.orders[0].run, RUN_FAILED));
	job = fleet_job(&w.s.fleet, "job");
	row = job_progress_encode(job, G_MAXSIZE, &cut);
	/* The successor reads the row and the worker reports the end again. */
	fleet_scheduler_begin(&w.s, 8, 0);
	world_add_worker(&w, "w1", "r1");
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	fleet_scheduler_merge_progress(&w.s, "job", row, 5);
	world_report(
		&w, "w1", NULL,
		world_ended_list(1, "job.0.0.0", w.orders[0].run, RUN_FAILED));
	g_assert_cmpint(job->state, !=, FLEET_JOB_FAILED);
	g_assert_cmpuint(
		run_set_count(&fleet_task(&w.s.fleet, "job.0.0.0")->failed), ==,
		1);
	json_object_put(row);
	world_clear(&w);
}

/*
 * After a takeover, ends from several workers arrive in any order, and each
 * failure counts. Otherwise a task is started again after its last attempt
 * (aol-slips trouble-3).
 */
static void test_failures_out_of_order(void)
{
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r1");
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	world_report(&w, "w2", NULL,
		     world_ended_list(1, "job.0.0.0", 12, RUN_FAILED));
	g_assert_cmpint(job->state, !=, FLEET_JOB_FAILED);
	world_report(&w, "w1", NULL,
		     world_ended_list(1, "job.0.0.0", 11, RUN_FAILED));
	g_assert_cmpint(job->state, ==, FLEET_JOB_FAILED);
	world_clear(&w);
}

/* Jobs that a successor may start before all workers have answered. */
struct takeover_case {
	const char *name;
	gboolean was_active;	/* the stored state is active */
	gboolean has_answered;	/* the second worker has reported */
	gboolean is_registered; /* the second worker is registered */
	gboolean starts;
};

static const struct takeover_case takeover_cases[] = {
	{ "/fleet/takeover/fresh", FALSE, FALSE, TRUE, TRUE },
	{ "/fleet/takeover/active", TRUE, FALSE, TRUE, FALSE },
	{ "/fleet/takeover/active-all-answered", TRUE, TRUE, TRUE, TRUE },
	{ "/fleet/takeover/active-unregistered", TRUE, FALSE, FALSE, FALSE },
};

static void test_takeover(gconstpointer data)
{
	const struct takeover_case *c = data;
	json_object *row = json_object_new_object();
	struct world w = { 0 };

	world_init(&w);
	fleet_scheduler_begin(&w.s, 8, WORLD_T0_MS + 14000);
	world_add_worker(&w, "w1", "r1");
	if (c->is_registered)
		world_register_worker(&w, "w2", "r1");
	if (c->has_answered)
		world_report(&w, "w2", NULL, NULL);
	w.s.has_unregistered_workers = !c->is_registered;
	world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	json_object_object_add(
		row, "state",
		json_object_new_string(c->was_active ? "active" : "queued"));
	fleet_scheduler_merge_progress(&w.s, "job", row, 5);
	world_plan_after(&w, 1);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==,
			 c->starts ? 1 : 0);
	if (!c->starts) {
		/* The leases of the previous holder have expired by then. */
		world_plan_after(&w, 16000);
		world_report(&w, "w1", NULL, NULL);
		world_plan_after(&w, 1);
		g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 1);
	}
	json_object_put(row);
	world_clear(&w);
}

/*
 * The holder's process stands still until the leases of the previous holder
 * have expired. The report of the worker that has completed the task meanwhile
 * has arrived, but is read after the next plans: the task must not run again.
 */
static void test_takeover_pause(void)
{
	json_object *row = json_object_new_object();
	struct world w = { 0 };

	world_init(&w);
	fleet_scheduler_begin(&w.s, 8, WORLD_T0_MS + 14000);
	world_add_worker(&w, "w1", "r1");
	world_register_worker(&w, "w2", "r1");
	world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	json_object_object_add(row, "state", json_object_new_string("active"));
	fleet_scheduler_merge_progress(&w.s, "job", row, 5);
	world_plan_after(&w, 1);
	w.now_ms += 16000;
	fleet_scheduler_resume(&w.s, w.now_ms);
	world_plan_after(&w, 0);
	world_report(&w, "w1", NULL, NULL);
	world_plan_after(&w, 3);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 0);
	world_report(&w, "w2", NULL,
		     world_ended_list(1, "job.0.0.0", 7, RUN_DONE));
	for (guint i = 0; i < 10; i++)
		world_plan_after(&w, 100);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 0);
	g_assert_true(fleet_job_has_ended(fleet_job(&w.s.fleet, "job")));
	json_object_put(row);
	world_clear(&w);
}

/*
 * The feed delivers an "active" row of this epoch before the write is answered,
 * or the answer is lost. No earlier holder can have started the job, so it must
 * not wait for the leases of one (up to 4 s, aol-slips-grown trouble-3).
 */
static void test_own_active_row(void)
{
	enum progress_cut cut;
	json_object *row;
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	fleet_scheduler_begin(&w.s, 8, WORLD_T0_MS + 14000);
	world_add_worker(&w, "w1", "r1");
	world_register_worker(&w, "w2", "r1");
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	job->is_active_stored = FALSE;
	world_plan_after(&w, 1);
	g_assert_cmpint(job->state, ==, FLEET_JOB_ACTIVE);
	row = job_progress_encode(job, G_MAXSIZE, &cut);
	fleet_scheduler_merge_progress(&w.s, "job", row, 5);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 1);
	json_object_put(row);
	world_clear(&w);
}

/* A job is stored as active before its first task is started. */
static void test_active_stored_first(void)
{
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	job->is_active_stored = FALSE;
	world_plan_after(&w, 1);
	g_assert_cmpuint(w.order_count, ==, 0);
	g_assert_cmpint(job->state, ==, FLEET_JOB_ACTIVE);
	g_assert_true(job->is_dirty);
	job->is_active_stored = TRUE;
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "job"), ==, 1);
	world_clear(&w);
}

/* A job that was stored as active but never started counts as not started for a
 * successor too. */
static void test_active_not_started(void)
{
	enum progress_cut cut;
	json_object *row;
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	job->state = FLEET_JOB_ACTIVE;
	row = job_progress_encode(job, G_MAXSIZE, &cut);
	fleet_scheduler_begin(&w.s, 8, 0);
	job = world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	fleet_scheduler_merge_progress(&w.s, "job", row, 5);
	g_assert_cmpint(job->state, ==, FLEET_JOB_ACTIVE);
	g_assert_false(job->has_started);
	json_object_put(row);
	world_clear(&w);
}

/* Whether a run may be left on a worker whose registration is gone. */
struct lost_worker_case {
	const char *name;
	gboolean was_draining;
	gboolean is_fenced; /* it answered this holder and got a lease */
	int64_t after_ms;   /* after the registration was removed */
	gboolean has_no_runs;
};

static const struct lost_worker_case lost_worker_cases[] = {
	/* A draining worker that is cut off from the store is removed from its
	 * table too, and its tasks run on. */
	{ "/fleet/over/drained", TRUE, TRUE, 1000, FALSE },
	{ "/fleet/over/drained-late", TRUE, TRUE, 20000, TRUE },
	/* Overwritten by another writer, which is passed on as a removal. */
	{ "/fleet/over/draining-unreadable", TRUE, TRUE, 1000, FALSE },
	{ "/fleet/over/draining-unreadable-late", TRUE, TRUE, 20000, TRUE },
	/* It may still run tasks that an earlier epoch started (khuree-wind
	 * fresh-1f55). */
	{ "/fleet/over/silent-never-answered", FALSE, FALSE, 1000, FALSE },
	{ "/fleet/over/silent-never-answered-late", FALSE, FALSE, 20000, TRUE },
	{ "/fleet/over/silent-leased", FALSE, TRUE, 1000, FALSE },
	{ "/fleet/over/silent-leased-late", FALSE, TRUE, 20000, TRUE },
};

static void test_lost_worker(gconstpointer data)
{
	const struct lost_worker_case *c = data;
	struct fleet_worker *worker;
	struct world w = { 0 };

	world_init(&w);
	fleet_scheduler_begin(&w.s, 8, WORLD_T0_MS + 14000);
	world_register_worker(&w, "w1", "r1");
	worker = fleet_worker(&w.s.fleet, "w1");
	if (c->is_fenced) {
		world_report(&w, "w1", NULL, NULL);
		fleet_scheduler_lease_end(&w.s, worker, w.now_ms);
	}
	worker->reg.is_draining = c->was_draining;
	fleet_scheduler_update_worker(&w.s, "w1", NULL, w.now_ms);
	g_assert_cmpint(
		fleet_worker_has_no_runs(&w.s, worker, w.now_ms + c->after_ms),
		==, c->has_no_runs);
	world_clear(&w);
}

/*
 * A gang that needs two whole workers preempts single tasks on a full rack:
 * only the tasks of two workers are stopped, not the cheapest ones of the whole
 * rack one after the other (khuree-wind scale-1).
 */
static void fill_pool(struct world *w)
{
	for (guint i = 0; i < 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%u", i);
		world_add_worker(w, id, "r1");
	}
	world_add_job(w, "small", "bulk", 32, 1, FALSE);
	world_plan_after(w, 1);
	g_assert_cmpuint(world_count_orders(w, TRUE, "small"), ==, 32);
	world_confirm_starts(w);
	world_clear_orders(w);
}

static void test_preemption(void)
{
	struct world w = { 0 };

	world_init(&w);
	fill_pool(&w);
	world_add_job(&w, "large", "urgent", 2, 8, TRUE);
	world_plan_after(&w, 500);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "small"), ==, 16);
	/* No further stops while these are in flight. */
	world_plan_after(&w, 100);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "small"), ==, 16);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "large"), ==, 0);
	world_clear(&w);
}

/*
 * In a full pool, an urgent job is stored as active while the stops that it
 * waits for are carried out, not only after them (khuree-wind-large scale-1, 28
 * to 40 s: 100 ms more for each of these jobs).
 */
static void test_preemption_stored_early(void)
{
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	fill_pool(&w);
	job = world_add_job(&w, "large", "urgent", 2, 8, TRUE);
	job->is_active_stored = FALSE;
	world_plan_after(&w, 500);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "small"), ==, 16);
	g_assert_cmpint(job->state, ==, FLEET_JOB_ACTIVE);
	g_assert_true(job->is_dirty);
	g_assert_false(job->has_started);
	job->is_active_stored = TRUE;
	world_plan_after(&w, 100);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "large"), ==, 0);
	world_clear(&w);
}

/*
 * A gang and a set of single tasks, both with checkpoints, fill one rack each.
 * An urgent task preempts single tasks and not the gang, whichever rack comes
 * first.
 */
static void test_preempt_singles(gconstpointer data)
{
	const char *gang_rack = data;
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r1");
	world_add_worker(&w, "w3", "r2");
	world_add_worker(&w, "w4", "r2");
	job = world_add_job(&w, "gang", "bulk", 2, 8, TRUE);
	world_step_spec(job)->is_checkpointed = TRUE;
	world_step_spec(job)->data_rack = g_strdup(gang_rack);
	world_plan_after(&w, 1);
	job = world_add_job(&w, "single", "bulk", 16, 1, FALSE);
	world_step_spec(job)->is_checkpointed = TRUE;
	world_plan_after(&w, 1);
	g_assert_cmpuint(w.order_count, ==, 18);
	world_confirm_starts(&w);
	world_clear_orders(&w);
	world_add_job(&w, "large", "urgent", 1, 8, FALSE);
	world_plan_after(&w, 500);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "gang"), ==, 0);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "single"), ==, 8);
	world_clear(&w);
}

/* Start orders in flight are limited; more are sent as responses arrive. */
static void test_orders_in_flight(void)
{
	struct world w = { 0 };
	guint first;

	world_init(&w);
	for (guint i = 0; i < 10; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "w%u", i);
		world_add_worker(&w, id, "r1");
	}
	world_add_job(&w, "one", "bulk", 40, 1, FALSE);
	world_add_job(&w, "two", "bulk", 40, 1, FALSE);
	world_plan_after(&w, 1);
	first = world_count_orders(&w, TRUE, "");
	g_assert_cmpuint(first, ==, WORLD_MAX_ORDERS);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, ""), ==, first);
	world_confirm_starts(&w);
	world_clear_orders(&w);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, ""), ==, 80 - first);
	world_clear(&w);
}

/*
 * Tasks without checkpoints stay off the capacity that urgent jobs needed
 * recently, as bursts of urgent jobs recur within seconds. The reserve expires.
 */
static void test_urgent_reserve_expires(void)
{
	struct world w = { 0 };
	struct order urgent;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r1");
	world_add_job(&w, "urgent", "urgent", 1, 8, FALSE);
	world_plan_after(&w, 1);
	urgent = w.orders[0];
	world_report(&w, urgent.worker, NULL,
		     world_ended_list(1, urgent.task, urgent.run, RUN_DONE));
	world_add_job(&w, "bulk", "bulk", 16, 1, FALSE);
	world_plan_after(&w, 100);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "bulk"), <=, 9);
	world_confirm_starts(&w);
	w.now_ms += 40000;
	world_report(&w, "w1", NULL, NULL);
	world_report(&w, "w2", NULL, NULL);
	world_clear_orders(&w);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "bulk"), ==, 16);
	world_clear(&w);
}

/* Runs urgent jobs on @workers whole workers and ends them immediately. */
static void run_urgent_jobs(struct world *w, guint workers)
{
	world_add_job(w, "before", "urgent", workers, 8, FALSE);
	world_plan_after(w, 1);
	g_assert_cmpuint(world_count_orders(w, TRUE, "before"), ==, workers);
	for (guint i = 0; i < w->order_count; i++) {
		const struct order *o = &w->orders[i];

		world_report(w, o->worker, NULL,
			     world_ended_list(1, o->task, o->run, RUN_DONE));
	}
	world_clear_orders(w);
}

/* Jobs beside a gang of priority 2 that needs all accelerators of a rack. */
struct gang_rack_case {
	const char *name;
	int64_t busy;	      /* accelerators of each worker that tasks hold */
	int64_t waited_ms;    /* of the gang */
	int64_t accelerators; /* of the other job's task */
	gboolean has_service; /* holds one accelerator of each worker */
	gboolean is_started;  /* the other job */
};

static const struct gang_rack_case gang_rack_cases[] = {
	/* The gang can't run while the service does (review, case 5). */
	{ "/fleet/gang-rack/service", 0, 4000, 0, TRUE, TRUE },
	{ "/fleet/gang-rack/service-accelerator", 0, 4000, 1, TRUE, TRUE },
	{ "/fleet/gang-rack/service-busy", 5, 4000, 1, TRUE, TRUE },
	/* What runs there will end, so the gang gets the rack. */
	{ "/fleet/gang-rack/not-yet", 6, 1000, 1, FALSE, TRUE },
	{ "/fleet/gang-rack/reserved", 6, 4000, 1, FALSE, FALSE },
	/* The gang doesn't need all cores. */
	{ "/fleet/gang-rack/other-resource", 6, 4000, 0, FALSE, TRUE },
	{ "/fleet/gang-rack/light-use", 2, 4000, 1, FALSE, TRUE },
	{ "/fleet/gang-rack/lapsed", 6, 25000, 1, FALSE, TRUE },
	{ "/fleet/gang-rack/lapsed-before", 6, 60000, 1, FALSE, TRUE },
	{ "/fleet/gang-rack/reserved-again", 6, 90000, 1, FALSE, FALSE },
};

/* Renews a worker, which lists what was started there. */
static void renew_worker(struct world *w, struct fleet_worker *worker)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct running_entry));
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct fleet_task *t = worker->tasks->pdata[i];
		struct running_entry e = {
			.run = t->run,
			.checkpoint = "",
			.percent = t->percent + 0.1,
		};
		char *name = fleet_task_name(t);

		g_ptr_array_add(names, name);
		e.task = name;
		g_array_append_val(list, e);
	}
	world_report(w, worker->id, list, NULL);
	fleet_scheduler_renewal_end(&w->s, worker, w->now_ms);
	g_ptr_array_unref(names);
}

/* Lets time pass while all workers are renewed. */
static void pass_time(struct world *w, int64_t ms)
{
	for (int64_t end_ms = w->now_ms + ms; w->now_ms < end_ms;) {
		GHashTableIter iter;
		gpointer worker;

		w->now_ms += 500;
		g_hash_table_iter_init(&iter, w->s.fleet.workers);
		while (g_hash_table_iter_next(&iter, NULL, &worker))
			renew_worker(w, worker);
		fleet_scheduler_plan(&w->s, w->now_ms);
	}
}

/*
 * A rack reserved for a gang that can't start must not keep other jobs waiting
 * for good, nor those that don't need what the gang needs.
 */
static void test_gang_rack(const void *data)
{
	const struct gang_rack_case *c = data;
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	/* Jobs don't get late, so the gang is the more urgent one. */
	g_array_index(w.config.routes, struct queue_route, 1).stretch = 1000;
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r1");
	world_add_worker(&w, "w3", "r1");
	world_add_worker(&w, "w4", "r1");
	if (c->has_service) {
		job = world_add_job(&w, "service", "bulk", 4, 1, FALSE);
		world_step_spec(job)->is_service = TRUE;
		world_step_spec(job)->max_per_worker = 1;
		world_plan_after(&w, 1);
	}
	if (c->busy) {
		job = world_add_job(&w, "busy", "bulk", 4, c->busy, FALSE);
		world_step_spec(job)->max_per_worker = 1;
		world_step_spec(job)->is_checkpointed = TRUE;
		world_plan_after(&w, 1);
	}
	world_add_job(&w, "gang", "bulk", 4, 8, TRUE);
	pass_time(&w, c->waited_ms);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "gang"), ==, 0);
	world_add_job(&w, "other", "bulk", 1, c->accelerators, FALSE);
	pass_time(&w, 500);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "other"), ==,
			 c->is_started);
	world_clear(&w);
}

/* Placement of tasks without checkpoints beside the reserve of urgent jobs. */
struct reserve_case {
	const char *name;
	guint urgent; /* number of workers that urgent jobs needed */
	gboolean is_gang;
	gboolean avoids_reserve; /* nothing is placed on workers w0 and w1 */
};

static const struct reserve_case reserve_cases[] = {
	/* The workers that urgent jobs need next are left free. */
	{ "/fleet/kept-rooms/apart", 2, FALSE, TRUE },
	{ "/fleet/kept-rooms/gang", 2, TRUE, TRUE },
	/* A reserve of the whole pool must not block a gang while the pool is
	 * idle (12 s in khuree-wind scale-2 --seed 75). */
	{ "/fleet/kept-rooms/idle-pool", 4, TRUE, FALSE },
	{ "/fleet/kept-rooms/none", 0, TRUE, FALSE },
};

static void test_urgent_reserve(const void *data)
{
	const struct reserve_case *c = data;
	struct world w = { 0 };
	guint on_reserve = 0;

	world_init(&w);
	world_add_worker(&w, "w0", "r1");
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r2");
	world_add_worker(&w, "w3", "r2");
	if (c->urgent)
		run_urgent_jobs(&w, c->urgent);
	world_add_job(&w, "bulk", "bulk", 2, 8, c->is_gang);
	world_plan_after(&w, 10);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "bulk"), ==, 2);
	for (guint i = 0; i < w.order_count; i++)
		on_reserve += w.orders[i].worker[1] < '2';
	if (c->avoids_reserve)
		g_assert_cmpuint(on_reserve, ==, 0);
	world_clear(&w);
}

/* A run without progress on a responding worker is moved. */
static void test_stalled(void)
{
	struct world w = { 0 };
	int64_t run;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_job(&w, "job", "bulk", 1, 1, FALSE);
	world_plan_after(&w, 1);
	run = w.orders[0].run;
	for (guint i = 0; i < 4; i++) {
		world_report(&w, "w1", world_running_list("job.0.0.0", run),
			     NULL);
		world_plan_after(&w, 700);
	}
	g_assert_cmpuint(world_count_orders(&w, FALSE, "job"), ==, 0);
	world_report(&w, "w1", world_running_list("job.0.0.0", run), NULL);
	world_plan_after(&w, 700);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "job"), ==, 1);
	world_clear(&w);
}

/* A run on a draining worker is moved only if it can't end in time. */
struct drain_case {
	const char *name;
	int64_t left_ms; /* until the worker leaves */
	guint stops;
};

static const struct drain_case drain_cases[] = {
	{ "/fleet/drain/in-time", 8000, 0 },
	{ "/fleet/drain/too-late", 2000, 1 },
};

static void test_drain(gconstpointer data)
{
	const struct drain_case *c = data;
	struct worker_registration reg = {
		.service = g_strdup(WORLD_SERVICE),
		.address = g_strdup("127.0.0.1:1"),
		.capacity = { 64000, 131072, 8 },
		.is_draining = TRUE,
		.drain_left_ms = c->left_ms,
	};
	struct world w = { 0 };

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_job(&w, "job", "bulk", 1, 1, FALSE); /* estimate: 5 s */
	world_plan_after(&w, 1);
	world_confirm_starts(&w);
	fleet_scheduler_update_worker(&w.s, "w1", &reg, w.now_ms);
	world_add_job(&w, "late", "bulk", 1, 1, FALSE);
	world_plan_after(&w, 10);
	g_assert_cmpuint(world_count_orders(&w, FALSE, "job"), ==, c->stops);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "late"), ==, 0);
	world_clear(&w);
}

/* The first end of a gang member decides for the gang: success completes the
 * step, a failure stops the others and counts once. */
static void test_gang_ends(gconstpointer data)
{
	enum run_end end = *(const enum run_end *)data;
	struct world w = { 0 };
	struct fleet_job *job;
	struct fleet_step *step;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_worker(&w, "w2", "r1");
	job = world_add_job(&w, "job", "bulk", 2, 8, TRUE);
	world_plan_after(&w, 1);
	g_assert_cmpuint(w.order_count, ==, 2);
	g_assert_cmpint(w.orders[0].run, ==, w.orders[1].run);
	world_report(
		&w, w.orders[0].worker, NULL,
		world_ended_list(1, w.orders[0].task, w.orders[0].run, end));
	step = fleet_job_step(job, 0, 0);
	if (end == RUN_DONE) {
		g_assert_cmpint(job->state, ==, FLEET_JOB_COMPLETED);
		g_assert_cmpuint(world_count_orders(&w, FALSE, "job"), ==, 0);
	} else {
		g_assert_cmpuint(run_set_count(&step->gang_failed), ==,
				 end == RUN_FAILED ? 1 : 0);
		g_assert_cmpuint(world_count_orders(&w, FALSE, "job"), ==, 1);
	}
	world_clear(&w);
}

#define ADD_CASES(cases, fn)                                               \
	do {                                                               \
		for (guint i = 0; i < G_N_ELEMENTS(cases); i++)            \
			g_test_add_data_func((cases)[i].name, &(cases)[i], \
					     (fn));                        \
	} while (0)

static const struct {
	const char *name;
	enum run_end end;
} gang_ends[] = {
	{ "/fleet/gang-end/done", RUN_DONE },
	{ "/fleet/gang-end/failed", RUN_FAILED },
	{ "/fleet/gang-end/broken", RUN_GANG_BROKEN },
};

#define OLD_START_MS 5000
#define NEW_START_MS 9000

/* What the scheduler knows of a run when its worker restarts. */
struct restart_case {
	const char *name;
	gboolean was_listed;   /* by the old incarnation */
	gboolean is_in_new;    /* the new incarnation got the order */
	gboolean is_by_report; /* restart seen in a report, not the store */
	guint starts;	       /* start orders in total for one task */
};

static const struct restart_case restart_cases[] = {
	{ "/fleet/rebirth/listed-by-old", TRUE, FALSE, FALSE, 2 },
	{ "/fleet/rebirth/listed-by-old-report", TRUE, FALSE, TRUE, 2 },
	/* The task that the new incarnation runs must not be started again
	 * (fault soak, seed 310). */
	{ "/fleet/rebirth/runs-in-new", FALSE, TRUE, FALSE, 1 },
	{ "/fleet/rebirth/runs-in-new-report", FALSE, TRUE, TRUE, 1 },
	{ "/fleet/rebirth/answered-by-old", FALSE, FALSE, FALSE, 2 },
	{ "/fleet/rebirth/answered-by-old-report", FALSE, FALSE, TRUE, 2 },
};

static void test_worker_restart(const void *data)
{
	const struct restart_case *c = data;
	struct world w = { 0 };
	struct order o;

	world_init(&w);
	world_register_incarnation(&w, "w1", "r1", OLD_START_MS);
	world_report_incarnation(&w, "w1", OLD_START_MS, NULL, NULL);
	world_add_job(&w, "one", "urgent", 1, 8, FALSE);
	world_plan_after(&w, 1);
	g_assert_cmpuint(w.order_count, ==, 1);
	o = w.orders[0];
	fleet_scheduler_start_answered(&w.s, o.worker, o.task, o.run,
				       ORDER_DONE, REFUSAL_OTHER, w.now_ms);
	w.now_ms += 10;
	if (c->was_listed)
		world_report_incarnation(&w, "w1", OLD_START_MS,
					 world_running_list(o.task, o.run),
					 NULL);
	if (!c->is_by_report)
		world_register_incarnation(&w, "w1", "r1", NEW_START_MS);
	world_plan_after(&w, 10);
	world_report_incarnation(
		&w, "w1", NEW_START_MS,
		c->is_in_new ? world_running_list(o.task, o.run) : NULL, NULL);
	/* The registration may arrive after the worker's report. */
	world_register_incarnation(
		&w, "w1", "r1", c->is_by_report ? OLD_START_MS : NEW_START_MS);
	world_plan_after(&w, 10);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "one"), ==, c->starts);
	world_clear(&w);
}

/* A late report of the old incarnation doesn't hide ends of the new one, whose
 * numbers start again at 1. */
static void test_outdated_report(void)
{
	struct world w = { 0 };
	struct fleet_job *job;
	struct order o;

	world_init(&w);
	world_register_incarnation(&w, "w1", "r1", OLD_START_MS);
	world_report_incarnation(&w, "w1", OLD_START_MS, NULL, NULL);
	world_register_incarnation(&w, "w1", "r1", NEW_START_MS);
	world_report_incarnation(
		&w, "w1", OLD_START_MS, NULL,
		world_ended_list(50, "other.0.0.0", 1, RUN_DONE));
	job = world_add_job(&w, "one", "urgent", 1, 8, FALSE);
	world_report_incarnation(&w, "w1", NEW_START_MS, NULL, NULL);
	world_plan_after(&w, 1);
	o = w.orders[0];
	world_report_incarnation(&w, "w1", NEW_START_MS, NULL,
				 world_ended_list(1, o.task, o.run, RUN_DONE));
	g_assert_cmpint(job->state, ==, FLEET_JOB_COMPLETED);
	world_clear(&w);
}

/* The end number that is acknowledged to a worker whose ends up to number 5 are
 * stored. */
static const struct {
	gboolean has_failed_renewal;
	int64_t listed_ago_ms; /* since the last report */
	int64_t ack;
} ack_cases[] = {
	{ FALSE, 10, 5 },
	/* The worker may have restarted: an end number of the old incarnation
	 * would acknowledge ends of the new one (fault soak, seed 324). */
	{ TRUE, 10, 0 },
	{ FALSE, 600, 0 },
};

static void test_ack(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(ack_cases); i++) {
		struct world w = { 0 };
		struct fleet_worker *worker;

		world_init(&w);
		world_register_incarnation(&w, "w1", "r1", OLD_START_MS);
		world_report_incarnation(
			&w, "w1", OLD_START_MS, NULL,
			world_ended_list(5, "other.0.0.0", 1, RUN_DONE));
		worker = fleet_worker(&w.s.fleet, "w1");
		worker->saved_end = worker->processed_end;
		worker->has_failed_renewal = ack_cases[i].has_failed_renewal;
		w.now_ms += ack_cases[i].listed_ago_ms;
		g_assert_cmpint(fleet_worker_end_to_ack(worker, w.now_ms), ==,
				ack_cases[i].ack);
		/* A report of the same incarnation allows it again. */
		world_report_incarnation(&w, "w1", OLD_START_MS, NULL, NULL);
		g_assert_cmpint(fleet_worker_end_to_ack(worker, w.now_ms), ==,
				5);
		world_report_incarnation(&w, "w1", NEW_START_MS, NULL, NULL);
		g_assert_cmpint(fleet_worker_end_to_ack(worker, w.now_ms), ==,
				0);
		world_clear(&w);
	}
}

/* A worker whose registration is removed while it runs a task. */
struct gone_case {
	const char *name;
	gboolean was_draining;
	gboolean is_answering; /* it is only cut off from the store */
	int64_t after_ms;      /* after the removal */
	guint starts;	       /* start orders in total for one task */
};

static const struct gone_case gone_cases[] = {
	{ "/fleet/gone/silent", FALSE, FALSE, WORLD_LEASE_MS - 1000, 1 },
	{ "/fleet/gone/silent-late", FALSE, FALSE, WORLD_LEASE_MS + 3000, 2 },
	{ "/fleet/gone/drained", TRUE, FALSE, WORLD_LEASE_MS - 1000, 1 },
	{ "/fleet/gone/drained-late", TRUE, FALSE, WORLD_LEASE_MS + 3000, 2 },
	{ "/fleet/gone/answering", FALSE, TRUE, WORLD_LEASE_MS + 3000, 1 },
	{ "/fleet/gone/draining-answering", TRUE, TRUE, WORLD_LEASE_MS + 3000,
	  1 },
};

#define RENEWAL_MS 500

/*
 * The task is started elsewhere once its lease has certainly expired, neither
 * before (a worker that only the store doesn't hear still runs it) nor never
 * (renewals that no one answers don't extend the lease).
 */
static void test_gone_worker(gconstpointer data)
{
	const struct gone_case *c = data;
	struct fleet_worker *worker;
	struct world w = { 0 };
	struct order o;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	world_add_job(&w, "one", "urgent", 1, 8, FALSE);
	world_plan_after(&w, 1);
	o = w.orders[0];
	fleet_scheduler_start_answered(&w.s, o.worker, o.task, o.run,
				       ORDER_DONE, REFUSAL_OTHER, w.now_ms);
	world_report(&w, "w1", world_running_list(o.task, o.run), NULL);
	worker = fleet_worker(&w.s.fleet, "w1");
	worker->reg.is_draining = c->was_draining;
	worker->drain_until_ms = w.now_ms + INT64_C(4) * WORLD_LEASE_MS;
	fleet_scheduler_update_worker(&w.s, "w1", NULL, w.now_ms);
	for (int64_t ms = 0; ms < c->after_ms; ms += RENEWAL_MS) {
		/* Removed once nothing can run there any more. */
		worker = fleet_worker(&w.s.fleet, "w1");
		if (worker)
			fleet_scheduler_renewal_end(&w.s, worker, w.now_ms);
		if (worker && !c->is_answering)
			worker->has_failed_renewal = TRUE;
		world_plan_after(&w, RENEWAL_MS);
		world_add_worker(&w, "w2", "r1");
		if (c->is_answering)
			world_report(&w, "w1",
				     world_running_list(o.task, o.run), NULL);
	}
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "one"), ==, c->starts);
	world_clear(&w);
}

/* Steps that each depend on all earlier ones have 2^63 chains; a job of them
 * must not keep the scheduler busy. */
static void test_dense_steps(void)
{
	struct job_spec spec = { 0 };
	struct world w = { 0 };
	struct fleet_job *job;

	world_init(&w);
	world_add_worker(&w, "w1", "r1");
	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	for (guint i = 0; i < 64; i++) {
		struct step_spec step = {
			.task_count = 1,
			.estimate_ms = 1000,
			.after = json_object_new_array(),
		};

		for (guint k = 0; k < i; k++)
			json_object_array_add(step.after,
					      json_object_new_int((int)k));
		g_array_append_val(spec.steps, step);
	}
	job = fleet_add_job(&w.s.fleet, "dense", "bulk", NULL, &spec);
	job->accepted_ms = w.now_ms;
	job->is_active_stored = TRUE;
	fleet_job_add_occurrence(job);
	world_plan_after(&w, 1);
	g_assert_cmpuint(world_count_orders(&w, TRUE, "dense"), ==, 1);
	world_clear(&w);
}

/* Tests without a table of cases. */
static const struct {
	const char *name;
	GTestFunc fn;
} single_tests[] = {
	{ "/fleet/unwanted-run", test_unwanted_run },
	{ "/fleet/failure-once", test_failure_counts_once },
	{ "/fleet/failures-out-of-order", test_failures_out_of_order },
	{ "/fleet/takeover/own-mark", test_own_active_row },
	{ "/fleet/takeover/pause", test_takeover_pause },
	{ "/fleet/mark-first", test_active_stored_first },
	{ "/fleet/marked-waits", test_active_not_started },
	{ "/fleet/preemption", test_preemption },
	{ "/fleet/preemption/stored-early", test_preemption_stored_early },
	{ "/fleet/orders-out", test_orders_in_flight },
	{ "/fleet/urgent-room", test_urgent_reserve_expires },
	{ "/fleet/stalled", test_stalled },
	{ "/fleet/outdated-report", test_outdated_report },
	{ "/fleet/ack", test_ack },
	{ "/fleet/dense-steps", test_dense_steps },
};

static const struct {
	const char *name;
	const char *gang_rack;
} preempt_single_cases[] = {
	{ "/fleet/smallest-stop/first-rack", "r1" },
	{ "/fleet/smallest-stop/second-rack", "r2" },
};

static void add_worker_tests(void)
{
	ADD_CASES(lost_worker_cases, test_lost_worker);
	ADD_CASES(restart_cases, test_worker_restart);
	ADD_CASES(gone_cases, test_gone_worker);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(single_tests); i++)
		g_test_add_func(single_tests[i].name, single_tests[i].fn);
	for (guint i = 0; i < G_N_ELEMENTS(preempt_single_cases); i++)
		g_test_add_data_func(preempt_single_cases[i].name,
				     preempt_single_cases[i].gang_rack,
				     test_preempt_singles);
	ADD_CASES(start_answer_cases, test_answers);
	ADD_CASES(takeover_cases, test_takeover);
	ADD_CASES(reserve_cases, test_urgent_reserve);
	ADD_CASES(gang_rack_cases, test_gang_rack);
	add_worker_tests();
	ADD_CASES(drain_cases, test_drain);
	for (guint i = 0; i < G_N_ELEMENTS(gang_ends); i++)
		g_test_add_data_func(gang_ends[i].name, &gang_ends[i].end,
				     test_gang_ends);
	return g_test_run();
}
