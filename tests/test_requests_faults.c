/*
 * Faults at each step of a request that is not repeatable, with real processes:
 * it runs at most once, and its answer says truthfully whether it ran.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "tests/request_cluster.h"

/* Faults to inject. */

static void no_fault(struct request_cluster *c)
{
}

static void slow_platform(struct request_cluster *c)
{
	cluster_control(c->cluster, c->platform,
			"{\"mode\":\"slow\",\"slow_ms\":300}");
}

/** Longest delay until the breaker probes the platform again, plus slack. */
#define PLATFORM_PROBE_MAX_MS 3000

/* Returns TRUE if the second gateway's breaker lets calls pass. */
static gboolean platform_is_usable(void *data)
{
	struct request_cluster *c = data;
	const struct cluster_process *p = c->gateways[1];

	return !cluster_count_lines(p, "event=platform_breaker state=open") ||
	       cluster_count_lines(p,
				   "event=platform_breaker state=recovering");
}

/*
 * Ends the outage and waits until the breaker of the second gateway has
 * noticed, as the gateway rightly answers "unknown" while the breaker is open.
 * Fails if the breaker takes too long.
 */
static void restore_platform(struct request_cluster *c)
{
	cluster_control(c->cluster, c->platform, "{\"mode\":\"ok\"}");
	g_assert_true(
		cluster_wait(platform_is_usable, c, PLATFORM_PROBE_MAX_MS));
}

static void lose_claim_answer(struct request_cluster *c)
{
	cluster_control(c->cluster, c->platform,
			"{\"lose_answers\":1,\"lose_table\":\"claims\"}");
}

static void kill_gateway_soon(struct request_cluster *c)
{
	cluster_sleep(100);
	request_cluster_kill_gateway(c);
}

static void stop_gateway(struct request_cluster *c)
{
	cluster_signal(c->gateways[0], SIGSTOP);
}

static void continue_gateway(struct request_cluster *c)
{
	cluster_signal(c->gateways[0], SIGCONT);
}

static void control_runners(struct request_cluster *c, const char *body)
{
	for (guint i = 0; i < RUNNERS; i++)
		cluster_control(c->cluster, c->runner_addresses[i], body);
}

static void silence_runners(struct request_cluster *c)
{
	control_runners(c, "{\"silent\":true}");
}

/* Runners answer with the request id of another request. */
static void answer_with_wrong_id(struct request_cluster *c)
{
	control_runners(c, "{\"wrong_id\":true}");
}

static void fail_runs(struct request_cluster *c)
{
	control_runners(c, "{\"fail\":true}");
}

static void delay_answers(struct request_cluster *c)
{
	control_runners(c, "{\"delay_ms\":2500}");
}

static void set_runners_leaving(struct request_cluster *c)
{
	control_runners(c, "{\"leaving\":true}");
}

/* The relay forwards nothing more on connections that are open now. */
static void silence_open(struct request_cluster *c)
{
	cluster_control(c->cluster, c->relay_control,
			"{\"silence_open\":true}");
}

static void refuse_connections(struct request_cluster *c)
{
	cluster_control(c->cluster, c->relay_control, "{\"mode\":\"refuse\"}");
}

enum fault_point {
	BEFORE_SEND, /* before the request is sent */
	AFTER_SEND,  /* while a slow platform delays the claim */
	WHILE_RUNNING,
	AFTER_ANSWER,
};

typedef void (*fault_fn)(struct request_cluster *c);

/* A request to the first gateway, a fault, then a retry at the second one. */
struct fault_case {
	const char *path; /* of the test case */
	enum fault_point when;
	int attempt; /* number of the first attempt, 0 if not numbered */
	fault_fn fault;
	const char *answer; /* allowed answers of the first, "" for none */
	const char *reason; /* NULL for any */
	fault_fn before_retry;
	const char *retry_answer; /* allowed answers of the retry */
	const char *retry_reason; /* NULL for any */
	guint min_runs;
	guint max_runs;
};

static const struct fault_case cases[] = {
	{ "/requests-faults/none", BEFORE_SEND, 1, no_fault, "done", NULL,
	  no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-lost-answer", BEFORE_SEND, 1,
	  lose_claim_answer, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/result-lost-answer", WHILE_RUNNING, 1,
	  lose_claim_answer, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-down", BEFORE_SEND, 1,
	  request_cluster_set_platform_down, "not run", "platform_down",
	  restore_platform, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-down-uncounted", BEFORE_SEND, 0,
	  request_cluster_set_platform_down, "unknown", "claim_unreachable",
	  no_fault, "unknown", "claim_unreachable", 0, 0 },
	{ "/requests-faults/result-platform-down", WHILE_RUNNING, 1,
	  request_cluster_set_platform_down, "done", NULL, no_fault, "unknown",
	  "claim_unreachable", 1, 1 },
	{ "/requests-faults/result-platform-back", WHILE_RUNNING, 1,
	  request_cluster_set_platform_down, "done", NULL, restore_platform,
	  "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-slow", BEFORE_SEND, 1, slow_platform,
	  "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-gateway-killed", AFTER_SEND, 1,
	  kill_gateway_soon, "", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-gateway-killed", WHILE_RUNNING, 1,
	  request_cluster_kill_gateway, "", NULL, no_fault, "unknown",
	  "claimant_gone", 1, 1 },
	{ "/requests-faults/answered-gateway-killed", AFTER_ANSWER, 1,
	  request_cluster_kill_gateway, "done", NULL, no_fault, "done|unknown",
	  NULL, 1, 1 },
	{ "/requests-faults/answered-gateway-stopped", AFTER_ANSWER, 1,
	  stop_gateway, "done", NULL, no_fault, "done|unknown", NULL, 1, 1 },
	{ "/requests-faults/running-drain", WHILE_RUNNING, 1,
	  request_cluster_drain_gateway, "done", NULL, no_fault, "done", NULL,
	  1, 1 },
	{ "/requests-faults/crossed-answer", BEFORE_SEND, 1,
	  answer_with_wrong_id, "unknown", "crossed_answer", no_fault,
	  "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/failed-run", BEFORE_SEND, 1, fail_runs, "unknown",
	  "run_failed", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-runner", BEFORE_SEND, 1, silence_runners,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/late-answer", BEFORE_SEND, 1, delay_answers,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-connections", BEFORE_SEND, 1, silence_open,
	  "done|unknown", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-silent-connection", WHILE_RUNNING, 1,
	  silence_open, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 1, 1 },
	{ "/requests-faults/closed-connections", BEFORE_SEND, 1,
	  refuse_connections, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 0, 0 },
	{ "/requests-faults/all-leaving", BEFORE_SEND, 1, set_runners_leaving,
	  "not run", NULL, no_fault, "not run", NULL, 0, 0 },
};

static void apply_at(const struct fault_case *f, struct request_cluster *c,
		     enum fault_point when)
{
	if (f->when == when)
		f->fault(c);
}

static void test_fault(const void *data)
{
	const struct fault_case *f = data;
	struct request_cluster *c = request_cluster_new();
	struct request_call_spec r = { "k", f->attempt, WORK_MS, DEADLINE_MS };
	struct request_call *first;
	struct request_call *retry;

	apply_at(f, c, BEFORE_SEND);
	if (f->when == AFTER_SEND)
		slow_platform(c);
	first = request_cluster_send(c, 0, &r);
	apply_at(f, c, AFTER_SEND);
	if (f->when == WHILE_RUNNING)
		request_cluster_wait_started(c, r.key);
	apply_at(f, c, WHILE_RUNNING);
	request_call_wait(first);
	request_call_assert_answer(first, f->answer, f->reason, r.key);
	apply_at(f, c, AFTER_ANSWER);
	f->before_retry(c);
	r.attempt = f->attempt ? f->attempt + 1 : 0;
	retry = request_cluster_send(c, 1, &r);
	request_call_wait(retry);
	request_call_assert_answer(retry, f->retry_answer, f->retry_reason,
				   r.key);
	cluster_sleep(WORK_MS);
	g_assert_cmpuint(request_cluster_count_runs_of_key(c, r.key), >=,
			 f->min_runs);
	g_assert_cmpuint(request_cluster_count_runs_of_key(c, r.key), <=,
			 f->max_runs);
	request_call_free(first);
	request_call_free(retry);
	request_cluster_free(c);
}

/*
 * A gateway stopped by SIGSTOP keeps its claim, so that a retry elsewhere is
 * not run; once continued, it answers, and the retry gets the same result.
 */
static void test_stopped(void)
{
	struct request_cluster *c = request_cluster_new();
	struct request_call_spec r = { "k", 1, WORK_MS, DEADLINE_MS * 4 };
	struct request_call_spec again = { "k", 2, WORK_MS, 800 };
	struct request_call *first = request_cluster_send(c, 0, &r);
	struct request_call *retry;

	request_cluster_wait_started(c, "k");
	stop_gateway(c);
	retry = request_cluster_send(c, 1, &again);
	request_call_wait(retry);
	request_call_assert_answer(retry, "unknown", "claimed_elsewhere", "k");
	continue_gateway(c);
	request_call_wait(first);
	request_call_assert_answer(first, "done", NULL, "k");
	request_call_free(retry);
	retry = request_cluster_send(c, 1, &again);
	request_call_wait(retry);
	request_call_assert_answer(retry, "done", NULL, "k");
	g_assert_cmpuint(request_cluster_count_runs_of_key(c, "k"), ==, 1);
	request_call_free(first);
	request_call_free(retry);
	request_cluster_free(c);
}

/* Concurrent attempts with one key, through both gateways, run once. */
static void test_same_key(void)
{
	struct request_cluster *c = request_cluster_new();
	struct request_call_spec r = { "k", 0, WORK_MS, DEADLINE_MS };
	struct request_call *calls[4];

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = request_cluster_send(c, i % GATEWAYS, &r);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		request_call_wait(calls[i]);
		request_call_assert_answer(calls[i], "done", NULL, "k");
		request_call_free(calls[i]);
	}
	g_assert_cmpuint(request_cluster_count_runs_of_key(c, "k"), ==, 1);
	request_cluster_free(c);
}

#define STORM_KEYS 60

/* One of many requests; retried at the second gateway if not answered. */
struct storm_key {
	char *key;
	struct request_call *call;
};

static void storm_send(struct request_cluster *c, struct storm_key *k, guint i)
{
	struct request_call_spec r = { NULL, 1, 100, DEADLINE_MS };

	k->key = g_strdup_printf("storm-%u", i);
	r.key = k->key;
	k->call = request_cluster_send(c, i % GATEWAYS, &r);
}

static void storm_retry(struct request_cluster *c, struct storm_key *k)
{
	const struct request_call_spec r = { k->key, 2, 100, DEADLINE_MS };

	request_call_wait(k->call);
	if (k->call->body)
		return;
	request_call_free(k->call);
	k->call = request_cluster_send(c, 1, &r);
	request_call_wait(k->call);
}

/* Checks the answer against the runs; returns TRUE if it is "done". */
static gboolean storm_check(struct request_cluster *c,
			    const struct storm_key *k)
{
	const char *answer = request_call_member(k->call, "answer");
	guint runs = request_cluster_count_runs_of_key(c, k->key);

	g_assert_cmpuint(runs, <=, 1);
	if (g_str_equal(answer, "not run"))
		g_assert_cmpuint(runs, ==, 0);
	if (!g_str_equal(answer, "done"))
		return FALSE;
	g_assert_cmpuint(runs, ==, 1);
	request_call_assert_result_key(k->call, k->key);
	return TRUE;
}

/*
 * Many requests while answers of the claim table are lost and one gateway is
 * killed: requests without an answer are retried at the other gateway, none
 * runs twice, and one answered "not run" has not run.
 */
static void test_storm(void)
{
	struct request_cluster *c = request_cluster_new();
	struct storm_key keys[STORM_KEYS];
	guint done = 0;

	cluster_control(c->cluster, c->platform,
			"{\"lose_answers\":5,\"lose_table\":\"claims\"}");
	for (guint i = 0; i < STORM_KEYS; i++)
		storm_send(c, &keys[i], i);
	cluster_sleep(150);
	request_cluster_kill_gateway(c);
	for (guint i = 0; i < STORM_KEYS; i++)
		storm_retry(c, &keys[i]);
	for (guint i = 0; i < STORM_KEYS; i++) {
		done += storm_check(c, &keys[i]);
		request_call_free(keys[i].call);
		g_free(keys[i].key);
	}
	g_test_message("%u of %u done", done, STORM_KEYS);
	g_assert_cmpuint(done, >=, STORM_KEYS / 2);
	request_cluster_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_fault);
	g_test_add_func("/requests-faults/running-gateway-stopped",
			test_stopped);
	g_test_add_func("/requests-faults/same-key", test_same_key);
	g_test_add_func("/requests-faults/storm", test_storm);
	return g_test_run();
}
