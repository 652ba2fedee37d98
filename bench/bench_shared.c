/*
 * Configuration, membership and leases in virtual time, over the pure modules:
 * time to force, takeover time, control traffic and their slopes.
 */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/shared_sim.h"
#include "bench/sim/bounds.h"
#include "shared/lease_protocol.h"

/** Bounds, from docs and the letter. */
#define IN_FORCE_MS 5000.0
#define CONTROL_BYTES_PER_S 24576.0
#define TAKEOVER_MS 6000.0
#define CHANGES_PER_DAY 12000.0
#define DAY_S 86400.0
#define DOMAIN_BYTES_PER_S 6000.0

#define MEMBERS_PER_DOMAIN 8
#define ROUNDS 200U
#define MERGE_ROUNDS 20000U

static struct bounds bounds;
static gboolean is_checking;

static void check(const char *figure, double value, double bound,
		  const char *source)
{
	if (is_checking)
		bounds_check(&bounds, figure, value, bound, source);
}

/* Prints p50, p99 and worst of a sample, which it sorts. */
static double print_times(const char *name, double *times, size_t count)
{
	gsl_sort(times, 1, count);
	printf("%-34s %8.0f %8.0f %8.0f\n", name,
	       gsl_stats_quantile_from_sorted_data(times, 1, count, 0.5),
	       gsl_stats_quantile_from_sorted_data(times, 1, count, 0.99),
	       times[count - 1]);
	return times[count - 1];
}

static void measure_force(guint nodes, gboolean is_cut)
{
	double *times = g_new0(double, (gsize)ROUNDS *nodes);
	GRand *rand = g_rand_new_with_seed(nodes);
	struct shared_sim sim;
	char name[64];
	double worst;

	shared_sim_init(&sim, nodes, MEMBERS_PER_DOMAIN);
	for (guint i = 0; i < ROUNDS; i++)
		shared_sim_spread(&sim, rand, is_cut, times + (gsize)i * nodes);
	shared_sim_clear(&sim);
	g_snprintf(name, sizeof(name), "in force, %u nodes%s", nodes,
		   is_cut ? ", one domain cut" : "");
	worst = print_times(name, times, (size_t)ROUNDS * nodes);
	check(name, worst, IN_FORCE_MS, "letter 1: in force within 5 s");
	g_rand_free(rand);
	g_free(times);
}

/* One candidate takes over after the holder has died, table round trip 5 ms. */
static double takeover_ms(GRand *rand)
{
	const int64_t call_ms = 5;
	const int64_t tick_ms = 100;
	struct lease_row held = {
		.holder = (char *)"old",
		.incarnation = (char *)"old",
		.address = (char *)"a",
		.epoch = 7,
		.ttl_ms = LEASE_TTL_MS,
		.commit_id = (char *)"c",
	};
	int64_t version = 100;
	int64_t died_ms = 20000 + g_rand_int_range(rand, 0, LEASE_RENEW_MS);
	int64_t now_ms = g_rand_int_range(rand, 0, (gint32)tick_ms);
	struct lease_protocol p;
	int64_t epoch;

	lease_protocol_init(&p, "new", "new", "a", now_ms);
	while (lease_protocol_role(&p, now_ms, &epoch) != POOL_ROLE_HOLDER) {
		int64_t renewals = MIN(now_ms, died_ms) / LEASE_RENEW_MS;
		enum lease_call call = lease_protocol_step(&p, now_ms);

		if (call == LEASE_CALL_READ)
			lease_protocol_on_read(&p, now_ms + call_ms, STATUS_OK,
					       version + renewals, &held);
		else if (call == LEASE_CALL_COMMIT)
			lease_protocol_on_commit(&p, now_ms + call_ms,
						 STATUS_OK, version + 1000);
		now_ms += tick_ms;
	}
	lease_protocol_clear(&p);
	return (double)(now_ms - died_ms);
}

static void measure_takeover(void)
{
	double times[ROUNDS];
	GRand *rand = g_rand_new_with_seed(1);
	double worst;

	for (guint i = 0; i < ROUNDS; i++)
		times[i] = takeover_ms(rand);
	worst = print_times("takeover after a death", times, ROUNDS);
	check("takeover", worst, TAKEOVER_MS, "docs/design/leases.md");
	g_rand_free(rand);
}

static void measure_traffic(guint nodes, struct shared_traffic *out)
{
	struct shared_sim sim;

	shared_sim_init(&sim, nodes, MEMBERS_PER_DOMAIN);
	shared_sim_traffic(&sim, CHANGES_PER_DAY / DAY_S, out);
	shared_sim_clear(&sim);
	printf("%5u %12.1f %12.1f %12.1f %12.1f %10.1f\n", nodes,
	       out->mean_messages, out->worst_messages, out->mean_bytes,
	       out->worst_bytes, out->reads);
	check("control bytes a second, worst node", out->worst_bytes,
	      CONTROL_BYTES_PER_S, "letter 1: 24 KB a second");
}

/* One failure domain alone, with twice the processes each time. */
static void measure_domain(void)
{
	static const guint sizes[] = { 4, 8, 16, 32 };
	double bytes[G_N_ELEMENTS(sizes)];
	const guint last = G_N_ELEMENTS(sizes) - 1;

	printf("\n%-34s %12s %12s\n", "processes of one domain", "bytes/s",
	       "a peer");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct shared_traffic traffic;
		struct shared_sim sim;

		shared_sim_init(&sim, sizes[i], sizes[i]);
		shared_sim_traffic(&sim, 0, &traffic);
		shared_sim_clear(&sim);
		bytes[i] = traffic.mean_bytes;
		printf("%-34u %12.0f %12.1f\n", sizes[i], bytes[i],
		       bytes[i] / (sizes[i] - 1));
	}
	check("bytes a second, 16 processes of a domain", bytes[2],
	      DOMAIN_BYTES_PER_S, "a VM's two processes in half its 24 KB/s");
	check("bytes a peer, 32 processes to 4", bytes[last] / 31,
	      1.05 * bytes[0] / 3, "no more than linear with the members");
}

/* Lost updates when one version orders a whole row, and when each part has
 * its own: the member changes its status while others change its state. */
static void measure_merge(void)
{
	struct shared_merge by_row = { 0 };
	struct shared_merge by_part = { 0 };
	GRand *rand = g_rand_new_with_seed(3);

	for (guint i = 0; i < MERGE_ROUNDS; i++)
		shared_sim_merge(rand, &by_row, &by_part);
	printf("\nmerge after a partition, %u rounds: updates lost\n",
	       MERGE_ROUNDS);
	printf("%-34s %8u of %u\n", "one version per row", by_row.lost,
	       by_row.updates);
	printf("%-34s %8u of %u\n", "one version per part", by_part.lost,
	       by_part.updates);
	check("updates lost with a version per part", by_part.lost, 0,
	      "issue 6: no last-writer surprises");
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	static const guint sizes[] = { 8, 16, 40, 80 };
	struct shared_traffic traffic[G_N_ELEMENTS(sizes)];

	is_checking = argc > 1 && g_str_equal(argv[1], "--check");
	printf("%-34s %8s %8s %8s\n", "time in ms", "p50", "p99", "worst");
	measure_force(8, FALSE);
	measure_force(80, FALSE);
	measure_force(80, TRUE);
	measure_takeover();
	printf("\n%5s %12s %12s %12s %12s %10s\n", "nodes", "messages/s",
	       "worst", "bytes/s", "worst", "reads/s");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_traffic(sizes[i], &traffic[i]);
	printf("slope from 16 to 80 nodes: %.3f messages/s and %.1f bytes/s "
	       "per node more\n",
	       (traffic[3].mean_messages - traffic[1].mean_messages) / 64,
	       (traffic[3].mean_bytes - traffic[1].mean_bytes) / 64);
	/* Quadratic growth in all would be 80 / 16 times the messages a node.
	 */
	check("growth of messages a node, 16 to 80 nodes",
	      traffic[3].mean_messages / traffic[1].mean_messages, 80.0 / 16,
	      "issue 6: not with the number of nodes squared");
	measure_domain();
	measure_merge();
	if (is_checking)
		bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
