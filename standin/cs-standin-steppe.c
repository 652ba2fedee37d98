/**
 * @file
 * Stand-in for the Steppe Kite platform: its row store with a change feed, and
 * workers that run tasks under leases. POST /control injects timeouts, outages,
 * lost replies and worker crashes.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"
#include "standin/common/steppe_json.h"
#include "standin/common/steppe_worker.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define API_PREFIX "/corianderstep"
#define TICK_MS 5
#define MAX_ENTRIES 100
#define WORKERS_PER_RACK 8
#define DEFAULT_WORKERS 2
#define ANY_PORT_ADDRESS "127.0.0.1:0"

struct options {
	char *listen; /* "IP:PORT" of the store */
	char *service;
	char *config; /* file name */
	gint workers;
	char **worker_specs; /* "LISTEN=REGISTERED", NULL-terminated or NULL */
	gboolean prints_history;
};

struct row {
	char *table;
	char *part; /* of the table; "" if it isn't divided */
	char *key;
	char *value;
	int64_t version;
	gboolean is_deleted; /* kept so that the feed reports the deletion */
};

/* A pending /rows-feed request, answered on a change or at due_ms. */
struct waiting_feed {
	struct http_request *request;
	char *table;
	int64_t after; /* version */
	int64_t due_ms;
};

struct platform_standin {
	struct http_server *server;
	GHashTable *rows;		 /* row_id() to struct row */
	GPtrArray *feeds;		 /* of struct waiting_feed */
	GPtrArray *workers;		 /* of struct steppe_worker */
	GPtrArray *registered_addresses; /* of char *, by worker index */
	char *service;
	int64_t version;	   /* of the latest change */
	int64_t forgotten_version; /* the feed has lost changes up to this */
	int64_t lose_answers;	   /* commits left to apply without a reply */
	gboolean is_down;	   /* closes connections without a reply */
	int64_t mute_jobs; /* job commits left to apply and never answer */
	gboolean is_down_after_mute; /* is_down is set by the next of these */
	int64_t refuse_jobs; /* job commits left to refuse, after mute_jobs */
	int64_t commits;     /* applied */
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

static json_object *encode_steppe_row(const struct row *r)
{
	json_object *json = json_object_new_object();

	steppe_add_text(json, "Table", r->table);
	steppe_add_text(json, "part", r->part);
	steppe_add_text(json, "Key", r->key);
	steppe_add_int(json, "Ver", r->version);
	if (r->is_deleted)
		json_object_object_add(json, "Deleted",
				       json_object_new_boolean(TRUE));
	else
		steppe_add_text(json, "Value", r->value);
	return json;
}

static json_object *answer_body(const struct platform_standin *p,
				json_object *rows)
{
	json_object *body = json_object_new_object();

	if (rows)
		json_object_object_add(body, "rows", rows);
	steppe_add_int(body, "Ver", p->version);
	steppe_add_int(body, "NowMs", util_monotonic_ms());
	return body;
}

static void write_row(struct platform_standin *p, const char *table,
		      const char *part, const char *key, const char *value)
{
	struct row *r = g_new0(struct row, 1);

	r->table = g_strdup(table);
	r->part = g_strdup(part);
	r->key = g_strdup(key);
	r->value = g_strdup(value);
	r->version = p->version;
	r->is_deleted = value == NULL;
	g_hash_table_replace(p->rows, row_id(table, part, key), r);
}

static const struct row *find_row(const struct platform_standin *p,
				  json_object *name)
{
	char *id = row_id(steppe_text(name, "Table"), steppe_text(name, "part"),
			  steppe_text(name, "Key"));
	const struct row *r = g_hash_table_lookup(p->rows, id);

	g_free(id);
	return r && !r->is_deleted ? r : NULL;
}

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;

	return strcmp(x->key, y->key);
}

/* Returns the rows of a table changed after a version, NULL if none. */
static json_object *encode_changes(const struct platform_standin *p,
				   const char *table, int64_t after)
{
	GPtrArray *found = g_ptr_array_new();
	json_object *rows = NULL;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, p->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct row *r = item;

		if (g_str_equal(r->table, table) && r->version > after)
			g_ptr_array_add(found, item);
	}
	g_ptr_array_sort(found, compare_versions);
	if (found->len)
		rows = json_object_new_array();
	for (guint i = 0; i < found->len; i++)
		json_object_array_add(rows, encode_steppe_row(found->pdata[i]));
	g_ptr_array_unref(found);
	return rows;
}

static void answer_feeds(struct platform_standin *p)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = p->feeds->len; i-- > 0;) {
		struct waiting_feed *f = p->feeds->pdata[i];
		json_object *rows;

		if (p->is_down) {
			http_request_close_connection(f->request);
			g_ptr_array_remove_index_fast(p->feeds, i);
			continue;
		}
		rows = encode_changes(p, f->table, f->after);
		if (!rows && now_ms < f->due_ms)
			continue;
		http_request_reply(
			f->request, 200,
			answer_body(p, rows ? rows : json_object_new_array()));
		g_ptr_array_remove_index_fast(p->feeds, i);
	}
}

static void feed_free(gpointer data)
{
	struct waiting_feed *f = data;

	g_free(f->table);
	g_free(f);
}

/*
 * Returns TRUE if all rows have the expected versions. Adds the existing rows
 * to current.
 */
static gboolean conditions_hold(const struct platform_standin *p,
				json_object *conditions, json_object *current)
{
	gboolean holds = TRUE;

	for (size_t i = 0; i < json_object_array_length(conditions); i++) {
		json_object *c = json_object_array_get_idx(conditions, i);
		const struct row *r = find_row(p, c);

		if (r)
			json_object_array_add(current, encode_steppe_row(r));
		if ((r ? r->version : 0) != json_member_int(c, "Ver"))
			holds = FALSE;
	}
	return holds;
}

static void apply_commit(struct platform_standin *p, json_object *body)
{
	json_object *sets = json_member(body, "SetKeys");
	json_object *removals = json_member(body, "Remove");

	p->version++;
	p->commits++;
	for (size_t i = 0; i < json_object_array_length(sets); i++) {
		json_object *s = json_object_array_get_idx(sets, i);

		write_row(p, steppe_text(s, "Table"), steppe_text(s, "part"),
			  steppe_text(s, "Key"), steppe_text(s, "Value"));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++) {
		json_object *r = json_object_array_get_idx(removals, i);

		if (find_row(p, r))
			write_row(p, steppe_text(r, "Table"),
				  steppe_text(r, "part"), steppe_text(r, "Key"),
				  NULL);
	}
}

/* Returns TRUE if the first row that a commit sets is a job. */
static gboolean writes_job(json_object *body)
{
	json_object *sets = json_member(body, "SetKeys");

	return json_object_array_length(sets) > 0 &&
	       g_str_equal(
		       steppe_text(json_object_array_get_idx(sets, 0), "Table"),
		       "jobs");
}

static void handle_commit(struct http_request *r, void *data)
{
	struct platform_standin *p = data;
	json_object *body = http_request_json(r);
	json_object *current;
	size_t entries;

	if (!body)
		return;
	if (p->is_down) {
		http_request_close_connection(r);
		return;
	}
	if (writes_job(body) && !p->mute_jobs && p->refuse_jobs > 0) {
		p->refuse_jobs--;
		http_request_reply_empty(r, 503);
		return;
	}
	entries = json_object_array_length(json_member(body, "ExpectedRev")) +
		  json_object_array_length(json_member(body, "SetKeys")) +
		  json_object_array_length(json_member(body, "Remove"));
	if (entries > MAX_ENTRIES) {
		http_request_reply_empty(r, 400);
		return;
	}
	current = json_object_new_array();
	if (!conditions_hold(p, json_member(body, "ExpectedRev"), current)) {
		http_request_reply(r, 412, answer_body(p, current));
		return;
	}
	json_object_put(current);
	apply_commit(p, body);
	if (writes_job(body) && p->mute_jobs > 0) {
		p->mute_jobs--;
		p->is_down |= p->is_down_after_mute;
		p->is_down_after_mute = FALSE;
	} else if (p->lose_answers > 0) {
		p->lose_answers--;
		http_request_close_connection(r);
	} else {
		http_request_reply(r, 200, answer_body(p, NULL));
	}
	answer_feeds(p);
}

static void handle_page(struct http_request *r, void *data)
{
	struct platform_standin *p = data;
	const char *table = http_request_query(r, "Table");
	const char *part = http_request_query(r, "part");
	const char *from = http_request_query(r, "From");
	const char *to = http_request_query(r, "To");
	json_object *rows = json_object_new_array();
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, p->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct row *row = item;

		if (!row->is_deleted && g_strcmp0(row->table, table) == 0 &&
		    g_strcmp0(row->part, part ? part : "") == 0 &&
		    (!from || strcmp(row->key, from) >= 0) &&
		    (!to || strcmp(row->key, to) < 0))
			g_ptr_array_add(found, item);
	}
	g_ptr_array_sort(found, compare_keys);
	for (guint i = 0; i < found->len; i++)
		json_object_array_add(rows, encode_steppe_row(found->pdata[i]));
	g_ptr_array_unref(found);
	if (p->is_down) {
		json_object_put(rows);
		http_request_close_connection(r);
		return;
	}
	http_request_reply(r, 200, answer_body(p, rows));
}

static int64_t query_int(const struct http_request *r, const char *name)
{
	const char *text = http_request_query(r, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void handle_feed(struct http_request *r, void *data)
{
	struct platform_standin *p = data;
	struct waiting_feed *f = g_new0(struct waiting_feed, 1);

	if (query_int(r, "After") < p->forgotten_version) {
		g_free(f);
		http_request_reply_empty(r, 410);
		return;
	}
	f->request = r;
	f->table = g_strdup(http_request_query(r, "Table"));
	f->after = query_int(r, "After");
	f->due_ms = util_monotonic_ms() + query_int(r, "WaitMs");
	g_ptr_array_add(p->feeds, f);
	answer_feeds(p);
}

static void write_config(struct platform_standin *p, const char *text)
{
	char *encoded = g_base64_encode((const guchar *)text, strlen(text));

	p->version++;
	write_row(p, "op", "", "config", encoded);
	g_free(encoded);
}

static void write_worker(struct platform_standin *p, guint index)
{
	const struct steppe_worker *w = p->workers->pdata[index];
	char *value = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"%s\","
		"\"Zone\":\"tov-a\",\"State\":\"ready\","
		"\"Capacity\":{\"Cpu\":%d,\"MemMb\":%d,\"Gpu\":%d},"
		"\"Labels\":[\"a\",\"r%u\"],"
		"\"born\":%" G_GINT64_FORMAT ",\"Sequence\":1}",
		p->service, (const char *)p->registered_addresses->pdata[index],
		STEPPE_WORKER_MILLICORES, STEPPE_WORKER_MEMORY_MB,
		STEPPE_WORKER_ACCELERATORS, index / WORKERS_PER_RACK,
		steppe_worker_incarnation_start_ms(w));
	char *encoded = g_base64_encode((const guchar *)value, strlen(value));

	p->version++;
	write_row(p, "servers", "", steppe_worker_id(w), encoded);
	g_free(encoded);
	g_free(value);
}

/*
 * Adds a worker. The addresses are "LISTEN=REGISTERED", or "LISTEN" to register
 * the listen address; NULL for any free port.
 */
static gboolean add_worker(struct platform_standin *p, const char *addresses,
			   gboolean prints_history)
{
	char **sides =
		g_strsplit(addresses ? addresses : ANY_PORT_ADDRESS, "=", 2);
	char *id = g_strdup_printf("i-%u", p->workers->len);
	struct steppe_worker *w =
		steppe_worker_new(id, sides[0], p->workers, prints_history);

	g_free(id);
	if (w) {
		g_ptr_array_add(p->workers, w);
		g_ptr_array_add(p->registered_addresses,
				sides[1] ? g_strdup(sides[1])
					 : steppe_worker_address(w));
		write_worker(p, p->workers->len - 1);
	}
	g_strfreev(sides);
	return w != NULL;
}

static void crash_worker(struct platform_standin *p, int64_t index)
{
	if (index < 0 || index >= p->workers->len)
		return;
	steppe_worker_crash(p->workers->pdata[index]);
	write_worker(p, (guint)index);
}

/* Writes registrations as another writer of the table might: an object of keys
 * and raw values. */
static void write_registrations(struct platform_standin *p, json_object *values)
{
	json_object_object_foreach(values, key, value)
	{
		const char *text = json_object_get_string(value);
		char *encoded =
			g_base64_encode((const guchar *)text, strlen(text));

		p->version++;
		write_row(p, "servers", "", key, encoded);
		g_free(encoded);
	}
}

static void handle_control(struct http_request *r, void *data)
{
	struct platform_standin *p = data;
	json_object *body = http_request_json(r);
	json_object *config;
	json_object *answer;
	int64_t starts = 0;

	if (!body)
		return;
	if (json_member(body, "lose_answers"))
		p->lose_answers = json_member_int(body, "lose_answers");
	if (json_member(body, "mute_jobs"))
		p->mute_jobs = json_member_int(body, "mute_jobs");
	if (json_member(body, "down_after_mute"))
		p->is_down_after_mute = json_object_get_boolean(
			json_member(body, "down_after_mute"));
	if (json_member(body, "refuse_jobs"))
		p->refuse_jobs = json_member_int(body, "refuse_jobs");
	if (json_member(body, "down"))
		p->is_down = json_object_get_boolean(json_member(body, "down"));
	if (json_member(body, "forget_changes"))
		p->forgotten_version = p->version;
	if (json_member(body, "crash_worker"))
		crash_worker(p, json_member_int(body, "crash_worker"));
	if (json_member(body, "registrations"))
		write_registrations(p, json_member(body, "registrations"));
	config = json_member(body, "config");
	if (config)
		write_config(p, json_object_to_json_string_ext(
					config, JSON_C_TO_STRING_PLAIN));
	for (guint i = 0; i < p->workers->len; i++)
		starts += steppe_worker_starts(p->workers->pdata[i]);
	answer = json_object_new_object();
	steppe_add_int(answer, "starts", starts);
	steppe_add_int(answer, "commits", p->commits);
	http_request_reply(r, 200, answer);
	answer_feeds(p);
}

static gboolean on_tick(gpointer data)
{
	struct platform_standin *p = data;

	for (guint i = 0; i < p->workers->len; i++)
		steppe_worker_tick(p->workers->pdata[i]);
	answer_feeds(p);
	return G_SOURCE_CONTINUE;
}

/* Stores the operator's configuration from a file; FALSE if unreadable. */
static gboolean load_config(struct platform_standin *p, const char *file)
{
	char *text;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return FALSE;
	write_config(p, text);
	g_free(text);
	return TRUE;
}

/*
 * Starts the store and the workers. Returns FALSE if the configuration can't be
 * read or an address is invalid or in use.
 */
static gboolean start(struct platform_standin *p, const struct options *o)
{
	char *host = NULL;
	gboolean is_good;
	uint16_t port;

	p->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	p->feeds = g_ptr_array_new_with_free_func(feed_free);
	p->workers = g_ptr_array_new();
	p->registered_addresses = g_ptr_array_new_with_free_func(g_free);
	p->service = g_strdup(o->service);
	p->server = http_server_new(MAX_BODY_BYTES);
	http_server_add_route(p->server, "POST", API_PREFIX "/rows-tx",
			      handle_commit, p);
	http_server_add_route(p->server, "GET", API_PREFIX "/rows-get",
			      handle_page, p);
	http_server_add_route(p->server, "GET", API_PREFIX "/rows-feed",
			      handle_feed, p);
	http_server_add_route(p->server, "POST", "/control", handle_control, p);
	is_good = util_parse_endpoint(o->listen, &host, &port) &&
		  load_config(p, o->config) &&
		  http_server_listen(p->server, host, port) == STATUS_OK;
	for (guint i = 0; is_good && o->worker_specs && o->worker_specs[i]; i++)
		is_good = add_worker(p, o->worker_specs[i], o->prints_history);
	for (gint i = 0; is_good && !o->worker_specs && i < o->workers; i++)
		is_good = add_worker(p, NULL, o->prints_history);
	g_free(host);
	return is_good;
}

static gboolean parse_options(int argc, char **argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "listen", 'l', 0, G_OPTION_ARG_STRING, &o->listen,
		  "Address of the store", "IP:PORT" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		  "Service name of the workers", "NAME" },
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &o->config,
		  "Configuration of the operator, in JSON", "FILE" },
		{ "workers", 0, 0, G_OPTION_ARG_INT, &o->workers,
		  "Number of workers, unless --worker is given", "N" },
		{ "worker", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->worker_specs,
		  "Listen and registered address of a worker; may be repeated",
		  "IP:PORT=IP:PORT" },
		{ "history", 0, 0, G_OPTION_ARG_NONE, &o->prints_history,
		  "Print a line for each start, end and acknowledgement",
		  NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error) &&
		  o->listen && o->service && o->config;
	if (!is_good)
		fprintf(stderr, "cs-standin-steppe: %s\n",
			error ? error->message
			      : "--listen, --service and --config are "
				"required");
	g_clear_error(&error);
	g_option_context_free(context);
	return is_good;
}

int main(int argc, char **argv)
{
	struct platform_standin p = { 0 };
	struct options o = { .workers = DEFAULT_WORKERS };
	GMainLoop *loop;

	if (!parse_options(argc, argv, &o) || !start(&p, &o))
		return EXIT_FAILURE;
	g_timeout_add(TICK_MS, on_tick, &p);
	printf("listening %s\n", o.listen);
	fflush(stdout);
	loop = g_main_loop_new(NULL, FALSE);
	g_main_loop_run(loop);
	g_main_loop_unref(loop);
	return EXIT_SUCCESS;
}
