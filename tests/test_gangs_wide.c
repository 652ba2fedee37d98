/*
 * A pool of many workers, whose renewals the schedulers share: a lost worker
 * is noticed as soon as in a small pool, and no lease lapses when a delegate
 * or the holder is lost.
 */
#include <glib.h>
#include <signal.h>

#include "base/util.h"
#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define FILLERS 60
#define ALL_WORKERS (FILLERS + GANG_WORKERS)
#define SCHEDULERS 3
#define SILENCES 5
#define TIMEOUT_MS INT64_C(20000)
/* Reading the clocks of several processes, and their turns to run. */
#define SLACK_MS 1500

static void run_gang(struct gang_cluster *g, int64_t run_ms)
{
	const struct gang_submission job = { "gang", GANG_WORKERS, 8,
					     run_ms, NULL,	   FALSE };

	gang_cluster_submit(g, &job);
	gang_cluster_poke(g, "gang");
	g_assert_true(
		gang_cluster_wait_state(g, "gang", "running", TIMEOUT_MS));
}

static void check(struct gang_cluster *g, int64_t bound_ms)
{
	char *fault = gang_cluster_check(g, bound_ms + SLACK_MS);

	g_assert_cmpstr(fault, ==, NULL);
}

static gboolean is_shared(void *data)
{
	struct gang_cluster *g = data;
	int holder = gang_cluster_holder(g);

	return holder >= 0 &&
	       gang_cluster_status(g, (guint)holder, "shared_workers") ==
		       ALL_WORKERS * (SCHEDULERS - 1) / SCHEDULERS;
}

static struct gang_cluster *open_wide(gboolean is_relayed)
{
	struct gang_cluster *g =
		gang_cluster_start_wide(SCHEDULERS, is_relayed, FILLERS);

	gang_cluster_wait_ready(g);
	g_assert_true(cluster_wait(is_shared, g, TIMEOUT_MS));
	return g;
}

/* Runs the gang until delegates renew all that it runs on. */
static void run_shared_gang(struct gang_cluster *g)
{
	run_gang(g, 600000);
	g_assert_true(cluster_wait(is_shared, g, TIMEOUT_MS));
}

static int find_holder(struct gang_cluster *g)
{
	int holder = gang_cluster_holder(g);

	g_assert_cmpint(holder, >=, 0);
	return holder;
}

/* Just after it was renewed, the longest time before the next renewal. */
static void test_worker_lost(void)
{
	struct gang_cluster *g =
		gang_cluster_start_wide(SCHEDULERS, FALSE, FILLERS);
	int64_t notice_ms = worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS);

	gang_cluster_wait_ready(g);
	run_gang(g, 600000);
	gang_cluster_kill_worker(g);
	g_assert_true(gang_cluster_wait_events(g, "gang", "stopped",
					       GANG_WORKERS - 1, TIMEOUT_MS));
	check(g, notice_ms);
	gang_cluster_close(g);
}

/* The same once delegates renew all that the gang runs on. */
static void test_shared_worker_lost(void)
{
	struct gang_cluster *g = open_wide(FALSE);

	run_shared_gang(g);
	cluster_sleep(worker_renew_period_ms(ALL_WORKERS, SCHEDULERS));
	gang_cluster_kill_worker(g);
	g_assert_true(gang_cluster_wait_events(g, "gang", "stopped",
					       GANG_WORKERS - 1, TIMEOUT_MS));
	check(g, worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS));
	gang_cluster_close(g);
}

/* Beyond the leases: what the lost process renewed has to be renewed on. */
static void go_on(struct gang_cluster *g)
{
	char *attempt;

	cluster_sleep(worker_lease_ms(ALL_WORKERS, SCHEDULERS) + 2000);
	g_assert_cmpuint(gang_cluster_events(g, "gang", "lapsed"), ==, 0);
	g_assert_cmpuint(gang_cluster_events(g, "gang", "stopped"), ==, 0);
	attempt = gang_cluster_row(g, "gang", "attempt");
	g_assert_cmpstr(attempt, ==, "1");
	g_assert_cmpuint(gang_cluster_events(g, "gang", "started"), ==,
			 GANG_WORKERS);
	g_free(attempt);
}

static void test_delegate_killed(void)
{
	struct gang_cluster *g = open_wide(FALSE);
	int holder;

	run_shared_gang(g);
	holder = find_holder(g);
	cluster_signal(g->schedulers[(holder + 1) % SCHEDULERS], SIGKILL);
	go_on(g);
	g_assert_cmpint(gang_cluster_status(g, (guint)holder, "delegates"), ==,
			SCHEDULERS - 2);
	check(g, worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS));
	gang_cluster_close(g);
}

static void test_holder_paused(void)
{
	struct gang_cluster *g = open_wide(FALSE);
	int holder;

	run_shared_gang(g);
	holder = find_holder(g);
	cluster_signal(g->schedulers[holder], SIGSTOP);
	go_on(g);
	cluster_signal(g->schedulers[holder], SIGCONT);
	cluster_sleep(2000);
	g_assert_cmpint(gang_cluster_holder(g), !=, holder);
	check(g, worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS));
	gang_cluster_close(g);
}

/*
 * All open connections to a worker go silent, for good, again and again: its
 * gang goes on, since each renewal goes anew over a new connection.
 */
static void test_silent_connections(void)
{
	struct gang_cluster *g = open_wide(TRUE);

	run_shared_gang(g);
	for (guint i = 0; i < SILENCES; i++) {
		cluster_sleep(worker_renew_period_ms(ALL_WORKERS, SCHEDULERS));
		cluster_control(g->cluster, g->relay_control,
				"{\"silence_open\":true}");
	}
	go_on(g);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/wide/worker-lost", test_worker_lost);
	g_test_add_func("/gangs/wide/shared-worker-lost",
			test_shared_worker_lost);
	g_test_add_func("/gangs/wide/delegate-killed", test_delegate_killed);
	g_test_add_func("/gangs/wide/holder-paused", test_holder_paused);
	g_test_add_func("/gangs/wide/silent-connections",
			test_silent_connections);
	return g_test_run();
}
