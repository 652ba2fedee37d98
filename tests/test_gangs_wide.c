/*
 * A pool with many workers, whose renewals the schedulers share: the loss of a
 * worker is detected as fast as in a small pool, and no lease expires when a
 * delegate or the holder is lost.
 */
#include <glib.h>
#include <signal.h>

#include "base/util.h"
#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define CPU_ONLY_WORKERS 60
#define ALL_WORKERS (CPU_ONLY_WORKERS + GANG_WORKERS)
#define SCHEDULERS 3
#define SILENCE_COUNT 5
#define TIMEOUT_MS INT64_C(20000)
/* Allowance for reading clocks in several processes and scheduling delays. */
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
	char *violation = gang_cluster_check(g, bound_ms + SLACK_MS);

	g_assert_cmpstr(violation, ==, NULL);
}

static gboolean is_shared(void *data)
{
	struct gang_cluster *g = data;
	int holder = gang_cluster_holder(g);

	return holder >= 0 &&
	       gang_cluster_status_number(g, (guint)holder, "shared_workers") ==
		       ALL_WORKERS * (SCHEDULERS - 1) / SCHEDULERS;
}

static struct gang_cluster *open_wide(gboolean is_relayed)
{
	struct gang_cluster *g = gang_cluster_start_wide(SCHEDULERS, is_relayed,
							 CPU_ONLY_WORKERS);

	gang_cluster_wait_ready(g);
	g_assert_true(cluster_wait(is_shared, g, TIMEOUT_MS));
	return g;
}

/* Runs the gang and waits until delegates renew all workers of their shares. */
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

/* Kills a worker just after a renewal, when the next one is furthest away. */
static void test_worker_lost(void)
{
	struct gang_cluster *g =
		gang_cluster_start_wide(SCHEDULERS, FALSE, CPU_ONLY_WORKERS);
	int64_t detection_ms = worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS);

	gang_cluster_wait_ready(g);
	run_gang(g, 600000);
	gang_cluster_kill_worker(g);
	g_assert_true(gang_cluster_wait_events(g, "gang", "stopped",
					       GANG_WORKERS - 1, TIMEOUT_MS));
	check(g, detection_ms);
	gang_cluster_close(g);
}

/* The same while delegates renew all workers of their shares. */
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

/*
 * Waits until leases without a renewal have expired, then asserts that the gang
 * still runs: others took over the renewals of the lost process.
 */
static void assert_gang_survives(struct gang_cluster *g)
{
	char *attempt;

	cluster_sleep(worker_lease_ms(ALL_WORKERS, SCHEDULERS) + 2000);
	g_assert_cmpuint(gang_cluster_count_events(g, "gang", "lapsed"), ==, 0);
	g_assert_cmpuint(gang_cluster_count_events(g, "gang", "stopped"), ==,
			 0);
	attempt = gang_cluster_row_member(g, "gang", "attempt");
	g_assert_cmpstr(attempt, ==, "1");
	g_assert_cmpuint(gang_cluster_count_events(g, "gang", "started"), ==,
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
	assert_gang_survives(g);
	g_assert_cmpint(
		gang_cluster_status_number(g, (guint)holder, "delegates"), ==,
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
	assert_gang_survives(g);
	cluster_signal(g->schedulers[holder], SIGCONT);
	cluster_sleep(2000);
	g_assert_cmpint(gang_cluster_holder(g), !=, holder);
	check(g, worker_loss_reaction_ms(ALL_WORKERS, SCHEDULERS));
	gang_cluster_close(g);
}

/*
 * All open connections to a worker repeatedly go silent and stay so: its gang
 * keeps running, since each renewal is sent again over a new connection.
 */
static void test_silent_connections(void)
{
	struct gang_cluster *g = open_wide(TRUE);

	run_shared_gang(g);
	for (guint i = 0; i < SILENCE_COUNT; i++) {
		cluster_sleep(worker_renew_period_ms(ALL_WORKERS, SCHEDULERS));
		cluster_control(g->cluster, g->relay_control,
				"{\"silence_open\":true}");
	}
	assert_gang_survives(g);
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
