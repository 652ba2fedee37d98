/*
 * The load tool against one gateway with stand-ins: every request sent is
 * counted once, by what became of it; bad settings are refused.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "tests/cluster.h"

#define TIMEOUT_MS 20000
#define RUN_TIMEOUT_MS 60000
#define CONFIG                                                    \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","       \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":[" \
	"{\"name\":\"a\",\"service\":\"salkhi\",\"share\":1,"     \
	"\"requests_per_s\":5000,\"queued_requests\":200}],"      \
	"\"jobs\":[]}"

struct world {
	struct cluster *cluster;
	struct cluster_process *runner;
	char *platform;
	char *endpoint;
	char *gateway;
	guint runs; /* of the tool, for the names of its logs */
};

static gboolean takes_config(void *data)
{
	struct world *w = data;
	struct cluster_reply r = cluster_call(
		w->cluster, "POST", w->gateway, "/v1/config",
		"{\"base_version\":0,\"config\":" CONFIG "}", NULL, TIMEOUT_MS);
	gboolean is_taken = r.code == 200 || r.code == 409;

	cluster_reply_clear(&r);
	return is_taken;
}

static gboolean serves(void *data)
{
	struct world *w = data;
	struct cluster_reply r = cluster_call(
		w->cluster, "POST", w->gateway, "/v1/requests",
		"{\"client_account\":\"a\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{\"work_ms\":1}}",
		NULL, TIMEOUT_MS);
	gboolean is_done = r.code == 200;

	cluster_reply_clear(&r);
	return is_done;
}

static struct world *world_new(void)
{
	struct world *w = g_new0(struct world, 1);
	struct cluster_node node = { .node = "g0" };
	struct cluster_process *p;
	char *link = cluster_address();

	w->cluster = cluster_new();
	p = cluster_spawn(w->cluster, "cs-standin-platform", "platform", NULL);
	w->platform = cluster_listening(p, 0);
	w->runner =
		cluster_spawn(w->cluster, "cs-standin-runner", "runner",
			      CLUSTER_ARGS("--platform", w->platform, "--vm",
					   "r", "--service", "salkhi",
					   "--failure-domain", "tov-a"));
	w->endpoint = cluster_listening(w->runner, 0);
	w->gateway = cluster_address();
	node.http = w->gateway;
	node.link = link;
	node.platform = w->platform;
	cluster_spawn_node(w->cluster, "csgated", &node);
	g_assert_true(cluster_wait(takes_config, w, TIMEOUT_MS));
	g_assert_true(cluster_wait(serves, w, TIMEOUT_MS));
	g_free(link);
	return w;
}

static void world_free(struct world *w)
{
	cluster_free(w->cluster);
	g_free(w->platform);
	g_free(w->endpoint);
	g_free(w->gateway);
	g_free(w);
}

static struct cluster_process *start_tool(struct world *w,
					  const char *const *args)
{
	char *name = g_strdup_printf("load%u", w->runs++);
	struct cluster_process *p =
		cluster_spawn(w->cluster, "cs-load", name, args);

	g_free(name);
	return p;
}

static char *output_of(const struct cluster_process *p)
{
	char *text = NULL;

	g_file_get_contents(p->log, &text, NULL, NULL);
	return text ? text : g_strdup("");
}

/** One line of the tool's table. */
struct counts {
	guint64 sent;
	guint64 done;
	guint64 not_run;
	guint64 unknown;
};

static void assert_columns(const char *text)
{
	g_assert_nonnull(strstr(text, " sent "));
	g_assert_nonnull(strstr(text, " done "));
	g_assert_nonnull(strstr(text, " not_run "));
	g_assert_nonnull(strstr(text, " unknown "));
}

static struct counts counts_of(const struct cluster_process *p, const char *way)
{
	struct counts c = { 0 };
	char *text = output_of(p);
	char *start = g_strdup_printf("\n%s ", way);
	const char *line = strstr(text, start);
	guint64 *const columns[] = { &c.sent, &c.done, &c.not_run, &c.unknown };
	char *end;

	g_test_message("%s", text);
	assert_columns(text);
	g_assert_nonnull(line);
	end = (char *)line + strlen(start);
	for (guint i = 0; i < G_N_ELEMENTS(columns); i++)
		*columns[i] = g_ascii_strtoull(end, &end, 10);
	g_assert_cmpuint(c.sent, ==, c.done + c.not_run + c.unknown);
	g_free(start);
	g_free(text);
	return c;
}

static guint64 gateway_count(struct world *w, const char *name)
{
	struct cluster_reply r =
		cluster_call(w->cluster, "GET", w->gateway, "/v1/counters",
			     NULL, NULL, TIMEOUT_MS);
	char *key = g_strdup_printf("\n%s ", name);
	const char *line = r.text ? strstr(r.text, key) : NULL;
	guint64 value =
		line ? g_ascii_strtoull(line + strlen(key), NULL, 10) : 0;

	g_free(key);
	cluster_reply_clear(&r);
	return value;
}

/* All done, counted alike by the tool and by the gateway. */
static void test_done(void)
{
	struct world *w = world_new();
	guint64 before = gateway_count(w, "requests_done");
	struct cluster_process *p = start_tool(
		w, CLUSTER_ARGS("-s", w->gateway, "-e", w->endpoint, "-a", "a",
				"--service", "salkhi", "-n", "130", "-c", "4"));
	struct counts c;

	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 0);
	c = counts_of(p, "gateway");
	g_assert_cmpuint(c.sent, ==, 130);
	g_assert_cmpuint(c.done, ==, 130);
	g_assert_cmpuint(gateway_count(w, "requests_done") - before, ==, 130);
	c = counts_of(p, "direct");
	g_assert_cmpuint(c.sent, ==, 130);
	g_assert_cmpuint(c.done, ==, 130);
	world_free(w);
}

/* Refused by the gateway: certainly not run. */
static void test_not_run(void)
{
	struct world *w = world_new();
	struct cluster_process *p =
		start_tool(w, CLUSTER_ARGS("-s", w->gateway, "-a", "nobody",
					   "--service", "salkhi", "-n", "20"));
	struct counts c;

	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 1);
	c = counts_of(p, "gateway");
	g_assert_cmpuint(c.sent, ==, 20);
	g_assert_cmpuint(c.not_run, ==, 20);
	world_free(w);
}

static gboolean has_runs(void *data)
{
	struct world *w = data;

	return gateway_count(w, "requests_done") > 20;
}

static void assert_killed(struct world *w, struct counts gateway,
			  struct counts direct)
{
	g_assert_cmpuint(gateway.sent, ==, 100);
	g_assert_cmpuint(gateway.done, >=, 20);
	g_assert_cmpuint(gateway.unknown, >, 0);
	g_assert_cmpuint(gateway.done, ==,
			 gateway_count(w, "requests_done") - 1);
	g_assert_cmpuint(direct.sent, ==, 100);
	g_assert_cmpuint(direct.not_run, >, 0);
}

/* The runner is killed under way: what was running there is unknown. */
static void test_unknown(void)
{
	struct world *w = world_new();
	struct cluster_process *p = start_tool(
		w, CLUSTER_ARGS("-s", w->gateway, "-e", w->endpoint, "-a", "a",
				"--service", "salkhi", "-n", "100", "-c", "32",
				"-w", "30"));

	g_assert_true(cluster_wait(has_runs, w, TIMEOUT_MS));
	cluster_signal(w->runner, SIGKILL);
	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 1);
	assert_killed(w, counts_of(p, "gateway"), counts_of(p, "direct"));
	world_free(w);
}

#define SOUND "-s", "127.0.0.1:1", "-a", "a", "--service", "s"

static const struct {
	const char *args[16];
	const char *findings; /* all of them */
} bad[] = {
	{ { NULL },
	  "server: missing (allowed: IP:PORT)\n"
	  "account: missing (allowed: the name of a client account)\n"
	  "service: missing (allowed: the name of a service)\n" },
	{ { "-s", "host", "-a", "a", "--service", "s", NULL },
	  "server: bad address host (allowed: IP:PORT)\n" },
	{ { SOUND, "-e", "127.0.0.1", NULL },
	  "endpoint: bad address 127.0.0.1 (allowed: IP:PORT)\n" },
	{ { SOUND, "-n", "0", "-c", "65", "-w", "-1", NULL },
	  "count: 0 (allowed: 1 to 100000)\n"
	  "concurrency: 65 (allowed: 1 to 64)\n"
	  "work-ms: -1 (allowed: 0 to 4000)\n" },
	{ { SOUND, "-n", "100001", NULL },
	  "count: 100001 (allowed: 1 to 100000)\n" },
	{ { SOUND, "rest", NULL }, "rest: not an option (allowed: options)\n" },
};

static void test_settings(void)
{
	struct world w = { .cluster = cluster_new() };

	for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct cluster_process *p = start_tool(&w, bad[i].args);
		char *text;

		g_assert_cmpint(cluster_wait_exit(p, TIMEOUT_MS), ==, 1);
		text = output_of(p);
		if (!strstr(text, bad[i].findings)) {
			g_test_message("case %u: %s", i, text);
			g_test_fail();
		}
		g_free(text);
	}
	cluster_free(w.cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load/done", test_done);
	g_test_add_func("/load/not-run", test_not_run);
	g_test_add_func("/load/unknown", test_unknown);
	g_test_add_func("/load/settings", test_settings);
	return g_test_run();
}
