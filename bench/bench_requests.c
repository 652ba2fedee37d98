/*
 * Simulates requests in seeded virtual time: gateways that share endpoints but
 * no memory run the real decision modules. Prints a table of policies and
 * baselines; --check verifies the bounds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/sim/request_sim.h"
#include "request/routing/routing.h"

/* Size of the users' services today. */
#define CURRENT_SIZE .gateways = 8, .runners = 50, .length_s = 25
/* One failure domain of a service that has three. */
#define ONE_DOMAIN .gateways = 3, .runners = 17, .length_s = 25
#define WITH_BULK .bulk_load = 0.3

enum scenario_id {
	STEADY_RANDOM,
	STEADY_ROUND_ROBIN,
	STEADY_LEAST,
	STEADY_TWO,
	DOMAIN_RANDOM,
	DOMAIN_ROUND_ROBIN,
	DOMAIN_LEAST,
	DOMAIN_TWO,
	HIGH_RANDOM,
	HIGH_LEAST,
	HIGH_TWO,
	OVERLOAD_2,
	OVERLOAD_3,
	OVERLOAD_5,
	OVERLOAD_2_FIFO,
	OVERLOAD_5_FIFO,
	BURST,
	BURST_FIFO,
	BULK_FLOOD,
	BULK_FLOOD_FIFO,
	SPOT_FLOOD,
	LARGE_ACCOUNT,
	LARGE_ACCOUNT_FIFO,
	SLOW_ENDPOINTS,
	SLOW_NO_EJECTION,
	LOST_ANSWERS,
	PLANNED_SIZE,
	SCENARIO_COUNT,
};

static const struct scenario scenarios[SCENARIO_COUNT] = {
	[STEADY_RANDOM] = { "load 0.7 random", "random", CURRENT_SIZE,
			    WITH_BULK, .load = 0.7 },
	[STEADY_ROUND_ROBIN] = { "load 0.7 round robin", "round_robin",
				 CURRENT_SIZE, WITH_BULK, .load = 0.7 },
	[STEADY_LEAST] = { "load 0.7 least in flight", "least_in_flight",
			   CURRENT_SIZE, WITH_BULK, .load = 0.7 },
	[STEADY_TWO] = { "load 0.7 power of two", "power_of_two", CURRENT_SIZE,
			 WITH_BULK, .load = 0.7 },
	[DOMAIN_RANDOM] = { "domain 0.8 random", "random", ONE_DOMAIN,
			    WITH_BULK, .load = 0.8 },
	[DOMAIN_ROUND_ROBIN] = { "domain 0.8 round robin", "round_robin",
				 ONE_DOMAIN, WITH_BULK, .load = 0.8 },
	[DOMAIN_LEAST] = { "domain 0.8 least in flight", "least_in_flight",
			   ONE_DOMAIN, WITH_BULK, .load = 0.8 },
	[DOMAIN_TWO] = { "domain 0.8 power of two", "power_of_two", ONE_DOMAIN,
			 WITH_BULK, .load = 0.8 },
	[HIGH_RANDOM] = { "load 0.9 random", "random", CURRENT_SIZE, WITH_BULK,
			  .load = 0.9 },
	[HIGH_LEAST] = { "load 0.9 least in flight", "least_in_flight",
			 CURRENT_SIZE, WITH_BULK, .load = 0.9 },
	[HIGH_TWO] = { "load 0.9 power of two", "power_of_two", CURRENT_SIZE,
		       WITH_BULK, .load = 0.9 },
	[OVERLOAD_2] = { "load 2", "power_of_two", CURRENT_SIZE, WITH_BULK,
			 .load = 2, .callers_retry = TRUE },
	[OVERLOAD_3] = { "load 3", "power_of_two", CURRENT_SIZE, WITH_BULK,
			 .load = 3, .callers_retry = TRUE },
	[OVERLOAD_5] = { "load 5", "power_of_two", CURRENT_SIZE, WITH_BULK,
			 .load = 5, .callers_retry = TRUE },
	[OVERLOAD_2_FIFO] = { "load 2 fifo", "random", CURRENT_SIZE, WITH_BULK,
			      .load = 2, .has_no_limits = TRUE },
	[OVERLOAD_5_FIFO] = { "load 5 fifo", "random", CURRENT_SIZE, WITH_BULK,
			      .load = 5, .has_no_limits = TRUE },
	[BURST] = { "burst 3 of 0.8", "power_of_two", WITH_BULK, .gateways = 8,
		    .runners = 50, .load = 0.8, .burst_load = 3,
		    .burst_from_s = 15, .burst_to_s = 25, .length_s = 50,
		    .callers_retry = TRUE },
	[BURST_FIFO] = { "burst 3 of 0.8 fifo", "random", WITH_BULK,
			 .gateways = 8, .runners = 50, .load = 0.8,
			 .burst_load = 3, .burst_from_s = 15, .burst_to_s = 25,
			 .length_s = 50, .has_no_limits = TRUE },
	[BULK_FLOOD] = { "bulk 2.5, spot 0.5", "power_of_two", CURRENT_SIZE,
			 .load = 3, .bulk_load = 0.8333 },
	[BULK_FLOOD_FIFO] = { "bulk 2.5, spot 0.5 fifo", "random", CURRENT_SIZE,
			      .load = 3, .bulk_load = 0.8333,
			      .has_no_limits = TRUE },
	[SPOT_FLOOD] = { "spot 3, bulk 0.3", "power_of_two", CURRENT_SIZE,
			 .load = 3.3, .bulk_load = 0.0909 },
	[LARGE_ACCOUNT] = { "one account at 1.8", "power_of_two", CURRENT_SIZE,
			    .load = 2.1, .large_account_ratio = 18 },
	[LARGE_ACCOUNT_FIFO] = { "one account at 1.8 fifo", "random",
				 CURRENT_SIZE, .load = 2.1,
				 .large_account_ratio = 18,
				 .has_no_limits = TRUE },
	[SLOW_ENDPOINTS] = { "5 slow endpoints", "power_of_two", CURRENT_SIZE,
			     WITH_BULK, .load = 0.5, .slow_runners = 5 },
	[SLOW_NO_EJECTION] = { "5 slow, none ejected", "power_of_two",
			       CURRENT_SIZE, WITH_BULK, .load = 0.5,
			       .slow_runners = 5, .has_no_ejection = TRUE },
	[LOST_ANSWERS] = { "1% of answers lost", "power_of_two", CURRENT_SIZE,
			   WITH_BULK, .load = 0.5, .lost_answer_share = 0.01 },
	[PLANNED_SIZE] = { "3800 endpoints, 64 gateways", "power_of_two",
			   WITH_BULK, .gateways = 64, .runners = 3800,
			   .load = 0.7, .length_s = 8 },
};

static void print_head(void)
{
	printf("%-28s %6s %6s %6s %7s %6s %7s %7s %7s %7s %6s %5s %4s %4s "
	       "%5s\n",
	       "scenario", "p50ms", "p99ms", "p999", "in time", "bulk",
	       "goodput", "refused", "unknown", "retried", "busy", "jain",
	       "dbl", "lost", "rec_s");
}

static void print_outcome(const struct scenario *s,
			  const struct request_outcome *o)
{
	printf("%-28s %6.0f %6.0f %6.0f %7.4f %6.3f %7.3f %7.3f %7.4f %7.4f "
	       "%6.4f %5.3f %4" G_GINT64_FORMAT " %4" G_GINT64_FORMAT
	       " %5" G_GINT64_FORMAT "\n",
	       s->name, o->spot_p50_ms, o->spot_p99_ms, o->spot_p999_ms,
	       o->spot_in_time, o->bulk_done, o->goodput, o->refused,
	       o->unknown, o->retried, o->busy, o->jain_index,
	       o->duplicate_runs, o->unanswered, o->recovery_s);
}

struct checker {
	guint passed;
	guint failed;
};

static void expect(struct checker *c, gboolean is_good, const char *what,
		   double figure, const char *bound, const char *source)
{
	if (is_good) {
		c->passed++;
		return;
	}
	c->failed++;
	printf("FAILED %s: %g, bound %s (%s)\n", what, figure, bound, source);
}

static void check_goodput(struct checker *c, const struct request_outcome *o)
{
	static const enum scenario_id overloads[] = { OVERLOAD_2, OVERLOAD_3,
						      OVERLOAD_5 };

	for (guint i = 0; i < G_N_ELEMENTS(overloads); i++)
		expect(c, o[overloads[i]].goodput >= 0.9,
		       scenarios[overloads[i]].name, o[overloads[i]].goodput,
		       "goodput >= 0.9 of capacity", "issue 4");
	expect(c, o[BURST].recovery_s >= 0 && o[BURST].recovery_s <= 10,
	       "recovery after burst, s", (double)o[BURST].recovery_s, "<= 10",
	       "issue 4");
}

/*
 * Compares the shares of sends that find no free slot: these cost the caller
 * time and the endpoint work.
 */
static void check_policies(struct checker *c, const struct request_outcome *o)
{
	static const enum scenario_id pairs[][2] = {
		{ STEADY_TWO, STEADY_RANDOM },
		{ STEADY_TWO, STEADY_ROUND_ROBIN },
		{ STEADY_TWO, STEADY_LEAST },
		{ DOMAIN_TWO, DOMAIN_RANDOM },
		{ DOMAIN_TWO, DOMAIN_ROUND_ROBIN },
		{ DOMAIN_TWO, DOMAIN_LEAST },
		{ HIGH_TWO, HIGH_RANDOM },
		{ HIGH_TWO, HIGH_LEAST },
	};

	for (guint i = 0; i < G_N_ELEMENTS(pairs); i++)
		expect(c, o[pairs[i][0]].busy <= o[pairs[i][1]].busy,
		       scenarios[pairs[i][0]].name, o[pairs[i][0]].busy,
		       scenarios[pairs[i][1]].name,
		       "issue 4: policy against baselines");
}

static void check_all(struct checker *c, const struct request_outcome *o)
{
	for (guint i = 0; i < SCENARIO_COUNT; i++) {
		expect(c, o[i].duplicate_runs == 0, scenarios[i].name,
		       (double)o[i].duplicate_runs, "0 run twice", "brief");
		expect(c, o[i].unanswered == 0, scenarios[i].name,
		       (double)o[i].unanswered, "0 unanswered", "brief");
		expect(c, o[i].max_connections <= ENDPOINT_MAX_CONNECTIONS,
		       scenarios[i].name, o[i].max_connections,
		       "<= 64 connections at an endpoint", "brief");
	}
	check_goodput(c, o);
	expect(c, o[BULK_FLOOD].spot_in_time >= 0.99,
	       "spot in time under a flood of bulk", o[BULK_FLOOD].spot_in_time,
	       ">= 0.99", "issue 4: spot checks stay ahead of bulk");
	expect(c, o[SPOT_FLOOD].bulk_goodput >= 0.05,
	       "slots for bulk under a flood of spot",
	       o[SPOT_FLOOD].bulk_goodput, ">= 0.05 of capacity",
	       "issue 4: no starvation of bulk");
	expect(c, o[LARGE_ACCOUNT].min_account_in_time >= 0.99,
	       "share in time, small accounts beside a large one",
	       o[LARGE_ACCOUNT].min_account_in_time, ">= 0.99",
	       "issue 4: a burst can't take another's share");
	check_policies(c, o);
	expect(c,
	       o[SLOW_ENDPOINTS].spot_p99_ms <= o[SLOW_NO_EJECTION].spot_p99_ms,
	       "p99 with ejection", o[SLOW_ENDPOINTS].spot_p99_ms,
	       "<= p99 without ejection", "issue 4: outlier ejection");
}

/* Returns the mean number of endpoints that a choice inspects. */
static double choice_cost(const char *policy, guint runners)
{
	struct routing_policy *p = routing_policy_new(policy);
	struct endpoint_table *t = endpoint_table_new("tov-a");
	GRand *rand = g_rand_new_with_seed(SEED);
	const struct routing_query q = { .now_ms = 1 };
	guint choices = 1000;
	double cost;

	request_sim_list_runners(t, runners);
	for (guint i = 0; i < choices; i++) {
		struct routing_choice c;

		routing_choose(p, t, &q, rand, &c);
		endpoint_table_record_sent(t, c.endpoint, 1);
		if (i % 8)
			endpoint_table_record_ended(t, c.endpoint, 1);
	}
	cost = (double)t->inspections / choices;
	g_rand_free(rand);
	endpoint_table_free(t);
	g_free(p);
	return cost;
}

static void check_choice_cost(struct checker *c)
{
	static const guint sizes[] = { 50, 500, 3800 };
	const char *const *names = routing_policy_names();

	printf("endpoints inspected per choice\n");
	for (guint i = 0; names[i]; i++) {
		double costs[G_N_ELEMENTS(sizes)];

		printf("%-28s", names[i]);
		for (guint n = 0; n < G_N_ELEMENTS(sizes); n++) {
			costs[n] = choice_cost(names[i], sizes[n]);
			printf(" %u: %.2f", sizes[n], costs[n]);
		}
		printf("\n");
		if (g_str_equal(names[i], ROUTING_POLICY_DEFAULT))
			expect(c, costs[2] <= 1.5 * costs[0],
			       "choice at 3800 endpoints", costs[2],
			       "<= 1.5 times that at 50",
			       "issue 4: decision cost stays flat");
	}
}

int main(int argc, char **argv)
{
	gboolean is_check = FALSE;
	gboolean is_good;
	char *name_filter = NULL;
	const GOptionEntry entries[] = {
		{ "check", 0, 0, G_OPTION_ARG_NONE, &is_check,
		  "Verify the bounds", NULL },
		{ "only", 0, 0, G_OPTION_ARG_STRING, &name_filter,
		  "Run only scenarios whose name contains TEXT", "TEXT" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct request_outcome outcomes[SCENARIO_COUNT];
	struct checker c = { 0 };

	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, NULL);
	g_option_context_free(context);
	if (!is_good)
		return EXIT_FAILURE;
	print_head();
	for (guint i = 0; i < SCENARIO_COUNT; i++) {
		struct request_sim m;

		if (name_filter && !strstr(scenarios[i].name, name_filter))
			continue;
		request_sim_init(&m, &scenarios[i]);
		request_sim_run(&m);
		request_sim_measure(&m, &outcomes[i]);
		print_outcome(&scenarios[i], &outcomes[i]);
		fflush(stdout);
		request_sim_clear(&m);
	}
	check_choice_cost(&c);
	if (!is_check || name_filter)
		return EXIT_SUCCESS;
	check_all(&c, outcomes);
	printf("%u passed, %u failed\n", c.passed, c.failed);
	return c.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
