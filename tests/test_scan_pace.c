/*
 * Rate limit, in bytes, of a holder's scans of its job rows: in virtual time,
 * and over real processes with rows of large gangs.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "job/job_record.h"
#include "job/scan_pace.h"
#include "tests/gang_cluster.h"

#define ANSWER_MS 40
/* Length of the simulated time. */
#define SPAN_MS INT64_C(300000)
#define MAX_REQUESTS 4
#define NO_REQUEST (-1)

#define ROWS 10
#define OBSERVE_MS 8000
/* Maximum time from a submission to the start of the job. */
#define START_MS 1500
#define TIMEOUT_MS INT64_C(20000)
/* Allowance for the platform's other answers: lease row, VM list, headers. */
#define OTHER_BYTES_PER_S 1500

struct pace_case {
	const char *description;
	int64_t body_bytes;  /* 0 for answers without a body */
	int64_t later_bytes; /* size in the second half of the time */
	/* Times of requested scans; ends with NO_REQUEST or is full. */
	int64_t requests_ms[MAX_REQUESTS];
	int64_t max_interval_ms; /* longest time between two scans */
	guint scans;
	gboolean is_first_discarded; /* the first answer is unusable */
};

static const struct pace_case cases[] = {
	{ "no rows", 11, 11, { NO_REQUEST }, 2040, 148, FALSE },
	{ "no answer", 0, 0, { NO_REQUEST }, 2040, 148, FALSE },
	{ "few rows", 8000, 8000, { NO_REQUEST }, 2040, 148, FALSE },
	{ "40 gangs of 200", 78000, 78000, { NO_REQUEST }, 19540, 16, FALSE },
	{ "rows grow", 2000, 80000, { NO_REQUEST }, 20040, 82, FALSE },
	{ "rows removed", 80000, 2000, { NO_REQUEST }, 20040, 77, FALSE },
	{ "one request", 40000, 40000, { 1000, NO_REQUEST }, 19041, 30, FALSE },
	{ "four requests",
	  40000,
	  40000,
	  { 100, 200, 300, 400 },
	  49641,
	  30,
	  FALSE },
	{ "first answer discarded",
	  40000,
	  40000,
	  { NO_REQUEST },
	  20000,
	  30,
	  TRUE },
};

static gboolean is_requested(const struct pace_case *c, int64_t now_ms)
{
	for (guint i = 0; i < MAX_REQUESTS && c->requests_ms[i] != NO_REQUEST;
	     i++) {
		if (c->requests_ms[i] == now_ms)
			return TRUE;
	}
	return FALSE;
}

struct pace_run {
	struct scan_pace pace;
	int64_t answer_ms; /* end of the scan in flight, 0 without one */
	int64_t last_ms;
	int64_t max_interval_ms;
	int64_t bytes;
	guint scans;
};

static void begin_scan(struct pace_run *x, int64_t now_ms)
{
	if (x->scans++)
		x->max_interval_ms =
			MAX(x->max_interval_ms, now_ms - x->last_ms);
	x->last_ms = now_ms;
	x->answer_ms = now_ms + ANSWER_MS;
}

static void end_scan(struct pace_run *x, const struct pace_case *c,
		     int64_t now_ms)
{
	int64_t bytes = now_ms < SPAN_MS / 2 ? c->body_bytes : c->later_bytes;

	x->answer_ms = 0;
	x->bytes += bytes;
	scan_pace_add(&x->pace, bytes, now_ms);
	if (!c->is_first_discarded || x->scans > 1)
		scan_pace_schedule_next(&x->pace, now_ms);
}

static void test_table(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct pace_case *c = &cases[i];
		struct pace_run x = { 0 };
		guint requests = 0;

		scan_pace_init(&x.pace);
		for (int64_t t = 1; t <= SPAN_MS; t++) {
			if (x.answer_ms == t)
				end_scan(&x, c, t);
			if (is_requested(c, t)) {
				requests++;
				scan_pace_request_now(&x.pace);
				g_assert_cmpint(x.pace.next_ms, <=, t);
			}
			if (!x.answer_ms && t >= x.pace.next_ms)
				begin_scan(&x, t);
		}
		g_test_message(
			"%s: %u scans, %" G_GINT64_FORMAT
			" bytes, at most %" G_GINT64_FORMAT " ms between scans",
			c->description, x.scans, x.bytes, x.max_interval_ms);
		g_assert_cmpint(x.max_interval_ms, <=, c->max_interval_ms);
		g_assert_cmpuint(x.scans, ==, c->scans);
		g_assert_cmpint(
			x.bytes, <=,
			SPAN_MS * SCAN_PACE_BYTES_PER_S / MS_PER_S +
				(1 + requests + c->is_first_discarded) *
					MAX(c->body_bytes, c->later_bytes));
	}
}

/*
 * Returns a write, as JSON of a commit, of the row of an ended gang of maximum
 * size; free it.
 */
static char *make_row_write(guint index)
{
	struct job_record r = {
		.id = g_strdup_printf("old%u", index),
		.pool = g_strdup(GANG_POOL),
		.client_account = g_strdup("a"),
		.shape = { GANG_MAX_MEMBERS, 0, 1, 1, ADJACENCY_NONE },
		.state = JOB_DONE,
		.ended_ms = util_wall_ms(),
		.placement = g_ptr_array_new_with_free_func(g_free),
	};
	json_object *value;
	char *write;

	for (guint i = 0; i < GANG_MAX_MEMBERS; i++)
		g_ptr_array_add(r.placement,
				g_strdup_printf("a-worker-of-old-%04u", i));
	value = job_record_encode(&r);
	write = g_strdup_printf("{\"table\":\"jobs\",\"key\":\"" GANG_POOL
				"/%s\",\"expected_version\":0,\"value\":%s}",
				r.id, json_object_to_json_string(value));
	json_object_put(value);
	job_record_clear(&r);
	return write;
}

/*
 * Writes all rows in one commit, so that no scan reads only some of them.
 * Returns the size of the commit in bytes.
 */
static int64_t add_rows(struct gang_cluster *g)
{
	GString *body = g_string_new("{\"writes\":[");
	struct cluster_reply reply;
	int64_t bytes;

	for (guint i = 0; i < ROWS; i++) {
		char *write = make_row_write(i);

		g_string_append_printf(body, "%s%s", i ? "," : "", write);
		g_free(write);
	}
	g_string_append(body, "]}");
	bytes = (int64_t)body->len;
	reply = cluster_call(g->cluster, "POST", g->platform, "/commit",
			     body->str, NULL, CLUSTER_CALL_TIMEOUT_MS);
	g_assert_cmpuint(reply.code, ==, 200);
	cluster_reply_clear(&reply);
	g_string_free(body, TRUE);
	return bytes;
}

static int64_t read_received_bytes(struct gang_cluster *g, guint index)
{
	const char *const key = "\ncs_platform_received_bytes ";
	struct cluster_reply r = cluster_call(
		g->cluster, "GET", g->addresses[index], "/v1/counters", NULL,
		NULL, CLUSTER_CALL_TIMEOUT_MS);
	const char *line;
	int64_t bytes;

	g_assert_cmpuint(r.code, ==, 200);
	line = strstr(r.text, key);
	g_assert_nonnull(line);
	bytes = g_ascii_strtoll(line + strlen(key), NULL, 10);
	cluster_reply_clear(&r);
	return bytes;
}

struct scan_wait {
	struct gang_cluster *cluster;
	guint holder;
	int64_t bytes;
};

static gboolean has_received(void *data)
{
	struct scan_wait *w = data;

	return read_received_bytes(w->cluster, w->holder) >= w->bytes;
}

/*
 * Checks that a job that the gateway announces starts without waiting for the
 * next scan.
 */
static void check_prompt_start(struct gang_cluster *g, const char *id)
{
	const struct gang_submission job = { id, 3, 1, 600000, NULL, FALSE };

	gang_cluster_submit(g, &job);
	gang_cluster_poke(g, id);
	g_assert_true(gang_cluster_wait_state(g, id, "running", START_MS));
}

/*
 * Called after a scan of all rows: the next one must not follow within
 * OBSERVE_MS, so only the answers to other reads arrive.
 */
static void check_bytes(struct gang_cluster *g, guint holder,
			int64_t rows_bytes)
{
	int64_t begin_ms = util_monotonic_ms();
	int64_t received = -read_received_bytes(g, holder);
	int64_t bound;

	check_prompt_start(g, "told");
	cluster_sleep(OBSERVE_MS);
	received += read_received_bytes(g, holder);
	bound = (util_monotonic_ms() - begin_ms) *
		(SCAN_PACE_BYTES_PER_S + OTHER_BYTES_PER_S) / MS_PER_S;
	g_test_message("received %" G_GINT64_FORMAT
		       " bytes, size of the rows %" G_GINT64_FORMAT " bytes",
		       received, rows_bytes);
	g_assert_cmpint(rows_bytes, >, bound);
	g_assert_cmpint(received, <=, bound);
}

static void test_large_rows(void)
{
	struct gang_cluster *g = gang_cluster_open(2);
	int holder = gang_cluster_holder(g);
	struct scan_wait wait = { g, (guint)holder, 0 };
	int64_t rows_bytes;

	g_assert_cmpint(holder, >=, 0);
	wait.bytes = read_received_bytes(g, wait.holder);
	rows_bytes = add_rows(g);
	wait.bytes += rows_bytes * 9 / 10;
	g_assert_true(cluster_wait(has_received, &wait, TIMEOUT_MS));
	check_bytes(g, wait.holder, rows_bytes);
	/* A new holder reads all rows at once. */
	cluster_signal(g->schedulers[holder], SIGKILL);
	gang_cluster_wait_ready(g);
	check_prompt_start(g, "after");
	g_assert_cmpuint(gang_cluster_count_events(g, "told", "started"), ==,
			 3);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scan-pace/table", test_table);
	g_test_add_func("/scan-pace/large-rows", test_large_rows);
	return g_test_run();
}
