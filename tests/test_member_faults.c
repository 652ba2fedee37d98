#include <glib.h>
#include <signal.h>

#include "tests/fleet.h"

#define START_MS 15000
/** A silent member is dead after 6 s; twice that allows for a busy machine. */
#define DEAD_MS 12000
#define LONG_CUT_MS 8000
#define SHORT_PAUSE_MS 1500

static void wait_all_alive(struct fleet *f)
{
	for (guint i = 0; i < f->count; i++) {
		for (guint j = 0; j < f->count; j++)
			g_assert_true(
				fleet_wait_state(f, i, j, "alive", START_MS));
	}
}

static struct fleet *start_fleet(void)
{
	struct fleet *f = fleet_new(3, 0);

	f->nodes[1].program = "csgated";
	fleet_start_all(f);
	wait_all_alive(f);
	return f;
}

/* Returns how often a node has logged that another one is in a state. */
static guint count_state(struct fleet *f, guint node, guint other,
			 const char *state)
{
	char *text = g_strdup_printf("member=%s state=%s", f->nodes[other].name,
				     state);
	guint count = cluster_count_lines(f->nodes[node].process, text);

	g_free(text);
	return count;
}

static char *read_incarnation(struct fleet *f, guint node, guint other)
{
	json_object *status = fleet_status(f, node);
	json_object *members = json_object_object_get(status, "members");
	char *incarnation =
		g_strdup(json_object_get_string(json_object_object_get(
			json_object_array_get_idx(members, other),
			"incarnation")));

	json_object_put(status);
	return incarnation;
}

/* A killed node is declared dead; its next incarnation has the same address. */
static void test_kill_and_restart(void)
{
	struct fleet *f = start_fleet();
	char *before = read_incarnation(f, 0, 2);
	char *after;

	fleet_signal(f, 2, SIGKILL);
	g_assert_true(fleet_wait_state(f, 0, 2, "dead", DEAD_MS));
	g_assert_true(fleet_wait_state(f, 1, 2, "dead", DEAD_MS));
	fleet_start(f, 2);
	g_assert_true(fleet_wait_state(f, 0, 2, "alive", START_MS));
	after = read_incarnation(f, 0, 2);
	g_assert_cmpstr(before, !=, after);
	g_free(before);
	g_free(after);
	fleet_free(f);
}

static void test_leaving(void)
{
	struct fleet *f = start_fleet();

	fleet_signal(f, 2, SIGTERM);
	g_assert_true(fleet_wait_state(f, 0, 2, "left", DEAD_MS));
	g_assert_cmpuint(count_state(f, 0, 2, "leaving"), ==, 1);
	g_assert_cmpuint(count_state(f, 0, 2, "dead"), ==, 0);
	fleet_free(f);
}

/* No node can reach node 2, while node 2 can reach the others. */
static void test_one_way(void)
{
	struct fleet *f = start_fleet();

	fleet_set_link_mode(f, 2, "silent");
	cluster_sleep(LONG_CUT_MS);
	g_assert_cmpuint(count_state(f, 2, 0, "dead"), >, 0);
	fleet_set_link_mode(f, 2, "pass");
	for (guint i = 0; i < 3; i++)
		g_assert_true(fleet_wait_state(f, 2, i, "alive", START_MS));
	for (guint i = 0; i < 2; i++) {
		g_assert_cmpuint(count_state(f, i, 2, "suspect"), ==, 0);
		g_assert_cmpuint(count_state(f, i, 1 - i, "suspect"), ==, 0);
		g_assert_cmpuint(count_state(f, i, 1 - i, "dead"), ==, 0);
		g_assert_cmpuint(count_state(f, i, 2, "dead"), ==, 0);
	}
	fleet_free(f);
}

/* A short pause has no effect; after a long one the node is alive again. */
static void test_pause(void)
{
	struct fleet *f = start_fleet();

	fleet_signal(f, 2, SIGSTOP);
	cluster_sleep(SHORT_PAUSE_MS);
	fleet_signal(f, 2, SIGCONT);
	cluster_sleep(SHORT_PAUSE_MS);
	g_assert_cmpuint(count_state(f, 0, 2, "dead"), ==, 0);
	fleet_signal(f, 2, SIGSTOP);
	g_assert_true(fleet_wait_state(f, 0, 2, "dead", DEAD_MS));
	fleet_signal(f, 2, SIGCONT);
	g_assert_true(fleet_wait_state(f, 0, 2, "alive", START_MS));
	g_assert_true(fleet_wait_state(f, 2, 0, "alive", START_MS));
	g_assert_cmpuint(count_state(f, 2, 0, "dead"), ==, 0);
	fleet_free(f);
}

/*
 * A member that another one can't hear stays alive there as long as a third one
 * hears it, and no longer.
 */
static void test_one_way_pair(void)
{
	struct fleet *f = start_fleet();

	fleet_block_link(f, 0, 2);
	cluster_sleep(LONG_CUT_MS);
	for (guint i = 0; i < 3; i++) {
		for (guint j = 0; j < 3; j++) {
			g_assert_cmpuint(count_state(f, i, j, "suspect"), ==,
					 0);
			g_assert_cmpuint(count_state(f, i, j, "dead"), ==, 0);
		}
	}
	fleet_signal(f, 0, SIGKILL);
	g_assert_true(fleet_wait_state(f, 1, 0, "dead", DEAD_MS));
	g_assert_true(fleet_wait_state(f, 2, 0, "dead", DEAD_MS));
	fleet_free(f);
}

/* Asserts a gateway's response to a request, in the form "ANSWER REASON". */
static void assert_answer(struct fleet *f, guint node, const char *expected)
{
	struct cluster_reply r = cluster_call(
		f->cluster, "POST", f->nodes[node].http, "/v1/requests",
		"{\"client_account\":\"x\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{}}",
		NULL, START_MS);
	char *text = g_strdup_printf(
		"%s %s",
		json_object_get_string(
			json_object_object_get(r.body, "answer")),
		json_object_get_string(
			json_object_object_get(r.body, "reason")));

	g_assert_cmpstr(text, ==, expected);
	g_free(text);
	cluster_reply_clear(&r);
}

static void set_relay_modes(struct fleet *f, const char *mode)
{
	fleet_set_platform_mode(f, 2, mode);
	for (guint i = 0; i < f->count; i++)
		fleet_set_link_mode(f, i, mode);
}

/* Starts nodes 0 and 1 with a configuration; node 2, a gateway, stays down. */
static struct fleet *start_two_nodes(void)
{
	struct fleet *f = fleet_new(3, 0);
	struct cluster_reply r;

	f->nodes[2].program = "csgated";
	fleet_start(f, 0);
	fleet_start(f, 1);
	g_assert_true(fleet_wait_state(f, 0, 1, "alive", START_MS));
	r = fleet_post_config(f, 0, 0, "x");
	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
	return f;
}

/*
 * A gateway that starts without a connection to the platform and its peers
 * reports that it has no configuration, and joins once it is connected.
 */
static void test_start_cut_off(void)
{
	struct fleet *f = start_two_nodes();

	set_relay_modes(f, "silent");
	fleet_start(f, 2);
	g_assert_true(fleet_wait_state(f, 2, 2, "alive", START_MS));
	for (guint i = 0; i < 3; i++) {
		assert_answer(f, 2, "not run no_configuration");
		g_assert_cmpint(fleet_config_version(f, 2), ==, 0);
		cluster_sleep(SHORT_PAUSE_MS);
	}
	set_relay_modes(f, "pass");
	wait_all_alive(f);
	g_assert_true(fleet_wait_config(f, 1, START_MS));
	assert_answer(f, 2, "not run no_endpoint");
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member-faults/kill-and-restart",
			test_kill_and_restart);
	g_test_add_func("/member-faults/leaving", test_leaving);
	g_test_add_func("/member-faults/one-way", test_one_way);
	g_test_add_func("/member-faults/pause", test_pause);
	g_test_add_func("/member-faults/one-way-pair", test_one_way_pair);
	g_test_add_func("/member-faults/start-cut-off", test_start_cut_off);
	return g_test_run();
}
