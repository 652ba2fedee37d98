/*
 * The report to operators on an account's guaranteed shapes: state, time,
 * reason, workers and affected jobs of a guarantee.
 */
#include <glib.h>
#include <string.h>

#include "config/config_doc.h"
#include "job/guarantee_explanation.h"

#define POOL "salkhi.tov-a"
#define EPOCH 7
#define SET_MS INT64_C(1000)  /* time at which guarantees are set */
#define LOST_MS INT64_C(2000) /* time of the update after a worker is lost */
#define BACK_MS INT64_C(3000) /* time of the update after its return */
#define NOW_MS INT64_C(9000)
#define WALL_OFFSET_MS INT64_C(1700000000000)

struct placed_job {
	const char *id;
	const char *client_account;
	const char *worker;
	int64_t accelerators;
};

static const struct {
	const char *name;
	struct placed_job jobs[3]; /* terminated by a NULL id */
	gboolean is_lost;	   /* worker w1 becomes unusable */
	gboolean is_back;	   /* and usable again */
	const char *answer;	   /* expected JSON of the guarantee */
} cases[] = {
	{ "idle",
	  { { 0 } },
	  FALSE,
	  FALSE,
	  "{\"name\":\"s\",\"state\":\"held\",\"since_ms\":1700000001000,"
	  "\"reason\":\"free now\",\"workers\":[\"w0\",\"w1\"],"
	  "\"used_by\":[],\"would_stop\":[]}" },
	{ "borrowed",
	  { { "j", "b", "w1", 2 } },
	  FALSE,
	  FALSE,
	  "{\"name\":\"s\",\"state\":\"held\",\"since_ms\":1700000001000,"
	  "\"reason\":\"stopping borrowed work alone makes room there\","
	  "\"workers\":[\"w0\",\"w1\"],"
	  "\"used_by\":[],\"would_stop\":[\"j\"]}" },
	{ "in use in part",
	  { { "j", "b", "w1", 2 }, { "own", "a", "w0", 8 } },
	  FALSE,
	  FALSE,
	  "{\"name\":\"s\",\"state\":\"in use in part\","
	  "\"since_ms\":1700000001000,\"reason\":\"the account's own work is "
	  "never stopped for others\",\"workers\":[\"w0\",\"w1\"],"
	  "\"used_by\":[\"own\"],\"would_stop\":[\"j\"]}" },
	{ "lost",
	  { { 0 } },
	  TRUE,
	  FALSE,
	  "{\"name\":\"s\",\"state\":\"not held\",\"since_ms\":1700000002000,"
	  "\"reason\":\"no usable workers can hold it beside the other "
	  "guarantees and the guaranteed work that runs\",\"workers\":"
	  "[\"\",\"\"],\"used_by\":[],\"would_stop\":[]}" },
	{ "back",
	  { { 0 } },
	  TRUE,
	  TRUE,
	  "{\"name\":\"s\",\"state\":\"held\",\"since_ms\":1700000003000,"
	  "\"reason\":\"free now\",\"workers\":[\"w0\",\"w1\"],"
	  "\"used_by\":[],\"would_stop\":[]}" },
};

static void set_guarantee(struct pool *pool)
{
	struct guaranteed_shape shape = { "s",
					  POOL,
					  { 2, 8, 1, 1, ADJACENCY_RACK } };
	struct client_account account = { .name = "a" };
	struct config_doc doc = { 0 };

	account.guaranteed_shapes =
		g_array_new(FALSE, FALSE, sizeof(struct guaranteed_shape));
	g_array_append_val(account.guaranteed_shapes, shape);
	doc.client_accounts =
		g_array_new(FALSE, FALSE, sizeof(struct client_account));
	g_array_append_val(doc.client_accounts, account);
	pool_set_guarantees(pool, &doc);
	g_array_unref(doc.client_accounts);
	g_array_unref(account.guaranteed_shapes);
}

static void place(struct pool *pool, const struct placed_job *at)
{
	struct pool_job job = { .id = at->id,
				.client_account = at->client_account,
				.class = JOB_CLASS_NORMAL,
				.shape = { 1, at->accelerators, 1, 1,
					   ADJACENCY_NONE } };
	struct placement p;

	placement_init(&p);
	g_ptr_array_add(p.workers, g_strdup(at->worker));
	p.is_guaranteed = g_str_equal(at->client_account, "a");
	g_assert_cmpint(pool_assign(pool, &job, &p, SET_MS), ==, STATUS_OK);
	placement_clear(&p);
}

static struct pool *open_pool(void)
{
	static const struct worker_spec specs[] = {
		{ "w0", "r0", "127.0.0.1:1", 8, 64, 65536 },
		{ "w1", "r0", "127.0.0.1:2", 8, 64, 65536 },
	};
	struct pool *pool = pool_new(POOL);

	for (guint i = 0; i < G_N_ELEMENTS(specs); i++)
		pool_add_worker(pool, &specs[i]);
	set_guarantee(pool);
	return pool;
}

static void check_answer(json_object *json, const char *expected)
{
	json_object *list = NULL;
	const char *text;

	g_assert_nonnull(json);
	g_assert_true(json_object_object_get_ex(json, "guarantees", &list));
	text = json_object_to_json_string_ext(
		json_object_array_get_idx(list, 0), JSON_C_TO_STRING_PLAIN);
	g_assert_cmpstr(text, ==, expected);
	g_assert_nonnull(json_object_object_get(json, "lines"));
	json_object_put(json);
}

static void test_explain(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct guarantee_watch *watch = guarantee_watch_new();
		struct pool *pool = open_pool();

		g_test_message("%s", cases[i].name);
		guarantee_watch_restart(watch, SET_MS);
		for (const struct placed_job *p = cases[i].jobs; p->id; p++)
			place(pool, p);
		if (cases[i].is_lost)
			pool_set_worker_usable(pool, "w1", FALSE);
		guarantee_watch_update(watch, pool, LOST_MS);
		pool_set_worker_usable(pool, "w1",
				       !cases[i].is_lost || cases[i].is_back);
		guarantee_watch_update(watch, pool, BACK_MS);
		check_answer(guarantee_explanation_json(pool, watch, "a", EPOCH,
							NOW_MS, WALL_OFFSET_MS),
			     cases[i].answer);
		g_assert_null(guarantee_explanation_json(
			pool, watch, "b", EPOCH, NOW_MS, WALL_OFFSET_MS));
		guarantee_watch_free(watch);
		pool_free(pool);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/guarantees/explain", test_explain);
	return g_test_run();
}
