/*
 * Tests of table feeds with a fake store whose calls the test answers one by
 * one. The load that they stand for is a takeover from a store that answers
 * slowly: the tables of a fleet have several parts, and nothing is started
 * until all of them have been read.
 */
#include <glib.h>
#include <string.h>

#include "entry/table_feed.h"
#include "tests/cluster.h"

#define TABLE "jobs"
#define MAX_CALLS 16
/** Longer than any delay of a retry. */
#define RETRY_WAIT_MS 500

static const char *const parts[] = { "a", "b", "c", NULL };

struct fake_call {
	char *part; /* NULL for a watch */
	char *from_key;
	int64_t after_version; /* of a watch */
	platform_fn fn;
	void *data;
};

struct world {
	struct platform base;
	GPtrArray *calls;   /* of struct fake_call, unanswered */
	GString *seen;	    /* rows as reported: "key@version " */
	guint synced_count; /* scans reported as complete */
	struct table_feed *feed;
};

static void call_free(gpointer data)
{
	struct fake_call *c = data;

	g_free(c->part);
	g_free(c->from_key);
	g_free(c);
}

static void add_call(struct platform *p, const char *part, const char *from_key,
		     int64_t after_version, platform_fn fn, void *data)
{
	struct world *w = (struct world *)p;
	struct fake_call *c = g_new0(struct fake_call, 1);

	c->part = g_strdup(part);
	c->from_key = g_strdup(from_key);
	c->after_version = after_version;
	c->fn = fn;
	c->data = data;
	g_ptr_array_add(w->calls, c);
	g_assert_cmpuint(w->calls->len, <, MAX_CALLS);
}

static void fake_page(struct platform *p, const struct table_page_query *query,
		      platform_fn fn, void *data)
{
	g_assert_cmpstr(query->table, ==, TABLE);
	add_call(p, query->part, query->from_key, 0, fn, data);
}

static void fake_watch(struct platform *p,
		       const struct table_watch_query *query, platform_fn fn,
		       void *data)
{
	add_call(p, NULL, NULL, query->after_version, fn, data);
}

static void fake_forget(struct platform *p, const void *data)
{
	struct world *w = (struct world *)p;

	for (guint i = w->calls->len; i-- > 0;) {
		const struct fake_call *c = w->calls->pdata[i];

		if (c->data == data)
			g_ptr_array_remove_index(w->calls, i);
	}
}

static const struct platform_class fake_class = {
	.name = "fake",
	.page = fake_page,
	.watch = fake_watch,
	.forget = fake_forget,
};

static void on_row(void *data, const struct table_row *row, int64_t store_ms)
{
	struct world *w = data;

	g_string_append_printf(w->seen, "%s%s@%" G_GINT64_FORMAT " ",
			       row->is_deleted ? "-" : "", row->key,
			       row->version);
}

static void on_synced(void *data)
{
	((struct world *)data)->synced_count++;
}

static void world_init(struct world *w)
{
	const struct table_feed_spec spec = {
		.platform = &w->base,
		.table = TABLE,
		.parts = parts,
		.wait_ms = 1000,
		.on_row = on_row,
		.on_synced = on_synced,
		.data = w,
	};

	*w = (struct world){
		.base.class = &fake_class,
		.calls = g_ptr_array_new_with_free_func(call_free),
		.seen = g_string_new(""),
	};
	w->feed = table_feed_new(&spec);
}

static void world_clear(struct world *w)
{
	table_feed_free(w->feed);
	g_assert_cmpuint(w->calls->len, ==, 0);
	g_ptr_array_unref(w->calls);
	g_string_free(w->seen, TRUE);
}

/* Takes the unanswered call for a part, NULL for the watch, out of the list. */
static struct fake_call *take_call(struct world *w, const char *part)
{
	for (guint i = 0; i < w->calls->len; i++) {
		struct fake_call *c = w->calls->pdata[i];

		if (g_strcmp0(c->part, part) == 0)
			return g_ptr_array_steal_index(w->calls, i);
	}
	g_assert_not_reached();
}

/* Answers with one row, or none if @key is NULL. */
static void answer(struct world *w, const char *part, int64_t version,
		   const char *key, int64_t row_version, gboolean has_more)
{
	struct fake_call *c = take_call(w, part);
	const struct table_row row = { .key = (char *)key,
				       .version = row_version };
	const struct platform_result result = {
		.status = STATUS_OK,
		.version = version,
		.rows = (struct table_row *)&row,
		.row_count = key ? 1 : 0,
		.has_more = has_more,
	};

	c->fn(&result, c->data);
	call_free(c);
}

static void fail(struct world *w, const char *part)
{
	struct fake_call *c = take_call(w, part);
	const struct platform_result result = {
		.status = status_fail(STATUS_UNAVAILABLE, "no answer"),
	};

	c->fn(&result, c->data);
	call_free(c);
}

/* All parts are asked for before any of them has answered. */
static void test_parts_at_once(void)
{
	struct world w;

	world_init(&w);
	g_assert_cmpuint(w.calls->len, ==, 3);
	answer(&w, "c", 10, "c1", 4, FALSE);
	answer(&w, "a", 12, "a1", 5, FALSE);
	g_assert_cmpuint(w.synced_count, ==, 0);
	answer(&w, "b", 11, NULL, 0, FALSE);
	g_assert_cmpuint(w.synced_count, ==, 1);
	g_assert_true(table_feed_is_synced(w.feed));
	g_assert_cmpstr(w.seen->str, ==, "c1@4 a1@5 ");
	world_clear(&w);
}

/*
 * The watch begins at the lowest version that a part's first page had, so that
 * a change in a part that was read early isn't missed.
 */
static void test_first_version(void)
{
	struct world w;

	world_init(&w);
	answer(&w, "b", 10, "b1", 4, TRUE);
	answer(&w, "a", 20, "a1", 19, FALSE);
	answer(&w, "c", 30, NULL, 0, FALSE);
	g_assert_cmpstr(((struct fake_call *)w.calls->pdata[0])->from_key, ==,
			"b1!");
	answer(&w, "b", 40, "b2", 35, FALSE);
	g_assert_cmpuint(w.synced_count, ==, 1);
	g_assert_cmpint(((struct fake_call *)w.calls->pdata[0])->after_version,
			==, 10);
	/* Known rows aren't reported again, newer versions are. */
	answer(&w, NULL, 41, "a1", 19, FALSE);
	answer(&w, NULL, 42, "b1", 42, FALSE);
	g_assert_cmpstr(w.seen->str, ==, "b1@4 a1@19 b2@35 b1@42 ");
	world_clear(&w);
}

/* A part that doesn't answer is asked again, and only it. */
static void test_failed_part(void)
{
	struct world w;

	world_init(&w);
	answer(&w, "a", 10, "a1", 1, FALSE);
	fail(&w, "b");
	answer(&w, "c", 10, NULL, 0, FALSE);
	g_assert_cmpuint(w.calls->len, ==, 0);
	for (guint i = 0; i < 3; i++) {
		cluster_sleep(RETRY_WAIT_MS);
		g_assert_cmpuint(w.calls->len, ==, 1);
		g_assert_false(table_feed_is_synced(w.feed));
		if (i < 2)
			fail(&w, "b");
	}
	answer(&w, "b", 15, "b1", 2, FALSE);
	g_assert_cmpuint(w.synced_count, ==, 1);
	g_assert_cmpint(((struct fake_call *)w.calls->pdata[0])->after_version,
			==, 10);
	world_clear(&w);
}

/* The store has forgotten its history: rows that are gone are reported. */
static void test_history_gone(void)
{
	const struct platform_result gone = {
		.status = STATUS_OK,
		.is_history_gone = TRUE,
	};
	struct world w;
	struct fake_call *c;

	world_init(&w);
	answer(&w, "a", 10, "a1", 1, FALSE);
	answer(&w, "b", 10, "b1", 2, FALSE);
	answer(&w, "c", 10, NULL, 0, FALSE);
	c = take_call(&w, NULL);
	c->fn(&gone, c->data);
	call_free(c);
	g_assert_cmpuint(w.calls->len, ==, 3);
	answer(&w, "c", 50, "c1", 45, FALSE);
	answer(&w, "b", 51, "b1", 2, FALSE);
	answer(&w, "a", 52, NULL, 0, FALSE);
	g_assert_cmpuint(w.synced_count, ==, 2);
	g_assert_cmpstr(w.seen->str, ==, "a1@1 b1@2 c1@45 -a1@0 ");
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/table-feed/parts-at-once", test_parts_at_once);
	g_test_add_func("/table-feed/first-version", test_first_version);
	g_test_add_func("/table-feed/failed-part", test_failed_part);
	g_test_add_func("/table-feed/history-gone", test_history_gone);
	return g_test_run();
}
