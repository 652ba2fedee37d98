/*
 * Claims a configured guarantee over real processes while small jobs of another
 * client account have borrowed its accelerators.
 */
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "job/gang.h"
#include "job/worker_contact.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS INT64_C(30000)
/* Requirement: urgent work starts within 1.5 s, reclaim included. */
#define URGENT_MS INT64_C(1500)
/* Time until a silent worker counts as lost (docs/design/gangs.md). */
#define LOST_MS (WORKER_RENEW_MIN_MS + 3000)
/* Allowance for reading several processes in turn and scheduling delays. */
#define READ_SLACK_MS 300
/* Age of the last known checkpoint: one renewal plus the lag of reports. */
#define CHECKPOINT_AGE_MS (WORKER_RENEW_MIN_MS + WORKER_REPORT_LAG_MS)
/* Time until a new holder knows the running tasks (docs/operators/jobs.md). */
#define RECOVERY_MS INT64_C(3000)
#define BORROWED_JOBS 7
#define BORROWED_GANG 6	     /* index of the job with several members */
#define BORROWED_RAN_MS 5000 /* run time before the claim */
#define GUARANTEE_MEMBERS 2
#define BOUND_SLACK_MS 1000

#define CONFIG                                                           \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","              \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["        \
	"{\"name\":\"a\",\"service\":\"salkhi\",\"guaranteed_shapes\":[" \
	"{\"name\":\"rerun\",\"pool\":\"salkhi.tov-a\",\"shape\":"       \
	"{\"members\":2,\"accelerators\":8,\"cores\":1,\"memory_mb\":1," \
	"\"adjacency\":\"rack\"}}]},"                                    \
	"{\"name\":\"b\",\"service\":\"salkhi\",\"share\":1}]}"

struct reclaim_case {
	const char *name;
	guint schedulers;
	int64_t borrowed_run_ms;
	/* The last worker answers late, so that the fault occurs during the
	 * reclaim. */
	gboolean is_slow;
	gboolean loses_checkpoint; /* of one member of the borrowed gang */
	void (*inject)(struct gang_cluster *g);
	void (*heal)(struct gang_cluster *g);
	int64_t bound_ms; /* from since_ms of struct run to the gang's start */
};

struct run {
	struct gang_cluster *cluster;
	const struct reclaim_case *c;
	char *borrowed[BORROWED_JOBS];
	gboolean was_running[BORROWED_JOBS]; /* at the time of the claim */
	int64_t since_ms;	 /* time of the fault, else of the submission */
	json_object *would_stop; /* ids of jobs that a claim would stop */
};

/*
 * Fills each worker's 8 accelerators with a job of 5, a job of 2 and one member
 * of the borrowed gang.
 */
static const struct {
	int64_t members;
	int64_t accelerators;
	gboolean is_checkpointable;
} borrowed_jobs[BORROWED_JOBS] = {
	{ 1, 5, TRUE }, { 1, 5, FALSE }, { 1, 5, TRUE }, { 1, 2, FALSE },
	{ 1, 2, TRUE }, { 1, 2, FALSE }, { 3, 1, TRUE },
};

static gboolean is_checkpointable(guint borrowed)
{
	return borrowed_jobs[borrowed].is_checkpointable;
}

static void submit_borrowed(struct run *r, guint i)
{
	struct gang_submission job = {
		.members = borrowed_jobs[i].members,
		.accelerators = borrowed_jobs[i].accelerators,
		.is_checkpointable = borrowed_jobs[i].is_checkpointable,
		.run_ms = r->c->borrowed_run_ms,
	};

	r->borrowed[i] = g_strdup_printf("borrowed%u", i);
	job.id = r->borrowed[i];
	gang_cluster_submit_for(r->cluster, &job, "b", ADJACENCY_NONE);
	gang_cluster_poke(r->cluster, job.id);
}

static void wait_state(struct run *r, const char *id, const char *state)
{
	if (gang_cluster_wait_state(r->cluster, id, state, TIMEOUT_MS))
		return;
	g_test_message("%s: %s did not reach state %s", r->c->name, id, state);
	g_test_fail();
}

struct placement_wait {
	struct run *run;
	const char *id;
	char *placement;
};

static gboolean has_placement(void *data)
{
	struct placement_wait *w = data;

	g_free(w->placement);
	w->placement =
		gang_cluster_row_member(w->run->cluster, w->id, "placement");
	return w->placement[0] != '\0';
}

/* Returns a running job's workers; retries, as a read may time out. */
static char *placement_of(struct run *r, const char *id)
{
	struct placement_wait w = { r, id, NULL };
	gboolean is_placed = cluster_wait(has_placement, &w, TIMEOUT_MS);

	g_assert_true(is_placed);
	return w.placement;
}

/*
 * Cancels the largest job on the last worker, so that this worker is the
 * cheapest to reclaim.
 */
static void cancel_job_on_last_worker(struct run *r)
{
	for (guint i = 0; i < GANG_WORKERS; i++) {
		char *placement = placement_of(r, r->borrowed[i]);

		if (strstr(placement, "v0")) {
			r->was_running[i] = FALSE;
			gang_cluster_cancel(r->cluster, r->borrowed[i]);
			gang_cluster_poke(r->cluster, r->borrowed[i]);
			wait_state(r, r->borrowed[i], "cancelled");
		}
		g_free(placement);
	}
}

static void start_borrowed_jobs(struct run *r)
{
	gang_cluster_configure(r->cluster, CONFIG);
	for (guint i = 0; i < BORROWED_JOBS; i++) {
		submit_borrowed(r, i);
		wait_state(r, r->borrowed[i], "running");
	}
	for (guint i = 0; i < BORROWED_JOBS; i++)
		r->was_running[i] = TRUE;
	cluster_sleep(BORROWED_RAN_MS);
	if (r->c->is_slow)
		cancel_job_on_last_worker(r);
}

/* Returns TRUE once all members but the slow one have written a checkpoint. */
static gboolean is_partly_checkpointed(void *data)
{
	struct run *r = data;

	return gang_cluster_count_events(r->cluster, r->borrowed[BORROWED_GANG],
					 "checkpointed") == GANG_WORKERS - 1;
}

/* Returns TRUE if the last worker is among those that the gang waits for. */
static gboolean is_clearing_last_worker(struct gang_cluster *g)
{
	struct cluster_reply r = cluster_call(
		g->cluster, "GET", g->addresses[gang_cluster_wait_holder(g)],
		"/v1/explain/job/rerun?pool=" GANG_POOL, NULL, NULL,
		CLUSTER_CALL_TIMEOUT_MS);
	const char *text =
		json_object_to_json_string_ext(r.body, JSON_C_TO_STRING_PLAIN);
	gboolean is_clearing = strstr(text, "\"gang\":\"clearing\"") &&
			       strstr(text, "\"worker\":\"v0\"");

	g_assert_null(strstr(text, "(null)"));
	cluster_reply_clear(&r);
	return is_clearing;
}

/* Returns the ids of the jobs that a claim would stop now; unref them. */
static json_object *explain_guarantee(struct run *r)
{
	struct gang_cluster *g = r->cluster;
	struct cluster_reply reply = cluster_call(
		g->cluster, "GET", g->addresses[gang_cluster_wait_holder(g)],
		"/v1/explain/guarantee/a?pool=" GANG_POOL, NULL, NULL,
		CLUSTER_CALL_TIMEOUT_MS);
	json_object *list = NULL;
	json_object *first;
	json_object *jobs = NULL;

	g_assert_cmpuint(reply.code, ==, 200);
	g_assert_true(
		json_object_object_get_ex(reply.body, "guarantees", &list));
	first = json_object_array_get_idx(list, 0);
	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(first, "state")),
		==, "held");
	g_assert_true(json_object_object_get_ex(first, "would_stop", &jobs));
	json_object_get(jobs);
	cluster_reply_clear(&reply);
	return jobs;
}

/* Checks the same explanation in the output of csctl. */
static void check_csctl_output(struct gang_cluster *g)
{
	struct cluster_process *p = cluster_spawn(
		g->cluster, "csctl", "explain",
		CLUSTER_ARGS("--server",
			     g->addresses[gang_cluster_wait_holder(g)],
			     "explain", "guarantee", "a", "--pool", GANG_POOL));

	g_assert_cmpint(cluster_wait_exit(p, CLUSTER_CALL_TIMEOUT_MS), ==, 0);
	g_assert_cmpuint(
		cluster_count_lines(p, "rerun of a in " GANG_POOL ": held"), ==,
		1);
	g_assert_cmpuint(cluster_count_lines(p, "  would stop: borrowed"), ==,
			 1);
}

static void claim(struct run *r)
{
	const struct gang_submission rerun = {
		"rerun", GUARANTEE_MEMBERS, 8, 1000, "urgent", FALSE
	};
	struct gang_cluster *g = r->cluster;

	r->would_stop = explain_guarantee(r);
	check_csctl_output(g);
	if (r->c->is_slow)
		cluster_control(g->cluster, g->workers[GANG_WORKERS - 1],
				"{\"delay_ms\":600}");
	gang_cluster_submit_for(g, &rerun, "a", ADJACENCY_RACK);
	r->since_ms = util_wall_ms();
	gang_cluster_poke(g, rerun.id);
	if (!r->c->inject)
		return;
	g_assert_true(cluster_wait(is_partly_checkpointed, r, URGENT_MS));
	g_assert_cmpuint(gang_cluster_count_events(g, "rerun", "started"), ==,
			 0);
	g_assert_true(is_clearing_last_worker(g));
	r->c->inject(g);
	r->since_ms = util_wall_ms();
}

/* Checks that the gang started within the bound, by the workers' clocks. */
static void check_start(struct run *r)
{
	struct gang_cluster *g = r->cluster;
	int64_t elapsed_ms;

	wait_state(r, "rerun", "done");
	elapsed_ms =
		gang_cluster_last_event_ms(g, "rerun", "started") - r->since_ms;
	g_test_message("%s: started after %" G_GINT64_FORMAT " ms", r->c->name,
		       elapsed_ms);
	g_assert_cmpint(elapsed_ms, <=, r->c->bound_ms);
	g_assert_cmpuint(gang_cluster_count_events(g, "rerun", "started"), ==,
			 GUARANTEE_MEMBERS);
}

/* Returns how long the last attempt of a job ran. */
static int64_t last_run_ms(struct run *r, const char *id)
{
	return gang_cluster_last_event_ms(r->cluster, id, "done") -
	       gang_cluster_last_event_ms(r->cluster, id, "started");
}

/* Checks that a job with a checkpoint resumed from it. */
static void check_resumed(struct run *r, guint i)
{
	const char *id = r->borrowed[i];
	char *text = gang_cluster_row_member(r->cluster, id, "remaining_ms");
	int64_t remaining_ms = strtoll(text, NULL, 10);
	int64_t max_remaining_ms =
		r->c->borrowed_run_ms - BORROWED_RAN_MS + CHECKPOINT_AGE_MS;

	g_test_message("%s: %s had %s ms left", r->c->name, id, text);
	g_assert_cmpint(remaining_ms, >, 0);
	g_assert_cmpint(remaining_ms, <=, max_remaining_ms);
	g_assert_cmpint(last_run_ms(r, id), <=, remaining_ms + READ_SLACK_MS);
	g_free(text);
	text = gang_cluster_row_member(r->cluster, id, "stops");
	g_assert_cmpint(strtoll(text, NULL, 10), >, 0);
	g_free(text);
}

/* Checks that a gang without one member's checkpoint ran from the start. */
static void check_restarted(struct run *r, guint i)
{
	g_assert_cmpint(last_run_ms(r, r->borrowed[i]), >=,
			r->c->borrowed_run_ms - READ_SLACK_MS);
}

/* Returns TRUE if a job was checkpointed or stopped for the guarantee. */
static gboolean was_reclaimed(struct run *r, guint i)
{
	const char *event = is_checkpointable(i) ? "checkpointed" : "stopped";

	return r->was_running[i] &&
	       gang_cluster_count_events(r->cluster, r->borrowed[i], event) > 0;
}

static void check_borrowed(struct run *r)
{
	guint reclaimed[2] = { 0, 0 }; /* [is_checkpointable] */

	for (guint i = 0; i < BORROWED_JOBS; i++) {
		if (r->was_running[i])
			wait_state(r, r->borrowed[i], "done");
		if (!was_reclaimed(r, i))
			continue;
		reclaimed[is_checkpointable(i)]++;
		if (i == BORROWED_GANG && r->c->loses_checkpoint)
			check_restarted(r, i);
		else if (is_checkpointable(i))
			check_resumed(r, i);
	}
	g_test_message("%s: stopped %u without and %u with checkpoint",
		       r->c->name, reclaimed[0], reclaimed[1]);
	g_assert_cmpuint(reclaimed[0], >, 0);
	g_assert_cmpuint(reclaimed[1], >, 0);
}

static gboolean is_in_would_stop(struct run *r, const char *id)
{
	for (size_t i = 0; i < json_object_array_length(r->would_stop); i++) {
		if (g_str_equal(
			    json_object_get_string(json_object_array_get_idx(
				    r->would_stop, i)),
			    id))
			return TRUE;
	}
	return FALSE;
}

/*
 * Checks that exactly the explained jobs were stopped; compares only in cases
 * that keep all workers full.
 */
static void check_would_stop(struct run *r)
{
	g_assert_cmpuint(json_object_array_length(r->would_stop), >, 0);
	for (guint i = 0; !r->c->is_slow && i < BORROWED_JOBS; i++)
		g_assert_cmpint(is_in_would_stop(r, r->borrowed[i]), ==,
				was_reclaimed(r, i));
	json_object_put(r->would_stop);
}

static void check_histories(struct run *r)
{
	char *violation = gang_cluster_check(
		r->cluster,
		worker_partial_bound_ms(GANG_WORKERS, 1) + BOUND_SLACK_MS);

	g_assert_cmpstr(violation, ==, NULL);
	for (guint i = 0; i < r->cluster->scheduler_count; i++)
		g_assert_cmpuint(cluster_count_lines(r->cluster->schedulers[i],
						     "waited_ms=-"),
				 ==, 0);
}

static const struct gang_cluster_options one_rack = { .is_one_rack = TRUE };

static void test_reclaim(gconstpointer data)
{
	struct run r = { .c = data };

	r.cluster = gang_cluster_open_with(r.c->schedulers, &one_rack);
	start_borrowed_jobs(&r);
	claim(&r);
	if (r.c->heal)
		r.c->heal(r.cluster);
	check_start(&r);
	check_borrowed(&r);
	check_would_stop(&r);
	check_histories(&r);
	gang_cluster_close(r.cluster);
	for (guint i = 0; i < BORROWED_JOBS; i++)
		g_free(r.borrowed[i]);
}

static void kill_holder(struct gang_cluster *g)
{
	guint holder = gang_cluster_wait_holder(g);

	cluster_signal(g->schedulers[holder], SIGKILL);
	cluster_wait_exit(g->schedulers[holder], CLUSTER_CALL_TIMEOUT_MS);
}

static void restore_last_worker(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->workers[GANG_WORKERS - 1],
			"{\"delay_ms\":0}");
}

static const struct reclaim_case cases[] = {
	{ "/gangs/reclaim/no-fault", 1, 10000, FALSE, FALSE, NULL, NULL,
	  URGENT_MS },
	{ "/gangs/reclaim/worker-killed", 1, 15000, TRUE, TRUE,
	  gang_cluster_kill_worker, gang_cluster_start_worker,
	  LOST_MS + URGENT_MS },
	{ "/gangs/reclaim/holder-killed", 2, 30000, TRUE, FALSE, kill_holder,
	  restore_last_worker, WORKER_TAKEOVER_MS + RECOVERY_MS + URGENT_MS },
};

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_reclaim);
	return g_test_run();
}
