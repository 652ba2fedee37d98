/*
 * Limits the iterations of main loops, so that processes don't wake up without
 * need. Those of an idle entry VM may run only for the periodic work that
 * docs/design/wake-timer.md lists. A scheduler that renews the leases of a
 * share of the workers has to send the renewals in batches.
 */
#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "job/worker_contact.h"
#include "tests/cluster.h"
#include "tests/gang_cluster.h"

#define READY_TIMEOUT_MS 20000
#define SAMPLE_S 5
/** Maximum iterations for one frame on a link, and for one HTTP call. */
#define MAX_ITERATIONS_PER_FRAME 2
#define MAX_ITERATIONS_PER_CALL 10
/** Maximum iterations for all renewals at one point of the period. */
#define MAX_ITERATIONS_PER_POINT (INT64_C(3) * MAX_ITERATIONS_PER_CALL)
/** An eighth of the workers of the largest pool. */
#define RENEWED_WORKERS 48
#define RENEWALS_SAMPLE_S 10

/** Periodic work of an idle process, per second. */
struct idle_case {
	const char *program;
	double timers_per_s;	  /**< expirations of all its timers */
	double wake_timers_per_s; /**< those of struct wake_timer */
};

static const struct idle_case cases[] = {
	/* Membership 3, configuration 2, VM list 1, links 1, sweep 1. */
	{ "csgated", 8, 0 },
	/*
	 * Membership 3, configuration 2, VM list 1, links 1, sweep 1. Leases:
	 * one renewal. Jobs: one decision, and half a scan with its answer.
	 */
	{ "csschedd", 8 + 1 + 3, 1 + 3 },
};

struct idle_vm {
	struct cluster *cluster;
	char *platform;
	char *http[2];
	char *links[3]; /* ends with NULL */
};

static void idle_vm_open(struct idle_vm *vm)
{
	struct cluster_process *platform;

	memset(vm, 0, sizeof(*vm));
	vm->cluster = cluster_new();
	platform = cluster_spawn(vm->cluster, "cs-standin-platform", "platform",
				 NULL);
	vm->platform = cluster_listen_address(platform, 0);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		vm->http[i] = cluster_reserve_address();
		vm->links[i] = cluster_reserve_address();
	}
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cluster_node_spec node = {
			.node = cases[i].program,
			.http = vm->http[i],
			.link = vm->links[i],
			.platform = vm->platform,
			.seeds = (const char *const *)vm->links,
		};

		cluster_spawn_node(vm->cluster, cases[i].program, &node);
	}
}

static void idle_vm_close(struct idle_vm *vm)
{
	cluster_free(vm->cluster);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_free(vm->http[i]);
		g_free(vm->links[i]);
	}
	g_free(vm->platform);
}

static char *fetch_counters(struct cluster *c, const char *address)
{
	struct cluster_reply r =
		cluster_call(c, "GET", address, "/v1/counters", NULL, NULL,
			     CLUSTER_CALL_TIMEOUT_MS);
	char *text = g_strdup(r.text ? r.text : "");

	cluster_reply_clear(&r);
	return text;
}

static char *fetch_process_counters(struct idle_vm *vm, guint i)
{
	return fetch_counters(vm->cluster, vm->http[i]);
}

static int64_t find_counter_value(const char *counters, const char *name)
{
	char *key = g_strdup_printf("\n%s ", name);
	const char *line = strstr(counters, key);
	int64_t value =
		line ? g_ascii_strtoll(line + strlen(key), NULL, 10) : 0;

	g_free(key);
	return value;
}

static const char *const frame_counters[] = { "cs_link_sent_frames",
					      "cs_link_received_frames" };
static const char *const call_counters[] = { "cs_platform_reads_total",
					     "cs_platform_writes_total" };

static int64_t counter_growth(const char *const before, const char *const after,
			      const char *name)
{
	return find_counter_value(after, name) -
	       find_counter_value(before, name);
}

static gboolean is_linked(void *data)
{
	struct idle_vm *vm = data;
	gboolean are_linked = TRUE;

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *counters = fetch_process_counters(vm, i);

		are_linked = are_linked &&
			     find_counter_value(counters,
						"cs_link_received_frames") > 8;
		g_free(counters);
	}
	return are_linked;
}

static void check_process(const struct idle_case *c, const char *before,
			  const char *after)
{
	int64_t iterations =
		counter_growth(before, after, "cs_main_loop_turns_total");
	int64_t wakes =
		counter_growth(before, after, "cs_wake_late_seconds_count");
	double max_iterations = c->timers_per_s * (SAMPLE_S + 1);

	for (guint i = 0; i < G_N_ELEMENTS(frame_counters); i++) {
		/*
		 * The frame counters are updated once a second, so the growth
		 * may lack the frames of one second.
		 */
		max_iterations += MAX_ITERATIONS_PER_FRAME *
				  ((double)counter_growth(before, after,
							  frame_counters[i]) *
				   (SAMPLE_S + 1) / SAMPLE_S);
		max_iterations +=
			MAX_ITERATIONS_PER_CALL *
			(double)counter_growth(before, after, call_counters[i]);
	}
	max_iterations +=
		2 * MAX_ITERATIONS_PER_CALL; /* this test's own calls */
	g_test_message("%s: %d main loop iterations in %d s (limit %.0f), "
		       "%d wakes",
		       c->program, (int)iterations, SAMPLE_S, max_iterations,
		       (int)wakes);
	g_assert_cmpint(iterations, >, 0);
	g_assert_cmpfloat((double)iterations, <=, max_iterations);
	g_assert_cmpfloat((double)wakes, <=,
			  c->wake_timers_per_s * (SAMPLE_S + 1));
}

static void test_idle_iterations(void)
{
	char *before[G_N_ELEMENTS(cases)];
	struct idle_vm vm;

	idle_vm_open(&vm);
	g_assert_true(cluster_wait(is_linked, &vm, READY_TIMEOUT_MS));
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		before[i] = fetch_process_counters(&vm, i);
	cluster_sleep(SAMPLE_S * INT64_C(1000));
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *after = fetch_process_counters(&vm, i);

		check_process(&cases[i], before[i], after);
		g_free(before[i]);
		g_free(after);
	}
	idle_vm_close(&vm);
}

/* Renewals at one point of the period share iterations. */
static void check_renewals(const char *before, const char *after)
{
	int64_t period_ms = worker_renew_period_ms(RENEWED_WORKERS, 1);
	int64_t points = (RENEWALS_SAMPLE_S + 1) * MS_PER_S *
			 WORKER_RENEW_POINTS / period_ms;
	int64_t iterations =
		counter_growth(before, after, "cs_main_loop_turns_total");
	int64_t calls = counter_growth(before, after, "cs_worker_calls");
	double max_iterations =
		cases[1].timers_per_s * (RENEWALS_SAMPLE_S + 1) +
		(double)(MAX_ITERATIONS_PER_POINT * points) +
		2 * MAX_ITERATIONS_PER_CALL;

	for (guint i = 0; i < G_N_ELEMENTS(call_counters); i++)
		max_iterations +=
			MAX_ITERATIONS_PER_CALL *
			(double)counter_growth(before, after, call_counters[i]);
	g_test_message("%d calls to workers: %d main loop iterations "
		       "(limit %.0f)",
		       (int)calls, (int)iterations, max_iterations);
	g_assert_cmpint(calls, >=,
			RENEWED_WORKERS *
				(RENEWALS_SAMPLE_S * MS_PER_S / period_ms));
	g_assert_cmpfloat((double)iterations, <=, max_iterations);
}

static void test_renewals(void)
{
	struct gang_cluster *g = gang_cluster_start_wide(
		1, FALSE, RENEWED_WORKERS - GANG_WORKERS);
	char *before;
	char *after;

	gang_cluster_wait_ready(g);
	/* Lets the renewals spread over the points of the period. */
	cluster_sleep(2 * worker_renew_period_ms(RENEWED_WORKERS, 1));
	before = fetch_counters(g->cluster, g->addresses[0]);
	cluster_sleep(RENEWALS_SAMPLE_S * MS_PER_S);
	after = fetch_counters(g->cluster, g->addresses[0]);
	check_renewals(before, after);
	g_free(before);
	g_free(after);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/idle/turns", test_idle_iterations);
	g_test_add_func("/idle/renewals", test_renewals);
	return g_test_run();
}
