/*
 * Calls of the real store client while its open connections are silent and new
 * ones work, through a relay to the store's stand-in.
 */
#include <glib.h>

#include "base/util.h"
#include "store/platform.h"
#include "tests/cluster.h"

#define TABLE "t"
#define TIMEOUT_MS 900
/** A third of the timeout on the silent connection, as long on a new one. */
#define RECOVERY_MS (2 * TIMEOUT_MS / 3)
#define LONG_POLL_MS 400
#define OPEN_CONNECTIONS 6

struct store {
	struct cluster *cluster;
	char *relay_control;
	struct counters counters;
	struct platform *platform;
};

struct calls {
	guint ended;
	guint expected;
	enum status status; /* of the last one */
};

static void store_open(struct store *s)
{
	char *config;
	char *reserved = cluster_reserve_address();
	char *address;
	char *route;
	struct cluster_process *p;
	struct platform_spec spec = {
		.kind = "steppe",
		.failure_domain = "tov-a",
		.timeout_ms = TIMEOUT_MS,
		.counters = &s->counters,
	};

	s->cluster = cluster_new();
	config = cluster_write_file(s->cluster, "config.json", "{}");
	p = cluster_spawn(s->cluster, "cs-standin-steppe", "store.log",
			  CLUSTER_ARGS("--listen", reserved, "--service",
				       "salkhi", "--config", config,
				       "--workers", "1"));
	address = cluster_listen_address(p, 0); /* waits for it */
	route = g_strdup_printf("127.0.0.1:0=%s", address);
	p = cluster_spawn(s->cluster, "cs-standin-relay", "relay.log",
			  CLUSTER_ARGS("--route", route));
	s->relay_control = cluster_log_value(p, "control", 0);
	spec.address = cluster_listen_address(p, 0);
	counters_init(&s->counters);
	s->platform = platform_new(&spec);
	g_assert_nonnull(s->platform);
	g_free((char *)spec.address);
	g_free(route);
	g_free(address);
	g_free(reserved);
	g_free(config);
}

static void store_close(struct store *s)
{
	platform_free(s->platform);
	counters_clear(&s->counters);
	g_free(s->relay_control);
	cluster_free(s->cluster);
}

static void on_result(const struct platform_result *r, void *data)
{
	struct calls *c = data;

	c->status = r->status;
	c->ended++;
}

static gboolean are_ended(void *data)
{
	const struct calls *c = data;

	return c->ended == c->expected;
}

/* Makes calls at once and returns the status of the last one to end. */
static enum status await(struct store *s, guint count,
			 void (*call)(struct store *s, struct calls *c))
{
	struct calls c = { .expected = count };

	for (guint i = 0; i < count; i++)
		call(s, &c);
	g_assert_true(cluster_wait(are_ended, &c, CLUSTER_CALL_TIMEOUT_MS));
	return c.status;
}

static void call_page(struct store *s, struct calls *c)
{
	const struct table_page_query query = { .table = TABLE, .max_rows = 1 };

	platform_page(s->platform, &query, on_result, c);
}

static void call_commit(struct store *s, struct calls *c)
{
	json_object *value = json_object_new_int(1);
	const struct table_write w = { .table = TABLE,
				       .key = "k",
				       .expected_version = TABLE_ANY_VERSION,
				       .value = value };

	platform_commit(s->platform, &w, 1, on_result, c);
	json_object_put(value);
}

static void call_watch(struct store *s, struct calls *c)
{
	const struct table_watch_query query = { .table = TABLE };

	platform_watch(s->platform, &query, on_result, c);
}

static void call_long_poll(struct store *s, struct calls *c)
{
	const struct table_watch_query query = { .table = TABLE,
						 .after_version = 1,
						 .long_poll_ms = LONG_POLL_MS };

	platform_watch(s->platform, &query, on_result, c);
}

static const struct silent_case {
	const char *path;
	void (*call)(struct store *s, struct calls *c);
	/* A long poll can't tell a silent connection from one without news. */
	gboolean is_lost;
} cases[] = {
	{ "/steppe-store/silent/page", call_page, FALSE },
	{ "/steppe-store/silent/commit", call_commit, FALSE },
	{ "/steppe-store/silent/watch", call_watch, FALSE },
	{ "/steppe-store/silent/long-poll", call_long_poll, TRUE },
};

/*
 * Guards against feeds that stay lost for seconds: a watch that follows a lost
 * one was not resent on a new connection, as other reads and writes are, and
 * took one silent connection after the other.
 */
static void test_silent(gconstpointer data)
{
	const struct silent_case *c = data;
	struct store s = { 0 };
	int64_t start_ms;

	store_open(&s);
	g_assert_cmpint(await(&s, OPEN_CONNECTIONS, call_page), ==, STATUS_OK);
	cluster_control(s.cluster, s.relay_control, "{\"silence_open\":true}");
	start_ms = util_monotonic_ms();
	if (c->is_lost) {
		g_assert_cmpint(await(&s, 1, c->call), ==, STATUS_UNAVAILABLE);
	} else {
		g_assert_cmpint(await(&s, 1, c->call), ==, STATUS_OK);
		g_assert_cmpint(util_monotonic_ms() - start_ms, <, RECOVERY_MS);
	}
	store_close(&s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_silent);
	return g_test_run();
}
