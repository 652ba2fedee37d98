/*
 * Jobs that become impossible while they are queued, over real processes: they
 * are refused once the grace time for lost workers has passed, not earlier.
 */
#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS INT64_C(30000)
/* impossible_grace_ms of the scheduler, whose default is ten minutes. */
#define GRACE_MS INT64_C(6000)
/* Time until a silent worker counts as lost (docs/design/gangs.md). */
#define LOST_MS (WORKER_RENEW_MIN_MS + 3000)
/* Allowance for a time-triggered decision, the row's write and its read. */
#define DECISION_MS 2000
#define MARGIN_MS 1000

static const struct gang_submission block = {
	"block", 3, 8, 60000, NULL, FALSE
};
static const struct gang_submission gang = { "gang", 3, 8, 300, NULL, FALSE };
static const struct gang_submission small = { "small", 1, 1, 100, NULL, FALSE };

static const struct gang_cluster_options short_grace = { .impossible_grace_ms =
								 GRACE_MS };

static void submit(struct gang_cluster *g, const struct gang_submission *job)
{
	gang_cluster_submit(g, job);
	gang_cluster_poke(g, job->id);
}

static void assert_state(struct gang_cluster *g, const char *id,
			 const char *state)
{
	char *text = gang_cluster_row_member(g, id, "state");

	g_assert_cmpstr(text, ==, state);
	g_free(text);
}

static void wait_state(struct gang_cluster *g, const char *id,
		       const char *state)
{
	g_assert_true(gang_cluster_wait_state(g, id, state, TIMEOUT_MS));
}

/* The worker doesn't return. */
static void test_refused_after_grace(void)
{
	struct gang_cluster *g = gang_cluster_open_with(1, &short_grace);
	int64_t lost_ms;
	int64_t elapsed_ms;
	char *reason;

	submit(g, &block);
	wait_state(g, "block", "running");
	submit(g, &gang);
	gang_cluster_kill_worker(g);
	lost_ms = util_monotonic_ms();
	cluster_sleep(GRACE_MS - MARGIN_MS);
	assert_state(g, "gang", "queued");
	wait_state(g, "gang", "refused");
	elapsed_ms = util_monotonic_ms() - lost_ms;
	g_test_message("refused after %" G_GINT64_FORMAT " ms", elapsed_ms);
	g_assert_cmpint(elapsed_ms, >=, GRACE_MS);
	g_assert_cmpint(elapsed_ms, <=, LOST_MS + GRACE_MS + DECISION_MS);
	reason = gang_cluster_row_member(g, "gang", "reason");
	g_assert_nonnull(strstr(reason, "the pool can hold 2 of 3 members"));
	g_free(reason);
	g_assert_cmpuint(gang_cluster_count_events(g, "gang", "started"), ==,
			 0);
	submit(g, &small);
	wait_state(g, "small", "done");
	gang_cluster_close(g);
}

struct worker_count {
	struct gang_cluster *cluster;
	int64_t usable; /* -1 until a holder answers */
};

static gboolean is_counted(void *data)
{
	struct worker_count *c = data;

	c->usable = gang_cluster_usable_workers(c->cluster);
	return c->usable >= 0;
}

/* The holder may have lost the platform for a moment; the first count that one
 * gives must be right. */
static void assert_usable_workers(struct gang_cluster *g, int64_t expected)
{
	struct worker_count c = { g, -1 };
	gboolean is_known = cluster_wait(is_counted, &c, DECISION_MS);

	g_assert_true(is_known);
	g_assert_cmpint(c.usable, ==, expected);
}

/* The worker returns within the grace time. */
static void test_worker_returns(void)
{
	struct gang_cluster *g = gang_cluster_open(1);

	gang_cluster_kill_worker(g);
	cluster_sleep(LOST_MS);
	assert_usable_workers(g, GANG_WORKERS - 1);
	submit(g, &gang);
	cluster_sleep(DECISION_MS);
	assert_state(g, "gang", "queued");
	gang_cluster_start_worker(g);
	wait_state(g, "gang", "done");
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/impossible/told-later",
			test_refused_after_grace);
	g_test_add_func("/gangs/impossible/back-in-time", test_worker_returns);
	return g_test_run();
}
