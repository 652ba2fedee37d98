#include "entry/progress_writer.h"

#include "base/log.h"
#include "base/util.h"
#include "entry/frontend.h"
#include "entry/pool_holder.h"
#include "sched/leadership.h"

/* The store allows 100 entries per transaction; a row may need two. */
#define BATCH_ROWS 48
/* The store allows 1 MB per call: values take a third more in base64, and the
 * names of the rows need room too. */
#define BATCH_BYTES 700000
/* Delay before a failed batch is written again. */
#define RETRY_MS 100
/* Shortest interval between two writes of the queue lengths. */
#define QUEUES_INTERVAL_MS 700
/* Ended jobs are removed this long after their retention has ended. */
#define REMOVE_SLACK_MS 30000
/* Removals are separate commits across several parts, which take the store
 * twice as long: one per second is little next to the 300 commits per second of
 * a part. */
#define REMOVE_INTERVAL_MS 1000
/* The same while many cancels of unknown jobs are to be removed. */
#define REMOVE_BUSY_INTERVAL_MS 100
#define ROWS_PER_JOB 3 /* job, progress and cancel */

struct progress_writer {
	struct progress_writer_spec spec;
	GPtrArray *job_ids;		/* written by the batch in flight */
	GPtrArray *removed_job_ids;	/* of jobs removed by it */
	GPtrArray *recorded_worker_ids; /* added by it to WORKER_USE_TABLE */
	GPtrArray *unused_worker_ids;	/* removed by it from that table */
	int64_t term_version;
	gboolean is_writing;
	gboolean has_all_dirty_jobs; /* in the batch in flight */
	int64_t retry_at_ms;	     /* no batch is sent before */
	char *written_queues;	/* queue row in the store as text, or NULL */
	char *pending_queues;	/* queue row in the batch in flight, or NULL */
	int64_t last_queues_ms; /* when the queue row was last in a batch */
	int64_t last_removal_ms;
	gboolean has_more_removals; /* than one batch holds */
	struct histogram *latency;
	struct counter *rows;
	struct counter *rows_cut;
	int64_t sent_ms; /* when the last batch was sent */
};

struct batch {
	GArray *writes;	   /* of struct table_write */
	GPtrArray *values; /* their rows, owned */
	gsize bytes;	   /* of the values */
};

struct progress_writer *
progress_writer_new(const struct progress_writer_spec *spec)
{
	struct progress_writer *w = g_new0(struct progress_writer, 1);

	w->spec = *spec;
	w->spec.row_bytes = MIN(spec->row_bytes, BATCH_BYTES);
	w->job_ids = g_ptr_array_new_with_free_func(g_free);
	w->removed_job_ids = g_ptr_array_new_with_free_func(g_free);
	w->recorded_worker_ids = g_ptr_array_new_with_free_func(g_free);
	w->unused_worker_ids = g_ptr_array_new_with_free_func(g_free);
	w->latency = counters_histogram(spec->counters,
					"cs_progress_write_latency_seconds",
					"Time of a write of jobs' progress");
	w->rows = counters_counter(spec->counters, "cs_progress_rows_total",
				   "Rows of jobs' progress written");
	w->rows_cut = counters_counter(
		spec->counters, "cs_progress_rows_cut_total",
		"Rows of jobs' progress that had to be shortened");
	return w;
}

void progress_writer_begin(struct progress_writer *w, int64_t term_version)
{
	w->term_version = term_version;
}

static void clear_batch(struct progress_writer *w)
{
	g_ptr_array_set_size(w->job_ids, 0);
	g_ptr_array_set_size(w->removed_job_ids, 0);
	g_ptr_array_set_size(w->recorded_worker_ids, 0);
	g_ptr_array_set_size(w->unused_worker_ids, 0);
}

void progress_writer_reset(struct progress_writer *w)
{
	platform_forget(w->spec.platform, w);
	clear_batch(w);
	w->is_writing = FALSE;
	w->retry_at_ms = 0;
	g_clear_pointer(&w->written_queues, g_free);
	g_clear_pointer(&w->pending_queues, g_free);
}

void progress_writer_free(struct progress_writer *w)
{
	if (!w)
		return;
	progress_writer_reset(w);
	g_ptr_array_unref(w->job_ids);
	g_ptr_array_unref(w->removed_job_ids);
	g_ptr_array_unref(w->recorded_worker_ids);
	g_ptr_array_unref(w->unused_worker_ids);
	g_free(w);
}

static void put_value(gpointer value)
{
	json_object_put(value);
}

static void batch_add_part(struct batch *b, const char *table, const char *part,
			   const char *key, int64_t version, json_object *value)
{
	struct table_write write = {
		.table = table,
		.part = part,
		.key = key,
		.expected_version = version,
		.value = value,
	};

	g_array_append_val(b->writes, write);
	if (value) {
		g_ptr_array_add(b->values, value);
		b->bytes += job_row_bytes(value);
	}
}

static void batch_add(struct batch *b, const char *table, const char *key,
		      int64_t version, json_object *value)
{
	batch_add_part(b, table, HOLDER_PART, key, version, value);
}

/* Logs that a job's row lacks something, when that changes. */
static void record_cut(struct progress_writer *w, struct fleet_job *job,
		       enum progress_cut cut, json_object *row)
{
	struct log_line line;

	if (cut != PROGRESS_WHOLE)
		counter_add(w->rows_cut, 1);
	if (job->row_cut == cut)
		return;
	job->row_cut = (uint8_t)cut;
	log_begin(&line, LOG_LEVEL_WARN, "progress_row_cut");
	log_str(&line, "job", job->id);
	log_str(&line, "lacks", progress_cut_name(cut));
	log_int(&line, "bytes", (int64_t)job_row_bytes(row));
	log_int(&line, "limit", w->spec.row_bytes);
	log_end(&line);
}

/* Adds the progress of a job. Returns FALSE if it fits into no row. */
static gboolean add_job(struct progress_writer *w, struct batch *b,
			struct fleet_job *job)
{
	enum progress_cut cut;
	json_object *row =
		job_progress_encode(job, (gsize)w->spec.row_bytes, &cut);

	record_cut(w, job, cut, row);
	if (cut == PROGRESS_TOO_LARGE) {
		json_object_put(row);
		return FALSE;
	}
	batch_add(b, JOB_PROGRESS_TABLE, job->id, job->progress_version, row);
	job->is_dirty = FALSE;
	job->is_storing_active = job->state != FLEET_JOB_QUEUED;
	job->storing_first = job->first_occurrence;
	g_ptr_array_add(w->job_ids, g_strdup(job->id));
	return TRUE;
}

static void add_jobs(struct progress_writer *w, struct batch *b)
{
	GHashTableIter iter;
	gpointer item;

	w->has_all_dirty_jobs = TRUE;
	g_hash_table_iter_init(&iter, w->spec.scheduler->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		if (!job->is_dirty)
			continue;
		if (b->writes->len >= BATCH_ROWS ||
		    b->bytes + (gsize)w->spec.row_bytes > BATCH_BYTES) {
			w->has_all_dirty_jobs = FALSE;
			break;
		}
		w->has_all_dirty_jobs &= add_job(w, b, job);
	}
}

static void add_workers(struct progress_writer *w, struct batch *b)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->spec.scheduler->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_worker *worker = item;

		if (w->has_all_dirty_jobs)
			worker->saving_end = worker->processed_end;
		if (worker->is_use_stored || worker->is_deregistered ||
		    b->writes->len >= BATCH_ROWS)
			continue;
		batch_add(b, WORKER_USE_TABLE, worker->id, TABLE_ANY_VERSION,
			  json_object_new_object());
		g_ptr_array_add(w->recorded_worker_ids, g_strdup(worker->id));
	}
}

/* Counts only for the routes of the configuration: their names fit into one row
 * of it, so the counts fit into one row too. */
static json_object *encode_queues(const struct fleet_scheduler *s)
{
	json_object *row = json_object_new_object();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_job *job = item;
		json_object *count = NULL;
		int64_t n = 1;

		if (fleet_job_has_ended(job) || job->has_started ||
		    !fleet_scheduler_route(s, job))
			continue;
		if (json_object_object_get_ex(row, job->route, &count))
			n += json_object_get_int64(count);
		json_object_object_add(row, job->route,
				       json_object_new_int64(n));
	}
	return row;
}

static void add_queues(struct progress_writer *w, struct batch *b,
		       int64_t now_ms)
{
	json_object *row;
	const char *text;

	if (now_ms - w->last_queues_ms < QUEUES_INTERVAL_MS)
		return;
	row = encode_queues(w->spec.scheduler);
	text = json_object_to_json_string(row);
	if (g_strcmp0(text, w->written_queues) == 0) {
		json_object_put(row);
		return;
	}
	w->pending_queues = g_strdup(text);
	w->last_queues_ms = now_ms;
	batch_add(b, QUEUE_TABLE, QUEUE_KEY, TABLE_ANY_VERSION, row);
}

/*
 * Removes the rows of workers on which certainly nothing runs any more: their
 * registration was removed, and all tasks that ran there have ended.
 */
static void add_unused_workers(struct progress_writer *w, struct batch *b,
			       int64_t now_ms)
{
	const struct fleet_scheduler *s = w->spec.scheduler;
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, w->spec.recorded_workers);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		const struct fleet_worker *worker = fleet_worker(&s->fleet, id);
		gboolean has_no_runs =
			fleet_worker_has_no_runs(s, worker, now_ms);

		if (!has_no_runs || b->writes->len >= BATCH_ROWS)
			continue;
		batch_add(b, WORKER_USE_TABLE, id, TABLE_ANY_VERSION, NULL);
		g_ptr_array_add(w->unused_worker_ids, g_strdup(id));
	}
}

static gboolean is_removable(const struct progress_writer *w,
			     const struct fleet_job *job, int64_t now_ms)
{
	return fleet_job_has_ended(job) && !job->is_dirty && job->ended_ms &&
	       now_ms - job->ended_ms >=
		       w->spec.status_retention_ms + REMOVE_SLACK_MS &&
	       !fleet_job_may_run(job);
}

/* Removes the rows of cancels whose jobs have not been stored for long. */
static void add_cancel_removals(struct progress_writer *w, struct batch *b,
				int64_t now_ms)
{
	int64_t keep_ms = w->spec.status_retention_ms + REMOVE_SLACK_MS;
	GHashTableIter iter;
	gpointer id;
	gpointer read_ms;

	g_hash_table_iter_init(&iter, w->spec.pending_cancels);
	while (g_hash_table_iter_next(&iter, &id, &read_ms)) {
		if (now_ms - *(const int64_t *)read_ms < keep_ms)
			continue;
		if (b->writes->len >= BATCH_ROWS) {
			w->has_more_removals = TRUE;
			return;
		}
		batch_add_part(b, JOB_CANCEL_TABLE, job_part(id), id,
			       TABLE_ANY_VERSION, NULL);
	}
}

/* Removes the rows of ended jobs whose retention has passed. */
static void add_job_removals(struct progress_writer *w, struct batch *b,
			     int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	if (now_ms - w->last_removal_ms < (w->has_more_removals
						   ? REMOVE_BUSY_INTERVAL_MS
						   : REMOVE_INTERVAL_MS))
		return;
	w->has_more_removals = FALSE;
	w->last_removal_ms = now_ms;
	w->has_all_dirty_jobs = FALSE;
	g_hash_table_iter_init(&iter, w->spec.scheduler->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item) &&
	       b->writes->len + ROWS_PER_JOB <= BATCH_ROWS) {
		struct fleet_job *job = item;

		if (!is_removable(w, job, now_ms))
			continue;
		g_ptr_array_add(w->removed_job_ids, g_strdup(job->id));
		batch_add_part(b, JOB_TABLE, job_part(job->id), job->id,
			       TABLE_ANY_VERSION, NULL);
		batch_add(b, JOB_PROGRESS_TABLE, job->id, TABLE_ANY_VERSION,
			  NULL);
		batch_add_part(b, JOB_CANCEL_TABLE, job_part(job->id), job->id,
			       TABLE_ANY_VERSION, NULL);
	}
	add_cancel_removals(w, b, now_ms);
}

static void apply_written(struct progress_writer *w, int64_t version)
{
	struct fleet *f = &w->spec.scheduler->fleet;
	GHashTableIter iter;
	gpointer item;

	counter_add(w->rows, w->job_ids->len);
	for (guint i = 0; i < w->job_ids->len; i++) {
		struct fleet_job *job = fleet_job(f, w->job_ids->pdata[i]);

		if (!job)
			continue;
		job->is_active_stored |= job->is_storing_active;
		job->is_storing_active = FALSE;
		job->stored_first = job->storing_first;
		job->progress_version = version;
	}
	for (guint i = 0; i < w->removed_job_ids->len; i++)
		fleet_remove_job(f, w->removed_job_ids->pdata[i]);
	for (guint i = 0; i < w->recorded_worker_ids->len; i++) {
		struct fleet_worker *worker =
			fleet_worker(f, w->recorded_worker_ids->pdata[i]);

		if (worker)
			worker->is_use_stored = TRUE;
		g_hash_table_add(w->spec.recorded_workers,
				 g_strdup(w->recorded_worker_ids->pdata[i]));
	}
	for (guint i = 0; i < w->unused_worker_ids->len; i++) {
		struct fleet_worker *worker =
			fleet_worker(f, w->unused_worker_ids->pdata[i]);

		if (worker)
			worker->is_use_stored = FALSE;
		g_hash_table_remove(w->spec.recorded_workers,
				    w->unused_worker_ids->pdata[i]);
	}
	if (w->pending_queues) {
		g_free(w->written_queues);
		w->written_queues = g_steal_pointer(&w->pending_queues);
	}
	if (!w->has_all_dirty_jobs)
		return;
	g_hash_table_iter_init(&iter, f->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_worker *worker = item;

		worker->saved_end = worker->saving_end;
	}
}

/* Marks the jobs of a batch that had no effect, or an unknown one, to be
 * written again. */
static void mark_batch_dirty(struct progress_writer *w)
{
	struct fleet *f = &w->spec.scheduler->fleet;

	g_clear_pointer(&w->pending_queues, g_free);
	for (guint i = 0; i < w->job_ids->len; i++) {
		struct fleet_job *job = fleet_job(f, w->job_ids->pdata[i]);

		if (!job)
			continue;
		job->is_storing_active = FALSE;
		job->is_dirty = TRUE;
	}
}

/*
 * Adopts the rows that the store has: another scheduler's, or this holder's
 * own from a commit whose answer was lost.
 */
static void apply_conflict(struct progress_writer *w,
			   const struct platform_result *result)
{
	struct fleet *f = &w->spec.scheduler->fleet;
	struct log_line line;

	for (guint i = 0; i < w->job_ids->len; i++) {
		struct fleet_job *job = fleet_job(f, w->job_ids->pdata[i]);

		/* A row that the answer does not contain does not exist. */
		if (job)
			job->progress_version = TABLE_ABSENT;
	}
	for (guint i = 0; i < result->row_count; i++) {
		const struct table_row *row = &result->rows[i];

		if (row->value && row->version)
			fleet_scheduler_merge_progress(w->spec.scheduler,
						       row->key, row->value,
						       row->version);
	}
	log_begin(&line, LOG_LEVEL_WARN, "progress_conflict");
	log_int(&line, "rows", result->row_count);
	log_end(&line);
}

static void log_failure(const struct progress_writer *w,
			const struct platform_result *result)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "progress_not_written");
	log_str(&line, "status", status_name(result->status));
	log_str(&line, "message", status_last_message());
	log_int(&line, "jobs", w->job_ids->len);
	log_int(&line, "took_ms", util_monotonic_ms() - w->sent_ms);
	log_end(&line);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct progress_writer *w = data;
	int64_t now_ms = util_monotonic_ms();

	w->is_writing = FALSE;
	histogram_record(w->latency, (now_ms - w->sent_ms) * US_PER_MS);
	switch (result->status) {
	case STATUS_OK:
		apply_written(w, result->version);
		break;
	case STATUS_CONFLICT:
		mark_batch_dirty(w);
		apply_conflict(w, result);
		break;
	default:
		log_failure(w, result);
		mark_batch_dirty(w);
		w->retry_at_ms = now_ms + RETRY_MS;
		break;
	}
	clear_batch(w);
	w->spec.on_written(w->spec.data);
}

/* With no change to write, the effects of all processed ends are stored. */
static void mark_ends_saved(struct progress_writer *w)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->spec.scheduler->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_worker *worker = item;

		worker->saved_end = worker->processed_end;
	}
}

/* Makes the commit fail if another holder has taken over the pool. */
static void add_term_condition(const struct progress_writer *w, struct batch *b)
{
	struct table_write term = {
		.table = LEADERSHIP_TABLE,
		.part = HOLDER_PART,
		.key = LEADERSHIP_TERM_KEY,
		.expected_version = w->term_version,
		.is_condition = TRUE,
	};

	g_array_append_val(b->writes, term);
}

void progress_writer_write(struct progress_writer *w, int64_t now_ms)
{
	struct batch b = { 0 };

	if (w->is_writing || now_ms < w->retry_at_ms)
		return;
	b.writes = g_array_new(FALSE, TRUE, sizeof(struct table_write));
	b.values = g_ptr_array_new_with_free_func(put_value);
	add_job_removals(w, &b, now_ms);
	if (!b.writes->len) {
		add_jobs(w, &b);
		add_workers(w, &b);
		add_unused_workers(w, &b, now_ms);
		add_queues(w, &b, now_ms);
	}
	if (b.writes->len) {
		add_term_condition(w, &b);
		w->is_writing = TRUE;
		w->sent_ms = now_ms;
		platform_commit(
			w->spec.platform,
			(const struct table_write *)(void *)b.writes->data,
			b.writes->len, on_written, w);
	} else {
		mark_ends_saved(w);
	}
	g_array_unref(b.writes);
	g_ptr_array_unref(b.values);
}
