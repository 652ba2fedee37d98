/*
 * Measures configuration, membership and leases in virtual time, with the real
 * modules that do no I/O: time until a change is in force everywhere, takeover
 * time, control traffic and its growth with the number of nodes.
 */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/shared_sim.h"
#include "bench/sim/bounds.h"
#include "shared/lease_protocol.h"

/** Bounds; check() names the source of each. */
#define MAX_IN_FORCE_MS 5000.0
#define MAX_CONTROL_BYTES_PER_S 24576.0
#define MAX_TAKEOVER_MS 6000.0
#define MAX_DOMAIN_BYTES_PER_S 6000.0

/** Required rate of configuration changes. */
#define CHANGES_PER_DAY 12000.0
#define DAY_S 86400.0

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

/* Sorts times in ms, prints p50, p99 and the worst, and returns the worst. */
static double print_times(const char *name, double *times, size_t count)
{
	gsl_sort(times, 1, count);
	printf("%-34s %8.0f %8.0f %8.0f\n", name,
	       gsl_stats_quantile_from_sorted_data(times, 1, count, 0.5),
	       gsl_stats_quantile_from_sorted_data(times, 1, count, 0.99),
	       times[count - 1]);
	return times[count - 1];
}

static void measure_propagation(guint nodes, gboolean is_partitioned)
{
	double *times = g_new0(double, (gsize)ROUNDS *nodes);
	GRand *rand = g_rand_new_with_seed(nodes);
	struct shared_sim sim;
	char name[64];
	double worst;

	shared_sim_init(&sim, nodes, MEMBERS_PER_DOMAIN);
	for (guint i = 0; i < ROUNDS; i++)
		shared_sim_propagate(&sim, rand, is_partitioned,
				     times + (gsize)i * nodes);
	shared_sim_clear(&sim);
	g_snprintf(name, sizeof(name), "in force, %u nodes%s", nodes,
		   is_partitioned ? ", one domain cut" : "");
	worst = print_times(name, times, (size_t)ROUNDS * nodes);
	check(name, worst, MAX_IN_FORCE_MS, "requirement: in force within 5 s");
	g_rand_free(rand);
	g_free(times);
}

/*
 * Lets one candidate take over the lease of a holder that dies, and returns the
 * time from the death to the takeover. Calls to the table take 5 ms.
 */
static double takeover_ms(GRand *rand)
{
	const int64_t call_ms = 5;
	const int64_t tick_ms = 100;
	struct lease_row lease = {
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
					       version + renewals, &lease);
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
	check("takeover", worst, MAX_TAKEOVER_MS, "docs/design/leases.md");
	g_rand_free(rand);
}

static void measure_traffic(guint nodes, struct shared_traffic *out)
{
	struct shared_sim sim;

	shared_sim_init(&sim, nodes, MEMBERS_PER_DOMAIN);
	shared_sim_traffic(&sim, CHANGES_PER_DAY / DAY_S, out);
	shared_sim_clear(&sim);
	printf("%5u %12.1f %12.1f %12.1f %12.1f %10.1f\n", nodes,
	       out->mean_messages_per_s, out->worst_messages_per_s,
	       out->mean_bytes_per_s, out->worst_bytes_per_s,
	       out->table_reads_per_s);
	check("control bytes per second, worst node", out->worst_bytes_per_s,
	      MAX_CONTROL_BYTES_PER_S, "requirement: 24 KB/s per node");
}

/* Measures a single failure domain, doubling its processes each time. */
static void measure_domain(void)
{
	static const guint sizes[] = { 4, 8, 16, 32 };
	double bytes[G_N_ELEMENTS(sizes)];
	const guint last = G_N_ELEMENTS(sizes) - 1;

	printf("\n%-34s %12s %12s\n", "processes of one domain", "bytes/s",
	       "per peer");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct shared_traffic traffic;
		struct shared_sim sim;

		shared_sim_init(&sim, sizes[i], sizes[i]);
		shared_sim_traffic(&sim, 0, &traffic);
		shared_sim_clear(&sim);
		bytes[i] = traffic.mean_bytes_per_s;
		printf("%-34u %12.0f %12.1f\n", sizes[i], bytes[i],
		       bytes[i] / (sizes[i] - 1));
	}
	check("bytes per second, 16 processes of a domain", bytes[2],
	      MAX_DOMAIN_BYTES_PER_S,
	      "half of 24 KB/s for the two processes of a VM");
	check("bytes per peer, 32 processes against 4", bytes[last] / 31,
	      1.05 * bytes[0] / 3, "at most linear in the number of members");
}

/*
 * Counts the updates lost by a merge after a partition, with one version per
 * row and with one version per part of a record.
 */
static void measure_merge(void)
{
	struct shared_merge_losses by_row = { 0 };
	struct shared_merge_losses by_part = { 0 };
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
	      "issue 6: no update is overwritten");
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	static const guint sizes[] = { 8, 16, 40, 80 };
	struct shared_traffic traffic[G_N_ELEMENTS(sizes)];

	is_checking = argc > 1 && g_str_equal(argv[1], "--check");
	printf("%-34s %8s %8s %8s\n", "time in ms", "p50", "p99", "worst");
	measure_propagation(8, FALSE);
	measure_propagation(80, FALSE);
	measure_propagation(80, TRUE);
	measure_takeover();
	printf("\n%5s %12s %12s %12s %12s %10s\n", "nodes", "messages/s",
	       "worst", "bytes/s", "worst", "reads/s");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_traffic(sizes[i], &traffic[i]);
	printf("slope from 16 to 80 nodes: %.3f messages/s and %.1f bytes/s "
	       "per added node\n",
	       (traffic[3].mean_messages_per_s -
		traffic[1].mean_messages_per_s) /
		       64,
	       (traffic[3].mean_bytes_per_s - traffic[1].mean_bytes_per_s) /
		       64);
	/* Quadratic growth of the total would mean 80 / 16 times the messages
	 * per node.
	 */
	check("growth of messages per node, 16 to 80 nodes",
	      traffic[3].mean_messages_per_s / traffic[1].mean_messages_per_s,
	      80.0 / 16,
	      "issue 6: total below quadratic in the number of nodes");
	measure_domain();
	measure_merge();
	if (is_checking)
		bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
