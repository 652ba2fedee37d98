#include "daemon/pool_runner.h"

#include <string.h>

#include "base/util.h"
#include "daemon/bad_body.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "daemon/worker_http.h"
#include "job/placement/placement.h"
#include "job/scan_pace.h"
#include "job/worker_contact.h"
#include "shared/membership_service.h"
#include "shared/pool_lease.h"

struct pool_runner {
	struct kernel *kernel;
	char *pool;
	char *key_prefix; /**< of the pool's rows in the table of jobs */
	struct scheduler *scheduler;
	enum pool_role role; /**< as last passed to the scheduler */
	int64_t epoch;
	GHashTable *worker_calls; /**< set of struct worker_request */
	GHashTable *row_calls;	  /**< set of struct row_request */
	gboolean is_scanning;
	gboolean is_scan_requested; /**< the scheduler waits for a scan */
	guint64 last_scan; /**< number; results of earlier scans are dropped */
	struct scan_pace pace;
	struct counter *scans_total;
	struct counter *scan_bytes;
	struct counter *worker_calls_total;
	struct counter *worker_commands_total;
	void (*on_event)(void *data);
	void *event_data;
};

/** A call to a worker in flight. */
struct worker_request {
	struct pool_runner *runner;
	struct http_call *http; /**< NULL if it was not sent */
	guint unsent_source;	/**< idle source that fails an unsent call */
	char *worker;
	int64_t call_id;
};

/** A call to the platform in flight. */
struct row_request {
	struct pool_runner *runner;
	char *id; /**< of the job, NULL for a scan */
	int64_t call_id;
	guint64 scan; /**< number of the scan, 0 for one row */
};

static struct worker_request *
worker_request_new(struct pool_runner *p, const char *worker, int64_t call_id)
{
	struct worker_request *c = g_new0(struct worker_request, 1);

	c->runner = p;
	c->worker = g_strdup(worker);
	c->call_id = call_id;
	g_hash_table_add(p->worker_calls, c);
	return c;
}

/* Requests a tick; called on every event that may make something due. */
static void notify_event(const struct pool_runner *p)
{
	if (p->on_event)
		p->on_event(p->event_data);
}

static void worker_request_free(struct worker_request *c)
{
	notify_event(c->runner);
	g_hash_table_remove(c->runner->worker_calls, c);
	g_free(c->worker);
	g_free(c);
}

static struct row_request *row_request_new(struct pool_runner *p,
					   const char *id, int64_t call_id)
{
	struct row_request *c = g_new0(struct row_request, 1);

	c->runner = p;
	c->id = g_strdup(id);
	c->call_id = call_id;
	g_hash_table_add(p->row_calls, c);
	return c;
}

static void row_request_free(struct row_request *c)
{
	notify_event(c->runner);
	g_hash_table_remove(c->runner->row_calls, c);
	g_free(c->id);
	g_free(c);
}

static void on_worker_reply(const struct http_reply *reply, void *data)
{
	struct worker_request *c = data;
	struct worker_report report = { 0 };
	enum worker_answer answer =
		worker_http_decode(reply, c->runner->pool, c->worker, &report);

	scheduler_on_worker_answer(c->runner->scheduler, c->worker, c->call_id,
				   answer, &report, util_monotonic_ms());
	worker_report_clear(&report);
	worker_request_free(c);
}

static gboolean on_unsent(gpointer data)
{
	struct worker_request *c = data;

	c->unsent_source = 0;
	scheduler_on_worker_answer(c->runner->scheduler, c->worker, c->call_id,
				   WORKER_FAILED, NULL, util_monotonic_ms());
	worker_request_free(c);
	return G_SOURCE_REMOVE;
}

/* Returns TRUE if role and epoch are still those passed to the scheduler. */
static gboolean is_role_current(const struct pool_runner *p, int64_t now_ms)
{
	const struct pool_lease_service *lease =
		(const struct pool_lease_service *)kernel_find(
			p->kernel, POOL_LEASE_SERVICE);
	int64_t epoch;
	enum pool_role role = pool_lease_role(lease, p->pool, now_ms, &epoch);

	return role == p->role && epoch == p->epoch;
}

static void call_worker(const char *worker, const char *address,
			int64_t call_id, const struct worker_call *call,
			void *data)
{
	struct pool_runner *p = data;
	struct worker_request *c = worker_request_new(p, worker, call_id);

	/* After a pause of the process its lease may have expired unnoticed. */
	if (!is_role_current(p, util_monotonic_ms())) {
		c->unsent_source = g_idle_add(on_unsent, c);
		return;
	}
	c->http =
		worker_http_send(p->kernel, address, call, on_worker_reply, c);
	counter_add(p->worker_calls_total, 1);
	counter_add(p->worker_commands_total, call->commands->len);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct row_request *c = data;
	int64_t version = 0;

	if (result->status == STATUS_OK && result->row_count)
		version = result->rows[0].version;
	scheduler_on_written(c->runner->scheduler, c->id, c->call_id,
			     result->status, version, util_monotonic_ms());
	row_request_free(c);
}

static void write_row(const char *id, int64_t call_id,
		      const struct job_record *r, int64_t expected_version,
		      void *data)
{
	struct pool_runner *p = data;
	char *key = job_record_key(p->pool, id);
	struct table_write write = {
		.table = JOBS_TABLE,
		.key = key,
		.expected_version = expected_version,
		.value = r ? job_record_encode(r) : NULL,
	};

	platform_commit(platform_of(p->kernel), &write, 1, on_written,
			row_request_new(p, id, call_id));
	json_object_put(write.value);
	g_free(key);
}

static gboolean decode_row(const struct pool_runner *p,
			   const struct table_row *row, struct job_record *r)
{
	struct finding_list findings;
	gboolean is_good;

	finding_list_init(&findings);
	is_good = job_record_decode(r, row->value, &findings);
	if (!is_good)
		bad_body_log(p->pool, row->key, &findings);
	finding_list_clear(&findings);
	return is_good;
}

static void on_read(const struct platform_result *result, void *data)
{
	struct row_request *c = data;
	struct job_record r = { 0 };
	enum status status = result->status;
	int64_t version = 0;

	if (status == STATUS_OK) {
		version = result->rows[0].version;
		if (!decode_row(c->runner, &result->rows[0], &r))
			status = STATUS_INVALID;
	}
	scheduler_on_read(c->runner->scheduler, c->id, c->call_id, status,
			  version, &r, util_monotonic_ms());
	job_record_clear(&r);
	row_request_free(c);
}

static void read_row(const char *id, int64_t call_id, void *data)
{
	struct pool_runner *p = data;
	char *key = job_record_key(p->pool, id);

	platform_read(platform_of(p->kernel), JOBS_TABLE, key, on_read,
		      row_request_new(p, id, call_id));
	g_free(key);
}

/* Passes a row to the scheduler unless it knows that version already. */
static void deliver_row(struct pool_runner *p, const struct table_row *row)
{
	const char *id = row->key + strlen(p->key_prefix);
	struct job_record r = { 0 };

	if (!g_str_has_prefix(row->key, p->key_prefix) ||
	    !scheduler_is_row_newer(p->scheduler, id, row->version))
		return;
	if (decode_row(p, row, &r) && g_str_equal(r.id, id))
		scheduler_on_row(p->scheduler, row->version, &r,
				 util_monotonic_ms());
	job_record_clear(&r);
}

static void on_scanned(const struct platform_result *result, void *data)
{
	struct row_request *c = data;
	struct pool_runner *p = c->runner;
	int64_t now_ms = util_monotonic_ms();
	gboolean is_requested = p->is_scan_requested;
	gboolean is_last = c->scan == p->last_scan;

	row_request_free(c);
	scan_pace_add(&p->pace, result->body_bytes, now_ms);
	counter_add(p->scan_bytes, result->body_bytes);
	if (!is_last)
		return;
	p->is_scanning = FALSE;
	p->is_scan_requested = FALSE;
	scan_pace_schedule_next(&p->pace, now_ms);
	for (guint i = 0; result->status == STATUS_OK && i < result->row_count;
	     i++)
		deliver_row(p, &result->rows[i]);
	if (is_requested)
		scheduler_on_scanned(p->scheduler, result->status, now_ms);
}

static void start_scan(struct pool_runner *p)
{
	struct row_request *c = row_request_new(p, NULL, 0);

	p->is_scanning = TRUE;
	c->scan = ++p->last_scan;
	counter_add(p->scans_total, 1);
	platform_scan(platform_of(p->kernel), JOBS_TABLE, p->key_prefix,
		      on_scanned, c);
}

/*
 * Discards a scan in flight, which may have read rows from before this process
 * got its role, and makes a new one due.
 */
static void scan_rows(void *data)
{
	struct pool_runner *p = data;

	p->is_scan_requested = TRUE;
	p->is_scanning = FALSE;
	p->last_scan++;
	scan_pace_request_now(&p->pace);
}

static const struct scheduler_ops ops = {
	.call_worker = call_worker,
	.write_row = write_row,
	.read_row = read_row,
	.scan_rows = scan_rows,
};

struct pool_runner *pool_runner_new(struct kernel *k, const char *pool)
{
	struct pool_runner *p = g_new0(struct pool_runner, 1);
	struct scheduler_spec spec = {
		.pool = pool,
		.node = settings_of(k)->node,
		.incarnation = incarnation_of(k),
		.policy = PLACEMENT_POLICY_DEFAULT,
		.impossible_grace_ms = settings_of(k)->impossible_grace_ms,
		.ops = &ops,
		.data = p,
	};

	p->kernel = k;
	p->pool = g_strdup(pool);
	p->key_prefix = g_strdup_printf("%s/", pool);
	p->worker_calls = g_hash_table_new(NULL, NULL);
	p->row_calls = g_hash_table_new(NULL, NULL);
	p->worker_calls_total = counters_counter(
		kernel_counters(k), "cs_worker_calls", "Calls to workers");
	p->worker_commands_total =
		counters_counter(kernel_counters(k), "cs_worker_commands",
				 "Commands to workers");
	p->scans_total = counters_counter(kernel_counters(k), "cs_job_scans",
					  "Reads of all rows of a pool");
	p->scan_bytes =
		counters_counter(kernel_counters(k), "cs_job_scan_bytes",
				 "Bytes of the answers to these");
	scan_pace_init(&p->pace);
	p->scheduler = scheduler_new(&spec);
	return p;
}

static void cancel_calls(struct pool_runner *p)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, p->worker_calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct worker_request *c = item;

		if (c->unsent_source)
			g_source_remove(c->unsent_source);
		else
			http_call_cancel(c->http);
		g_free(c->worker);
		g_free(c);
	}
	g_hash_table_iter_init(&iter, p->row_calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct row_request *c = item;

		platform_forget(platform_of(p->kernel), c);
		g_free(c->id);
		g_free(c);
	}
}

void pool_runner_free(struct pool_runner *p)
{
	cancel_calls(p);
	g_hash_table_unref(p->worker_calls);
	g_hash_table_unref(p->row_calls);
	scheduler_free(p->scheduler);
	g_free(p->key_prefix);
	g_free(p->pool);
	g_free(p);
}

const char *pool_runner_pool(const struct pool_runner *p)
{
	return p->pool;
}

struct scheduler *pool_runner_scheduler(struct pool_runner *p)
{
	return p->scheduler;
}

static guint count_schedulers(const struct pool_runner *p)
{
	const struct membership_service *members = membership_of(p->kernel);

	if (!members)
		return 1;
	return membership_service_count_live(
		members, LINK_ROLE_SCHEDULER,
		settings_of(p->kernel)->failure_domain);
}

gboolean pool_runner_on_renewal_report(struct pool_runner *p, const char *node,
				       const struct renewal_report *report,
				       struct renewal_grant *grant)
{
	int64_t now_ms = util_monotonic_ms();
	gboolean is_granted;

	/* As in call_worker(): a paused process must not grant after expiry. */
	if (!is_role_current(p, now_ms))
		return FALSE;
	is_granted = scheduler_on_renewal_report(p->scheduler, node, report,
						 now_ms, grant);
	/* Other reports only postpone deadlines and need no tick. */
	if (report->failed->len || report->changes->len || grant->has_workers)
		notify_event(p);
	return is_granted;
}

void pool_runner_tick(struct pool_runner *p)
{
	const struct pool_lease_service *lease =
		(const struct pool_lease_service *)kernel_find(
			p->kernel, POOL_LEASE_SERVICE);
	int64_t now_ms = util_monotonic_ms();

	scheduler_set_scheduler_count(p->scheduler, count_schedulers(p));
	p->role = pool_lease_role(lease, p->pool, now_ms, &p->epoch);
	scheduler_set_role(p->scheduler, p->role, p->epoch, now_ms);
	if (p->role == POOL_ROLE_HOLDER && !p->is_scanning &&
	    now_ms >= p->pace.next_ms)
		start_scan(p);
	scheduler_tick(p->scheduler, now_ms, util_wall_at_ms(now_ms));
}

int64_t pool_runner_due_ms(const struct pool_runner *p, int64_t now_ms)
{
	int64_t due_ms = scheduler_due_ms(p->scheduler, now_ms);

	if (p->role == POOL_ROLE_HOLDER && !p->is_scanning)
		due_ms = MIN(due_ms, p->pace.next_ms);
	return due_ms;
}

void pool_runner_on_event(struct pool_runner *p, void (*fn)(void *data),
			  void *data)
{
	p->on_event = fn;
	p->event_data = data;
}

static void on_poke_read(const struct platform_result *result, void *data)
{
	struct row_request *c = data;

	if (result->status == STATUS_OK)
		deliver_row(c->runner, &result->rows[0]);
	row_request_free(c);
}

void pool_runner_poke(struct pool_runner *p, const char *id)
{
	char *key;

	if (p->role != POOL_ROLE_HOLDER)
		return;
	key = job_record_key(p->pool, id);
	platform_read(platform_of(p->kernel), JOBS_TABLE, key, on_poke_read,
		      row_request_new(p, id, 0));
	g_free(key);
}
