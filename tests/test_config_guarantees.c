/*
 * A configuration is refused if the live workers can't hold its guarantees, and
 * while the platform's VM list can't be read.
 */
#include <glib.h>

#include "tests/cluster.h"

#define TIMEOUT_MS 10000

/* A dry run with a guarantee of members_ x 8 accelerators in one rack. */
#define CONFIG(members_)                                                       \
	"{\"base_version\":0,\"dry_run\":true,\"config\":{\"format\":1,"       \
	"\"services\":[{\"name\":\"salkhi\",\"failure_domains\":[\"tov-a\"]}]" \
	",\"client_accounts\":[{\"name\":\"a\",\"service\":\"salkhi\","        \
	"\"guaranteed_shapes\":[{\"name\":\"g\",\"pool\":\"salkhi.tov-a\","    \
	"\"shape\":{\"members\":" members_                                     \
	",\"accelerators\":8,\"cores\":1,\"memory_mb\":1,"                     \
	"\"adjacency\":\"rack\"}}]}]}}"

struct post_case {
	const char *control; /* control request to the platform's stand-in, or
				NULL */
	const char *body;
	guint code; /* expected HTTP status */
};

/* Run in this order on one rack with two workers of 8 accelerators. */
static const struct post_case cases[] = {
	{ NULL, CONFIG("2"), 200 },
	{ NULL, CONFIG("3"), 400 },
	{ "{\"remove_vms\":[\"w0\"]}", CONFIG("2"), 400 },
	{ NULL, CONFIG("1"), 200 },
	{ "{\"mode\":\"down\"}", CONFIG("1"), 503 },
};

struct post_attempt {
	struct cluster *cluster;
	const char *address;
	const struct post_case *post;
};

/* Polled, since the VM list lags behind the platform. */
static gboolean has_expected_code(void *data)
{
	const struct post_attempt *a = data;
	struct cluster_reply r;
	guint code;

	r = cluster_call(a->cluster, "POST", a->address, "/v1/config",
			 a->post->body, NULL, CLUSTER_CALL_TIMEOUT_MS);
	code = r.code;
	cluster_reply_clear(&r);
	return code == a->post->code;
}

static void test_refused(void)
{
	struct cluster *c = cluster_new();
	char *platform = cluster_reserve_address();
	char *http = cluster_reserve_address();
	char *link = cluster_reserve_address();
	struct cluster_node_spec node = {
		.node = "g0", .http = http, .link = link, .platform = platform
	};
	struct cluster_process *p;

	p = cluster_spawn(c, "cs-standin-platform", "platform",
			  CLUSTER_ARGS("--listen", platform));
	g_free(cluster_listen_address(p, 0));
	p = cluster_spawn(c, "cs-standin-worker", "workers",
			  CLUSTER_ARGS("--listen", "127.0.0.1:0", "--count",
				       "2", "--platform", platform, "--vm", "w",
				       "--service", "salkhi",
				       "--failure-domain", "tov-a", "--rack",
				       "r"));
	g_free(cluster_listen_address(p, 1));
	cluster_spawn_node(c, "csgated", &node);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct post_attempt a = { c, http, &cases[i] };

		g_test_message("case %u", i);
		if (cases[i].control)
			cluster_control(c, platform, cases[i].control);
		g_assert_true(cluster_wait(has_expected_code, &a, TIMEOUT_MS));
	}
	cluster_free(c);
	g_free(platform);
	g_free(http);
	g_free(link);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-guarantees/refused", test_refused);
	return g_test_run();
}
