/*
 * The job API of a gateway, with processes of the gateway, a scheduler, the
 * platform's stand-in and workers.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS 15000
/* Required limit from the call until all members of an urgent job run. */
#define URGENT_START_MAX_MS 1500
#define URGENT_RUNS 10
#define POOL_QUERY "?pool=" GANG_POOL

#define SHAPE(members, accelerators)                                \
	"{\"members\":" #members ",\"accelerators\":" #accelerators \
	",\"cores\":1,\"memory_mb\":1,\"adjacency\":\"none\"}"
#define CONFIG                                                                \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","                   \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["             \
	"{\"name\":\"a\",\"service\":\"salkhi\",\"share\":1,"                 \
	"\"guaranteed_shapes\":[{\"name\":\"s\",\"pool\":\"salkhi.tov-a\","   \
	"\"shape\":" SHAPE(1, 1) "}]}],"                                      \
				 "\"jobs\":[{\"name\":\"gust-map\",\"client_" \
				 "account\":\"a\","                           \
				 "\"pool\":\"salkhi.tov-a\",\"class\":"       \
				 "\"normal\",\"shape\":" SHAPE(               \
					 3, 8) ",\"expected_run_ms\":300,"    \
					       "\"is_checkpointable\":true}]}"

struct gateway {
	struct gang_cluster *pool;
	char *address;
	char *link;
	guint code; /* HTTP status code of the last call */
	char *text; /* body of the last answer, owned */
};

static void call(struct gateway *g, const char *method, const char *path,
		 const char *body)
{
	struct cluster_reply r =
		cluster_call(g->pool->cluster, method, g->address, path, body,
			     NULL, TIMEOUT_MS);

	g->code = r.code;
	g_free(g->text);
	g->text = g_strdup(r.body ? json_object_to_json_string_ext(
					    r.body, JSON_C_TO_STRING_PLAIN)
				  : "");
	cluster_reply_clear(&r);
}

static gboolean config_is_accepted(void *data)
{
	call(data, "POST", "/v1/config",
	     "{\"base_version\":0,\"config\":" CONFIG "}");
	return ((struct gateway *)data)->code == 200;
}

/* Returns TRUE if the gateway checks jobs against the configuration. */
static gboolean gateway_validates_jobs(void *data)
{
	call(data, "POST", "/v1/jobs", "{\"id\":\"x\",\"job\":\"none\"}");
	return ((struct gateway *)data)->code == 400;
}

static void open_gateway(struct gateway *g)
{
	struct cluster_node_spec node = { .node = "gate" };

	memset(g, 0, sizeof(*g));
	g->pool = gang_cluster_open(1);
	g->address = cluster_reserve_address();
	g->link = cluster_reserve_address();
	node.http = g->address;
	node.link = g->link;
	node.platform = g->pool->platform;
	cluster_spawn_node(g->pool->cluster, "csgated", &node);
	g_assert_true(cluster_wait(config_is_accepted, g, TIMEOUT_MS));
	g_assert_true(cluster_wait(gateway_validates_jobs, g, TIMEOUT_MS));
}

static void close_gateway(struct gateway *g)
{
	gang_cluster_close(g->pool);
	g_free(g->address);
	g_free(g->link);
	g_free(g->text);
}

/* A job that doesn't refer to a job of the configuration. */
#define INLINE_JOB(id, run_ms)                                              \
	"{\"id\":\"" id "\",\"client_account\":\"a\",\"pool\":\"" GANG_POOL \
	"\",\"run_ms\":" #run_ms ",\"shape\":" SHAPE(1, 1) "}"

static const struct {
	const char *method;
	const char *path;
	const char *body;
	guint code;
	const char *expected_text;
} calls[] = {
	{ "POST", "/v1/jobs", "{\"id\":\"j\",\"job\":\"gust-map\"}", 202,
	  "\"accepted\"" },
	{ "POST", "/v1/jobs", "{\"id\":\"j\",\"job\":\"gust-map\"}", 200,
	  "\"accepted\"" },
	{ "POST", "/v1/jobs",
	  "{\"id\":\"j\",\"job\":\"gust-map\",\"run_ms\":9}", 409, "id-taken" },
	{ "POST", "/v1/jobs", INLINE_JOB("own", 100), 202, "\"accepted\"" },
	{ "POST", "/v1/jobs", "{\"id\":\"a/b\",\"job\":\"gust-map\"}", 400,
	  "bad character" },
	{ "POST", "/v1/jobs", "{\"id\":\"k\",\"job\":\"other\"}", 400,
	  "no such job" },
	{ "POST", "/v1/jobs", "{\"id\":\"k\",\"pool\":\"salkhi.tov-a\"}", 400,
	  "client_account" },
	{ "GET", "/v1/jobs/j" POOL_QUERY, NULL, 200, "\"id\":\"j\"" },
	{ "GET", "/v1/jobs/none" POOL_QUERY, NULL, 404, "no-such-job" },
	{ "DELETE", "/v1/jobs/none" POOL_QUERY, NULL, 404, "no-such-job" },
	{ "GET", "/v1/explain/guarantee/b" POOL_QUERY, NULL, 404,
	  "not-known-to-holder" },
};

static void check_call(struct gateway *g, const char *method, const char *path,
		       const char *body, guint code, const char *expected_text)
{
	call(g, method, path, body);
	g_assert_cmpuint(g->code, ==, code);
	g_assert_nonnull(strstr(g->text, expected_text));
}

static void wait_state(struct gateway *g, const char *id, const char *state)
{
	g_assert_true(gang_cluster_wait_state(g->pool, id, state, TIMEOUT_MS));
}

/* The scheduler receives the configuration a little later than the gateway. */
static gboolean explains_guarantee(void *data)
{
	struct gateway *g = data;

	call(g, "GET", "/v1/explain/guarantee/a" POOL_QUERY, NULL);
	return g->code == 200 &&
	       strstr(g->text, "\"guarantees\":[{\"name\":\"s\"");
}

static void test_calls(void)
{
	struct gateway g;

	open_gateway(&g);
	g_assert_true(cluster_wait(explains_guarantee, &g, TIMEOUT_MS));
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_test_message("%s %s %s", calls[i].method, calls[i].path,
			       calls[i].body ? calls[i].body : "");
		check_call(&g, calls[i].method, calls[i].path, calls[i].body,
			   calls[i].code, calls[i].expected_text);
	}
	wait_state(&g, "j", "done");
	check_call(&g, "GET", "/v1/explain/job/j" POOL_QUERY, NULL, 200,
		   "\"lines\"");
	check_call(&g, "POST", "/v1/jobs", INLINE_JOB("long", 600000), 202, "");
	wait_state(&g, "long", "running");
	check_call(&g, "DELETE", "/v1/jobs/long" POOL_QUERY, NULL, 202, "");
	wait_state(&g, "long", "cancelled");
	close_gateway(&g);
}

/* The platform's answer is lost after the job's row was written. */
static void test_answer_lost(void)
{
	struct gateway g;

	open_gateway(&g);
	cluster_control(g.pool->cluster, g.pool->platform,
			"{\"lose_answers\":1,\"lose_table\":\"jobs\"}");
	check_call(&g, "POST", "/v1/jobs", INLINE_JOB("lost", 100), 202, "");
	wait_state(&g, "lost", "done");
	g_assert_cmpuint(gang_cluster_count_events(g.pool, "lost", "started"),
			 ==, 1);
	close_gateway(&g);
}

/* "not run" is answered only if the job's row certainly wasn't written. */
static void test_platform_gone(void)
{
	struct gateway g;

	open_gateway(&g);
	cluster_control(g.pool->cluster, g.pool->platform,
			"{\"mode\":\"down\"}");
	check_call(&g, "POST", "/v1/jobs", INLINE_JOB("down", 100), 504,
		   "unknown");
	cluster_signal(g.pool->platform_process, SIGKILL);
	cluster_wait_exit(g.pool->platform_process, TIMEOUT_MS);
	check_call(&g, "POST", "/v1/jobs", INLINE_JOB("gone", 100), 503,
		   "not run");
	close_gateway(&g);
}

/* The holder is notified of an urgent job; its next scan would be too late. */
static void test_urgent(void)
{
	struct gateway g;

	open_gateway(&g);
	for (guint i = 0; i < URGENT_RUNS; i++) {
		char *id = g_strdup_printf("u%u", i);
		char *body = g_strdup_printf(
			"{\"id\":\"%s\",\"client_account\":\"a\",\"pool\":"
			"\"" GANG_POOL "\",\"class\":\"urgent\",\"run_ms\":50,"
			"\"shape\":" SHAPE(3, 2) "}",
			id);
		int64_t begin_ms = util_monotonic_ms();

		call(&g, "POST", "/v1/jobs", body);
		g_assert_cmpuint(g.code, ==, 202);
		g_assert_true(gang_cluster_wait_events(g.pool, id, "started", 3,
						       TIMEOUT_MS));
		g_assert_cmpint(util_monotonic_ms() - begin_ms, <=,
				URGENT_START_MAX_MS);
		g_free(id);
		g_free(body);
		cluster_sleep(130);
	}
	close_gateway(&g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/job-api/calls", test_calls);
	g_test_add_func("/job-api/answer-lost", test_answer_lost);
	g_test_add_func("/job-api/platform-gone", test_platform_gone);
	g_test_add_func("/job-api/urgent", test_urgent);
	return g_test_run();
}
