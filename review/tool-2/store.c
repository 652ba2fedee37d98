/*
 * Stand-in of the platform's metadata store: rows in tables and parts, atomic
 * conditional writes, pages of rows and a change feed.
 */
#include <stdio.h>
#include <string.h>

#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"
#include "review/tool-2/rig.h"
#include "standin/common/steppe_json.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define API "/corianderstep"
#define TICK_MS 5
#define PAGE_ROWS 500

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL: removed, kept for the feed */
	int64_t version;
};

struct feed_call {
	struct http_request *request;
	char *table;
	int64_t after;
	int64_t due_ms;
};

struct late_write {
	struct store *store;
	struct http_request *request; /* never answered */
	json_object *body;
};

struct store {
	struct rig *rig;
	struct http_server *server;
	GHashTable *rows;
	GPtrArray *feeds;
	int64_t version;
	late_fn late;
	guint tick;
	int down;
};

static void row_free(gpointer data)
{
	struct row *r = data;

	g_free(r->table);
	g_free(r->part);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static char *row_id(const char *table, const char *part, const char *key)
{
	return g_strdup_printf("%s\n%s\n%s", table, part, key);
}

static void write_row(struct store *s, const char *table, const char *part,
		      const char *key, const char *value)
{
	struct row *r = g_new0(struct row, 1);

	r->table = g_strdup(table);
	r->part = g_strdup(part);
	r->key = g_strdup(key);
	r->value = g_strdup(value);
	r->version = s->version;
	g_hash_table_replace(s->rows, row_id(table, part, key), r);
}

static const struct row *find_row(const struct store *s, const char *table,
				  const char *part, const char *key)
{
	char *id = row_id(table, part, key);
	const struct row *r = g_hash_table_lookup(s->rows, id);

	g_free(id);
	return r && r->value ? r : NULL;
}

static json_object *encode_row(const struct row *r)
{
	json_object *json = json_object_new_object();

	steppe_add_text(json, "Table", r->table);
	steppe_add_text(json, "part", r->part);
	steppe_add_text(json, "Key", r->key);
	steppe_add_int(json, "Ver", r->version);
	if (r->value)
		steppe_add_text(json, "Value", r->value);
	else
		json_object_object_add(json, "Deleted",
				       json_object_new_boolean(TRUE));
	return json;
}

static json_object *answer(const struct store *s, json_object *rows)
{
	json_object *body = json_object_new_object();

	if (rows)
		json_object_object_add(body, "rows", rows);
	steppe_add_int(body, "Ver", s->version);
	steppe_add_int(body, "NowMs", util_monotonic_ms());
	return body;
}

static gint by_version(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;

	return strcmp(x->key, y->key);
}

static GPtrArray *rows_of(const struct store *s, const char *table)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		if (g_strcmp0(((struct row *)item)->table, table) == 0)
			g_ptr_array_add(found, item);
	}
	return found;
}

static void answer_feeds(struct store *s)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = s->feeds->len; i-- > 0;) {
		struct feed_call *f = s->feeds->pdata[i];
		GPtrArray *rows = rows_of(s, f->table);
		json_object *list = json_object_new_array();

		g_ptr_array_sort(rows, by_version);
		for (guint k = 0; k < rows->len; k++) {
			const struct row *r = rows->pdata[k];

			if (r->version > f->after)
				json_object_array_add(list, encode_row(r));
		}
		g_ptr_array_unref(rows);
		if (!json_object_array_length(list) && now_ms < f->due_ms) {
			json_object_put(list);
			continue;
		}
		http_request_reply(f->request, 200, answer(s, list));
		g_ptr_array_remove_index_fast(s->feeds, i);
	}
}

static gboolean holds(const struct store *s, json_object *body,
		      json_object *current)
{
	json_object *conditions = json_member(body, "ExpectedRev");
	gboolean is_good = TRUE;

	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		json_object *c = json_object_array_get_idx(conditions, i);
		const struct row *r =
			find_row(s, steppe_text(c, "Table"),
				 steppe_text(c, "part"), steppe_text(c, "Key"));

		if (r && current)
			json_object_array_add(current, encode_row(r));
		is_good &= (r ? r->version : 0) == json_member_int(c, "Ver");
	}
	return is_good;
}

static void apply(struct store *s, json_object *body)
{
	json_object *sets = json_member(body, "SetKeys");
	json_object *removals = json_member(body, "Remove");

	s->version++;
	for (size_t i = 0; i < json_object_array_length(sets); i++) {
		json_object *r = json_object_array_get_idx(sets, i);

		write_row(s, steppe_text(r, "Table"), steppe_text(r, "part"),
			  steppe_text(r, "Key"), steppe_text(r, "Value"));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++) {
		json_object *r = json_object_array_get_idx(removals, i);

		if (find_row(s, steppe_text(r, "Table"), steppe_text(r, "part"),
			     steppe_text(r, "Key")))
			write_row(s, steppe_text(r, "Table"),
				  steppe_text(r, "part"), steppe_text(r, "Key"),
				  NULL);
	}
	answer_feeds(s);
}

/* Names the rows of a write, for the record. */
static char *names(json_object *body)
{
	GString *text = g_string_new(NULL);
	json_object *sets = json_member(body, "SetKeys");

	for (size_t i = 0; i < json_object_array_length(sets); i++) {
		json_object *r = json_object_array_get_idx(sets, i);

		g_string_append_printf(text, " %s/%s", steppe_text(r, "Table"),
				       steppe_text(r, "Key"));
	}
	return g_string_free(text, FALSE);
}

static gboolean on_late(gpointer data)
{
	struct late_write *w = data;
	gboolean is_good = holds(w->store, w->body, NULL);
	char *rows = names(w->body);

	if (is_good)
		apply(w->store, w->body);
	rig_log(w->store->rig, "store: late write of%s: %s", rows,
		is_good ? "carried out" : "its condition no longer holds");
	g_free(rows);
	http_request_close_connection(w->request);
	json_object_put(w->body);
	g_free(w);
	return G_SOURCE_REMOVE;
}

static gboolean on_drop(gpointer r)
{
	http_request_close_connection(r);
	return G_SOURCE_REMOVE;
}
static gboolean is_down(struct store *s, struct http_request *r)
{
	if (!s->down)
		return FALSE;
	if (s->down == 1)
		http_request_reply_empty(r, 503);
	else if (s->down == 2)
		http_request_close_connection(r);
	else
		g_timeout_add(8000, on_drop, r);
	return TRUE;
}
void store_set_down(struct store *s, int mode)
{
	s->down = mode;
	rig_log(s->rig, "store down mode %d", mode);
}

static void handle_tx(struct http_request *r, void *data)
{
	struct store *s = data;
	json_object *body = http_request_json(r);
	json_object *current;
	int64_t late_ms;

	if (!body)
		return;
	if (is_down(s, r))
		return;
	late_ms = s->late ? s->late(s->rig, body) : 0;
	if (late_ms > 0) {
		struct late_write *w = g_new0(struct late_write, 1);
		char *rows = names(body);

		rig_log(s->rig,
			"store: write of%s: no answer, late by "
			"%" G_GINT64_FORMAT " ms",
			rows, late_ms);
		g_free(rows);
		w->store = s;
		w->request = r;
		w->body = json_object_get(body);
		g_timeout_add((guint)late_ms, on_late, w);
		return;
	}
	current = json_object_new_array();
	if (!holds(s, body, current)) {
		http_request_reply(r, 412, answer(s, current));
		return;
	}
	json_object_put(current);
	apply(s, body);
	http_request_reply(r, 200, answer(s, NULL));
}

static int64_t query_int(const struct http_request *r, const char *name,
			 int64_t fallback)
{
	const char *text = http_request_query(r, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static void handle_get(struct http_request *r, void *data)
{
	struct store *s = data;
	const char *part = http_request_query(r, "part");
	const char *from = http_request_query(r, "From");
	const char *to = http_request_query(r, "To");
	int64_t limit = MIN(query_int(r, "Limit", PAGE_ROWS), PAGE_ROWS);
	GPtrArray *rows = rows_of(s, http_request_query(r, "Table"));
	json_object *list = json_object_new_array();
	gboolean has_more = FALSE;
	json_object *body;

	if (is_down(s, r))
		return;
	g_ptr_array_sort(rows, by_key);
	for (guint i = 0; i < rows->len; i++) {
		const struct row *row = rows->pdata[i];

		if (!row->value || g_strcmp0(row->part, part ? part : "") ||
		    (from && strcmp(row->key, from) < 0) ||
		    (to && strcmp(row->key, to) >= 0))
			continue;
		if ((int64_t)json_object_array_length(list) == limit) {
			has_more = TRUE;
			break;
		}
		json_object_array_add(list, encode_row(row));
	}
	g_ptr_array_unref(rows);
	body = answer(s, list);
	json_object_object_add(body, "HasMore",
			       json_object_new_boolean(has_more));
	http_request_reply(r, 200, body);
}

static void handle_feed(struct http_request *r, void *data)
{
	struct store *s = data;
	struct feed_call *f;

	if (is_down(s, r))
		return;
	f = g_new0(struct feed_call, 1);
	f->request = r;
	f->table = g_strdup(http_request_query(r, "Table"));
	f->after = query_int(r, "After", 0);
	f->due_ms = util_monotonic_ms() + query_int(r, "WaitMs", 0);
	g_ptr_array_add(s->feeds, f);
	answer_feeds(s);
}

static void feed_free(gpointer data)
{
	struct feed_call *f = data;

	g_free(f->table);
	g_free(f);
}

static gboolean on_tick(gpointer data)
{
	answer_feeds(data);
	return G_SOURCE_CONTINUE;
}

struct store *store_new(struct rig *g)
{
	struct store *s = g_new0(struct store, 1);

	s->rig = g;
	s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	s->feeds = g_ptr_array_new_with_free_func(feed_free);
	s->server = http_server_new(MAX_BODY_BYTES);
	http_server_add_route(s->server, "POST", API "/rows-tx", handle_tx, s);
	http_server_add_route(s->server, "GET", API "/rows-get", handle_get, s);
	http_server_add_route(s->server, "GET", API "/rows-feed", handle_feed,
			      s);
	if (http_server_listen(s->server, "127.0.0.1", 0) != STATUS_OK)
		g_error("store: %s", status_last_message());
	s->tick = g_timeout_add(TICK_MS, on_tick, s);
	return s;
}

char *store_address(const struct store *s)
{
	return g_strdup_printf("127.0.0.1:%u", http_server_port(s->server));
}

void store_set_late(struct store *s, late_fn fn)
{
	s->late = fn;
}

void store_put(struct store *s, const char *table, const char *key,
	       const char *value)
{
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	s->version++;
	write_row(s, table, "", key, encoded);
	g_free(encoded);
	answer_feeds(s);
}

void store_remove(struct store *s, const char *table, const char *key)
{
	if (!find_row(s, table, "", key))
		return;
	s->version++;
	write_row(s, table, "", key, NULL);
	answer_feeds(s);
}

char *store_text(const struct store *s, const char *table, const char *part,
		 const char *key)
{
	const struct row *r = find_row(s, table, part, key);
	guchar *bytes;
	char *text;
	gsize len;

	if (!r)
		return NULL;
	bytes = g_base64_decode(r->value, &len);
	text = g_strndup((const char *)bytes, len);
	g_free(bytes);
	return text;
}
