/*
 * The life cycle of a gang over real processes, without injected faults.
 */
#include <glib.h>

#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS INT64_C(15000)

static void check_history(struct gang_cluster *g)
{
	char *violation =
		gang_cluster_check(g, worker_partial_bound_ms(GANG_WORKERS, 1));

	g_assert_cmpstr(violation, ==, NULL);
}

/* Three workers of 8 accelerators each. */
static const struct {
	struct gang_submission job;
	const char *state; /* expected end state */
	guint starts;	   /* expected count of started tasks */
} path_cases[] = {
	{ { "whole", 3, 8, 300, NULL, FALSE }, "done", 3 },
	{ { "packed", 6, 1, 300, "bulk", TRUE }, "done", 6 },
	{ { "single", 1, 4, 100, "urgent", FALSE }, "done", 1 },
	{ { "never", 4, 8, 100, NULL, FALSE }, "refused", 0 },
	{ { "too-wide", 1, 9, 100, NULL, FALSE }, "refused", 0 },
};

static void test_path(void)
{
	struct gang_cluster *g = gang_cluster_open(1);

	for (guint i = 0; i < G_N_ELEMENTS(path_cases); i++)
		gang_cluster_submit(g, &path_cases[i].job);
	for (guint i = 0; i < G_N_ELEMENTS(path_cases); i++) {
		const char *id = path_cases[i].job.id;

		g_test_message("%s", id);
		g_assert_true(gang_cluster_wait_state(
			g, id, path_cases[i].state, TIMEOUT_MS));
		g_assert_cmpuint(gang_cluster_count_events(g, id, "started"),
				 ==, path_cases[i].starts);
	}
	check_history(g);
	gang_cluster_close(g);
}

static void test_cancel(void)
{
	const struct gang_submission running = { "running", 3,	  8,
						 60000,	    NULL, FALSE };
	const struct gang_submission waiting = { "waiting", 3,	  8,
						 60000,	    NULL, FALSE };
	struct gang_cluster *g = gang_cluster_open(1);

	gang_cluster_submit(g, &running);
	g_assert_true(
		gang_cluster_wait_state(g, "running", "running", TIMEOUT_MS));
	gang_cluster_submit(g, &waiting);
	cluster_sleep(200);
	gang_cluster_cancel(g, "waiting");
	gang_cluster_cancel(g, "running");
	g_assert_true(
		gang_cluster_wait_state(g, "running", "cancelled", TIMEOUT_MS));
	g_assert_true(
		gang_cluster_wait_state(g, "waiting", "cancelled", TIMEOUT_MS));
	g_assert_cmpuint(gang_cluster_count_events(g, "running", "stopped"), ==,
			 3);
	g_assert_cmpuint(gang_cluster_count_events(g, "waiting", "started"), ==,
			 0);
	check_history(g);
	gang_cluster_close(g);
}

#define BAD_WORKER_JOBS 12

/* A worker that fails all tasks is quarantined; its jobs succeed elsewhere. */
static void test_bad_worker(void)
{
	struct gang_cluster *g = gang_cluster_open(1);
	/* Together the jobs use all accelerators of all workers. */
	struct gang_submission job = { NULL, 1, 2, 50, NULL, FALSE };

	cluster_control(g->cluster, g->workers[GANG_WORKERS - 1],
			"{\"fail_tasks\":true}");
	for (guint i = 0; i < BAD_WORKER_JOBS; i++) {
		char *id = g_strdup_printf("job%u", i);

		job.id = id;
		gang_cluster_submit(g, &job);
		gang_cluster_poke(g, id);
		g_free(id);
	}
	for (guint i = 0; i < BAD_WORKER_JOBS; i++) {
		char *id = g_strdup_printf("job%u", i);

		g_assert_true(
			gang_cluster_wait_state(g, id, "done", 4 * TIMEOUT_MS));
		g_free(id);
	}
	g_assert_cmpint(gang_cluster_usable_workers(g), ==, GANG_WORKERS - 1);
	check_history(g);
	gang_cluster_close(g);
}

/* A job that fails on all workers ends as failed; none is quarantined. */
static void test_bad_job(void)
{
	struct gang_cluster *g = gang_cluster_open(1);
	const struct gang_submission job = { "bad", 3, 8, 50, NULL, FALSE };

	for (guint i = 0; i < GANG_WORKERS; i++)
		cluster_control(g->cluster, g->workers[i],
				"{\"fail_tasks\":true}");
	gang_cluster_submit(g, &job);
	gang_cluster_poke(g, "bad");
	g_assert_true(
		gang_cluster_wait_state(g, "bad", "failed", 6 * TIMEOUT_MS));
	g_assert_cmpint(gang_cluster_usable_workers(g), ==, GANG_WORKERS);
	check_history(g);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/path", test_path);
	g_test_add_func("/gangs/cancel", test_cancel);
	g_test_add_func("/gangs/bad-worker", test_bad_worker);
	g_test_add_func("/gangs/bad-job", test_bad_job);
	return g_test_run();
}
