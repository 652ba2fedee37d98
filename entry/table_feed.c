#include "entry/table_feed.h"

#include "base/log.h"
#include "base/util.h"

/* Rows that the platform gives in one answer at most. */
#define PAGE_ROWS 500
/* Delay before a failed call is made again; doubles up to the last. */
#define FIRST_RETRY_MS 50
#define LAST_RETRY_MS 400

struct table_feed {
	struct table_feed_spec spec;
	char *table;
	GHashTable *versions; /* key to version of each row that is there */
	GHashTable *found;    /* keys found by the scan under way, or NULL */
	char *next_key;	      /* of the scan */
	guint part;	      /* that the scan reads */
	int64_t after_version;
	int64_t scan_version; /* of the first page */
	gboolean is_synced;
	gboolean is_down;
	int64_t retry_ms;
	int64_t contact_ms;
	guint timer;
	GRand *rng;
};

static void call_next(struct table_feed *f);

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

static void log_contact(struct table_feed *f, gboolean is_good)
{
	struct log_line line;

	if (is_good != f->is_down)
		return;
	f->is_down = !is_good;
	log_begin(&line, is_good ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  is_good ? "feed_regained" : "feed_lost");
	log_str(&line, "table", f->table);
	log_int(&line, "version", f->after_version);
	if (!is_good)
		log_str(&line, "message", status_last_message());
	log_end(&line);
}

static gboolean on_retry(gpointer data)
{
	struct table_feed *f = data;

	f->timer = 0;
	call_next(f);
	return G_SOURCE_REMOVE;
}

static void retry_later(struct table_feed *f)
{
	double jitter = g_rand_double_range(f->rng, 0.5, 1.0);

	f->timer = g_timeout_add((guint)((double)f->retry_ms * jitter),
				 on_retry, f);
	f->retry_ms = MIN(f->retry_ms * 2, LAST_RETRY_MS);
}

static void take_row(struct table_feed *f, const struct table_row *row,
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

/* Tells of the rows that a scan didn't find any more. */
static void drop_missing(struct table_feed *f, int64_t store_ms)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, f->versions);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct table_row row = { .key = key, .is_deleted = TRUE };

		if (g_hash_table_contains(f->found, key))
			continue;
		f->spec.on_row(f->spec.data, &row, store_ms);
		g_hash_table_iter_remove(&iter);
	}
}

static void end_scan(struct table_feed *f, int64_t store_ms)
{
	drop_missing(f, store_ms);
	g_clear_pointer(&f->found, g_hash_table_unref);
	f->after_version = f->scan_version;
	f->is_synced = TRUE;
	if (f->spec.on_synced)
		f->spec.on_synced(f->spec.data);
}

static void note_contact(struct table_feed *f,
			 const struct platform_result *result)
{
	gboolean is_good = result->status == STATUS_OK;

	if (is_good) {
		f->contact_ms = util_monotonic_ms();
		f->retry_ms = FIRST_RETRY_MS;
	}
	log_contact(f, is_good);
	if (f->spec.on_contact)
		f->spec.on_contact(f->spec.data, is_good, result->store_ms);
}

/* Returns the part that the scan reads, NULL after the last one. */
static const char *part_name(const struct table_feed *f)
{
	if (!f->spec.parts)
		return f->part ? NULL : "";
	return f->spec.parts[f->part];
}

static void on_page(const struct platform_result *result, void *data)
{
	struct table_feed *f = data;

	note_contact(f, result);
	if (result->status != STATUS_OK) {
		retry_later(f);
		return;
	}
	if (!f->next_key && !f->part)
		f->scan_version = result->version;
	for (guint i = 0; i < result->row_count; i++) {
		const struct table_row *row = &result->rows[i];

		g_hash_table_add(f->found, g_strdup(row->key));
		take_row(f, row, result->store_ms);
	}
	if (result->has_more && result->row_count) {
		/* The shortest key that sorts after the last one. */
		g_free(f->next_key);
		f->next_key = g_strconcat(
			result->rows[result->row_count - 1].key, "!", NULL);
	} else {
		g_clear_pointer(&f->next_key, g_free);
		f->part++;
		if (!part_name(f))
			end_scan(f, result->store_ms);
	}
	call_next(f);
}

static void start_scan(struct table_feed *f)
{
	f->found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_clear_pointer(&f->next_key, g_free);
	f->part = 0;
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
		call_next(f);
		return;
	}
	note_contact(f, result);
	if (result->status != STATUS_OK) {
		retry_later(f);
		return;
	}
	for (guint i = 0; i < result->row_count; i++)
		take_row(f, &result->rows[i], result->store_ms);
	f->after_version = MAX(f->after_version, result->version);
	call_next(f);
}

static void call_next(struct table_feed *f)
{
	struct table_page_query page = {
		.table = f->table,
		.part = f->found ? part_name(f) : NULL,
		.from_key = f->next_key,
		.max_rows = PAGE_ROWS,
	};
	struct table_watch_query watch = {
		.table = f->table,
		.after_version = f->after_version,
		/* After a failure an answer at once shows that all is well. */
		.wait_ms = f->is_down ? 0 : f->spec.wait_ms,
	};

	if (f->found)
		platform_page(f->spec.platform, &page, on_page, f);
	else
		platform_watch(f->spec.platform, &watch, on_changes, f);
}

struct table_feed *table_feed_new(const struct table_feed_spec *spec)
{
	struct table_feed *f = g_new0(struct table_feed, 1);

	f->spec = *spec;
	f->table = g_strdup(spec->table);
	f->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->retry_ms = FIRST_RETRY_MS;
	f->rng = g_rand_new();
	start_scan(f);
	call_next(f);
	return f;
}

void table_feed_free(struct table_feed *f)
{
	if (!f)
		return;
	platform_forget(f->spec.platform, f);
	if (f->timer)
		g_source_remove(f->timer);
	g_hash_table_unref(f->versions);
	g_clear_pointer(&f->found, g_hash_table_unref);
	g_rand_free(f->rng);
	g_free(f->next_key);
	g_free(f->table);
	g_free(f);
}

gboolean table_feed_is_synced(const struct table_feed *f)
{
	return f && f->is_synced;
}

int64_t table_feed_contact_ms(const struct table_feed *f)
{
	return f->contact_ms;
}
