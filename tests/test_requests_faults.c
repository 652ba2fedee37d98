/*
 * Faults at each step of the life of a request that is not repeatable, over
 * the real processes: its answer is single and true.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "tests/request_world.h"

/* The faults. */

static void no_fault(struct request_world *w)
{
}

static void platform_slow(struct request_world *w)
{
	cluster_control(w->cluster, w->platform,
			"{\"mode\":\"slow\",\"slow_ms\":300}");
}

/* The longest time that a process leaves a platform alone, and some slack. */
#define PLATFORM_FOUND_MS 3000

static gboolean has_platform(void *data)
{
	struct request_world *w = data;
	const struct cluster_process *p = w->gateways[1];

	return !cluster_grep(p, "event=platform_breaker state=open") ||
	       cluster_grep(p, "event=platform_breaker state=recovering");
}

/*
 * While its breaker is open the second gateway answers truthfully that it
 * can't tell; it has to find the platform again within a bound.
 */
static void platform_up(struct request_world *w)
{
	cluster_control(w->cluster, w->platform, "{\"mode\":\"ok\"}");
	g_assert_true(cluster_wait(has_platform, w, PLATFORM_FOUND_MS));
}

static void lose_claim_answer(struct request_world *w)
{
	cluster_control(w->cluster, w->platform,
			"{\"lose_answers\":1,\"lose_table\":\"claims\"}");
}

static void kill_gateway_soon(struct request_world *w)
{
	cluster_sleep(100);
	request_world_kill_gateway(w);
}

static void stop_gateway(struct request_world *w)
{
	cluster_signal(w->gateways[0], SIGSTOP);
}

static void continue_gateway(struct request_world *w)
{
	cluster_signal(w->gateways[0], SIGCONT);
}

static void control_runners(struct request_world *w, const char *body)
{
	for (guint i = 0; i < RUNNERS; i++)
		cluster_control(w->cluster, w->runners[i], body);
}

static void silence_runners(struct request_world *w)
{
	control_runners(w, "{\"silent\":true}");
}

static void cross_answers(struct request_world *w)
{
	control_runners(w, "{\"wrong_id\":true}");
}

static void fail_runs(struct request_world *w)
{
	control_runners(w, "{\"fail\":true}");
}

static void delay_answers(struct request_world *w)
{
	control_runners(w, "{\"delay_ms\":2500}");
}

static void runners_leave(struct request_world *w)
{
	control_runners(w, "{\"leaving\":true}");
}

static void silence_open(struct request_world *w)
{
	cluster_control(w->cluster, w->relay_control,
			"{\"silence_open\":true}");
}

static void refuse_connections(struct request_world *w)
{
	cluster_control(w->cluster, w->relay_control, "{\"mode\":\"refuse\"}");
}

enum when {
	BEFORE_CLAIM, /* before the request is sent */
	AFTER_ARRIVAL,
	RUNNING,
	ANSWERED,
};

typedef void (*fault_fn)(struct request_world *w);

/* One request at the first gateway, a fault, then a retry at the second. */
struct fault_case {
	const char *path;
	enum when when;
	int attempt; /* number of the first attempt, 0 for none */
	fault_fn fault;
	const char *answer; /* allowed answers of the first, "" for none */
	const char *reason; /* NULL for any */
	fault_fn before_retry;
	const char *retry;	  /* allowed answers of the retry */
	const char *retry_reason; /* NULL for any */
	guint least_runs;
	guint most_runs;
};

static const struct fault_case cases[] = {
	{ "/requests-faults/none", BEFORE_CLAIM, 1, no_fault, "done", NULL,
	  no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-lost-answer", BEFORE_CLAIM, 1,
	  lose_claim_answer, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/result-lost-answer", RUNNING, 1, lose_claim_answer,
	  "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-down", BEFORE_CLAIM, 1,
	  request_world_platform_down, "not run", "platform_down", platform_up,
	  "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-down-uncounted", BEFORE_CLAIM, 0,
	  request_world_platform_down, "unknown", "claim_unreachable", no_fault,
	  "unknown", "claim_unreachable", 0, 0 },
	{ "/requests-faults/result-platform-down", RUNNING, 1,
	  request_world_platform_down, "done", NULL, no_fault, "unknown",
	  "claim_unreachable", 1, 1 },
	{ "/requests-faults/result-platform-back", RUNNING, 1,
	  request_world_platform_down, "done", NULL, platform_up, "done", NULL,
	  1, 1 },
	{ "/requests-faults/claim-platform-slow", BEFORE_CLAIM, 1,
	  platform_slow, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-gateway-killed", AFTER_ARRIVAL, 1,
	  kill_gateway_soon, "", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-gateway-killed", RUNNING, 1,
	  request_world_kill_gateway, "", NULL, no_fault, "unknown",
	  "claimant_gone", 1, 1 },
	{ "/requests-faults/answered-gateway-killed", ANSWERED, 1,
	  request_world_kill_gateway, "done", NULL, no_fault, "done|unknown",
	  NULL, 1, 1 },
	{ "/requests-faults/answered-gateway-stopped", ANSWERED, 1,
	  stop_gateway, "done", NULL, no_fault, "done|unknown", NULL, 1, 1 },
	{ "/requests-faults/running-drain", RUNNING, 1,
	  request_world_drain_gateway, "done", NULL, no_fault, "done", NULL, 1,
	  1 },
	{ "/requests-faults/crossed-answer", BEFORE_CLAIM, 1, cross_answers,
	  "unknown", "crossed_answer", no_fault, "unknown", "lost_answer", 1,
	  1 },
	{ "/requests-faults/failed-run", BEFORE_CLAIM, 1, fail_runs, "unknown",
	  "run_failed", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-runner", BEFORE_CLAIM, 1, silence_runners,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/late-answer", BEFORE_CLAIM, 1, delay_answers,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-connections", BEFORE_CLAIM, 1, silence_open,
	  "done|unknown", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-silent-connection", RUNNING, 1,
	  silence_open, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 1, 1 },
	{ "/requests-faults/closed-connections", BEFORE_CLAIM, 1,
	  refuse_connections, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 0, 0 },
	{ "/requests-faults/all-leaving", BEFORE_CLAIM, 1, runners_leave,
	  "not run", NULL, no_fault, "not run", NULL, 0, 0 },
};

static void apply(const struct fault_case *f, struct request_world *w,
		  enum when when)
{
	if (f->when == when)
		f->fault(w);
}

static void test_fault(const void *data)
{
	const struct fault_case *f = data;
	struct request_world *w = request_world_new();
	struct request_call_spec r = { "k", f->attempt, WORK_MS, DEADLINE_MS };
	struct request_call *first;
	struct request_call *retry;

	apply(f, w, BEFORE_CLAIM);
	if (f->when == AFTER_ARRIVAL)
		platform_slow(w);
	first = request_world_send(w, 0, &r);
	apply(f, w, AFTER_ARRIVAL);
	if (f->when == RUNNING)
		request_world_wait_started(w, r.key);
	apply(f, w, RUNNING);
	request_call_wait(first);
	request_call_assert_answer(first, f->answer, f->reason, r.key);
	apply(f, w, ANSWERED);
	f->before_retry(w);
	r.attempt = f->attempt ? f->attempt + 1 : 0;
	retry = request_world_send(w, 1, &r);
	request_call_wait(retry);
	request_call_assert_answer(retry, f->retry, f->retry_reason, r.key);
	cluster_sleep(WORK_MS);
	g_assert_cmpuint(request_world_runs_of(w, r.key), >=, f->least_runs);
	g_assert_cmpuint(request_world_runs_of(w, r.key), <=, f->most_runs);
	request_call_free(first);
	request_call_free(retry);
	request_world_free(w);
}

/* A stopped claimant holds its claim; once it goes on, its answer stands. */
static void test_stopped(void)
{
	struct request_world *w = request_world_new();
	struct request_call_spec r = { "k", 1, WORK_MS, DEADLINE_MS * 4 };
	struct request_call_spec again = { "k", 2, WORK_MS, 800 };
	struct request_call *first = request_world_send(w, 0, &r);
	struct request_call *retry;

	request_world_wait_started(w, "k");
	stop_gateway(w);
	retry = request_world_send(w, 1, &again);
	request_call_wait(retry);
	request_call_assert_answer(retry, "unknown", "claimed_elsewhere", "k");
	continue_gateway(w);
	request_call_wait(first);
	request_call_assert_answer(first, "done", NULL, "k");
	request_call_free(retry);
	retry = request_world_send(w, 1, &again);
	request_call_wait(retry);
	request_call_assert_answer(retry, "done", NULL, "k");
	g_assert_cmpuint(request_world_runs_of(w, "k"), ==, 1);
	request_call_free(first);
	request_call_free(retry);
	request_world_free(w);
}

/* Attempts at the same time, by one gateway and by both, run once. */
static void test_same_key(void)
{
	struct request_world *w = request_world_new();
	struct request_call_spec r = { "k", 0, WORK_MS, DEADLINE_MS };
	struct request_call *calls[4];

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = request_world_send(w, i % GATEWAYS, &r);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		request_call_wait(calls[i]);
		request_call_assert_answer(calls[i], "done", NULL, "k");
		request_call_free(calls[i]);
	}
	g_assert_cmpuint(request_world_runs_of(w, "k"), ==, 1);
	request_world_free(w);
}

#define STORM 60

/* One of many keys, each with a retry at the other gateway. */
struct storm_key {
	char *key;
	struct request_call *call;
};

static void storm_send(struct request_world *w, struct storm_key *k, guint i)
{
	struct request_call_spec r = { NULL, 1, 100, DEADLINE_MS };

	k->key = g_strdup_printf("storm-%u", i);
	r.key = k->key;
	k->call = request_world_send(w, i % GATEWAYS, &r);
}

static void storm_retry(struct request_world *w, struct storm_key *k)
{
	const struct request_call_spec r = { k->key, 2, 100, DEADLINE_MS };

	request_call_wait(k->call);
	if (k->call->body)
		return;
	request_call_free(k->call);
	k->call = request_world_send(w, 1, &r);
	request_call_wait(k->call);
}

/* Returns whether it is done. */
static gboolean storm_check(struct request_world *w, const struct storm_key *k)
{
	const char *answer = request_call_text(k->call, "answer");
	guint runs = request_world_runs_of(w, k->key);

	g_assert_cmpuint(runs, <=, 1);
	if (g_str_equal(answer, "not run"))
		g_assert_cmpuint(runs, ==, 0);
	if (!g_str_equal(answer, "done"))
		return FALSE;
	g_assert_cmpuint(runs, ==, 1);
	request_call_assert_whole(k->call, k->key);
	return TRUE;
}

/*
 * Many keys while answers of the table are lost and one gateway dies: each is
 * retried at the other one, none runs twice, and "not run" is true.
 */
static void test_storm(void)
{
	struct request_world *w = request_world_new();
	struct storm_key keys[STORM];
	guint done = 0;

	cluster_control(w->cluster, w->platform,
			"{\"lose_answers\":5,\"lose_table\":\"claims\"}");
	for (guint i = 0; i < STORM; i++)
		storm_send(w, &keys[i], i);
	cluster_sleep(150);
	request_world_kill_gateway(w);
	for (guint i = 0; i < STORM; i++)
		storm_retry(w, &keys[i]);
	for (guint i = 0; i < STORM; i++) {
		done += storm_check(w, &keys[i]);
		request_call_free(keys[i].call);
		g_free(keys[i].key);
	}
	g_test_message("%u of %u done", done, STORM);
	g_assert_cmpuint(done, >=, STORM / 2);
	request_world_free(w);
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
