/*
 * How often the main loops of an idle entry VM turn: for the periodic work
 * that docs/design/wake-timer.md lists, and for nothing else; and how often
 * that of a scheduler which renews the leases of a share of workers.
 */
#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "job/worker_contact.h"
#include "tests/cluster.h"
#include "tests/gang_cluster.h"

#define READY_TIMEOUT_MS 20000
#define SAMPLE_S 5
/** Turns for a frame on a link, and for a call over HTTP, at most. */
#define FRAME_TURNS 2
#define CALL_TURNS 10
/** Turns for all renewals of one point of the period, at most. */
#define POINT_TURNS (INT64_C(3) * CALL_TURNS)
/** An eighth of the workers of the largest pool. */
#define SHARE 48
#define RENEWALS_SAMPLE_S 10

/** What an idle process does by its own timers, per second. */
struct idle_case {
	const char *program;
	double timers;
	/** Of these, by struct wake_timer. */
	double wakes;
};

static const struct idle_case cases[] = {
	/* Membership 3, configuration 2, VM list 1, links 1, sweep 1. */
	{ "csgated", 8, 0 },
	/*
	 * Membership 3, configuration 2, VM list 1, links 1, sweep 1. Leases:
	 * a renewal. Jobs: a decision and half a scan with its answer.
	 */
	{ "csschedd", 8 + 1 + 3, 1 + 3 },
};

struct idle {
	struct cluster *cluster;
	char *platform;
	char *http[2];
	char *links[3]; /* ends with NULL */
};

static void open_vm(struct idle *vm)
{
	struct cluster_process *platform;

	memset(vm, 0, sizeof(*vm));
	vm->cluster = cluster_new();
	platform = cluster_spawn(vm->cluster, "cs-standin-platform", "platform",
				 NULL);
	vm->platform = cluster_listening(platform, 0);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		vm->http[i] = cluster_address();
		vm->links[i] = cluster_address();
	}
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct cluster_node node = {
			.node = cases[i].program,
			.http = vm->http[i],
			.link = vm->links[i],
			.platform = vm->platform,
			.seeds = (const char *const *)vm->links,
		};

		cluster_spawn_node(vm->cluster, cases[i].program, &node);
	}
}

static void close_vm(struct idle *vm)
{
	cluster_free(vm->cluster);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_free(vm->http[i]);
		g_free(vm->links[i]);
	}
	g_free(vm->platform);
}

static char *counters_of(struct cluster *c, const char *address)
{
	struct cluster_reply r =
		cluster_call(c, "GET", address, "/v1/counters", NULL, NULL,
			     CLUSTER_CALL_TIMEOUT_MS);
	char *text = g_strdup(r.text ? r.text : "");

	cluster_reply_clear(&r);
	return text;
}

static char *read_counters(struct idle *vm, guint i)
{
	return counters_of(vm->cluster, vm->http[i]);
}

static int64_t value_of(const char *counters, const char *name)
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

static int64_t grown(const char *const before, const char *const after,
		     const char *name)
{
	return value_of(after, name) - value_of(before, name);
}

static gboolean is_linked(void *data)
{
	struct idle *vm = data;
	gboolean is_it = TRUE;

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *counters = read_counters(vm, i);

		is_it = is_it &&
			value_of(counters, "cs_link_received_frames") > 8;
		g_free(counters);
	}
	return is_it;
}

static void check_process(const struct idle_case *c, const char *before,
			  const char *after)
{
	int64_t turns = grown(before, after, "cs_main_loop_turns_total");
	int64_t wakes = grown(before, after, "cs_wake_late_seconds_count");
	double most = c->timers * (SAMPLE_S + 1);

	for (guint i = 0; i < G_N_ELEMENTS(frame_counters); i++) {
		/* Brought up to date once a second. */
		most += FRAME_TURNS *
			((double)grown(before, after, frame_counters[i]) *
			 (SAMPLE_S + 1) / SAMPLE_S);
		most += CALL_TURNS *
			(double)grown(before, after, call_counters[i]);
	}
	most += 2 * CALL_TURNS; /* this test's own calls */
	g_test_message("%s: %d turns in %d s, at most %.0f; %d wakes",
		       c->program, (int)turns, SAMPLE_S, most, (int)wakes);
	g_assert_cmpint(turns, >, 0);
	g_assert_cmpfloat((double)turns, <=, most);
	g_assert_cmpfloat((double)wakes, <=, c->wakes * (SAMPLE_S + 1));
}

static void test_turns(void)
{
	char *before[G_N_ELEMENTS(cases)];
	struct idle vm;

	open_vm(&vm);
	g_assert_true(cluster_wait(is_linked, &vm, READY_TIMEOUT_MS));
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		before[i] = read_counters(&vm, i);
	cluster_sleep(SAMPLE_S * INT64_C(1000));
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *after = read_counters(&vm, i);

		check_process(&cases[i], before[i], after);
		g_free(before[i]);
		g_free(after);
	}
	close_vm(&vm);
}

/* Those of one point of the period share their turns. */
static void check_renewals(const char *before, const char *after)
{
	int64_t period_ms = worker_renew_period_ms(SHARE, 1);
	int64_t points = (RENEWALS_SAMPLE_S + 1) * MS_PER_S *
			 WORKER_RENEW_POINTS / period_ms;
	int64_t turns = grown(before, after, "cs_main_loop_turns_total");
	int64_t calls = grown(before, after, "cs_worker_calls");
	double most = cases[1].timers * (RENEWALS_SAMPLE_S + 1) +
		      (double)(POINT_TURNS * points) + 2 * CALL_TURNS;

	for (guint i = 0; i < G_N_ELEMENTS(call_counters); i++)
		most += CALL_TURNS *
			(double)grown(before, after, call_counters[i]);
	g_test_message("%d calls to workers: %d turns, at most %.0f",
		       (int)calls, (int)turns, most);
	g_assert_cmpint(calls, >=,
			SHARE * (RENEWALS_SAMPLE_S * MS_PER_S / period_ms));
	g_assert_cmpfloat((double)turns, <=, most);
}

static void test_renewals(void)
{
	struct gang_cluster *g =
		gang_cluster_start_wide(1, FALSE, SHARE - GANG_WORKERS);
	char *before;
	char *after;

	gang_cluster_wait_ready(g);
	/* They spread over the points. */
	cluster_sleep(2 * worker_renew_period_ms(SHARE, 1));
	before = counters_of(g->cluster, g->addresses[0]);
	cluster_sleep(RENEWALS_SAMPLE_S * MS_PER_S);
	after = counters_of(g->cluster, g->addresses[0]);
	check_renewals(before, after);
	g_free(before);
	g_free(after);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/idle/turns", test_turns);
	g_test_add_func("/idle/renewals", test_renewals);
	return g_test_run();
}
