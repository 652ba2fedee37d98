/*
 * Tests of the scheduler of one pool. Its operations are stubs; only writes of
 * rows are recorded.
 */
#include <glib.h>

#include "job/job_entry.h"
#include "job/placement/placement.h"
#include "job/pool_state.h"
#include "job/scheduler_state.h"

#define NOW_MS 1000
#define WALL_MS INT64_C(1700000000000)

struct recorded_writes {
	guint writes;
	guint deletions;
	int64_t call_id; /* of the last write */
};

static void ignore_call(const char *worker, const char *address,
			int64_t call_id, const struct worker_call *call,
			void *data)
{
}

static void record_write(const char *id, int64_t call_id,
			 const struct job_record *r, int64_t expected_version,
			 void *data)
{
	struct recorded_writes *n = data;

	n->call_id = call_id;
	if (r)
		n->writes++;
	else
		n->deletions++;
}

static void ignore_read(const char *id, int64_t call_id, void *data)
{
}

static void ignore_scan(void *data)
{
}

static const struct scheduler_ops ops = {
	.call_worker = ignore_call,
	.write_row = record_write,
	.read_row = ignore_read,
	.scan_rows = ignore_scan,
};

/* Returns a holder without workers that has recovered with one row. */
static struct scheduler *new_holder(struct recorded_writes *n,
				    enum job_state state, int64_t ended_ms)
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

	scheduler_on_worker_list(s, NULL, 0, NOW_MS);
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
	{ WALL_MS - JOB_ENDED_RETENTION_MS, JOB_DONE, 1 },
	{ WALL_MS - JOB_ENDED_RETENTION_MS, JOB_CANCELLED, 1 },
	{ WALL_MS - JOB_ENDED_RETENTION_MS + 1, JOB_DONE, 0 },
	{ 0, JOB_DONE, 0 },
};

static void test_old_rows(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(old_cases); i++) {
		struct recorded_writes n = { 0 };
		struct scheduler *s = new_holder(&n, old_cases[i].state,
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

/* A job that can never run in the pool is refused at once, and its row written.
 */
static void test_never_fits(void)
{
	struct recorded_writes n = { 0 };
	struct scheduler *s = new_holder(&n, JOB_QUEUED, 0);
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

#define POOL_VMS 8
/* Ten days at the specified 200 replaced VMs a day. */
#define REPLACED_VMS 2000
#define REPLACE_PERIOD_MS (INT64_C(24) * 3600 * 1000 / 200)
#define REPLACE_TICK_MS INT64_C(60000)

/* Passes a list of POOL_VMS workers, numbered from @first, to the scheduler. */
static void list_workers(struct scheduler *s, guint first, int64_t now_ms)
{
	struct listed_worker list[POOL_VMS] = { 0 };
	char names[POOL_VMS][16];
	char racks[POOL_VMS][16];

	for (guint i = 0; i < POOL_VMS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "w%u", first + i);
		g_snprintf(racks[i], sizeof(racks[i]), "r%u", (first + i) / 4);
		list[i].spec =
			(struct worker_spec){ names[i], racks[i], "127.0.0.1:1",
					      8,	64,	  65536 };
	}
	scheduler_on_worker_list(s, list, POOL_VMS, now_ms);
}

/* Fails all calls in flight, as if the VMs were gone. */
static void fail_calls(struct scheduler *s, int64_t now_ms)
{
	GList *all = g_hash_table_get_values(s->workers);

	for (GList *l = all; l; l = l->next) {
		struct worker_contact *c = l->data;

		scheduler_on_worker_answer(s, c->name, c->call_id,
					   WORKER_FAILED, NULL, now_ms);
	}
	g_list_free(all);
}

/*
 * Guards against a memory leak: workers replaced by the platform have to be
 * forgotten, by a holder and by a standby.
 */
static void test_replaced_vms(gconstpointer role)
{
	struct recorded_writes n = { 0 };
	struct scheduler *s = new_holder(&n, JOB_DONE, 0);
	int64_t now_ms = NOW_MS;
	guint max_workers = 0;

	if (GPOINTER_TO_INT(role) != POOL_ROLE_HOLDER)
		scheduler_set_role(s, GPOINTER_TO_INT(role), 2, now_ms);
	for (guint i = 0; i < REPLACED_VMS; i++) {
		list_workers(s, i, now_ms);
		for (int64_t t = 0; t < REPLACE_PERIOD_MS;
		     t += REPLACE_TICK_MS) {
			now_ms += REPLACE_TICK_MS;
			fail_calls(s, now_ms);
			scheduler_tick(s, now_ms, WALL_MS + now_ms);
		}
		max_workers = MAX(max_workers, s->pool->workers->len);
		max_workers = MAX(max_workers, g_hash_table_size(s->workers));
	}
	g_test_message("peak: %u workers in memory", max_workers);
	g_assert_cmpuint(
		max_workers, <=,
		POOL_VMS + 1 +
			(guint)(JOB_IMPOSSIBLE_GRACE_MS / REPLACE_PERIOD_MS) +
			1);
	g_assert_cmpuint(s->pool->racks->len, <=, s->pool->workers->len);
	scheduler_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/scheduler/old-rows", test_old_rows);
	g_test_add_func("/scheduler/never-fits", test_never_fits);
	g_test_add_data_func("/scheduler/replaced-vms/holder",
			     GINT_TO_POINTER(POOL_ROLE_HOLDER),
			     test_replaced_vms);
	g_test_add_data_func("/scheduler/replaced-vms/standby",
			     GINT_TO_POINTER(POOL_ROLE_NONE),
			     test_replaced_vms);
	return g_test_run();
}
