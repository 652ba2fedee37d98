#include <glib.h>
#include <signal.h>

#include "tests/fleet.h"

#define START_MS 15000
/** Suspicion and death take 6 s; as much again for a busy machine. */
#define DEAD_MS 12000
#define LONG_MS 8000
#define SHORT_PAUSE_MS 1500

static struct fleet *start_fleet(void)
{
	struct fleet *f = fleet_new(3, 0);

	f->nodes[1].program = "csgated";
	fleet_start_all(f);
	for (guint i = 0; i < f->count; i++) {
		for (guint j = 0; j < f->count; j++)
			g_assert_true(
				fleet_wait_state(f, i, j, "alive", START_MS));
	}
	return f;
}

/* Counts how often a node has logged a state of another one. */
static guint count_state(struct fleet *f, guint node, guint other,
			 const char *state)
{
	char *text = g_strdup_printf("member=%s state=%s", f->nodes[other].name,
				     state);
	guint count = cluster_grep(f->nodes[node].process, text);

	g_free(text);
	return count;
}

static char *incarnation_seen(struct fleet *f, guint node, guint other)
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

/* Lost, then another incarnation at the same address. */
static void test_kill_and_restart(void)
{
	struct fleet *f = start_fleet();
	char *before = incarnation_seen(f, 0, 2);
	char *after;

	fleet_signal(f, 2, SIGKILL);
	g_assert_true(fleet_wait_state(f, 0, 2, "dead", DEAD_MS));
	g_assert_true(fleet_wait_state(f, 1, 2, "dead", DEAD_MS));
	fleet_start(f, 2);
	g_assert_true(fleet_wait_state(f, 0, 2, "alive", START_MS));
	after = incarnation_seen(f, 0, 2);
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

/* Nobody reaches the links of a node, but it reaches all others. */
static void test_one_way(void)
{
	struct fleet *f = start_fleet();

	fleet_cut_link(f, 2, "silent");
	cluster_sleep(LONG_MS);
	g_assert_cmpuint(count_state(f, 2, 0, "dead"), >, 0);
	fleet_cut_link(f, 2, "pass");
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

/* A short pause leaves no trace; a long one is a death that heals. */
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member-faults/kill-and-restart",
			test_kill_and_restart);
	g_test_add_func("/member-faults/leaving", test_leaving);
	g_test_add_func("/member-faults/one-way", test_one_way);
	g_test_add_func("/member-faults/pause", test_pause);
	return g_test_run();
}
