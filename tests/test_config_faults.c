#include <glib.h>
#include <signal.h>

#include "tests/fleet.h"

/** Required time within which a change is in force in every process. */
#define IN_FORCE_MS 5000
#define START_MS 15000
#define SETTLE_MS 1500
#define POST_TIMEOUT_MS 15000

static void assert_reply(struct cluster_reply *r, guint code,
			 const char *answer)
{
	g_assert_cmpuint(r->code, ==, code);
	g_assert_cmpstr(json_object_get_string(
				json_object_object_get(r->body, "answer")),
			==, answer);
	cluster_reply_clear(r);
}

/* Starts a fleet and puts version 1 in force in all processes. */
static struct fleet *start_fleet(guint near, guint far)
{
	struct fleet *f = fleet_new(near, far);
	struct cluster_reply r;

	f->nodes[1].program = "csgated";
	fleet_start_all(f);
	g_assert_true(fleet_wait_config(f, 0, START_MS));
	for (guint i = 1; i < f->count; i++)
		g_assert_true(fleet_wait_state(f, 0, i, "alive", START_MS));
	r = fleet_post_config(f, 0, 0, "first");
	assert_reply(&r, 200, "accepted");
	g_assert_true(fleet_wait_config(f, 1, IN_FORCE_MS));
	return f;
}

/*
 * A failure domain without its connection to the platform receives changes over
 * the links, also for a process that starts there, and refuses posts.
 */
static void test_domain_cut(void)
{
	struct fleet *f = start_fleet(2, 2);
	struct cluster_reply r;

	cluster_control(f->cluster, f->platform, "{\"cut\":[\"tov-b\"]}");
	r = fleet_post_config(f, 0, 1, "second");
	assert_reply(&r, 200, "accepted");
	g_assert_true(fleet_wait_config(f, 2, IN_FORCE_MS));
	fleet_signal(f, 2, SIGKILL);
	fleet_start(f, 2);
	g_assert_true(fleet_wait_config(f, 2, START_MS));
	r = fleet_post_config(f, 2, 2, "third");
	assert_reply(&r, 503, "not run");
	fleet_free(f);
}

/* A change is accepted although the answer to its commit is lost. */
static void test_lost_answer(void)
{
	struct fleet *f = start_fleet(2, 0);
	struct cluster_reply r;

	cluster_control(f->cluster, f->platform,
			"{\"lose_answers\":1,\"lose_table\":\"config\"}");
	r = fleet_post_config(f, 0, 1, "second");
	assert_reply(&r, 200, "accepted");
	g_assert_true(fleet_wait_config(f, 2, IN_FORCE_MS));
	r = fleet_post_config(f, 1, 2, "third");
	assert_reply(&r, 200, "accepted");
	fleet_free(f);
}

/* A change refused while the store is down does not come into force later. */
static void test_store_down(void)
{
	struct fleet *f = start_fleet(2, 0);
	struct cluster_reply r;

	cluster_control(f->cluster, f->platform, "{\"mode\":\"down\"}");
	r = fleet_post_config(f, 0, 1, "second");
	assert_reply(&r, 503, "not run");
	cluster_control(f->cluster, f->platform,
			"{\"mode\":\"slow\",\"slow_ms\":200}");
	cluster_sleep(SETTLE_MS);
	g_assert_cmpint(fleet_config_version(f, 0), ==, 1);
	g_assert_cmpint(fleet_config_version(f, 1), ==, 1);
	r = fleet_post_config(f, 1, 1, "third");
	assert_reply(&r, 200, "accepted");
	g_assert_true(fleet_wait_config(f, 2, IN_FORCE_MS));
	fleet_free(f);
}

struct concurrent_post {
	guint code;
	char *operator_name;
	guint *pending;
};

static void on_post_reply(const struct http_reply *reply, void *data)
{
	struct concurrent_post *r = data;

	r->code = reply->code;
	r->operator_name = g_strdup(json_object_get_string(
		json_object_object_get(reply->body, "operator")));
	(*r->pending)--;
}

static void start_post(struct fleet *f, guint node, const char *name,
		       struct concurrent_post *r)
{
	char *text = g_strdup_printf(
		"{\"base_version\":1,\"operator\":\"%s\",\"config\":"
		"{\"format\":1,\"services\":[{\"name\":\"%s\","
		"\"failure_domains\":[\"tov-a\"]}]}}",
		name, name);
	json_object *body = json_tokener_parse(text);
	struct http_call_spec spec = {
		.method = "POST",
		.address = f->nodes[node].http,
		.path = "/v1/config",
		.body = body,
		.timeout_ms = POST_TIMEOUT_MS,
		.on_reply = on_post_reply,
		.data = r,
	};

	http_client_send(f->cluster->client, &spec);
	json_object_put(body);
	g_free(text);
}

/*
 * Of two concurrent posts one is accepted; the refusal of the other names the
 * operator of the accepted one.
 */
static void test_concurrent_posts(void)
{
	static const char *const names[] = { "ann", "bo" };
	struct fleet *f = start_fleet(2, 0);
	struct concurrent_post posts[2] = { 0 };
	guint pending = 2;
	guint winner;

	for (guint i = 0; i < 2; i++) {
		posts[i].pending = &pending;
		start_post(f, i, names[i], &posts[i]);
	}
	while (pending > 0)
		g_main_context_iteration(NULL, TRUE);
	winner = posts[0].code == 200 ? 0 : 1;
	g_assert_cmpuint(posts[winner].code, ==, 200);
	g_assert_cmpuint(posts[1 - winner].code, ==, 409);
	g_assert_cmpstr(posts[1 - winner].operator_name, ==, names[winner]);
	g_assert_true(fleet_wait_config(f, 2, IN_FORCE_MS));
	for (guint i = 0; i < 2; i++)
		g_free(posts[i].operator_name);
	fleet_free(f);
}

/*
 * The process that accepts a change is killed at various steps: afterwards all
 * processes have the same version, with or without the change.
 */
static void test_kill_accepting(void)
{
	static const int64_t kill_delays_ms[] = { 50, 150, 250, 350 };
	struct fleet *f = start_fleet(3, 0);
	struct concurrent_post r = { 0 };
	guint pending = 0;

	r.pending = &pending;
	for (guint i = 0; i < G_N_ELEMENTS(kill_delays_ms); i++) {
		int64_t version = fleet_config_version(f, 1);
		int64_t after;

		cluster_control(f->cluster, f->platform,
				"{\"mode\":\"slow\",\"slow_ms\":100}");
		start_post(f, 0, "ann", &r);
		cluster_sleep(kill_delays_ms[i]);
		fleet_signal(f, 0, SIGKILL);
		cluster_control(f->cluster, f->platform, "{\"mode\":\"ok\"}");
		cluster_sleep(SETTLE_MS);
		fleet_start(f, 0);
		after = fleet_config_version(f, 1);
		g_assert_cmpint(after, >=, version);
		g_assert_true(fleet_wait_config(f, after, START_MS));
		for (guint n = 0; n < 3; n++)
			g_assert_cmpint(fleet_config_version(f, n), ==, after);
	}
	g_clear_pointer(&r.operator_name, g_free);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-faults/domain-cut", test_domain_cut);
	g_test_add_func("/config-faults/lost-answer", test_lost_answer);
	g_test_add_func("/config-faults/store-down", test_store_down);
	g_test_add_func("/config-faults/two-operators", test_concurrent_posts);
	g_test_add_func("/config-faults/kill-accepting", test_kill_accepting);
	return g_test_run();
}
