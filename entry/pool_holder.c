#include "entry/pool_holder.h"

#include "base/log.h"
#include "base/util.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/entry_store.h"
#include "entry/frontend.h"
#include "entry/progress_writer.h"
#include "entry/table_feed.h"
#include "entry/worker_calls.h"
#include "platform/wire_worker.h"
#include "sched/fleet_scheduler.h"

/* Interval of plans for retries, expired leases and due repeats. */
#define TICK_MS 100
/* Ticks that come this late tell that the process stood still. */
#define PAUSE_MS 500
/* Delay of a plan, so that one covers all answers that arrive together. */
#define PLAN_DELAY_MS 3
/* Limit of the time in which a plan places tasks: with the rest of the plan
 * less than a tenth of the time after which another VM takes over
 * (HOLDER_TIMEOUT_MS in sched/leadership.c). */
#define PLAN_LIMIT_MS 50
/* Shortest interval between two log lines on plans that were too short. */
#define PLAN_LOG_INTERVAL_MS 1000
/* Pause between two plans, as a multiple of the last plan's duration: plans
 * must not delay renewals of the pool lease or workers' answers. */
#define PLAN_PAUSE_FACTOR 2
/* Delay of further renewals when many are due, for answers in between. */
#define RENEW_PAUSE_MS 2
/* Long-poll timeout: the store answers by then even without changes. It is
 * short since an answer that is lost, or a connection that goes silent, delays
 * a change by this and the timeout of the call: tasks of cancelled jobs and on
 * draining workers may be started for 2 to 3 s only. */
#define FEED_WAIT_MS 500
/* Leases granted by the previous holder may end later than it ordered: workers'
 * clocks may run 2% slow, and orders may still be in transit. */
#define LEASE_CLOCK_FACTOR 1.03
#define LEASE_SLACK_MS 500

static const char *const holder_parts[] = { HOLDER_PART, NULL };

enum feed_kind {
	FEED_JOBS,
	FEED_PROGRESS,
	FEED_CANCELS,
	FEED_WORKERS,
	FEED_WORKER_USE,
	FEED_COUNT,
};

struct pool_holder {
	struct service base;
	struct kernel *kernel;
	struct platform *platform;
	struct fleet_scheduler scheduler;
	struct worker_calls *calls;
	struct progress_writer *writer;
	struct table_feed *feeds[FEED_COUNT];
	/* Progress rows by job, not applied before all tables were read. */
	GHashTable *pending_progress; /* id to struct progress_row */
	/* Ids of cancelled jobs whose rows, or whose progress, have not been
	 * read yet, or never will be, to the time in ms when each was read. */
	GHashTable *pending_cancels;
	GHashTable *recorded_workers; /* set of ids in WORKER_USE_TABLE */
	/* Set of keys whose registration can't be read; each is logged once. */
	GHashTable *unreadable_workers;
	gboolean is_holding;
	gboolean is_ready; /* all tables have been read */
	int64_t gained_ms; /* when the pool lease was acquired */
	guint tick;
	guint plan_timer;
	guint renew_timer;
	int64_t awake_ms;	  /* when the process was last known to run */
	int64_t last_plan_end_ms; /* on the monotonic clock */
	int64_t last_plan_duration_ms;
	struct log_pace plan_pace; /* of lines on plans that were too short */
	struct histogram *plan_time;
	struct counter *plans_cut;
	struct counter *units_postponed;
};

struct progress_row {
	json_object *value;
	int64_t version;
};

static void progress_row_free(gpointer data)
{
	struct progress_row *r = data;

	json_object_put(r->value);
	g_free(r);
}

static void plan(struct pool_holder *s);

static gboolean on_plan(gpointer data)
{
	struct pool_holder *s = data;

	s->plan_timer = 0;
	plan(s);
	return G_SOURCE_REMOVE;
}

static void schedule_plan(void *data)
{
	struct pool_holder *s = data;
	int64_t due_ms = s->last_plan_end_ms +
			 PLAN_PAUSE_FACTOR * s->last_plan_duration_ms;
	int64_t wait_ms = MAX(due_ms - util_monotonic_ms(), PLAN_DELAY_MS);

	if (s->is_ready && !s->plan_timer)
		s->plan_timer = g_timeout_add((guint)wait_ms, on_plan, s);
}

/*
 * Sets whether some recorded worker is not registered: it may still run tasks
 * of an earlier epoch.
 */
static void update_unregistered_workers(struct pool_holder *s)
{
	GHashTableIter iter;
	gpointer id;

	s->scheduler.has_unregistered_workers = FALSE;
	g_hash_table_iter_init(&iter, s->recorded_workers);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (!fleet_worker(&s->scheduler.fleet, id))
			s->scheduler.has_unregistered_workers = TRUE;
	}
}

static gboolean on_renew(gpointer data);

static void renew_due(struct pool_holder *s)
{
	if (worker_calls_renew_due(s->calls, util_monotonic_ms()) &&
	    !s->renew_timer)
		s->renew_timer = g_timeout_add(RENEW_PAUSE_MS, on_renew, s);
}

static gboolean on_renew(gpointer data)
{
	struct pool_holder *s = data;

	s->renew_timer = 0;
	if (s->is_ready && election_may_act(s->kernel))
		renew_due(s);
	return G_SOURCE_REMOVE;
}

/* Ends the feeds of tables that only this holder writes in its epoch. A feed
 * can't be freed while it reports that it is synced. */
static void end_read_feeds(struct pool_holder *s)
{
	g_clear_pointer(&s->feeds[FEED_PROGRESS], table_feed_free);
	g_clear_pointer(&s->feeds[FEED_WORKER_USE], table_feed_free);
}

/* Records how long a plan took, and what it had no time for. */
static void record_plan(struct pool_holder *s, int64_t now_ms)
{
	const struct fleet_plan_stats *stats = &s->scheduler.plan;
	struct log_line line;

	histogram_record(s->plan_time, s->last_plan_duration_ms * US_PER_MS);
	if (!s->scheduler.is_pass_open)
		return;
	counter_add(s->plans_cut, 1);
	counter_add(s->units_postponed, stats->units_postponed);
	if (!log_pace_is_due(&s->plan_pace, now_ms, PLAN_LOG_INTERVAL_MS))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "plan_cut");
	log_int(&line, "took_ms", s->last_plan_duration_ms);
	log_int(&line, "units_tried", stats->units_tried);
	log_int(&line, "units_postponed", stats->units_postponed);
	log_int(&line, "jobs_postponed", stats->jobs_postponed);
	log_end(&line);
}

/* Postpones plans after a pause of the process, whose ticks are late then. */
static void check_pause(struct pool_holder *s, int64_t now_ms)
{
	int64_t pause_ms = s->awake_ms ? now_ms - s->awake_ms : 0;
	struct log_line line;

	s->awake_ms = now_ms;
	if (pause_ms < PAUSE_MS)
		return;
	fleet_scheduler_resume(&s->scheduler, now_ms);
	log_begin(&line, LOG_LEVEL_WARN, "process_paused");
	log_int(&line, "pause_ms", pause_ms);
	log_end(&line);
}

static void plan(struct pool_holder *s)
{
	int64_t now_ms = util_monotonic_ms();

	check_pause(s, now_ms);
	if (!s->is_ready || !election_may_act(s->kernel))
		return;
	end_read_feeds(s);
	s->scheduler.config = config_feed_config(s->kernel);
	if (now_ms < s->scheduler.unknown_runs_until_ms)
		update_unregistered_workers(s);
	renew_due(s);
	fleet_scheduler_plan(&s->scheduler, now_ms);
	progress_writer_write(s->writer, now_ms);
	renew_due(s);
	s->last_plan_end_ms = util_monotonic_ms();
	s->last_plan_duration_ms = s->last_plan_end_ms - now_ms;
	record_plan(s, now_ms);
	if (s->scheduler.is_pass_open)
		schedule_plan(s);
}

static gboolean on_tick(gpointer data)
{
	plan(data);
	return G_SOURCE_CONTINUE;
}

static void add_pending_cancel(struct pool_holder *s, const char *id)
{
	int64_t *read_ms;

	if (g_hash_table_contains(s->pending_cancels, id))
		return;
	read_ms = g_new(int64_t, 1);
	*read_ms = util_monotonic_ms();
	g_hash_table_insert(s->pending_cancels, g_strdup(id), read_ms);
}

static void on_cancel_row(void *data, const struct table_row *row,
			  int64_t store_ms)
{
	struct pool_holder *s = data;

	if (row->is_deleted) {
		g_hash_table_remove(s->pending_cancels, row->key);
		return;
	}
	if (s->is_ready && fleet_job(&s->scheduler.fleet, row->key))
		fleet_scheduler_cancel(&s->scheduler, row->key,
				       util_monotonic_ms());
	else
		add_pending_cancel(s, row->key);
	schedule_plan(s);
}

static void on_job_row(void *data, const struct table_row *row,
		       int64_t store_ms)
{
	struct pool_holder *s = data;
	int64_t now_ms = util_monotonic_ms();

	if (row->is_deleted)
		return;
	fleet_scheduler_add_job(&s->scheduler, row->key, row->value,
				row->version, store_ms, now_ms);
	if (s->is_ready && g_hash_table_remove(s->pending_cancels, row->key))
		fleet_scheduler_cancel(&s->scheduler, row->key, now_ms);
	schedule_plan(s);
}

/*
 * Keeps a row until all tables have been read: its job may be read later. The
 * rows don't change meanwhile, as each write of the previous holder depends on
 * its own term.
 */
static void on_progress_row(void *data, const struct table_row *row,
			    int64_t store_ms)
{
	struct pool_holder *s = data;
	struct progress_row *pending;

	/* Once all is read, rows of this table are this holder's own. */
	if (row->is_deleted || s->is_ready)
		return;
	pending = g_new0(struct progress_row, 1);
	pending->value = json_object_get(row->value);
	pending->version = row->version;
	g_hash_table_replace(s->pending_progress, g_strdup(row->key), pending);
}

static void log_unreadable_worker(struct pool_holder *s, const char *id)
{
	struct log_line line;

	if (!g_hash_table_add(s->unreadable_workers, g_strdup(id)))
		return;
	log_begin(&line, LOG_LEVEL_ERROR, "worker_registration_unreadable");
	log_str(&line, "worker", id);
	log_end(&line);
}

static void on_worker_row(void *data, const struct table_row *row,
			  int64_t store_ms)
{
	struct pool_holder *s = data;
	struct worker_registration reg = { 0 };
	struct fleet_worker *w;
	gboolean is_valid =
		!row->is_deleted && wire_worker_registration(row->value, &reg);

	if (is_valid || row->is_deleted)
		g_hash_table_remove(s->unreadable_workers, row->key);
	else
		log_unreadable_worker(s, row->key);
	fleet_scheduler_update_worker(&s->scheduler, row->key,
				      is_valid ? &reg : NULL,
				      util_monotonic_ms());
	worker_registration_clear(&reg);
	w = fleet_worker(&s->scheduler.fleet, row->key);
	if (w && g_hash_table_contains(s->recorded_workers, row->key))
		w->is_use_stored = TRUE;
	worker_calls_prepare(s->calls);
	schedule_plan(s);
}

static void on_worker_use_row(void *data, const struct table_row *row,
			      int64_t store_ms)
{
	struct pool_holder *s = data;

	if (s->is_ready)
		return; /* this holder's own write */
	if (row->is_deleted)
		g_hash_table_remove(s->recorded_workers, row->key);
	else
		g_hash_table_add(s->recorded_workers, g_strdup(row->key));
}

static void log_ready(const struct pool_holder *s)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "pool_taken_up");
	log_int(&line, "epoch", s->scheduler.epoch);
	log_int(&line, "jobs", g_hash_table_size(s->scheduler.fleet.jobs));
	log_int(&line, "workers",
		g_hash_table_size(s->scheduler.fleet.workers));
	log_int(&line, "took_ms", util_monotonic_ms() - s->gained_ms);
	log_int(&line, "unseen_for_ms",
		s->scheduler.unknown_runs_until_ms - util_monotonic_ms());
	log_end(&line);
}

/* Applies what could not be applied before all tables were read. */
static void apply_read_rows(struct pool_holder *s)
{
	int64_t now_ms = util_monotonic_ms();
	GHashTableIter iter;
	gpointer id;
	gpointer row;

	g_hash_table_iter_init(&iter, s->pending_progress);
	while (g_hash_table_iter_next(&iter, &id, &row)) {
		const struct progress_row *r = row;

		fleet_scheduler_merge_progress(&s->scheduler, id, r->value,
					       r->version);
	}
	g_hash_table_remove_all(s->pending_progress);
	g_hash_table_iter_init(&iter, s->pending_cancels);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		if (!fleet_job(&s->scheduler.fleet, id))
			continue;
		fleet_scheduler_cancel(&s->scheduler, id, now_ms);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, s->recorded_workers);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		struct fleet_worker *w = fleet_worker(&s->scheduler.fleet, id);

		if (w)
			w->is_use_stored = TRUE;
	}
}

static gboolean are_feeds_synced(const struct pool_holder *s)
{
	for (guint i = 0; i < FEED_COUNT; i++) {
		if (!table_feed_is_synced(s->feeds[i]))
			return FALSE;
	}
	return TRUE;
}

/* Becomes ready once all tables have been read. */
static void on_synced(void *data)
{
	struct pool_holder *s = data;

	if (s->is_ready || !are_feeds_synced(s))
		return;
	s->is_ready = TRUE;
	s->scheduler.is_reading = FALSE;
	apply_read_rows(s);
	log_ready(s);
	schedule_plan(s);
}

static void start_feed(struct pool_holder *s, enum feed_kind kind)
{
	static const struct {
		const char *table;
		const char *const *parts;
		void (*on_row)(void *data, const struct table_row *row,
			       int64_t store_ms);
	} kinds[FEED_COUNT] = {
		[FEED_JOBS] = { JOB_TABLE, job_parts, on_job_row },
		[FEED_PROGRESS] = { JOB_PROGRESS_TABLE, holder_parts,
				    on_progress_row },
		[FEED_CANCELS] = { JOB_CANCEL_TABLE, job_parts, on_cancel_row },
		[FEED_WORKERS] = { WIRE_WORKER_TABLE, NULL, on_worker_row },
		[FEED_WORKER_USE] = { WORKER_USE_TABLE, holder_parts,
				      on_worker_use_row },
	};
	struct table_feed_spec spec = {
		.platform = s->platform,
		.table = kinds[kind].table,
		.parts = kinds[kind].parts,
		.wait_ms = FEED_WAIT_MS,
		.on_row = kinds[kind].on_row,
		.on_synced = on_synced,
		.data = s,
	};

	s->feeds[kind] = table_feed_new(&spec);
}

static void stop_holding(struct pool_holder *s)
{
	for (guint i = 0; i < FEED_COUNT; i++)
		g_clear_pointer(&s->feeds[i], table_feed_free);
	worker_calls_reset(s->calls);
	progress_writer_reset(s->writer);
	g_hash_table_remove_all(s->pending_progress);
	g_hash_table_remove_all(s->pending_cancels);
	g_hash_table_remove_all(s->recorded_workers);
	g_hash_table_remove_all(s->unreadable_workers);
	if (s->plan_timer)
		g_source_remove(s->plan_timer);
	s->plan_timer = 0;
	if (s->renew_timer)
		g_source_remove(s->renew_timer);
	s->renew_timer = 0;
	s->is_holding = FALSE;
	s->is_ready = FALSE;
	fleet_scheduler_begin(&s->scheduler, 0, 0);
}

static struct fleet_bounds bounds_of(const struct kernel *k)
{
	const struct entry_settings *settings = entry_settings_of(k);

	return (struct fleet_bounds){
		.lease_ms = settings->bounds.lease_ms,
		.plan_us = PLAN_LIMIT_MS * US_PER_MS,
	};
}

static void on_gained(void *data, int64_t epoch, int64_t previous_holder_ms,
		      int64_t term_version)
{
	struct pool_holder *s = data;
	int64_t lease_ms = (int64_t)((double)s->scheduler.bounds.lease_ms *
				     LEASE_CLOCK_FACTOR);

	if (s->is_holding)
		stop_holding(s);
	s->scheduler.bounds = bounds_of(s->kernel);
	s->gained_ms = util_monotonic_ms();
	fleet_scheduler_begin(&s->scheduler, epoch,
			      s->gained_ms + previous_holder_ms + lease_ms +
				      LEASE_SLACK_MS);
	s->scheduler.is_reading = TRUE;
	progress_writer_begin(s->writer, term_version);
	s->is_holding = TRUE;
	for (guint i = 0; i < FEED_COUNT; i++)
		start_feed(s, i);
}

static void on_lost(void *data)
{
	stop_holding(data);
}

static void on_fenced(void *data)
{
	struct pool_holder *s = data;
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "fenced_by_worker");
	log_int(&line, "epoch", s->scheduler.epoch);
	log_end(&line);
	election_step_down(s->kernel);
}

static void port_start(void *data, struct fleet_worker *w,
		       const struct start_order *order)
{
	worker_calls_start(((struct pool_holder *)data)->calls, w, order);
}

static void port_stop(void *data, struct fleet_worker *w, const char *task,
		      int64_t run)
{
	worker_calls_stop(((struct pool_holder *)data)->calls, w, task, run);
}

static int64_t clock_us(void *data)
{
	return g_get_monotonic_time();
}

static int64_t act_left_ms(void *data)
{
	return election_act_left_ms(((struct pool_holder *)data)->kernel);
}

static enum status pool_holder_start(struct service *base, struct kernel *k)
{
	struct pool_holder *s = (struct pool_holder *)base;
	const struct entry_settings *settings = entry_settings_of(k);
	const struct fleet_bounds bounds = bounds_of(k);
	const struct fleet_ports ports = {
		.start = port_start,
		.stop = port_stop,
		.data = s,
		.clock_us = clock_us,
	};
	const struct worker_calls_spec calls = {
		.platform = entry_platform_of(k),
		.node = settings->node,
		.delegate_min_workers = (guint)settings->delegate_min_workers,
		.scheduler = &s->scheduler,
		.counters = kernel_counters(k),
		.on_call_ended = schedule_plan,
		.on_fenced = on_fenced,
		.act_left_ms = act_left_ms,
		.data = s,
	};
	const struct progress_writer_spec writer = {
		.platform = entry_platform_of(k),
		.scheduler = &s->scheduler,
		.counters = kernel_counters(k),
		.recorded_workers = s->recorded_workers,
		.pending_cancels = s->pending_cancels,
		.row_bytes = settings->store.row_bytes,
		.status_retention_ms =
			(int64_t)settings->bounds.status_s * MS_PER_S,
		.on_written = schedule_plan,
		.data = s,
	};
	const struct election_listener listener = {
		.on_gained = on_gained,
		.on_lost = on_lost,
		.data = s,
	};

	s->kernel = k;
	s->platform = entry_platform_of(k);
	s->plan_time = counters_histogram(kernel_counters(k),
					  "cs_plan_duration_seconds",
					  "Time of a plan, without pauses");
	s->plans_cut = counters_counter(
		kernel_counters(k), "cs_plans_cut_total",
		"Plans whose time was over before all units were tried");
	s->units_postponed = counters_counter(
		kernel_counters(k), "cs_plan_units_postponed_total",
		"Units that a plan had no time to try");
	fleet_scheduler_init(&s->scheduler, &bounds, &ports);
	s->calls = worker_calls_new(&calls);
	s->writer = progress_writer_new(&writer);
	s->tick = g_timeout_add(TICK_MS, on_tick, s);
	election_set_listener(k, &listener);
	return STATUS_OK;
}

static void pool_holder_free(struct service *base)
{
	struct pool_holder *s = (struct pool_holder *)base;

	if (s->tick) {
		g_source_remove(s->tick);
		stop_holding(s);
		progress_writer_free(s->writer);
		worker_calls_free(s->calls);
		fleet_scheduler_clear(&s->scheduler);
	}
	g_hash_table_unref(s->pending_progress);
	g_hash_table_unref(s->pending_cancels);
	g_hash_table_unref(s->recorded_workers);
	g_hash_table_unref(s->unreadable_workers);
	g_free(s);
}

static const struct service_class pool_holder_class = {
	.name = POOL_HOLDER_SERVICE,
	.start = pool_holder_start,
	.free = pool_holder_free,
};

struct service *pool_holder_new(void)
{
	struct pool_holder *s = g_new0(struct pool_holder, 1);

	s->base.class = &pool_holder_class;
	s->pending_progress = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, progress_row_free);
	s->pending_cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->recorded_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->unreadable_workers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return &s->base;
}
