#include "entry/table_feed.h"

#include "base/log.h"
#include "base/util.h"

/* Rows in one page of a scan; the platform returns no more in one answer. */
#define PAGE_ROWS 500
/* Delay before a failed call is retried; doubles up to the maximum. */
#define FIRST_RETRY_MS 50
#define MAX_RETRY_MS 400

/* One part of the table; all parts are scanned at the same time. */
struct scan_part {
	struct table_feed *feed;
	const char *name;
	char *next_key; /* start of the next page, NULL for the first */
	int64_t retry_ms;
	guint timer;
};

struct table_feed {
	struct table_feed_spec spec;
	char *table;
	GHashTable *versions;	 /* key to version of each existing row */
	GHashTable *seen_keys;	 /* keys read by the current scan, or NULL */
	struct scan_part *parts; /* of the table */
	guint part_count;
	guint parts_left;      /* not read to their ends by the current scan */
	int64_t after_version; /* the next watch returns the changes after it */
	int64_t scan_version;  /* lowest table version at a part's first page */
	gboolean is_synced;
	gboolean is_down;	/* the last call failed */
	int64_t retry_ms;	/* delay of the next retry of a watch */
	int64_t last_answer_ms; /* util_boot_ms(), 0 for none */
	guint timer;
	GRand *rng;
};

static void call_watch(struct table_feed *f);
static void call_page(struct scan_part *p);

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

/* Logs when calls begin to fail and when they succeed again. */
static void track_outage(struct table_feed *f, gboolean is_ok)
{
	struct log_line line;

	if (is_ok != f->is_down)
		return;
	f->is_down = !is_ok;
	log_begin(&line, is_ok ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  is_ok ? "feed_regained" : "feed_lost");
	log_str(&line, "table", f->table);
	log_int(&line, "version", f->after_version);
	if (!is_ok)
		log_str(&line, "message", status_last_message());
	log_end(&line);
}

static gboolean on_watch_due(gpointer data)
{
	struct table_feed *f = data;

	f->timer = 0;
	call_watch(f);
	return G_SOURCE_REMOVE;
}

static gboolean on_page_due(gpointer data)
{
	struct scan_part *p = data;

	p->timer = 0;
	call_page(p);
	return G_SOURCE_REMOVE;
}

/* Returns the delay of a retry and doubles that of the next one. */
static guint next_retry_ms(struct table_feed *f, int64_t *retry_ms)
{
	double delay_ms =
		(double)*retry_ms * g_rand_double_range(f->rng, 0.5, 1.0);

	*retry_ms = MIN(*retry_ms * 2, MAX_RETRY_MS);
	return (guint)delay_ms;
}

/* Reports a row unless this version or a later one was reported. */
static void apply_row(struct table_feed *f, const struct table_row *row,
		      int64_t store_ms)
{
	const int64_t *known = g_hash_table_lookup(f->versions, row->key);

	if (known && *known >= row->version)
		return;
	if (row->is_deleted)
		g_hash_table_remove(f->versions, row->key);
	else
		g_hash_table_replace(f->versions, g_strdup(row->key),
				     box(row->version));
	f->spec.on_row(f->spec.data, row, store_ms);
}

/* Reports as deleted the known rows that the scan did not find. */
static void report_missing(struct table_feed *f, int64_t store_ms)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, f->versions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct table_row row = { .key = key, .is_deleted = TRUE };

		if (g_hash_table_contains(f->seen_keys, key))
			continue;
		f->spec.on_row(f->spec.data, &row, store_ms);
		g_hash_table_iter_remove(&iter);
	}
}

static void end_scan(struct table_feed *f, int64_t store_ms)
{
	report_missing(f, store_ms);
	g_clear_pointer(&f->seen_keys, g_hash_table_unref);
	f->after_version = f->scan_version;
	f->is_synced = TRUE;
	if (f->spec.on_synced)
		f->spec.on_synced(f->spec.data);
}

static void record_call(struct table_feed *f,
			const struct platform_result *result)
{
	gboolean is_ok = result->status == STATUS_OK;

	if (is_ok)
		f->last_answer_ms = util_boot_ms();
	track_outage(f, is_ok);
	if (f->spec.on_call_done)
		f->spec.on_call_done(f->spec.data, is_ok,
				     result->store_clock_ms);
}

static void on_page(const struct platform_result *result, void *data)
{
	struct scan_part *p = data;
	struct table_feed *f = p->feed;

	record_call(f, result);
	if (result->status != STATUS_OK) {
		p->timer = g_timeout_add(next_retry_ms(f, &p->retry_ms),
					 on_page_due, p);
		return;
	}
	p->retry_ms = FIRST_RETRY_MS;
	if (!p->next_key)
		f->scan_version = MIN(f->scan_version, result->version);
	for (guint i = 0; i < result->row_count; i++) {
		const struct table_row *row = &result->rows[i];

		g_hash_table_add(f->seen_keys, g_strdup(row->key));
		apply_row(f, row, result->store_clock_ms);
	}
	g_free(p->next_key);
	p->next_key = platform_next_page_key(result);
	if (p->next_key) {
		call_page(p);
		return;
	}
	if (--f->parts_left)
		return;
	end_scan(f, result->store_clock_ms);
	call_watch(f);
}

static void call_page(struct scan_part *p)
{
	struct table_page_query page = {
		.table = p->feed->table,
		.part = p->name,
		.from_key = p->next_key,
		.max_rows = PAGE_ROWS,
	};

	platform_page(p->feed->spec.platform, &page, on_page, p);
}

static void start_scan(struct table_feed *f)
{
	f->seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->scan_version = INT64_MAX;
	f->parts_left = f->part_count;
	for (guint i = 0; i < f->part_count; i++) {
		f->parts[i].retry_ms = FIRST_RETRY_MS;
		call_page(&f->parts[i]);
	}
}

static void on_changes(const struct platform_result *result, void *data)
{
	struct table_feed *f = data;

	if (result->is_history_gone) {
		struct log_line line;

		log_begin(&line, LOG_LEVEL_WARN, "feed_history_gone");
		log_str(&line, "table", f->table);
		log_int(&line, "version", f->after_version);
		log_end(&line);
		start_scan(f);
		return;
	}
	record_call(f, result);
	if (result->status != STATUS_OK) {
		f->timer = g_timeout_add(next_retry_ms(f, &f->retry_ms),
					 on_watch_due, f);
		return;
	}
	f->retry_ms = FIRST_RETRY_MS;
	for (guint i = 0; i < result->row_count; i++)
		apply_row(f, &result->rows[i], result->store_clock_ms);
	f->after_version = MAX(f->after_version, result->version);
	if (f->spec.pause_ms)
		f->timer =
			g_timeout_add((guint)f->spec.pause_ms, on_watch_due, f);
	else
		call_watch(f);
}

static void call_watch(struct table_feed *f)
{
	struct table_watch_query watch = {
		.table = f->table,
		.after_version = f->after_version,
		/* After a failure, an immediate answer shows the recovery. */
		.long_poll_ms = f->is_down ? 0 : f->spec.wait_ms,
	};

	platform_watch(f->spec.platform, &watch, on_changes, f);
}

struct table_feed *table_feed_new(const struct table_feed_spec *spec)
{
	static const char *const unnamed_part[] = { "", NULL };
	const char *const *names = spec->parts ? spec->parts : unnamed_part;
	struct table_feed *f = g_new0(struct table_feed, 1);
	guint count = 0;

	f->spec = *spec;
	f->table = g_strdup(spec->table);
	f->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->retry_ms = FIRST_RETRY_MS;
	f->rng = g_rand_new();
	while (names[count])
		count++;
	f->part_count = count;
	f->parts = g_new0(struct scan_part, count);
	for (guint i = 0; i < count; i++) {
		f->parts[i].feed = f;
		f->parts[i].name = names[i];
	}
	start_scan(f);
	return f;
}

void table_feed_free(struct table_feed *f)
{
	if (!f)
		return;
	platform_forget(f->spec.platform, f);
	if (f->timer)
		g_source_remove(f->timer);
	for (guint i = 0; i < f->part_count; i++) {
		platform_forget(f->spec.platform, &f->parts[i]);
		if (f->parts[i].timer)
			g_source_remove(f->parts[i].timer);
		g_free(f->parts[i].next_key);
	}
	g_free(f->parts);
	g_hash_table_unref(f->versions);
	g_clear_pointer(&f->seen_keys, g_hash_table_unref);
	g_rand_free(f->rng);
	g_free(f->table);
	g_free(f);
}

gboolean table_feed_is_synced(const struct table_feed *f)
{
	return f && f->is_synced;
}

int64_t table_feed_last_answer_ms(const struct table_feed *f)
{
	return f->last_answer_ms;
}
