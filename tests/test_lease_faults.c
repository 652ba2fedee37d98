#include <glib.h>
#include <signal.h>

#include "tests/fleet.h"

/** Timeouts: twice the specified times, to allow for a busy machine. */
#define TAKEOVER_MS 12000
#define HANDOVER_MS 6000
#define START_MS 15000
#define POLL_INTERVAL_MS 50
/** Time within which a caretaker ends after a new holder appears. */
#define CARETAKER_END_MS 1000
/** Time to observe that a former holder doesn't act as holder again. */
#define OBSERVE_MS 1500

struct lease_case {
	const char *name;
	int signal_number;	/* sent to the holder, 0 for none */
	int heal_signal;	/* to end the fault; 0: restart the node, or
				   reset its relay if store_mode is set */
	const char *store_mode; /* fault of its relay to the table, or NULL */
	int64_t timeout_ms;
};

static const struct lease_case lease_cases[] = {
	{ "drain", SIGTERM, 0, NULL, HANDOVER_MS },
	{ "kill", SIGKILL, 0, NULL, TAKEOVER_MS },
	{ "pause", SIGSTOP, SIGCONT, NULL, TAKEOVER_MS },
	{ "cut both ways", 0, 0, "silent", TAKEOVER_MS },
	{ "cut one way", 0, 0, "cut_down", TAKEOVER_MS },
};

/* A running case; all cases run concurrently. */
struct lease_run {
	struct fleet *fleet;
	guint old_holder;
	guint new_holder;
	int64_t epoch;
};

static void apply_fault(struct lease_run *r, const struct lease_case *c)
{
	r->old_holder = fleet_wait_holder(r->fleet, 1, START_MS);
	r->epoch = fleet_lease(r->fleet, r->old_holder).epoch;
	if (c->signal_number)
		fleet_signal(r->fleet, r->old_holder, c->signal_number);
	if (c->store_mode)
		fleet_set_platform_mode(r->fleet, r->old_holder, c->store_mode);
}

static void heal_fault(struct lease_run *r, const struct lease_case *c)
{
	if (c->store_mode)
		fleet_set_platform_mode(r->fleet, r->old_holder, "pass");
	else if (c->heal_signal)
		fleet_signal(r->fleet, r->old_holder, c->heal_signal);
	else
		fleet_start(r->fleet, r->old_holder);
}

static void check_settled(struct lease_run *r)
{
	g_assert_cmpuint(fleet_wait_holder(r->fleet, r->epoch + 1, OBSERVE_MS),
			 ==, r->new_holder);
	g_assert_cmpstr(fleet_lease(r->fleet, r->old_holder).role, ==, "none");
	fleet_free(r->fleet);
}

/* The lease moves to another process with a higher epoch and stays there. */
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
		r->new_holder = fleet_wait_holder(r->fleet, r->epoch + 1,
						  lease_cases[i].timeout_ms);
		g_assert_cmpuint(r->new_holder, !=, r->old_holder);
		heal_fault(r, &lease_cases[i]);
		g_assert_cmpstr(fleet_lease(r->fleet, r->old_holder).role, !=,
				"holder");
	}
	cluster_sleep(OBSERVE_MS);
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
	cluster_sleep(POLL_INTERVAL_MS);
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

static gboolean has_no_caretaker(void *data)
{
	cluster_sleep(POLL_INTERVAL_MS);
	return count_role(data, "caretaker") == 0;
}

/* The table goes down, the caretaker is killed, and the table recovers. */
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
	g_assert_true(cluster_wait(has_no_caretaker, f, CARETAKER_END_MS));
	fleet_free(f);
}

/* Lost or slow answers of the table don't make the lease change its holder. */
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
	cluster_sleep(OBSERVE_MS);
	cluster_control(f->cluster, f->platform,
			"{\"mode\":\"slow\",\"slow_ms\":200}");
	cluster_sleep(OBSERVE_MS);
	g_assert_cmpuint(fleet_wait_holder(f, before.epoch, OBSERVE_MS), ==,
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
