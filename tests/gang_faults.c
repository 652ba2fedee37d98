#include "tests/gang_faults.h"

#include <signal.h>

#include "base/util.h"
#include "job/worker_contact.h"

#define STEP_TIMEOUT_MS 6000
#define END_TIMEOUT_MS 40000
#define SCHEDULERS 2
/* Allowance for reading clocks in several processes and scheduling delays. */
#define BOUND_SLACK_MS 1000
/* Longer than the pool's lease and the delay before a caretaker acts. */
#define HOLDER_FAULT_MS INT64_C(9000)
/* Longer than the lease of the tasks. */
#define WORKER_FAULT_MS                                                      \
	(WORKER_RENEW_MIN_MS + WORKER_TAKEOVER_MS + WORKER_EXPIRY_SLACK_MS + \
	 1000)
#define WORKER_RESTART_MS INT64_C(5000)

static void signal_holder(struct gang_cluster *g, int signal)
{
	cluster_signal(g->schedulers[gang_cluster_wait_holder(g)], signal);
}

static void kill_scheduler(struct gang_cluster *g)
{
	signal_holder(g, SIGKILL);
}

static void restart_schedulers(struct gang_cluster *g)
{
	for (guint i = 0; i < g->scheduler_count; i++) {
		if (!cluster_is_running(g->schedulers[i]))
			gang_cluster_start_scheduler(g, i);
	}
}

static void pause_scheduler(struct gang_cluster *g)
{
	signal_holder(g, SIGSTOP);
}

static void resume_schedulers(struct gang_cluster *g)
{
	for (guint i = 0; i < g->scheduler_count; i++) {
		if (cluster_is_running(g->schedulers[i]))
			cluster_signal(g->schedulers[i], SIGCONT);
	}
}

static void cut_schedulers(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->platform, "{\"cut\":[\"tov-a\"]}");
}

static void reconnect_schedulers(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->platform, "{\"cut\":[]}");
}

static void pause_worker(struct gang_cluster *g)
{
	cluster_signal(g->worker_processes[1], SIGSTOP);
}

static void resume_worker(struct gang_cluster *g)
{
	cluster_signal(g->worker_processes[1], SIGCONT);
}

static void cut_to_worker(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->relay_control, "{\"mode\":\"cut_up\"}");
}

static void cut_from_worker(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->relay_control,
			"{\"mode\":\"cut_down\"}");
}

static void reconnect_worker(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->relay_control, "{\"mode\":\"pass\"}");
}

static void take_platform_down(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->platform, "{\"mode\":\"down\"}");
}

static void bring_platform_up(struct gang_cluster *g)
{
	cluster_control(g->cluster, g->platform, "{\"mode\":\"ok\"}");
}

static void pause_platform(struct gang_cluster *g)
{
	cluster_signal(g->platform_process, SIGSTOP);
}

static void resume_platform(struct gang_cluster *g)
{
	cluster_signal(g->platform_process, SIGCONT);
}

const struct gang_fault gang_fault_kill_scheduler = {
	HOLDER_FAULT_MS, kill_scheduler, restart_schedulers, FALSE
};
const struct gang_fault gang_fault_pause_scheduler = {
	HOLDER_FAULT_MS, pause_scheduler, resume_schedulers, FALSE
};
const struct gang_fault gang_fault_cut_schedulers = {
	HOLDER_FAULT_MS, cut_schedulers, reconnect_schedulers, FALSE
};
const struct gang_fault gang_fault_kill_worker = { WORKER_RESTART_MS,
						   gang_cluster_kill_worker,
						   gang_cluster_start_worker,
						   FALSE };
const struct gang_fault gang_fault_pause_worker = { WORKER_FAULT_MS,
						    pause_worker, resume_worker,
						    FALSE };
const struct gang_fault gang_fault_cut_to_worker = { WORKER_FAULT_MS,
						     cut_to_worker,
						     reconnect_worker, TRUE };
const struct gang_fault gang_fault_cut_from_worker = { WORKER_FAULT_MS,
						       cut_from_worker,
						       reconnect_worker, TRUE };
const struct gang_fault gang_fault_platform_down = { HOLDER_FAULT_MS,
						     take_platform_down,
						     bring_platform_up, FALSE };
const struct gang_fault gang_fault_pause_platform = { HOLDER_FAULT_MS,
						      pause_platform,
						      resume_platform, FALSE };

static const struct gang_submission gang = { "gang", 3, 8, 1500, NULL, FALSE };
static const struct gang_submission block = {
	"block", 3, 8, 1500, NULL, FALSE
};
static const struct gang_submission victim = { "victim", 3,	 8,
					       5000,	 "bulk", TRUE };
static const struct gang_submission urgent = { "gang", 3,	 8,
					       1500,   "urgent", FALSE };

static void submit(struct gang_cluster *g, const struct gang_submission *job)
{
	gang_cluster_submit(g, job);
	gang_cluster_poke(g, job->id);
}

static void control_last_worker(struct gang_cluster *g, const char *body)
{
	cluster_control(g->cluster, g->workers[GANG_WORKERS - 1], body);
}

static void wait_events(struct gang_cluster *g, const char *id,
			const char *event, guint count)
{
	g_assert_true(
		gang_cluster_wait_events(g, id, event, count, STEP_TIMEOUT_MS));
}

static void wait_state(struct gang_cluster *g, const char *id,
		       const char *state)
{
	g_assert_true(gang_cluster_wait_state(g, id, state, STEP_TIMEOUT_MS));
}

/* Each reach_ function runs a cluster up to one step of the gang's life cycle.
 */
static void reach_queued(struct gang_cluster *g)
{
	submit(g, &block);
	wait_state(g, "block", "running");
	submit(g, &gang);
}

static void reach_reserved_in_part(struct gang_cluster *g)
{
	control_last_worker(g, "{\"silent\":true}");
	submit(g, &gang);
	wait_events(g, "gang", "reserved", 2);
}

static void reach_reserved(struct gang_cluster *g)
{
	gang_cluster_submit(g, &gang);
	gang_cluster_poke(g, "gang");
	cluster_control(g->cluster, g->platform,
			"{\"mode\":\"slow\",\"slow_ms\":400}");
	wait_events(g, "gang", "reserved", 3);
}

/* Returns TRUE if the gang's row has been committed, or a later step. */
static gboolean is_committed(void *data)
{
	char *state = gang_cluster_row_member(data, "gang", "state");
	gboolean is_done = g_str_equal(state, "committed") ||
			   g_str_equal(state, "running");

	g_free(state);
	return is_done;
}

/*
 * Pauses the holder while the job is submitted: otherwise it may find the job
 * by a scan and write the row before answers are lost. The row may stay in the
 * state committed for a few milliseconds only, so the platform tells when it
 * has lost the answer; the write took effect before.
 */
static void reach_answer_lost(struct gang_cluster *g)
{
	pause_scheduler(g);
	gang_cluster_submit(g, &gang);
	cluster_control(g->cluster, g->platform,
			"{\"lose_answers\":1,\"lose_table\":\"jobs\"}");
	resume_schedulers(g);
	gang_cluster_poke(g, "gang");
	g_assert_true(gang_cluster_wait_lost_answer(g, STEP_TIMEOUT_MS));
	g_assert_true(cluster_wait(is_committed, g, STEP_TIMEOUT_MS));
}

static void reach_starting(struct gang_cluster *g)
{
	control_last_worker(g, "{\"delay_ms\":600}");
	submit(g, &gang);
	wait_events(g, "gang", "started", 2);
}

static void reach_running(struct gang_cluster *g)
{
	submit(g, &gang);
	wait_state(g, "gang", "running");
}

static void reach_reclaiming(struct gang_cluster *g)
{
	submit(g, &victim);
	wait_state(g, "victim", "running");
	control_last_worker(g, "{\"delay_ms\":600}");
	submit(g, &urgent);
	wait_events(g, "victim", "checkpointed", 2);
}

static void reach_ending(struct gang_cluster *g)
{
	submit(g, &gang);
	wait_state(g, "gang", "running");
	control_last_worker(g, "{\"delay_ms\":600}");
	gang_cluster_cancel(g, "gang");
	gang_cluster_poke(g, "gang");
	wait_events(g, "gang", "stopped", 2);
}

static const struct {
	const char *name;
	void (*reach)(struct gang_cluster *g);
	const char *end; /* expected end state of the gang */
} steps[] = {
	{ "queued", reach_queued, "done" },
	{ "reserved-in-part", reach_reserved_in_part, "done" },
	{ "reserved", reach_reserved, "done" },
	{ "answer-lost", reach_answer_lost, "done" },
	{ "starting", reach_starting, "done" },
	{ "running", reach_running, "done" },
	{ "reclaiming", reach_reclaiming, "done" },
	{ "ending", reach_ending, "cancelled" },
};

struct run {
	struct gang_cluster *cluster;
	const struct gang_fault_set *set;
	guint step;
	int64_t injected_ms;
};

static void inject_faults(struct run *run)
{
	g_test_message("%s at %s", run->set->name, steps[run->step].name);
	steps[run->step].reach(run->cluster);
	for (guint i = 0; i < GANG_FAULT_SET_MAX; i++) {
		if (run->set->faults[i])
			run->set->faults[i]->inject(run->cluster);
	}
	run->injected_ms = util_monotonic_ms();
}

static int64_t heal_time_ms(const struct run *run)
{
	int64_t duration_ms = 0;

	for (guint i = 0; i < GANG_FAULT_SET_MAX; i++) {
		if (run->set->faults[i])
			duration_ms = MAX(duration_ms,
					  run->set->faults[i]->duration_ms);
	}
	return run->injected_ms + duration_ms;
}

static gint compare_runs(gconstpointer a, gconstpointer b)
{
	int64_t x = heal_time_ms(a);
	int64_t y = heal_time_ms(b);

	return (x > y) - (x < y);
}

static void heal_faults(struct run *run)
{
	struct gang_cluster *g = run->cluster;
	int64_t left_ms = heal_time_ms(run) - util_monotonic_ms();

	if (left_ms > 0)
		cluster_sleep(left_ms);
	for (guint i = 0; i < GANG_FAULT_SET_MAX; i++) {
		if (run->set->faults[i])
			run->set->faults[i]->heal(g);
	}
	cluster_control(g->cluster, g->platform, "{\"mode\":\"ok\"}");
	control_last_worker(g, "{\"silent\":false,\"delay_ms\":0}");
}

static void check(struct run *run)
{
	struct gang_cluster *g = run->cluster;
	const char *end = steps[run->step].end;
	int64_t bound_ms =
		worker_partial_bound_ms(GANG_WORKERS, 1) + BOUND_SLACK_MS;
	char *violation;

	g_test_message("check %s at %s", run->set->name, steps[run->step].name);
	if (!gang_cluster_wait_state(g, "gang", end, END_TIMEOUT_MS)) {
		char *state = gang_cluster_row_member(g, "gang", "state");

		g_test_message("gang is in state %s, expected %s", state, end);
		g_test_fail();
		g_free(state);
	}
	violation = gang_cluster_check(g, bound_ms);
	if (violation) {
		g_test_message("%s", violation);
		g_test_fail();
	}
	g_free(violation);
}

static gboolean needs_relay(const struct gang_fault_set *set)
{
	gboolean needs = FALSE;

	for (guint i = 0; i < GANG_FAULT_SET_MAX; i++)
		needs |= set->faults[i] && set->faults[i]->needs_relay;
	return needs;
}

void gang_faults_run(const struct gang_fault_set *sets, guint count)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct run));

	for (guint i = 0; i < count * G_N_ELEMENTS(steps); i++) {
		const struct gang_fault_set *set =
			&sets[i / G_N_ELEMENTS(steps)];
		struct run run = {
			.cluster = gang_cluster_start(SCHEDULERS,
						      needs_relay(set)),
			.set = set,
			.step = i % G_N_ELEMENTS(steps),
		};

		g_array_append_val(runs, run);
	}
	for (guint i = 0; i < runs->len; i++)
		gang_cluster_wait_ready(
			g_array_index(runs, struct run, i).cluster);
	for (guint i = 0; i < runs->len; i++)
		inject_faults(&g_array_index(runs, struct run, i));
	g_array_sort(runs, compare_runs);
	for (guint i = 0; i < runs->len; i++)
		heal_faults(&g_array_index(runs, struct run, i));
	for (guint i = 0; i < runs->len; i++) {
		check(&g_array_index(runs, struct run, i));
		gang_cluster_close(g_array_index(runs, struct run, i).cluster);
	}
	g_array_unref(runs);
}
