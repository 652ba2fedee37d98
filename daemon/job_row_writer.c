#include "daemon/job_row_writer.h"

#include "base/util.h"

#define MAX_TRIES 6
#define RETRY_MS 150

struct job_row_writer {
	struct platform *platform;
	char *key;
	char *commit_id;
	/** To write; for a cancel the row as last read, marked as cancelled. */
	struct job_record record;
	int64_t version; /**< expected by the write */
	gboolean is_cancel;
	gboolean is_unresolved; /**< a write's outcome is unknown */
	guint tries;		/**< at most MAX_TRIES */
	guint timer;		/**< of the next retry, 0 for none */
	row_outcome_fn fn;
	void *data;
};

static void write_row(struct job_row_writer *w);
static void read_row(struct job_row_writer *w);

void job_row_writer_free(struct job_row_writer *w)
{
	platform_forget(w->platform, w);
	if (w->timer)
		g_source_remove(w->timer);
	job_record_clear(&w->record);
	g_free(w->commit_id);
	g_free(w->key);
	g_free(w);
}

static void finish(struct job_row_writer *w, enum row_outcome outcome)
{
	row_outcome_fn fn = w->fn;
	void *data = w->data;

	job_row_writer_free(w);
	fn(outcome, data);
}

static void give_up(struct job_row_writer *w)
{
	finish(w, w->is_unresolved ? ROW_UNKNOWN : ROW_NOT_WRITTEN);
}

static gboolean on_retry(gpointer data)
{
	struct job_row_writer *w = data;

	w->timer = 0;
	read_row(w);
	return G_SOURCE_REMOVE;
}

static void retry_later(struct job_row_writer *w)
{
	if (++w->tries >= MAX_TRIES)
		give_up(w);
	else
		w->timer = g_timeout_add(RETRY_MS, on_retry, w);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct job_row_writer *w = data;

	if (result->status == STATUS_OK) {
		finish(w, ROW_WRITTEN);
	} else if (result->status == STATUS_UNAVAILABLE) {
		retry_later(w);
	} else {
		if (result->status == STATUS_UNKNOWN)
			w->is_unresolved = TRUE;
		read_row(w);
	}
}

static void write_row(struct job_row_writer *w)
{
	struct table_write write = {
		.table = JOBS_TABLE,
		.key = w->key,
		.expected_version = w->version,
	};

	g_free(w->record.commit_id);
	w->record.commit_id = g_strdup(w->commit_id);
	write.value = job_record_encode(&w->record);
	platform_commit(w->platform, &write, 1, on_written, w);
	json_object_put(write.value);
}

/* Finishes a submission whose row exists: written by this writer or before. */
static void check_submitted_row(struct job_row_writer *w,
				const struct job_record *r)
{
	if (g_strcmp0(r->commit_id, w->commit_id) == 0)
		finish(w, ROW_WRITTEN);
	else if (job_record_same_request(r, &w->record))
		finish(w, ROW_UNCHANGED);
	else
		finish(w, ROW_ID_TAKEN);
}

static void cancel_found_row(struct job_row_writer *w, int64_t version,
			     const struct job_record *r)
{
	if (r->is_cancelled || job_record_is_ended(r)) {
		finish(w, ROW_UNCHANGED);
		return;
	}
	if (++w->tries >= MAX_TRIES) {
		give_up(w);
		return;
	}
	job_record_clear(&w->record);
	job_record_copy(&w->record, r);
	w->record.is_cancelled = 1;
	w->version = version;
	write_row(w);
}

static void handle_missing_row(struct job_row_writer *w)
{
	if (w->is_cancel)
		finish(w, ROW_NOT_FOUND);
	else if (++w->tries >= MAX_TRIES)
		give_up(w);
	else
		write_row(w);
}

static void handle_found_row(struct job_row_writer *w,
			     const struct table_row *row)
{
	struct job_record r = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (!job_record_decode(&r, row->value, &findings))
		finish(w, ROW_ID_TAKEN);
	else if (w->is_cancel)
		cancel_found_row(w, row->version, &r);
	else
		check_submitted_row(w, &r);
	job_record_clear(&r);
	finding_list_clear(&findings);
}

static void on_read(const struct platform_result *result, void *data)
{
	struct job_row_writer *w = data;

	if (result->status == STATUS_OK)
		handle_found_row(w, &result->rows[0]);
	else if (result->status == STATUS_NOT_FOUND)
		handle_missing_row(w);
	else
		retry_later(w);
}

static void read_row(struct job_row_writer *w)
{
	platform_read(w->platform, JOBS_TABLE, w->key, on_read, w);
}

static struct job_row_writer *writer_new(struct platform *p, const char *pool,
					 const char *id, row_outcome_fn fn,
					 void *data)
{
	struct job_row_writer *w = g_new0(struct job_row_writer, 1);

	w->platform = p;
	w->key = job_record_key(pool, id);
	w->commit_id = util_random_id();
	w->fn = fn;
	w->data = data;
	return w;
}

struct job_row_writer *job_row_submit(struct platform *p,
				      const struct job_record *r,
				      row_outcome_fn fn, void *data)
{
	struct job_row_writer *w = writer_new(p, r->pool, r->id, fn, data);

	job_record_copy(&w->record, r);
	w->version = TABLE_ABSENT;
	write_row(w);
	return w;
}

struct job_row_writer *job_row_cancel(struct platform *p, const char *pool,
				      const char *id, row_outcome_fn fn,
				      void *data)
{
	struct job_row_writer *w = writer_new(p, pool, id, fn, data);

	w->is_cancel = TRUE;
	read_row(w);
	return w;
}
