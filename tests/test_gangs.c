/*
 * The whole path of a gang over real processes, without faults.
 */
#include <glib.h>

#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS 15000

static void check_history(struct gang_cluster *g)
{
	char *fault =
		gang_cluster_check(g, worker_partial_bound_ms(GANG_WORKERS));

	g_assert_cmpstr(fault, ==, NULL);
}

/* Three workers of 8 accelerators each. */
static const struct {
	struct gang_submission job;
	const char *state; /* that it has to come to */
	guint starts;
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
		g_assert_cmpuint(gang_cluster_events(g, id, "started"), ==,
				 path_cases[i].starts);
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
	g_assert_cmpuint(gang_cluster_events(g, "running", "stopped"), ==, 3);
	g_assert_cmpuint(gang_cluster_events(g, "waiting", "started"), ==, 0);
	check_history(g);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/path", test_path);
	g_test_add_func("/gangs/cancel", test_cancel);
	return g_test_run();
}
