/*
 * The scheduler of one pool, with its calls noted instead of made.
 */
#include <glib.h>

#include "job/job_entry.h"
#include "job/placement/placement.h"
#include "job/scheduler.h"

#define NOW_MS 1000
#define WALL_MS INT64_C(1700000000000)

struct noted {
	guint writes;
	guint deletions;
	int64_t call_id; /* of the last write */
};

static void note_call(const char *worker, const char *address, int64_t call_id,
		      const struct worker_call *call, void *data)
{
}

static void note_write(const char *id, int64_t call_id,
		       const struct job_record *r, int64_t expected_version,
		       void *data)
{
	struct noted *n = data;

	n->call_id = call_id;
	if (r)
		n->writes++;
	else
		n->deletions++;
}

static void note_read(const char *id, int64_t call_id, void *data)
{
}

static void note_scan(void *data)
{
}

static const struct scheduler_ops ops = {
	.call_worker = note_call,
	.write_row = note_write,
	.read_row = note_read,
	.scan_rows = note_scan,
};

/* Returns a holder without workers that has read one row. */
static struct scheduler *open_scheduler(struct noted *n, enum job_state state,
					int64_t ended_ms)
{
	const struct scheduler_spec spec = {
		.pool = "salkhi.tov-a",
		.node = "n",
		.incarnation = "i",
		.policy = PLACEMENT_POLICY_DEFAULT,
		.ops = &ops,
		.data = n,
	};
	struct scheduler *s = scheduler_new(&spec);
	struct job_record r = {
		.id = "j",
		.pool = "salkhi.tov-a",
		.client_account = "a",
		.shape = { 1, 1, 1, 1, ADJACENCY_NONE },
		.state = state,
		.ended_ms = ended_ms,
		.reason = "",
	};

	scheduler_on_workers(s, NULL, 0, NOW_MS);
	scheduler_set_role(s, POOL_ROLE_HOLDER, 1, NOW_MS);
	scheduler_on_row(s, 1, &r, NOW_MS);
	scheduler_on_scanned(s, STATUS_OK, NOW_MS);
	return s;
}

static const struct {
	int64_t ended_ms;
	enum job_state state;
	guint deletions;
} old_cases[] = {
	{ WALL_MS - JOB_KEEP_ENDED_MS, JOB_DONE, 1 },
	{ WALL_MS - JOB_KEEP_ENDED_MS, JOB_CANCELLED, 1 },
	{ WALL_MS - JOB_KEEP_ENDED_MS + 1, JOB_DONE, 0 },
	{ 0, JOB_DONE, 0 },
};

static void test_old_rows(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(old_cases); i++) {
		struct noted n = { 0 };
		struct scheduler *s = open_scheduler(&n, old_cases[i].state,
						     old_cases[i].ended_ms);

		scheduler_tick(s, NOW_MS, WALL_MS);
		scheduler_tick(s, NOW_MS, WALL_MS);
		g_assert_cmpuint(n.deletions, ==, old_cases[i].deletions);
		scheduler_on_written(s, "j", n.call_id, STATUS_OK, 0, NOW_MS);
		scheduler_tick(s, NOW_MS, WALL_MS);
		g_assert_cmpuint(n.deletions, ==, old_cases[i].deletions);
		scheduler_free(s);
	}
}

/* A job that can never run is refused at once, with the reason in its row. */
static void test_never_fits(void)
{
	struct noted n = { 0 };
	struct scheduler *s = open_scheduler(&n, JOB_QUEUED, 0);
	json_object *json;

	scheduler_tick(s, NOW_MS, WALL_MS);
	json = scheduler_explain(s, "j");
	g_assert_nonnull(json);
	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(json, "state")),
		==, "refused");
	g_assert_cmpuint(n.writes, ==, 1);
	json_object_put(json);
	scheduler_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scheduler/old-rows", test_old_rows);
	g_test_add_func("/scheduler/never-fits", test_never_fits);
	return g_test_run();
}
