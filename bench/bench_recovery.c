/*
 * Measures how a pool's new holder recovers at the size of a failure domain:
 * decoding rows and reports, rebuilding its state, and the calls, commands and
 * writes that follow. The protocol runs in virtual time; the work is measured
 * in wall time on one core.
 */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "base/util.h"
#include "bench/sim/bounds.h"
#include "job/gang.h"
#include "job/placement/placement.h"
#include "job/scheduler.h"
#include "job/task_name.h"
#include "job/worker_contact.h"

#define DOMAIN_WORKERS 380
#define DOMAIN_TASKS 8200
#define DOMAIN_SCHEDULERS 8
#define GANG_MAX 256
#define GANG_SMALL 4
#define GANGS_PER_LARGE 40
#define WORKER_ACCELERATORS 64
#define TICK_MS 50
#define ANSWER_DELAY_MS 5
/** Virtual time after which a recovery is given up. */
#define TIME_LIMIT_MS 60000
/** Requirement: a node spends at most 24 KB/s on control traffic. */
#define MAX_CONTROL_BYTES_PER_S 24000
/** Longest time that a gang may run without all members, in any pool. */
#define MAX_PARTIAL_MS 30000
/** Issue 6: a recovery without faults stops and starts no task. */
#define MAX_FAULTLESS_COMMANDS 0
/** One call to fence, one after the report lag, one to resume. */
#define MAX_CALLS_PER_WORKER 3
/** The report lag, and as much again for calls and ticks. */
#define MAX_RECOVERY_MS (2 * WORKER_REPORT_LAG_MS)

struct bench_worker {
	char name[16];
	GString *report;    /**< body of its answer */
	guint tasks;	    /**< in the report */
	gboolean is_called; /**< and hasn't answered yet */
	int64_t call_id;
};

struct bench {
	struct scheduler *scheduler;
	guint worker_count;
	struct bench_worker *workers;
	GPtrArray *rows;     /**< of char *, a job record as JSON */
	guint partial_gangs; /**< gangs whose first member doesn't run */
	guint call_count;
	guint command_count;
	guint write_count;
	gboolean is_scan_requested;
	uint64_t sent_bytes;
	uint64_t report_bytes;
	int64_t work_us;
};

static struct bounds bounds;

static void call_worker(const char *worker, const char *address,
			int64_t call_id, const struct worker_call *call,
			void *data)
{
	struct bench *b = data;
	struct bench_worker *w = &b->workers[atoi(worker + 1)];
	json_object *body = schema_encode(&worker_call_schema, call);

	w->is_called = TRUE;
	w->call_id = call_id;
	b->call_count++;
	b->command_count += call->commands->len;
	b->sent_bytes += strlen(json_object_to_json_string(body));
	json_object_put(body);
}

static void write_row(const char *id, int64_t call_id,
		      const struct job_record *r, int64_t expected_version,
		      void *data)
{
	((struct bench *)data)->write_count++;
}

static void read_row(const char *id, int64_t call_id, void *data)
{
}

static void scan_rows(void *data)
{
	((struct bench *)data)->is_scan_requested = TRUE;
}

static const struct scheduler_ops ops = {
	.call_worker = call_worker,
	.write_row = write_row,
	.read_row = read_row,
	.scan_rows = scan_rows,
};

static void add_task(struct bench *b, guint worker, const char *task)
{
	struct bench_worker *w = &b->workers[worker];

	g_string_append_printf(w->report,
			       "%s{\"task\":\"%s\",\"state\":\"running\","
			       "\"remaining_ms\":3600000}",
			       w->tasks++ ? "," : "", task);
}

static char *encode_row(const struct job_record *r)
{
	json_object *json = job_record_encode(r);
	char *text = g_strdup(
		json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));

	json_object_put(json);
	return text;
}

/*
 * Adds a running gang with its members on consecutive workers. The first member
 * of a partial gang is in no worker's report.
 */
static void add_gang(struct bench *b, guint members, guint first,
		     gboolean is_partial)
{
	char *id = g_strdup_printf("steppe-gust-map-%06u", b->rows->len);
	struct job_record r = {
		.id = id,
		.pool = "salkhi.tov-a",
		.client_account = "rescue",
		.family = "gust-map",
		.class = JOB_CLASS_NORMAL,
		.shape = { members, 1, 1, 1, ADJACENCY_NONE },
		.run_ms = 7200000,
		.expected_run_ms = 7200000,
		.state = JOB_RUNNING,
		.attempt = 1,
		.epoch = 6,
		.submitted_ms = 1700000000000,
		.started_ms = 1700000000000,
		.reason = "all members run",
		.commit_id = "0123456789abcdef0123456789abcdef.6.1.3",
	};

	r.placement = g_ptr_array_new();
	for (guint i = 0; i < members; i++) {
		guint worker = (first + i) % b->worker_count;
		char *task = task_name_format(id, i, members, 1);

		g_ptr_array_add(r.placement, b->workers[worker].name);
		if (!is_partial || i)
			add_task(b, worker, task);
		g_free(task);
	}
	g_ptr_array_add(b->rows, encode_row(&r));
	g_ptr_array_unref(r.placement);
	g_free(id);
}

static void add_gangs(struct bench *b, guint tasks, guint partial_every)
{
	guint tasks_left = tasks;

	for (guint i = 0; tasks_left; i++) {
		guint members = i % GANGS_PER_LARGE ? GANG_SMALL : GANG_MAX;
		gboolean is_partial = partial_every && i % partial_every == 1;

		members = MIN(members, tasks_left);
		add_gang(b, members, tasks - tasks_left, is_partial);
		b->partial_gangs += is_partial ? 1 : 0;
		tasks_left -= members;
	}
}

static void bench_init(struct bench *b, guint workers, guint tasks,
		       guint partial_every)
{
	struct scheduler_spec spec = {
		.pool = "salkhi.tov-a",
		.node = "entry-1",
		.incarnation = "0123456789abcdef0123456789abcdef",
		.policy = PLACEMENT_POLICY_DEFAULT,
		.ops = &ops,
		.data = b,
	};
	struct listed_worker *list = g_new0(struct listed_worker, workers);

	memset(b, 0, sizeof(*b));
	b->worker_count = workers;
	b->workers = g_new0(struct bench_worker, workers);
	b->rows = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < workers; i++) {
		struct bench_worker *w = &b->workers[i];

		g_snprintf(w->name, sizeof(w->name), "w%u", i);
		w->report = g_string_new("{\"epoch\":7,\"results\":[],"
					 "\"tasks\":[");
		list[i].spec = (struct worker_spec){
			.name = w->name,
			.rack = "r",
			.address = "127.0.0.1:1",
			.accelerators = WORKER_ACCELERATORS,
			.cores = WORKER_ACCELERATORS,
			.memory_mb = WORKER_ACCELERATORS,
		};
	}
	add_gangs(b, tasks, partial_every);
	for (guint i = 0; i < workers; i++)
		g_string_append(b->workers[i].report,
				"],\"free\":{\"accelerators\":0,\"cores\":0,"
				"\"memory_mb\":0}}");
	b->scheduler = scheduler_new(&spec);
	scheduler_on_worker_list(b->scheduler, list, workers, 0);
	g_free(list);
}

static void bench_clear(struct bench *b)
{
	scheduler_free(b->scheduler);
	for (guint i = 0; i < b->worker_count; i++)
		g_string_free(b->workers[i].report, TRUE);
	g_ptr_array_unref(b->rows);
	g_free(b->workers);
}

static json_object *parse(const char *text, gsize len, struct json_text *t)
{
	struct finding_list findings;

	finding_list_init(&findings);
	json_text_parse(t, "body", text, len, JSON_STRICT, &findings);
	finding_list_clear(&findings);
	return t->root;
}

static void deliver_rows(struct bench *b, int64_t now_ms)
{
	struct finding_list findings;

	finding_list_init(&findings);
	for (guint i = 0; i < b->rows->len; i++) {
		const char *row = b->rows->pdata[i];
		struct job_record r = { 0 };
		struct json_text t = { 0 };

		if (job_record_decode(&r, parse(row, strlen(row), &t),
				      &findings))
			scheduler_on_row(b->scheduler, i + 1, &r, now_ms);
		job_record_clear(&r);
		json_text_clear(&t);
	}
	finding_list_clear(&findings);
	scheduler_on_scanned(b->scheduler, STATUS_OK, now_ms);
}

static void deliver_answer(struct bench *b, struct bench_worker *w,
			   int64_t now_ms)
{
	struct worker_report report = { 0 };
	struct finding_list findings;
	struct json_text t = { 0 };

	finding_list_init(&findings);
	w->is_called = FALSE;
	b->report_bytes += w->report->len;
	worker_report_decode(&report, parse(w->report->str, w->report->len, &t),
			     &findings);
	/* The results of commands aren't inspected here. */
	scheduler_on_worker_answer(b->scheduler, w->name, w->call_id,
				   WORKER_ANSWERED, &report, now_ms);
	worker_report_clear(&report);
	json_text_clear(&t);
	finding_list_clear(&findings);
}

/*
 * Runs virtual time until the scheduler is active or TIME_LIMIT_MS is over, and
 * returns the recovery time in ms.
 */
static int64_t run_recovery(struct bench *b)
{
	struct scheduler_stats stats = { 0 };
	int64_t now_ms = 0;

	scheduler_set_role(b->scheduler, POOL_ROLE_HOLDER, 7, now_ms);
	while (stats.phase != SCHEDULER_ACTIVE && now_ms < TIME_LIMIT_MS) {
		int64_t begin_us = g_get_monotonic_time();

		now_ms += ANSWER_DELAY_MS;
		if (b->is_scan_requested)
			deliver_rows(b, now_ms);
		b->is_scan_requested = FALSE;
		for (guint i = 0; i < b->worker_count; i++) {
			if (b->workers[i].is_called)
				deliver_answer(b, &b->workers[i], now_ms);
		}
		now_ms += TICK_MS;
		scheduler_tick(b->scheduler, now_ms, now_ms);
		b->work_us += g_get_monotonic_time() - begin_us;
		scheduler_get_stats(b->scheduler, &stats);
	}
	return stats.recovery_ms;
}

static void print_head(void)
{
	printf("%8s %8s %6s %8s %8s %9s %8s %7s %10s %10s\n", "workers",
	       "tasks", "gangs", "partial", "calls", "commands", "writes", "ms",
	       "work ms", "B/renewal");
}

static void run(guint workers, guint tasks, guint partial_every)
{
	struct bench b;
	int64_t recovery_ms;
	double renewal_bytes;
	double bytes_per_s;

	bench_init(&b, workers, tasks, partial_every);
	recovery_ms = run_recovery(&b);
	renewal_bytes = (double)(b.sent_bytes + b.report_bytes) / b.call_count;
	bytes_per_s =
		renewal_bytes * workers / DOMAIN_SCHEDULERS * MS_PER_S /
		(double)worker_renew_period_ms(workers, DOMAIN_SCHEDULERS);
	printf("%8u %8u %6u %8u %8u %9u %8u %7" G_GINT64_FORMAT
	       " %10.1f %10.0f\n",
	       workers, tasks, b.rows->len, b.partial_gangs, b.call_count,
	       b.command_count, b.write_count, recovery_ms,
	       (double)b.work_us / US_PER_MS, renewal_bytes);
	bounds_check(&bounds, "recovery, virtual ms", (double)recovery_ms,
		     MAX_RECOVERY_MS, "twice the report lag");
	bounds_check(&bounds, "calls per worker",
		     (double)b.call_count / workers, MAX_CALLS_PER_WORKER,
		     "design note on recovery");
	bounds_check(
		&bounds, "longest run of a partial gang, ms",
		(double)worker_partial_bound_ms(workers, DOMAIN_SCHEDULERS),
		MAX_PARTIAL_MS, "requirement: 30 s");
	bounds_check(&bounds, "renewals, bytes per second", bytes_per_s,
		     MAX_CONTROL_BYTES_PER_S, "requirement: 24 KB/s per node");
	if (!b.partial_gangs)
		bounds_check(&bounds, "commands without a fault",
			     b.command_count, MAX_FAULTLESS_COMMANDS,
			     "issue 6");
	else
		bounds_check(&bounds, "commands with partial gangs",
			     b.command_count, 2.0 * GANG_MAX * b.partial_gangs,
			     "only members of partial gangs");
	bench_clear(&b);
}

int main(int argc, char **argv)
{
	print_head();
	run(DOMAIN_WORKERS / 8, DOMAIN_TASKS / 8, 0);
	run(DOMAIN_WORKERS / 4, DOMAIN_TASKS / 4, 0);
	run(DOMAIN_WORKERS / 2, DOMAIN_TASKS / 2, 0);
	run(DOMAIN_WORKERS, DOMAIN_TASKS, 0);
	run(DOMAIN_WORKERS, DOMAIN_TASKS, 50);
	bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
