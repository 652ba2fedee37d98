/*
 * Rows of claims go after their retention, over real processes: a retry within
 * it gets the first answer, a claim that is worked on stays.
 */
#include <glib.h>
#include <signal.h>

#include "base/util.h"
#include "request/claim_expiry.h"
#include "request/claim_walk.h"
#include "tests/request_world.h"

#define RETENTION_MS INT64_C(3000)
#define SHORT_MS INT64_C(1000)
#define KEYS 40U
/* Epochs kept, with each noticed late, a pass, and a busy machine. */
#define GONE_MS(retention_ms) (8 * (retention_ms) + 8000)
#define LONG_WORK_MS 9000
#define LONG_DEADLINE_MS 14000

static guint count_rows(struct request_world *w)
{
	struct cluster_reply r =
		cluster_call(w->cluster, "GET", w->platform, "/table/claims",
			     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
	guint count = (guint)json_object_array_length(
		json_object_object_get(r.body, "rows"));

	cluster_reply_clear(&r);
	return count;
}

static gboolean is_empty(void *data)
{
	return count_rows(data) == 0;
}

static void send(struct request_world *w, guint gateway, const char *key,
		 int attempt, const char *answer)
{
	const struct request_call_spec spec = { key, attempt, 1, DEADLINE_MS };
	struct request_call *call = request_world_send(w, gateway, &spec);

	request_call_wait(call);
	request_call_assert_answer(call, answer, NULL, key);
	request_call_free(call);
}

static void test_gone(void)
{
	struct request_world *w = request_world_new_with(RETENTION_MS);
	int64_t begin_ms = util_monotonic_ms();

	for (guint i = 0; i < KEYS; i++) {
		char *key = g_strdup_printf("k%u", i);

		send(w, i % GATEWAYS, key, 1, "done");
		g_free(key);
	}
	g_assert_cmpuint(count_rows(w), ==, KEYS);
	/* At the other gateway, as late as the retention permits. */
	cluster_sleep(begin_ms + RETENTION_MS * 9 / 10 - util_monotonic_ms());
	send(w, 1, "k0", 2, "done");
	g_assert_cmpuint(request_world_runs_of(w, "k0"), ==, 1);
	g_assert_cmpuint(count_rows(w), ==, KEYS);
	g_assert_true(cluster_wait(is_empty, w, GONE_MS(RETENTION_MS)));
	g_test_message("gone after %" G_GINT64_FORMAT " ms",
		       util_monotonic_ms() - begin_ms);
	/* A key whose row has gone is a new one. */
	send(w, 0, "k0", 1, "done");
	g_assert_cmpuint(request_world_runs_of(w, "k0"), ==, 2);
	request_world_free(w);
}

/* Older than the retention, but its claimant works on it. */
static void test_held(void)
{
	struct request_world *w = request_world_new_with(SHORT_MS);
	const struct request_call_spec spec = { "long", 1, LONG_WORK_MS,
						LONG_DEADLINE_MS };
	struct request_call *call = request_world_send(w, 0, &spec);

	request_world_wait_started(w, "long");
	cluster_sleep(LONG_WORK_MS - 1000);
	g_assert_cmpuint(count_rows(w), ==, 1);
	request_call_wait(call);
	request_call_assert_answer(call, "done", NULL, "long");
	send(w, 1, "long", 2, "done");
	g_assert_cmpuint(request_world_runs_of(w, "long"), ==, 1);
	g_assert_true(cluster_wait(is_empty, w, GONE_MS(SHORT_MS)));
	request_call_free(call);
	request_world_free(w);
}

/* What a dead claimant left goes too; the platform was away meanwhile. */
static void test_claimant_killed(void)
{
	struct request_world *w = request_world_new_with(SHORT_MS);
	const struct request_call_spec spec = { "lost", 1, LONG_WORK_MS,
						LONG_DEADLINE_MS };
	struct request_call *call = request_world_send(w, 0, &spec);

	request_world_wait_started(w, "lost");
	request_world_kill_gateway(w);
	request_world_platform_down(w);
	cluster_sleep(GONE_MS(SHORT_MS) / 4);
	cluster_control(w->cluster, w->platform, "{\"mode\":\"ok\"}");
	g_assert_true(cluster_wait(is_empty, w, GONE_MS(SHORT_MS)));
	request_call_wait(call);
	request_call_free(call);
	request_world_free(w);
}

static const struct {
	int64_t rows; /* spread evenly */
	int64_t row_bytes;
	guint digits;	 /* that the walk comes to */
	guint max_scans; /* of the pass after that */
} walks[] = {
	{ 0, 300, 0, 1 },
	{ 50, 300, 0, 1 },
	{ 20000, 300, 2, 256 },
	{ 4000000, 300, 4, 65536 },
};

/* Each pass covers every hash once, in parts that fit the table's size. */
static void test_walk(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(walks); i++) {
		struct claim_walk w;
		guint scans = 0;

		claim_walk_init(&w, "g0");
		for (guint pass = 0; pass < 2; pass++) {
			gboolean is_over = FALSE;

			for (scans = 0; !is_over; scans++)
				is_over = claim_walk_next(
					&w,
					(walks[i].rows * walks[i].row_bytes) >>
						(4 * w.digits));
		}
		g_test_message("%" G_GINT64_FORMAT " rows: %u scans, %u digits",
			       walks[i].rows, scans, w.digits);
		g_assert_cmpuint(w.digits, ==, walks[i].digits);
		g_assert_cmpuint(scans, <=, walks[i].max_scans);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim-expiry/walk", test_walk);
	g_test_add_func("/claim-expiry/gone", test_gone);
	g_test_add_func("/claim-expiry/held", test_held);
	g_test_add_func("/claim-expiry/claimant-killed", test_claimant_killed);
	return g_test_run();
}
