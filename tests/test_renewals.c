/*
 * Lease renewals in virtual time: period, lease and partial bound by pool size,
 * and the shares of the delegates when messages or processes are lost.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "job/gang.h"
#include "job/placement/placement.h"
#include "job/renewal_delegate.h"
#include "job/scheduler.h"
#include "job/task_name.h"
#include "job/worker_contact.h"

#define POOL "salkhi.tov-a"
#define EPOCH 7
#define WORKERS 60U
#define TICK_MS INT64_C(50)
#define ANSWER_MS 5
#define DELEGATES 2U
/*
 * Number of shares by which calls may exceed the rate: those of one second may
 * still be in flight in the next.
 */
#define RATE_SLACK 2U
#define SHARE (WORKERS / (DELEGATES + 1U))

/* Largest partial bound that the requirements allow at each size. */
static const struct {
	guint workers;
	guint schedulers;
	int64_t bound_ms;
} bounds[] = {
	{ 3, 1, 18000 },   { 3, 8, 18000 },   { 10, 1, 18000 },
	{ 17, 3, 20000 },  { 50, 1, 26000 },  { 50, 3, 24000 },
	{ 50, 8, 24000 },  { 190, 8, 30000 }, { 380, 8, 30000 },
	{ 380, 7, 32000 }, { 380, 6, 34000 }, { 380, 4, 40000 },
	{ 380, 2, 60000 }, { 380, 1, 95000 },
};

static void test_bounds(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(bounds); i++) {
		guint workers = bounds[i].workers;
		guint schedulers = bounds[i].schedulers;
		int64_t period_ms = worker_renew_period_ms(workers, schedulers);
		int64_t lease_ms = worker_lease_ms(workers, schedulers);

		g_test_message("%u workers, %u schedulers", workers,
			       schedulers);
		g_assert_cmpint(worker_partial_bound_ms(workers, schedulers),
				<=, bounds[i].bound_ms);
		g_assert_cmpint(worker_loss_reaction_ms(workers, schedulers), <,
				worker_partial_bound_ms(workers, schedulers));
		/*
		 * A lease outlasts a change of holder, and also the
		 * detection of a failed delegate and a retried call.
		 */
		g_assert_cmpint(lease_ms, >=, period_ms + WORKER_TAKEOVER_MS);
		g_assert_cmpint(period_ms + RENEWAL_DELEGATE_TIMEOUT_MS +
					RENEWAL_SPREAD_MS + RENEWAL_REPORT_MS +
					WORKER_CALL_TIMEOUT_MS +
					WORKER_RETRY_MS,
				<, lease_ms);
	}
}

static void add_task(GArray *tasks, const char *name, enum task_state state)
{
	struct worker_task t = { g_strdup(name), state, 0 };

	g_array_append_val(tasks, t);
}

static int64_t digest_of(const char *const *names,
			 const enum task_state *states)
{
	struct worker_report r = {
		.tasks = g_array_new(FALSE, TRUE, sizeof(struct worker_task)),
	};
	int64_t digest;

	for (guint i = 0; names[i]; i++)
		add_task(r.tasks, names[i], states[i]);
	digest = worker_report_digest(&r);
	worker_report_clear(&r);
	return digest;
}

/*
 * The contributions of two tasks that change state alike must not cancel each
 * other out, and the order of the tasks must not matter.
 */
static void test_digest(void)
{
	const char *const names[] = { "j/0of2/1", "j/1of2/1", NULL };
	const char *const reversed[] = { "j/1of2/1", "j/0of2/1", NULL };
	const char *const none[] = { NULL };
	const enum task_state states[][2] = {
		{ TASK_RESERVED, TASK_RESERVED },
		{ TASK_RUNNING, TASK_RUNNING },
		{ TASK_DONE, TASK_DONE },
		{ TASK_RUNNING, TASK_DONE },
		{ TASK_DONE, TASK_RUNNING },
		{ TASK_STOPPED, TASK_STOPPED },
	};
	int64_t empty = digest_of(none, states[0]);
	int64_t digest;
	int64_t same;

	for (guint i = 0; i < G_N_ELEMENTS(states); i++) {
		digest = digest_of(names, states[i]);
		g_assert_cmpint(digest, !=, empty);
		for (guint k = 0; k < i; k++) {
			int64_t other = digest_of(names, states[k]);

			g_assert_cmpint(digest, !=, other);
		}
	}
	digest = digest_of(names, states[0]);
	same = digest_of(reversed, states[0]);
	g_assert_cmpint(digest, ==, same);
}

/*
 * A holder, two delegates, and workers that answer at once unless the caller
 * can't reach them.
 */
struct world {
	struct scheduler *holder;
	struct renewal_delegate *delegates[DELEGATES];
	gboolean is_dead[DELEGATES];
	gboolean is_link_cut[DELEGATES]; /* reports to the holder are lost */
	gboolean is_cut_from_holder[WORKERS];
	gboolean is_cut_from_delegates[WORKERS];
	gboolean has_task[WORKERS];
	int64_t renewed_ms[WORKERS];
	int64_t lease_until_ms[WORKERS]; /* end of the last lease */
	int64_t longest_gap_ms;
	guint holder_calls;
	guint immediate_wakes; /* ticks after which the next is due at once */
	guint calls[DELEGATES];
	guint call_ticks[DELEGATES]; /* ticks in which it called a worker */
	gboolean is_scan_requested;
	int64_t now_ms;
	struct pending {
		gboolean is_called;
		int64_t call_id;
	} pending[WORKERS];
};

static void record_renewal(struct world *x, guint worker, int64_t lease_ms)
{
	if (x->renewed_ms[worker])
		x->longest_gap_ms = MAX(x->longest_gap_ms,
					x->now_ms - x->renewed_ms[worker]);
	x->renewed_ms[worker] = x->now_ms;
	x->lease_until_ms[worker] =
		MAX(x->lease_until_ms[worker], x->now_ms + lease_ms);
}

static void call_worker(const char *worker, const char *address,
			int64_t call_id, const struct worker_call *call,
			void *data)
{
	struct world *x = data;
	guint i = (guint)atoi(worker + 1);

	x->holder_calls++;
	x->pending[i].is_called = TRUE;
	x->pending[i].call_id = call_id;
	if (!x->is_cut_from_holder[i])
		record_renewal(x, i, call->lease_ms);
}

static void write_row(const char *id, int64_t call_id,
		      const struct job_record *r, int64_t expected_version,
		      void *data)
{
}

static void read_row(const char *id, int64_t call_id, void *data)
{
}

static void scan_rows(void *data)
{
	((struct world *)data)->is_scan_requested = TRUE;
}

static const struct scheduler_ops ops = {
	.call_worker = call_worker,
	.write_row = write_row,
	.read_row = read_row,
	.scan_rows = scan_rows,
};

static void fill_report(const struct world *x, guint worker,
			struct worker_report *r)
{
	r->epoch = EPOCH;
	r->results = g_array_new(FALSE, TRUE, sizeof(struct worker_result));
	r->tasks = g_array_new(FALSE, TRUE, sizeof(struct worker_task));
	if (x->has_task[worker])
		add_task(r->tasks, "j/0of1/1", TASK_DONE);
}

static void answer_holder(struct world *x, guint worker)
{
	struct worker_report report = { 0 };
	char *name = g_strdup_printf("w%u", worker);
	gboolean is_cut = x->is_cut_from_holder[worker];

	x->pending[worker].is_called = FALSE;
	fill_report(x, worker, &report);
	scheduler_on_worker_answer(x->holder, name, x->pending[worker].call_id,
				   is_cut ? WORKER_FAILED : WORKER_ANSWERED,
				   &report, x->now_ms);
	worker_report_clear(&report);
	g_free(name);
}

static void run_calls(struct world *x, guint index)
{
	struct renewal_delegate *d = x->delegates[index];
	const struct delegated_worker *w;
	guint before = x->calls[index];

	while ((w = renewal_delegate_next(d, x->now_ms))) {
		struct worker_report report = { 0 };
		guint i = (guint)atoi(w->name + 1);
		gboolean is_cut = x->is_cut_from_delegates[i];

		x->calls[index]++;
		if (!is_cut)
			record_renewal(x, i, d->lease_ms);
		fill_report(x, i, &report);
		renewal_delegate_on_answer(d, w->name, w->call_id,
					   is_cut ? WORKER_FAILED
						  : WORKER_ANSWERED,
					   &report, x->now_ms);
		worker_report_clear(&report);
	}
	x->call_ticks[index] += x->calls[index] > before ? 1 : 0;
}

static void run_report(struct world *x, guint index)
{
	struct renewal_delegate *d = x->delegates[index];
	struct renewal_report report = { 0 };
	struct renewal_grant grant = { 0 };
	const char *node = index ? "d1" : "d0";
	int64_t due_ms = scheduler_due_ms(x->holder, x->now_ms);

	renewal_report_init(&report);
	renewal_grant_init(&grant);
	if (renewal_delegate_report(d, x->now_ms, &report) &&
	    !x->is_link_cut[index] &&
	    scheduler_on_renewal_report(x->holder, node, &report, x->now_ms,
					&grant))
		renewal_delegate_on_grant(d, "h", &grant, x->now_ms);
	/*
	 * A report without failures or changes must not make the holder due
	 * earlier.
	 */
	if (!report.failed->len && !report.changes->len && !grant.has_workers)
		g_assert_cmpint(scheduler_due_ms(x->holder, x->now_ms), >=,
				due_ms);
	renewal_report_clear(&report);
	renewal_grant_clear(&grant);
}

static void run(struct world *x, int64_t for_ms)
{
	int64_t until_ms = x->now_ms + for_ms;

	while (x->now_ms < until_ms) {
		x->now_ms += TICK_MS;
		if (x->is_scan_requested)
			scheduler_on_scanned(x->holder, STATUS_OK, x->now_ms);
		x->is_scan_requested = FALSE;
		for (guint i = 0; i < WORKERS; i++) {
			if (x->pending[i].is_called)
				answer_holder(x, i);
		}
		scheduler_tick(x->holder, x->now_ms, x->now_ms);
		x->immediate_wakes +=
			scheduler_due_ms(x->holder, x->now_ms) <= x->now_ms;
		for (guint i = 0; i < DELEGATES; i++) {
			if (x->is_dead[i])
				continue;
			run_calls(x, i);
			run_report(x, i);
		}
	}
}

static struct scheduler_stats stats_of(const struct world *x)
{
	struct scheduler_stats stats;

	scheduler_get_stats(x->holder, &stats);
	return stats;
}

static void reset_counts(struct world *x)
{
	x->holder_calls = 0;
	x->longest_gap_ms = 0;
	memset(x->calls, 0, sizeof(x->calls));
	memset(x->call_ticks, 0, sizeof(x->call_ticks));
}

static void list_workers(struct world *x, guint count)
{
	struct listed_worker list[WORKERS];
	char names[WORKERS][8];

	for (guint i = 0; i < count; i++) {
		g_snprintf(names[i], sizeof(names[i]), "w%u", i);
		list[i] = (struct listed_worker){
			.spec = { .name = names[i],
				  .rack = "r",
				  .address = "127.0.0.1:1",
				  .accelerators = 1,
				  .cores = 1,
				  .memory_mb = 1 },
		};
	}
	scheduler_on_worker_list(x->holder, list, count, x->now_ms);
}

/* Creates a pool and runs it until the delegates have their shares. */
static struct world *world_open(void)
{
	struct world *x = g_new0(struct world, 1);
	struct scheduler_spec spec = {
		.pool = POOL,
		.node = "h",
		.incarnation = "i",
		.policy = PLACEMENT_POLICY_DEFAULT,
		.ops = &ops,
		.data = x,
	};

	x->now_ms = 100000;
	x->holder = scheduler_new(&spec);
	scheduler_set_scheduler_count(x->holder, DELEGATES + 1);
	list_workers(x, WORKERS);
	for (guint i = 0; i < DELEGATES; i++) {
		x->delegates[i] = renewal_delegate_new(POOL);
		renewal_delegate_on_holder(x->delegates[i], "h", EPOCH);
	}
	scheduler_set_role(x->holder, POOL_ROLE_HOLDER, EPOCH, x->now_ms);
	run(x, 10000);
	g_assert_cmpuint(stats_of(x).delegates, ==, DELEGATES);
	g_assert_cmpuint(stats_of(x).shared_workers, ==,
			 WORKERS * DELEGATES / (DELEGATES + 1));
	reset_counts(x);
	return x;
}

static void world_close(struct world *x)
{
	for (guint i = 0; i < DELEGATES; i++)
		renewal_delegate_free(x->delegates[i]);
	scheduler_free(x->holder);
	g_free(x);
}

/*
 * The holder and each delegate renew their shares within the rate limit, and no
 * worker is left out. Calls are grouped at WORKER_RENEW_POINTS times per
 * renewal period, so that the main loop runs once per group and not once per
 * worker.
 */
static void test_shares(void)
{
	struct world *x = world_open();
	int64_t period_ms = worker_renew_period_ms(WORKERS, DELEGATES + 1);
	guint max_calls =
		(guint)(INT64_C(10) * WORKER_RENEWALS_PER_S *
			WORKER_RENEW_POINTS / (WORKER_RENEW_POINTS - 1)) +
		RATE_SLACK * SHARE;

	guint points =
		(guint)(INT64_C(10000) * WORKER_RENEW_POINTS / period_ms) + 1;

	run(x, 10000);
	g_assert_cmpint(x->longest_gap_ms, <=, period_ms + 2 * TICK_MS);
	g_assert_cmpuint(x->holder_calls, <=, max_calls);
	for (guint i = 0; i < DELEGATES; i++) {
		g_assert_cmpuint(x->calls[i], >, SHARE);
		g_assert_cmpuint(x->calls[i], <=, max_calls);
		g_assert_cmpuint(x->call_ticks[i], <=, points);
	}
	world_close(x);
}

/*
 * Both delegates fail in turn: no lease expires, and the shares return to the
 * holder.
 */
static void test_delegate_failures(void)
{
	struct world *x = world_open();
	int64_t lease_ms = worker_lease_ms(WORKERS, DELEGATES + 1);

	x->is_dead[0] = TRUE;
	run(x, RENEWAL_DELEGATE_TIMEOUT_MS + 2000);
	g_assert_cmpuint(stats_of(x).delegates, ==, 1);
	g_assert_cmpuint(stats_of(x).shared_workers, <=, WORKERS / 2);
	x->is_dead[1] = TRUE;
	run(x, 20000);
	g_assert_cmpuint(stats_of(x).shared_workers, ==, 0);
	g_assert_cmpint(x->longest_gap_ms, <,
			lease_ms - WORKER_CALL_TIMEOUT_MS - WORKER_RETRY_MS);
	world_close(x);
}

/*
 * Delegates that are cut off from the holder stop renewing when their grants
 * expire, and get new shares when the link is back.
 */
static void test_link_cut(void)
{
	struct world *x = world_open();

	x->is_link_cut[0] = TRUE;
	x->is_link_cut[1] = TRUE;
	run(x, RENEWAL_GRANT_MS + TICK_MS);
	reset_counts(x);
	run(x, 10000);
	g_assert_cmpuint(x->calls[0] + x->calls[1], ==, 0);
	g_assert_cmpuint(stats_of(x).shared_workers, ==, 0);
	x->is_link_cut[0] = FALSE;
	x->is_link_cut[1] = FALSE;
	run(x, 10000);
	g_assert_cmpuint(stats_of(x).delegates, ==, DELEGATES);
	g_assert_cmpuint(x->calls[0], >, 0);
	world_close(x);
}

/*
 * The holder calls a worker itself if its delegate can't reach it or reports a
 * change of its tasks.
 */
static void test_failure_and_change(void)
{
	struct world *x = world_open();
	guint worker =
		(guint)atoi(((struct delegated_worker *)g_hash_table_get_values(
				     x->delegates[0]->workers)
				     ->data)
				    ->name +
			    1);
	int64_t period_ms = worker_renew_period_ms(WORKERS, DELEGATES + 1);

	x->is_cut_from_delegates[worker] = TRUE;
	run(x, period_ms + WORKER_CALL_TIMEOUT_MS);
	g_assert_cmpint(x->now_ms - x->renewed_ms[worker], <=, period_ms);
	x->is_cut_from_delegates[worker] = FALSE;
	run(x, RENEWAL_RESHARE_DELAY_MS + 2 * period_ms);
	reset_counts(x);
	run(x, period_ms);
	x->has_task[worker] = TRUE;
	x->renewed_ms[worker] = 0;
	run(x, 2 * period_ms + RENEWAL_REPORT_MS);
	g_assert_cmpint(x->renewed_ms[worker], >, 0);
	world_close(x);
}

/*
 * Workers that the holder can't reach, but the delegates can: no lease lasts
 * longer after the cut than the partial bound.
 */
static void test_one_way_cut(void)
{
	struct world *x = world_open();
	int64_t bound_ms = worker_partial_bound_ms(WORKERS, DELEGATES + 1);
	int64_t cut_ms = x->now_ms;

	for (guint i = 0; i < WORKERS; i++)
		x->is_cut_from_holder[i] = TRUE;
	/* Changed tasks make the holder call each worker, which fails. */
	for (guint i = 0; i < WORKERS; i++)
		x->has_task[i] = TRUE;
	run(x, 2 * bound_ms);
	for (guint i = 0; i < WORKERS; i++)
		g_assert_cmpint(x->lease_until_ms[i], <=, cut_ms + bound_ms);
	g_assert_cmpuint(stats_of(x).usable_workers, ==, 0);
	world_close(x);
}

/*
 * The holder may treat a worker's tasks as expired only after the end of the
 * last lease that it gave itself or that a delegate may have given under a
 * grant.
 */
static void test_expiry(void)
{
	static const struct {
		int64_t granted_ms; /* after the last call, 0 without a grant */
		int64_t lease_ms;   /* lease of the grant; the call's is 10 s */
	} cases[] = {
		{ 0, 0 },
		{ 3000, 10000 },
		{ 3000, 4000 },
		{ 500, 30000 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct worker_contact *c =
			worker_contact_new("w", "127.0.0.1:1", 0);
		int64_t until_ms = 5000 + 10000;
		int64_t now_ms = 5000;

		worker_contact_set_listed(c, TRUE, FALSE, 0);
		worker_contact_on_sent(c, 1, 10000, now_ms);
		worker_contact_on_answer(c, 1000, now_ms);
		if (cases[i].granted_ms) {
			now_ms += cases[i].granted_ms;
			worker_contact_on_granted(c, RENEWAL_GRANT_MS,
						  cases[i].lease_ms, now_ms);
			until_ms = MAX(until_ms, now_ms + RENEWAL_GRANT_MS +
							 cases[i].lease_ms);
		}
		worker_contact_on_delegate_failed(c, now_ms);
		c->sent_ms = now_ms;
		worker_contact_on_failure(c, now_ms + WORKER_CALL_TIMEOUT_MS);
		now_ms += WORKER_LOST_AFTER_MS;
		g_assert_cmpint(worker_contact_check(c, 1000, now_ms), ==,
				CONTACT_EVENT_LOST);
		g_assert_cmpint(
			worker_contact_check(
				c, 1000, until_ms + WORKER_EXPIRY_SLACK_MS - 1),
			==, CONTACT_EVENT_NONE);
		g_assert_cmpint(
			worker_contact_check(c, 1000,
					     until_ms + WORKER_EXPIRY_SLACK_MS),
			==, CONTACT_EVENT_EXPIRED);
		worker_contact_free(c);
	}
}

/*
 * A worker may be shared with a delegate, and its report left out, only after a
 * report that is newer than the last command to it.
 */
static void test_settled(void)
{
	struct sent_command command = { WORKER_START, NULL };
	struct worker_contact *c = worker_contact_new("w", "127.0.0.1:1", 0);
	static const struct {
		int64_t after_ms; /* since the previous call */
		gboolean has_command;
		gboolean is_settled;
	} calls[] = {
		{ 10000, FALSE, TRUE },
		{ 10, FALSE, TRUE },
		{ 10, TRUE, FALSE },
		{ WORKER_REPORT_LAG_MS, FALSE, FALSE },
		{ 1, FALSE, TRUE },
		{ 10000, TRUE, FALSE },
		{ WORKER_REPORT_LAG_MS + 1, FALSE, TRUE },
	};
	int64_t now_ms = 0;

	worker_contact_set_listed(c, TRUE, FALSE, 0);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		now_ms += calls[i].after_ms;
		g_array_set_size(c->sent_commands, 0);
		command.task = g_strdup("j/0of1/1");
		if (calls[i].has_command)
			g_array_append_val(c->sent_commands, command);
		else
			g_free(command.task);
		worker_contact_on_sent(c, i, 10000, now_ms);
		worker_contact_on_answer(c, 1000, now_ms);
		g_assert_cmpint(worker_contact_is_settled(c), ==,
				calls[i].is_settled);
		g_assert_cmpint(worker_contact_may_be_shared(c, now_ms), ==,
				calls[i].is_settled);
	}
	worker_contact_free(c);
}

/* A grant, relative to the one that answers the last report. */
struct grant_case {
	const char *description;
	const char *from;
	int64_t epoch;
	int64_t sequence; /* relative to that of the last report */
	int64_t after_ms; /* from the sending of the last report */
	gboolean is_accepted;
};

static const struct grant_case grant_cases[] = {
	{ "in time", "h", EPOCH, 0, 10, TRUE },
	{ "answers the previous report", "h", EPOCH, -1, 10, TRUE },
	{ "expired on arrival", "h", EPOCH, 0, RENEWAL_GRANT_MS, FALSE },
	{ "answers an outdated report", "h", EPOCH, -RENEWAL_REPORTS_KEPT, 10,
	  FALSE },
	{ "answers a report not sent yet", "h", EPOCH, 1, 10, FALSE },
	{ "older epoch", "h", EPOCH - 1, 0, 10, FALSE },
	{ "newer epoch", "h", EPOCH + 1, 0, 10, FALSE },
	{ "from another process", "x", EPOCH, 0, 10, FALSE },
};

static int64_t send_reports(struct renewal_delegate *d, guint count)
{
	int64_t now_ms = 1000000;

	for (guint i = 0; i < count; i++) {
		struct renewal_report report = { 0 };

		now_ms += RENEWAL_REPORT_MS;
		renewal_report_init(&report);
		g_assert_true(renewal_delegate_report(d, now_ms, &report));
		renewal_report_clear(&report);
	}
	return now_ms;
}

static void deliver_grant(struct renewal_delegate *d,
			  const struct grant_case *x, const char *worker,
			  int64_t now_ms)
{
	struct renewal_grant grant = {
		.epoch = x->epoch,
		.sequence = d->sequence + x->sequence,
		.life_ms = RENEWAL_GRANT_MS,
		.period_ms = 1000,
		.version = (int64_t)worker[1],
		.has_workers = TRUE,
	};
	struct renewal_worker w = { g_strdup(worker), g_strdup("127.0.0.1:1"),
				    0 };

	renewal_grant_init(&grant);
	g_array_append_val(grant.workers, w);
	renewal_delegate_on_grant(d, x->from, &grant, now_ms);
	renewal_grant_clear(&grant);
}

/*
 * A lost worker that the platform no longer lists must not leave the scheduler
 * due at once after every tick.
 */
static void test_unlisted(void)
{
	struct world *x = world_open();

	x->is_cut_from_holder[WORKERS - 1] = TRUE;
	x->is_cut_from_delegates[WORKERS - 1] = TRUE;
	list_workers(x, WORKERS - 1);
	run(x, 10000);
	x->immediate_wakes = 0;
	run(x, worker_lease_ms(WORKERS, 1) + WORKER_EXPIRY_SLACK_MS);
	g_assert_cmpuint(x->immediate_wakes, ==, 0);
	world_close(x);
}

/*
 * A delegate ignores grants that are expired, outdated, unsolicited, of another
 * epoch or from another process.
 */
static void test_grants(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(grant_cases); i++) {
		const struct grant_case *x = &grant_cases[i];
		struct renewal_delegate *d = renewal_delegate_new(POOL);
		int64_t sent_ms;
		int64_t now_ms;

		g_test_message("%s", x->description);
		renewal_delegate_on_holder(d, "h", EPOCH);
		renewal_delegate_on_holder(d, "old", EPOCH - 1);
		sent_ms = send_reports(d, 2 * RENEWAL_REPORTS_KEPT);
		now_ms = sent_ms + x->after_ms;
		deliver_grant(d, x, "w0", now_ms);
		g_assert_cmpint(renewal_delegate_next(d, now_ms) != NULL, ==,
				x->is_accepted);
		/* The lifetime is counted from the sending of the report. */
		g_assert_cmpint(d->valid_until_ms, <=,
				sent_ms + RENEWAL_GRANT_MS);
		renewal_delegate_free(d);
	}
}

/* A delayed older grant must not replace a newer share. */
static void test_grants_reordered(void)
{
	const struct grant_case newer = { "", "h", EPOCH, 0, 0, TRUE };
	const struct grant_case older = { "", "h", EPOCH, -1, 0, TRUE };
	struct renewal_delegate *d = renewal_delegate_new(POOL);
	const struct delegated_worker *w;
	int64_t now_ms;

	renewal_delegate_on_holder(d, "h", EPOCH);
	now_ms = send_reports(d, 2);
	deliver_grant(d, &newer, "w1", now_ms);
	deliver_grant(d, &older, "w0", now_ms);
	w = renewal_delegate_next(d, now_ms);
	g_assert_cmpstr(w->name, ==, "w1");
	g_assert_null(renewal_delegate_next(d, now_ms));
	renewal_delegate_free(d);
}

/*
 * A delegate drops its whole share when a worker answers that it knows a newer
 * epoch, and accepts only a holder of a newer epoch afterwards.
 */
static void test_refused(void)
{
	const struct grant_case grant = { "", "h", EPOCH, 0, 0, TRUE };
	const struct worker_report report = { 0 };
	struct renewal_delegate *d = renewal_delegate_new(POOL);
	const struct delegated_worker *w;
	int64_t now_ms;

	renewal_delegate_on_holder(d, "h", EPOCH);
	now_ms = send_reports(d, 1);
	deliver_grant(d, &grant, "w1", now_ms);
	w = renewal_delegate_next(d, now_ms);
	renewal_delegate_on_answer(d, "w1", w->call_id, WORKER_STALE_EPOCH,
				   &report, now_ms);
	g_assert_null(renewal_delegate_next(d, now_ms + 1000));
	g_assert_null(d->holder);
	renewal_delegate_on_holder(d, "h", EPOCH);
	g_assert_null(d->holder);
	renewal_delegate_on_holder(d, "h", EPOCH + 1);
	g_assert_cmpstr(d->holder, ==, "h");
	renewal_delegate_free(d);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/renewals/bounds", test_bounds);
	g_test_add_func("/renewals/digest", test_digest);
	g_test_add_func("/renewals/shares", test_shares);
	g_test_add_func("/renewals/deaths", test_delegate_failures);
	g_test_add_func("/renewals/link-cut", test_link_cut);
	g_test_add_func("/renewals/failure-and-change",
			test_failure_and_change);
	g_test_add_func("/renewals/one-way-cut", test_one_way_cut);
	g_test_add_func("/renewals/unlisted", test_unlisted);
	g_test_add_func("/renewals/expiry", test_expiry);
	g_test_add_func("/renewals/settled", test_settled);
	g_test_add_func("/renewals/grants", test_grants);
	g_test_add_func("/renewals/grants-reordered", test_grants_reordered);
	g_test_add_func("/renewals/refused", test_refused);
	return g_test_run();
}
