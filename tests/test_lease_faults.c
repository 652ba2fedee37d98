#include <glib.h>
#include <signal.h>

#include "tests/fleet.h"

/** Stated times of a takeover, with as much again for a busy machine. */
#define TAKEOVER_MS 12000
#define HANDOVER_MS 6000
#define START_MS 15000
#define ROUND_MS 50
/** Time in which a former holder could show that it still takes itself so. */
#define AFTER_MS 1500

struct lease_case {
	const char *name;
	int signal_number;	/* sent to the holder, 0 for none */
	int heal_signal;	/* 0: the node is started anew */
	const char *store_mode; /* of the holder's way to the table, or NULL */
	int64_t timeout_ms;
};

static const struct lease_case lease_cases[] = {
	{ "drain", SIGTERM, 0, NULL, HANDOVER_MS },
	{ "kill", SIGKILL, 0, NULL, TAKEOVER_MS },
	{ "pause", SIGSTOP, SIGCONT, NULL, TAKEOVER_MS },
	{ "cut both ways", 0, 0, "silent", TAKEOVER_MS },
	{ "cut one way", 0, 0, "cut_down", TAKEOVER_MS },
};

/* One case under way; the cases run at the same time. */
struct lease_run {
	struct fleet *fleet;
	guint old;
	guint new;
	int64_t epoch;
};

static void apply_fault(struct lease_run *r, const struct lease_case *c)
{
	r->old = fleet_wait_holder(r->fleet, 1, START_MS);
	r->epoch = fleet_lease(r->fleet, r->old).epoch;
	if (c->signal_number)
		fleet_signal(r->fleet, r->old, c->signal_number);
	if (c->store_mode)
		fleet_cut_store(r->fleet, r->old, c->store_mode);
}

static void heal_fault(struct lease_run *r, const struct lease_case *c)
{
	if (c->store_mode)
		fleet_cut_store(r->fleet, r->old, "pass");
	else if (c->heal_signal)
		fleet_signal(r->fleet, r->old, c->heal_signal);
	else
		fleet_start(r->fleet, r->old);
}

static void check_settled(struct lease_run *r)
{
	g_assert_cmpuint(fleet_wait_holder(r->fleet, r->epoch + 1, AFTER_MS),
			 ==, r->new);
	g_assert_cmpstr(fleet_lease(r->fleet, r->old).role, ==, "none");
	fleet_free(r->fleet);
}

/* The lease goes to another process with a higher epoch, and stays there. */
static void test_takeover(void)
{
	struct lease_run runs[G_N_ELEMENTS(lease_cases)];

	for (guint i = 0; i < G_N_ELEMENTS(runs); i++) {
		runs[i].fleet = fleet_new(3, 0);
		fleet_start_all(runs[i].fleet);
	}
	for (guint i = 0; i < G_N_ELEMENTS(runs); i++)
		apply_fault(&runs[i], &lease_cases[i]);
	for (guint i = 0; i < G_N_ELEMENTS(runs); i++) {
		struct lease_run *r = &runs[i];

		g_test_message("%s", lease_cases[i].name);
		r->new = fleet_wait_holder(r->fleet, r->epoch + 1,
					   lease_cases[i].timeout_ms);
		g_assert_cmpuint(r->new, !=, r->old);
		heal_fault(r, &lease_cases[i]);
		g_assert_cmpstr(fleet_lease(r->fleet, r->old).role, !=,
				"holder");
	}
	cluster_sleep(AFTER_MS);
	for (guint i = 0; i < G_N_ELEMENTS(runs); i++)
		check_settled(&runs[i]);
}

static guint count_role(struct fleet *f, const char *role)
{
	guint count = 0;

	for (guint i = 0; i < f->count; i++) {
		struct fleet_lease lease = fleet_lease(f, i);

		count += g_str_equal(lease.role, role) ? 1 : 0;
	}
	return count;
}

static gboolean has_caretaker(void *data)
{
	cluster_sleep(ROUND_MS);
	return count_role(data, "holder") == 0 &&
	       count_role(data, "caretaker") == 1;
}

static guint find_role(struct fleet *f, const char *role)
{
	for (guint i = 0; i < f->count; i++) {
		struct fleet_lease lease = fleet_lease(f, i);

		if (g_str_equal(lease.role, role))
			return i;
	}
	g_assert_not_reached();
}

/* Table down, then the caretaker dies too, then the table comes back. */
static void test_store_down(void)
{
	struct fleet *f = fleet_new(3, 0);
	struct fleet_lease before;
	guint node;

	fleet_start_all(f);
	node = fleet_wait_holder(f, 1, START_MS);
	before = fleet_lease(f, node);
	cluster_control(f->cluster, f->platform, "{\"mode\":\"down\"}");
	g_assert_true(cluster_wait(has_caretaker, f, TAKEOVER_MS));
	fleet_signal(f, find_role(f, "caretaker"), SIGKILL);
	g_assert_true(cluster_wait(has_caretaker, f, TAKEOVER_MS));
	cluster_control(f->cluster, f->platform, "{\"mode\":\"ok\"}");
	fleet_wait_holder(f, before.epoch, TAKEOVER_MS);
	g_assert_cmpuint(count_role(f, "caretaker"), ==, 0);
	fleet_free(f);
}

/* A table whose answers are lost or slow moves no lease to and fro. */
static void test_lost_answers(void)
{
	struct fleet *f = fleet_new(2, 0);
	struct fleet_lease before;
	guint node;

	fleet_start_all(f);
	node = fleet_wait_holder(f, 1, START_MS);
	before = fleet_lease(f, node);
	cluster_control(f->cluster, f->platform,
			"{\"lose_answers\":2,\"lose_table\":\"leases\"}");
	cluster_sleep(AFTER_MS);
	cluster_control(f->cluster, f->platform,
			"{\"mode\":\"slow\",\"slow_ms\":200}");
	cluster_sleep(AFTER_MS);
	g_assert_cmpuint(fleet_wait_holder(f, before.epoch, AFTER_MS), ==,
			 node);
	g_assert_cmpint(fleet_lease(f, node).epoch, ==, before.epoch);
	fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lease-faults/takeover", test_takeover);
	g_test_add_func("/lease-faults/store-down-and-kill", test_store_down);
	g_test_add_func("/lease-faults/lost-and-slow-answers",
			test_lost_answers);
	return g_test_run();
}
