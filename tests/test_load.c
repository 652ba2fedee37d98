/*
 * The load tool (cs-load) against one gateway with stand-ins: every request
 * sent is counted once, by its outcome; invalid options are refused.
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

struct load_fixture {
	struct cluster *cluster;
	struct cluster_process *runner;
	char *platform;
	char *endpoint;
	char *gateway;
	guint tool_runs; /* number of runs so far; names the logs */
};

static gboolean config_is_accepted(void *data)
{
	struct load_fixture *f = data;
	struct cluster_reply r = cluster_call(
		f->cluster, "POST", f->gateway, "/v1/config",
		"{\"base_version\":0,\"config\":" CONFIG "}", NULL, TIMEOUT_MS);
	gboolean is_accepted = r.code == 200 || r.code == 409;

	cluster_reply_clear(&r);
	return is_accepted;
}

static gboolean serves(void *data)
{
	struct load_fixture *f = data;
	struct cluster_reply r = cluster_call(
		f->cluster, "POST", f->gateway, "/v1/requests",
		"{\"client_account\":\"a\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{\"work_ms\":1}}",
		NULL, TIMEOUT_MS);
	gboolean is_done = r.code == 200;

	cluster_reply_clear(&r);
	return is_done;
}

static struct load_fixture *load_fixture_new(void)
{
	struct load_fixture *f = g_new0(struct load_fixture, 1);
	struct cluster_node_spec node = { .node = "g0" };
	struct cluster_process *p;
	char *link = cluster_reserve_address();

	f->cluster = cluster_new();
	p = cluster_spawn(f->cluster, "cs-standin-platform", "platform", NULL);
	f->platform = cluster_listen_address(p, 0);
	f->runner =
		cluster_spawn(f->cluster, "cs-standin-runner", "runner",
			      CLUSTER_ARGS("--platform", f->platform, "--vm",
					   "r", "--service", "salkhi",
					   "--failure-domain", "tov-a"));
	f->endpoint = cluster_listen_address(f->runner, 0);
	f->gateway = cluster_reserve_address();
	node.http = f->gateway;
	node.link = link;
	node.platform = f->platform;
	cluster_spawn_node(f->cluster, "csgated", &node);
	g_assert_true(cluster_wait(config_is_accepted, f, TIMEOUT_MS));
	g_assert_true(cluster_wait(serves, f, TIMEOUT_MS));
	g_free(link);
	return f;
}

static void load_fixture_free(struct load_fixture *f)
{
	cluster_free(f->cluster);
	g_free(f->platform);
	g_free(f->endpoint);
	g_free(f->gateway);
	g_free(f);
}

static struct cluster_process *start_tool(struct load_fixture *f,
					  const char *const *args)
{
	char *name = g_strdup_printf("load%u", f->tool_runs++);
	struct cluster_process *p =
		cluster_spawn(f->cluster, "cs-load", name, args);

	g_free(name);
	return p;
}

static char *read_output(const struct cluster_process *p)
{
	char *text = NULL;

	g_file_get_contents(p->log_path, &text, NULL, NULL);
	return text ? text : g_strdup("");
}

/** One line of the tool's output: requests by outcome. */
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

static struct counts parse_counts(const struct cluster_process *p,
				  const char *target)
{
	struct counts c = { 0 };
	char *text = read_output(p);
	char *start = g_strdup_printf("\n%s ", target);
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

static guint64 read_gateway_counter(struct load_fixture *f, const char *name)
{
	struct cluster_reply r =
		cluster_call(f->cluster, "GET", f->gateway, "/v1/counters",
			     NULL, NULL, TIMEOUT_MS);
	char *key = g_strdup_printf("\n%s ", name);
	const char *line = r.text ? strstr(r.text, key) : NULL;
	guint64 value =
		line ? g_ascii_strtoull(line + strlen(key), NULL, 10) : 0;

	g_free(key);
	cluster_reply_clear(&r);
	return value;
}

/* All requests are done; the tool and the gateway count the same. */
static void test_done(void)
{
	struct load_fixture *f = load_fixture_new();
	guint64 before = read_gateway_counter(f, "requests_done");
	struct cluster_process *p = start_tool(
		f, CLUSTER_ARGS("-s", f->gateway, "-e", f->endpoint, "-a", "a",
				"--service", "salkhi", "-n", "130", "-c", "4"));
	struct counts c;

	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 0);
	c = parse_counts(p, "gateway");
	g_assert_cmpuint(c.sent, ==, 130);
	g_assert_cmpuint(c.done, ==, 130);
	g_assert_cmpuint(read_gateway_counter(f, "requests_done") - before, ==,
			 130);
	c = parse_counts(p, "direct");
	g_assert_cmpuint(c.sent, ==, 130);
	g_assert_cmpuint(c.done, ==, 130);
	load_fixture_free(f);
}

/* Requests that the gateway refuses are counted as not run. */
static void test_not_run(void)
{
	struct load_fixture *f = load_fixture_new();
	struct cluster_process *p =
		start_tool(f, CLUSTER_ARGS("-s", f->gateway, "-a", "nobody",
					   "--service", "salkhi", "-n", "20"));
	struct counts c;

	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 1);
	c = parse_counts(p, "gateway");
	g_assert_cmpuint(c.sent, ==, 20);
	g_assert_cmpuint(c.not_run, ==, 20);
	load_fixture_free(f);
}

static gboolean has_runs(void *data)
{
	struct load_fixture *f = data;

	return read_gateway_counter(f, "requests_done") > 20;
}

static void assert_counts_after_kill(struct load_fixture *f,
				     struct counts gateway,
				     struct counts direct)
{
	g_assert_cmpuint(gateway.sent, ==, 100);
	g_assert_cmpuint(gateway.done, >=, 20);
	g_assert_cmpuint(gateway.unknown, >, 0);
	g_assert_cmpuint(gateway.done, ==,
			 read_gateway_counter(f, "requests_done") - 1);
	g_assert_cmpuint(direct.sent, ==, 100);
	g_assert_cmpuint(direct.not_run, >, 0);
}

/* Requests that run on the runner when it is killed are counted as unknown. */
static void test_unknown(void)
{
	struct load_fixture *f = load_fixture_new();
	struct cluster_process *p = start_tool(
		f, CLUSTER_ARGS("-s", f->gateway, "-e", f->endpoint, "-a", "a",
				"--service", "salkhi", "-n", "100", "-c", "32",
				"-w", "30"));

	g_assert_true(cluster_wait(has_runs, f, TIMEOUT_MS));
	cluster_signal(f->runner, SIGKILL);
	g_assert_cmpint(cluster_wait_exit(p, RUN_TIMEOUT_MS), ==, 1);
	assert_counts_after_kill(f, parse_counts(p, "gateway"),
				 parse_counts(p, "direct"));
	load_fixture_free(f);
}

#define VALID_OPTIONS "-s", "127.0.0.1:1", "-a", "a", "--service", "s"

static const struct {
	const char *args[16];
	const char *findings; /* the complete list in the output */
} invalid_options[] = {
	{ { NULL },
	  "server: missing (allowed: IP:PORT)\n"
	  "account: missing (allowed: the name of a client account)\n"
	  "service: missing (allowed: the name of a service)\n" },
	{ { "-s", "host", "-a", "a", "--service", "s", NULL },
	  "server: bad address host (allowed: IP:PORT)\n" },
	{ { VALID_OPTIONS, "-e", "127.0.0.1", NULL },
	  "endpoint: bad address 127.0.0.1 (allowed: IP:PORT)\n" },
	{ { VALID_OPTIONS, "-n", "0", "-c", "65", "-w", "-1", NULL },
	  "count: 0 (allowed: 1 to 100000)\n"
	  "concurrency: 65 (allowed: 1 to 64)\n"
	  "work-ms: -1 (allowed: 0 to 4000)\n" },
	{ { VALID_OPTIONS, "-n", "100001", NULL },
	  "count: 100001 (allowed: 1 to 100000)\n" },
	{ { VALID_OPTIONS, "rest", NULL },
	  "rest: not an option (allowed: options)\n" },
};

static void test_settings(void)
{
	struct load_fixture f = { .cluster = cluster_new() };

	for (guint i = 0; i < G_N_ELEMENTS(invalid_options); i++) {
		struct cluster_process *p =
			start_tool(&f, invalid_options[i].args);
		char *text;

		g_assert_cmpint(cluster_wait_exit(p, TIMEOUT_MS), ==, 1);
		text = read_output(p);
		if (!strstr(text, invalid_options[i].findings)) {
			g_test_message("case %u: %s", i, text);
			g_test_fail();
		}
		g_free(text);
	}
	cluster_free(f.cluster);
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
