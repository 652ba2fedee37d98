#include "review/tool-3/site.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define API "/corianderstep"
#define TICK_MS 5
#define CALL_TIMEOUT_MS 20000
/* A process that ends is started again after this time. */
#define RESTART_MS 500
#define READY_MS 15000

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* NULL if removed */
	int64_t version;
};

struct feed {
	struct http_request *request;
	char *table;
	int64_t after;
	int64_t due_ms;
};

struct hold {
	struct http_request *request;
	int64_t due_ms;
};

int64_t site_now_ms(const struct site *s)
{
	return util_monotonic_ms() - s->began_ms;
}

void site_note(struct site *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(s->record, "%8.3f ", (double)site_now_ms(s) / 1000);
	vfprintf(s->record, format, args);
	fputc('\n', s->record);
	fflush(s->record);
	va_end(args);
}

static void add_int(json_object *o, const char *name, int64_t value)
{
	json_object_object_add(o, name, json_object_new_int64(value));
}

static void add_text(json_object *o, const char *name, const char *value)
{
	json_object_object_add(o, name, json_object_new_string(value));
}

static const char *text_of(json_object *o, const char *name)
{
	const char *text = json_member_text(o, name);

	return text ? text : "";
}

/* ---- the platform's store ---- */

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

static void put_row(struct site *s, const char *table, const char *part,
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

static json_object *encode_row(const struct row *r)
{
	json_object *o = json_object_new_object();

	add_text(o, "Table", r->table);
	add_text(o, "part", r->part);
	add_text(o, "Key", r->key);
	add_int(o, "Ver", r->version);
	if (r->value)
		add_text(o, "Value", r->value);
	else
		json_object_object_add(o, "Deleted",
				       json_object_new_boolean(TRUE));
	return o;
}

static json_object *store_body(const struct site *s, json_object *rows)
{
	json_object *o = json_object_new_object();

	if (rows)
		json_object_object_add(o, "rows", rows);
	add_int(o, "Ver", s->version);
	add_int(o, "NowMs", util_monotonic_ms());
	return o;
}

static const struct row *find_row(const struct site *s, json_object *name)
{
	char *id = row_id(text_of(name, "Table"), text_of(name, "part"),
			  text_of(name, "Key"));
	const struct row *r = g_hash_table_lookup(s->rows, id);

	g_free(id);
	return r && r->value ? r : NULL;
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

static json_object *encode_rows(GPtrArray *found, GCompareFunc order)
{
	json_object *rows = json_object_new_array();

	g_ptr_array_sort(found, order);
	for (guint i = 0; i < found->len; i++)
		json_object_array_add(rows, encode_row(found->pdata[i]));
	g_ptr_array_unref(found);
	return rows;
}

static json_object *changes(const struct site *s, const char *table,
			    int64_t after)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct row *r = item;

		if (g_str_equal(r->table, table) && r->version > after)
			g_ptr_array_add(found, item);
	}
	return encode_rows(found, compare_versions);
}

static void answer_feeds(struct site *s)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = s->feeds->len; i-- > 0;) {
		struct feed *f = s->feeds->pdata[i];
		json_object *rows = changes(s, f->table, f->after);

		if (!json_object_array_length(rows) && now_ms < f->due_ms) {
			json_object_put(rows);
			continue;
		}
		http_request_reply(f->request, 200, store_body(s, rows));
		g_ptr_array_remove_index_fast(s->feeds, i);
	}
}

static void feed_free(gpointer data)
{
	struct feed *f = data;

	g_free(f->table);
	g_free(f);
}

static int64_t query_int(const struct http_request *r, const char *name)
{
	const char *text = http_request_query(r, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static gboolean is_turned_away(struct site *s, struct http_request *r)
{
	if (s->is_store_busy)
		http_request_reply_empty(r, 503);
	return s->is_store_busy;
}

static void on_feed(struct http_request *r, void *data)
{
	struct site *s = data;
	struct feed *f;

	if (is_turned_away(s, r))
		return;
	f = g_new0(struct feed, 1);
	f->request = r;
	f->table = g_strdup(http_request_query(r, "Table"));
	f->after = query_int(r, "After");
	f->due_ms = util_monotonic_ms() + query_int(r, "WaitMs");
	g_ptr_array_add(s->feeds, f);
	answer_feeds(s);
}

static void on_get(struct http_request *r, void *data)
{
	struct site *s = data;
	const char *table = http_request_query(r, "Table");
	const char *part = http_request_query(r, "part");
	const char *from = http_request_query(r, "From");
	const char *to = http_request_query(r, "To");
	GPtrArray *found;
	GHashTableIter iter;
	gpointer item;

	if (is_turned_away(s, r))
		return;
	found = g_ptr_array_new();
	g_hash_table_iter_init(&iter, s->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct row *row = item;

		if (row->value && g_strcmp0(row->table, table) == 0 &&
		    g_str_equal(row->part, part ? part : "") &&
		    (!from || strcmp(row->key, from) >= 0) &&
		    (!to || strcmp(row->key, to) < 0))
			g_ptr_array_add(found, item);
	}
	http_request_reply(r, 200,
			   store_body(s, encode_rows(found, compare_keys)));
}

static gboolean conditions_hold(const struct site *s, json_object *list,
				json_object *current)
{
	gboolean holds = TRUE;

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *c = json_object_array_get_idx(list, i);
		const struct row *r = find_row(s, c);

		if (r)
			json_object_array_add(current, encode_row(r));
		holds &= (r ? r->version : 0) == json_member_int(c, "Ver");
	}
	return holds;
}

static void on_tx(struct http_request *r, void *data)
{
	struct site *s = data;
	json_object *body;
	json_object *sets;
	json_object *removals;
	json_object *current;

	if (is_turned_away(s, r))
		return;
	body = http_request_json(r);
	if (!body)
		return;
	current = json_object_new_array();
	if (!conditions_hold(s, json_member(body, "ExpectedRev"), current)) {
		http_request_reply(r, 412, store_body(s, current));
		return;
	}
	json_object_put(current);
	sets = json_member(body, "SetKeys");
	removals = json_member(body, "Remove");
	s->version++;
	for (size_t i = 0; i < json_object_array_length(sets); i++) {
		json_object *o = json_object_array_get_idx(sets, i);

		put_row(s, text_of(o, "Table"), text_of(o, "part"),
			text_of(o, "Key"), text_of(o, "Value"));
	}
	for (size_t i = 0; i < json_object_array_length(removals); i++) {
		json_object *o = json_object_array_get_idx(removals, i);

		if (find_row(s, o))
			put_row(s, text_of(o, "Table"), text_of(o, "part"),
				text_of(o, "Key"), NULL);
	}
	http_request_reply(r, 200, store_body(s, NULL));
	answer_feeds(s);
}

static void put_text(struct site *s, const char *table, const char *key,
		     const char *text)
{
	char *encoded = g_base64_encode((const guchar *)text, strlen(text));

	s->version++;
	put_row(s, table, "", key, encoded);
	g_free(encoded);
	answer_feeds(s);
}

void site_configure(struct site *s, const char *config)
{
	site_note(s, "operator writes op/config: %s", config);
	put_text(s, "op", "config", config);
}

/* ---- runners ---- */

static int64_t number_in(const char *text, const char *name, int64_t fallback)
{
	const char *at = strstr(text, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static struct start *find_start(const struct site *s, const struct runner *r,
				const struct run *run)
{
	for (guint i = s->starts->len; i-- > 0;) {
		struct start *st = s->starts->pdata[i];

		if (st->runner == r && st->number == run->number &&
		    g_str_equal(st->task, run->task))
			return st;
	}
	return NULL;
}

static void set_gone(struct runner *r, const char *task, int64_t number)
{
	const int64_t *known = g_hash_table_lookup(r->gone, task);
	int64_t *boxed;

	if (known && *known >= number)
		return;
	boxed = g_new(int64_t, 1);
	*boxed = number;
	g_hash_table_replace(r->gone, g_strdup(task), boxed);
}

static void end_run(struct site *s, struct runner *r, guint index,
		    const char *how)
{
	struct run *run = r->runs->pdata[index];
	struct start *st = find_start(s, r, run);
	json_object *e = json_object_new_array();

	st->end_ms = util_monotonic_ms();
	st->how = g_strdup(how);
	site_note(s,
		  "runner %s lists the end of %s run %" G_GINT64_FORMAT
		  ": %s after %" G_GINT64_FORMAT " ms",
		  r->id, run->task, run->number, how,
		  st->end_ms - st->begin_ms);
	json_object_array_add(e, json_object_new_int64(++r->last_end));
	json_object_array_add(e, json_object_new_string(run->task));
	json_object_array_add(e, json_object_new_int64(run->number));
	json_object_array_add(e, json_object_new_string(how));
	json_object_array_add(e, json_object_new_string(""));
	g_ptr_array_add(r->ends, e);
	set_gone(r, run->task, run->number);
	g_ptr_array_remove_index(r->runs, index);
}

/* The whole percent of its work that a run has done. */
static int64_t percent_of(const struct run *run)
{
	int64_t done_ms = util_monotonic_ms() - run->begin_ms;

	if (run->work_ms == INT64_MAX)
		return 100;
	return CLAMP(done_ms * 100 / MAX(run->work_ms, 1), 0, 99);
}

static json_object *encode_lists(const struct runner *r)
{
	json_object *body = json_object_new_object();
	json_object *running = json_object_new_array();
	json_object *ended = json_object_new_array();

	for (guint i = 0; i < r->runs->len; i++) {
		const struct run *run = r->runs->pdata[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_string(run->task));
		json_object_array_add(e, json_object_new_int64(run->number));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(e,
				      json_object_new_int64(percent_of(run)));
		json_object_array_add(e, json_object_new_int64(0));
		json_object_array_add(running, e);
	}
	for (guint i = 0; i < MIN(r->ends->len, 500); i++)
		json_object_array_add(ended,
				      json_object_get(r->ends->pdata[i]));
	add_int(body, "ClockMs", util_monotonic_ms());
	add_int(body, "born", r->born_ms);
	json_object_object_add(body, "Running", running);
	json_object_object_add(body, "Ended", ended);
	return body;
}

static void answer_holds(struct runner *r)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = r->holds->len; i-- > 0;) {
		struct hold *h = r->holds->pdata[i];

		if (!r->ends->len && now_ms < h->due_ms)
			continue;
		http_request_reply(h->request, 200, encode_lists(r));
		g_ptr_array_remove_index_fast(r->holds, i);
	}
}

static void runner_tick(struct site *s, struct runner *r)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = r->runs->len; i-- > 0;) {
		const struct run *run = r->runs->pdata[i];

		if (run->stop_ms && now_ms >= run->stop_ms)
			end_run(s, r, i, "stopped");
		else if (run->work_ms != INT64_MAX &&
			 now_ms - run->begin_ms >= run->work_ms)
			end_run(s, r, i, run->will_fail ? "failed" : "done");
		else if (now_ms >= r->until_ms)
			end_run(s, r, i, "lapsed");
	}
	answer_holds(r);
}

static void refuse(struct http_request *request, const char *reason)
{
	json_object *body = json_object_new_object();

	add_int(body, "ClockMs", util_monotonic_ms());
	add_text(body, "Reason", reason);
	http_request_reply(request, 409, body);
}

static void accept_order(struct http_request *request)
{
	json_object *body = json_object_new_object();

	add_int(body, "ClockMs", util_monotonic_ms());
	http_request_reply(request, 200, body);
}

struct runner_route {
	struct site *site;
	struct runner *runner;
};

/* Checks the boot and the fence, and takes the lease from the call. */
static json_object *take_call(struct runner *r, struct http_request *request)
{
	const char *expected = http_request_header(request, "Expect-Instance");
	json_object *body = http_request_json(request);
	int64_t now_ms = util_monotonic_ms();

	if (!body)
		return NULL;
	if (expected && !g_str_equal(expected, r->id)) {
		http_request_reply_empty(request, 421);
		return NULL;
	}
	if (json_member_int(body, "Fence") < r->fence) {
		refuse(request, "fence");
		return NULL;
	}
	r->fence = json_member_int(body, "Fence");
	r->until_ms = MAX(r->until_ms, MIN(json_member_int(body, "UntilMs"),
					   now_ms + SITE_HOLD_MAX_MS));
	return body;
}

static struct run *find_run(const struct runner *r, const char *task)
{
	for (guint i = 0; i < r->runs->len; i++) {
		struct run *run = r->runs->pdata[i];

		if (g_str_equal(run->task, task))
			return run;
	}
	return NULL;
}

static void begin_run(struct site *s, struct runner *r, json_object *body)
{
	const char *spec = text_of(body, "Spec");
	struct run *run = g_new0(struct run, 1);
	struct start *st = g_new0(struct start, 1);

	run->task = g_strdup(text_of(body, "Task"));
	run->number = json_member_int(body, "Run");
	run->begin_ms = util_monotonic_ms();
	run->work_ms = strstr(spec, "lasting")
			       ? INT64_MAX
			       : number_in(spec, "work_ms=", 500);
	run->will_fail = strstr(spec, "fails") != NULL;
	/* A unit that lasts and fails does so soon after its start. */
	if (run->will_fail && run->work_ms == INT64_MAX)
		run->work_ms = number_in(spec, "work_ms=", 100);
	g_ptr_array_add(r->runs, run);
	st->task = g_strdup(run->task);
	st->number = run->number;
	st->runner = r;
	st->kind = g_strdup(r->kind);
	st->begin_ms = run->begin_ms;
	g_ptr_array_add(s->starts, st);
	site_note(s,
		  "runner %s (kind %s) starts %s run %" G_GINT64_FORMAT
		  " fence %" G_GINT64_FORMAT,
		  r->id, r->kind, run->task, run->number, r->fence);
}

static void on_start(struct http_request *request, void *data)
{
	struct runner_route *route = data;
	struct runner *r = route->runner;
	json_object *body = take_call(r, request);
	const int64_t *gone;
	const struct run *run;
	const char *task;
	int64_t number;

	if (!body)
		return;
	task = text_of(body, "Task");
	number = json_member_int(body, "Run");
	gone = g_hash_table_lookup(r->gone, task);
	run = find_run(r, task);
	if (run && run->number == number) {
		accept_order(request);
		return;
	}
	if ((gone && number <= *gone) || (run && number < run->number)) {
		refuse(request, "old");
		return;
	}
	if (json_member_int(body, "UntilMs") <= util_monotonic_ms()) {
		refuse(request, "late");
		return;
	}
	begin_run(route->site, r, body);
	accept_order(request);
}

static void on_stop(struct http_request *request, void *data)
{
	struct runner_route *route = data;
	struct runner *r = route->runner;
	json_object *body = take_call(r, request);
	struct run *run;
	int64_t number;

	if (!body)
		return;
	number = json_member_int(body, "Run");
	run = find_run(r, text_of(body, "Task"));
	site_note(route->site,
		  "runner %s is told to stop %s run %" G_GINT64_FORMAT, r->id,
		  text_of(body, "Task"), number);
	if (run && run->number <= number && !run->stop_ms)
		run->stop_ms = util_monotonic_ms() + SITE_STOP_MS / 2;
	else if (!run)
		set_gone(r, text_of(body, "Task"), number);
	accept_order(request);
}

static void note_ack(struct site *s, const struct runner *r, json_object *end)
{
	struct run run = {
		.task = (char *)json_object_get_string(
			json_object_array_get_idx(end, 1)),
		.number = json_object_get_int64(
			json_object_array_get_idx(end, 2)),
	};
	struct start *st = find_start(s, r, &run);

	if (st)
		st->is_end_acked = TRUE;
	site_note(s,
		  "the end of %s run %" G_GINT64_FORMAT
		  " (%s) is taken note of",
		  run.task, run.number,
		  json_object_get_string(json_object_array_get_idx(end, 3)));
}

static void on_hold(struct http_request *request, void *data)
{
	struct runner_route *route = data;
	struct runner *r = route->runner;
	json_object *body = take_call(r, request);
	struct hold *h;

	if (!body)
		return;
	while (r->ends->len && json_object_get_int64(json_object_array_get_idx(
				       r->ends->pdata[0], 0)) <=
				       json_member_int(body, "AckCursor")) {
		note_ack(route->site, r, r->ends->pdata[0]);
		g_ptr_array_remove_index(r->ends, 0);
	}
	h = g_new0(struct hold, 1);
	h->request = request;
	h->due_ms = util_monotonic_ms() +
		    MIN(json_member_int(body, "WaitMs"), 2000);
	g_ptr_array_add(r->holds, h);
	answer_holds(r);
}

static void put_json(gpointer data)
{
	json_object_put(data);
}

/*
 * Ports below the range from which outgoing connections take theirs. Processes
 * that play cases at the same time start in different places.
 */
#define FIRST_PORT 12000
#define PORT_COUNT 18000
#define PORTS_PER_PROCESS 30

static gboolean is_free(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	gboolean is_bound;

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	is_bound = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return is_bound;
}

static uint16_t free_port(void)
{
	static guint next;

	if (!next)
		next = (guint)getpid() * PORTS_PER_PROCESS;
	for (guint i = 0; i < PORT_COUNT; i++) {
		uint16_t port = (uint16_t)(FIRST_PORT + next++ % PORT_COUNT);

		if (is_free(port))
			return port;
	}
	fprintf(stderr, "no free port\n");
	exit(2);
}

static char *free_address(void)
{
	return g_strdup_printf("127.0.0.1:%u", free_port());
}

static struct http_server *listen_at(char **address)
{
	struct http_server *server = http_server_new(MAX_BODY_BYTES);
	uint16_t port = free_port();

	if (http_server_listen(server, "127.0.0.1", port) != STATUS_OK) {
		fprintf(stderr, "can't listen at port %u\n", port);
		exit(2);
	}
	*address = g_strdup_printf("127.0.0.1:%u", port);
	return server;
}

struct runner *site_add_runner(struct site *s, const char *kind,
			       const char *rack)
{
	struct runner *r = &s->runners[s->runner_count++];
	struct runner_route *route = g_new0(struct runner_route, 1);

	r->id = g_strdup_printf("i-7f3a91%02x", s->runner_count);
	r->kind = g_strdup(kind);
	r->rack = g_strdup(rack);
	r->born_ms = util_wall_ms();
	r->runs = g_ptr_array_new_with_free_func(run_free);
	r->ends = g_ptr_array_new_with_free_func(put_json);
	r->gone =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->holds = g_ptr_array_new_with_free_func(g_free);
	r->server = listen_at(&r->address);
	route->site = s;
	route->runner = r;
	http_server_add_route(r->server, "POST", API "/run-start", on_start,
			      route);
	http_server_add_route(r->server, "POST", API "/run-stop", on_stop,
			      route);
	http_server_add_route(r->server, "POST", API "/hold", on_hold, route);
	runner_register(s, r);
	return r;
}

void runner_register(struct site *s, struct runner *r)
{
	char *text = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":"
		"\"tov-a\",\"Version\":\"v1\",\"Slots\":8,\"State\":"
		"\"ready\",\"Capacity\":{\"Cpu\":%d,\"MemMb\":%d,\"Gpu\":%d}"
		",\"Labels\":[\"%s\",\"%s\"],\"born\":%" G_GINT64_FORMAT
		",\"Sequence\":1}",
		SITE_SERVICE, r->address, SITE_CPU, SITE_MEM_MB, SITE_GPU,
		r->kind, r->rack, r->born_ms);

	site_note(s,
		  "runner %s of %s registers: kind %s, rack %s, Cpu %d, Gpu %d",
		  r->id, SITE_SERVICE, r->kind, r->rack, SITE_CPU, SITE_GPU);
	put_text(s, "servers", r->id, text);
	g_free(text);
}

/* ---- entry VMs ---- */

static char *write_settings(const struct site *s, const struct entry_vm *e,
			    const char *internal, const char *forward)
{
	char *file =
		g_strdup_printf("%s/settings-%u.json", s->folder, e->index);
	/* As deploy/entry-settings.json.template is filled in. */
	char *text = g_strdup_printf(
		"{\n  \"node\": \"edge-%u\",\n"
		"  \"failure_domain\": \"tov-a\",\n"
		"  \"frontend\": \"%s\",\n  \"readiness\": \"%s\",\n"
		"  \"internal\": \"%s\",\n  \"forward\": \"%s\",\n"
		"  \"cpu_share\": 0.25,\n  \"store\": {\n"
		"    \"address\": \"%s\",\n    \"writes_per_s\": 800,\n"
		"    \"reads_per_s\": 2000,\n    \"row_bytes\": 65536\n  },\n"
		"  \"bounds\": {\n    \"lease_ms\": %d,\n"
		"    \"grace_s\": 6,\n    \"status_s\": 120\n  }\n}\n",
		e->index + 1, e->frontend, e->readiness, internal, forward,
		s->paths[e->index] ? s->paths[e->index] : s->store_address,
		SITE_HOLD_MAX_MS);

	g_file_set_contents(file, text, -1, NULL);
	g_free(text);
	return file;
}

/* Returns the value after a word of the relay's output, waiting for it. */
static char *relay_value(const char *log, const char *word, guint index)
{
	for (guint i = 0; i < 100; i++) {
		char *text = NULL;
		char *value = NULL;
		char **lines;

		g_usleep(50000);
		if (!g_file_get_contents(log, &text, NULL, NULL))
			continue;
		lines = g_strsplit(text, "\n", -1);
		for (guint k = 0, n = 0; lines[k] && lines[k + 1]; k++) {
			if (g_str_has_prefix(lines[k], word) && n++ == index)
				value = g_strdup(lines[k] + strlen(word));
		}
		g_strfreev(lines);
		g_free(text);
		if (value)
			return value;
	}
	fprintf(stderr, "the relay doesn't start\n");
	exit(2);
}

void site_start_relay(struct site *s)
{
	char *log = g_strdup_printf("%s/relay.log", s->folder);
	char *route = g_strdup_printf("127.0.0.1:0=%s", s->store_address);

	s->relay_pid = fork();
	if (s->relay_pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "w", stdout))
			_exit(127);
		for (int fd = 3; fd < 1024; fd++)
			close(fd);
		execl("target/bin/cs-standin-relay", "cs-standin-relay",
		      "--route", route, "--route", route, NULL);
		_exit(127);
	}
	s->relay_control = relay_value(log, "control ", 0);
	for (guint i = 0; i < 2; i++)
		s->paths[i] = relay_value(log, "listening ", i);
	g_free(route);
	g_free(log);
}

void site_add_entry(struct site *s)
{
	struct entry_vm *e = &s->entries[s->entry_count];
	char *internal = free_address();
	char *forward = free_address();

	e->index = s->entry_count++;
	e->frontend = free_address();
	e->readiness = free_address();
	e->settings = write_settings(s, e, internal, forward);
	e->log = g_strdup_printf("%s/edge-%u.log", s->folder, e->index + 1);
	g_free(internal);
	g_free(forward);
	entry_start(s, e);
}

void entry_start(struct site *s, struct entry_vm *e)
{
	e->restart_ms = 0;
	fflush(s->record);
	e->pid = fork();
	if (e->pid == 0) {
		FILE *log = freopen(e->log, "a", stdout);

		/* Ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (log)
			dup2(fileno(log), STDERR_FILENO);
		for (int fd = 3; fd < 1024; fd++)
			close(fd);
		setenv("CORIANDERSTEP_SETTINGS", e->settings, 1);
		execl("target/bin/csentryd", "target/bin/csentryd", NULL);
		_exit(127);
	}
	site_note(s, "platform starts edge-%u", e->index + 1);
}

void entry_kill(struct site *s, struct entry_vm *e, int sig)
{
	site_note(s, "signal %d to edge-%u", sig, e->index + 1);
	kill(e->pid, sig);
}

int64_t entry_memory_kb(const struct entry_vm *e)
{
	char *file = g_strdup_printf("/proc/%d/status", (int)e->pid);
	char *text = NULL;
	int64_t kb = 0;

	if (e->pid && g_file_get_contents(file, &text, NULL, NULL))
		kb = number_in(text, "VmRSS:", 0);
	g_free(text);
	g_free(file);
	return kb;
}

/* The platform kills a process that exceeds its memory and starts again what
 * has ended. */
static void watch_entry(struct site *s, struct entry_vm *e)
{
	int64_t now_ms = util_monotonic_ms();
	int64_t kb = entry_memory_kb(e);
	int status;

	e->peak_kb = MAX(e->peak_kb, kb);
	if (e->pid && kb > SITE_MEMORY_MB * 1024) {
		site_note(s,
			  "edge-%u uses %" G_GINT64_FORMAT
			  " MB, more than MemoryMb = %d: killed",
			  e->index + 1, kb / 1024, SITE_MEMORY_MB);
		e->killed_for_memory++;
		kill(e->pid, SIGKILL);
	}
	if (e->pid && waitpid(e->pid, &status, WNOHANG) == e->pid) {
		site_note(s, "edge-%u has ended: %s %d", e->index + 1,
			  WIFSIGNALED(status) ? "signal" : "exit status",
			  WIFSIGNALED(status) ? WTERMSIG(status)
					      : WEXITSTATUS(status));
		e->ends++;
		e->pid = 0;
		e->restart_ms = now_ms + RESTART_MS;
	}
	if (!e->pid && e->restart_ms && now_ms >= e->restart_ms)
		entry_start(s, e);
}

static gboolean on_tick(gpointer data)
{
	struct site *s = data;

	for (guint i = 0; i < s->runner_count; i++)
		runner_tick(s, &s->runners[i]);
	for (guint i = 0; i < s->entry_count; i++)
		watch_entry(s, &s->entries[i]);
	answer_feeds(s);
	return G_SOURCE_CONTINUE;
}

/* ---- the site ---- */

static gboolean on_limit(gpointer data)
{
	struct site *s = data;

	site_note(s, "the time is over");
	site_free(s);
	exit(2);
}

struct site *site_new(const char *record_file, int64_t limit_ms)
{
	struct site *s = g_new0(struct site, 1);

	s->record = fopen(record_file, "w");
	if (!s->record) {
		perror(record_file);
		exit(2);
	}
	s->began_ms = util_monotonic_ms();
	s->key = "k1";
	s->folder = g_dir_make_tmp("review-XXXXXX", NULL);
	s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	s->feeds = g_ptr_array_new_with_free_func(feed_free);
	s->starts = g_ptr_array_new();
	s->client = http_client_new(100, 16);
	s->store = listen_at(&s->store_address);
	http_server_add_route(s->store, "POST", API "/rows-tx", on_tx, s);
	http_server_add_route(s->store, "GET", API "/rows-get", on_get, s);
	http_server_add_route(s->store, "GET", API "/rows-feed", on_feed, s);
	g_timeout_add(TICK_MS, on_tick, s);
	g_timeout_add((guint)limit_ms, on_limit, s);
	return s;
}

void site_free(struct site *s)
{
	const char *keep = g_getenv("REVIEW_KEEP_LOGS");

	for (guint i = 0; i < s->entry_count; i++) {
		struct entry_vm *e = &s->entries[i];

		if (!e->pid)
			continue;
		kill(e->pid, SIGKILL);
		waitpid(e->pid, NULL, 0);
	}
	if (s->relay_pid) {
		char *log = g_strdup_printf("%s/relay.log", s->folder);

		kill(s->relay_pid, SIGKILL);
		waitpid(s->relay_pid, NULL, 0);
		g_unlink(log);
		g_free(log);
	}
	for (guint i = 0; i < s->entry_count; i++) {
		if (!keep)
			g_unlink(s->entries[i].log);
		g_unlink(s->entries[i].settings);
	}
	if (keep)
		fprintf(stderr, "logs in %s\n", s->folder);
	else
		g_rmdir(s->folder);
	fclose(s->record);
}

void site_run(struct site *s, int64_t ms)
{
	int64_t end_ms = util_monotonic_ms() + ms;

	while (util_monotonic_ms() < end_ms)
		g_main_context_iteration(NULL, TRUE);
}

gboolean site_wait(struct site *s, site_check check, void *data, int64_t ms)
{
	int64_t end_ms = util_monotonic_ms() + ms;

	while (!check(s, data)) {
		if (util_monotonic_ms() >= end_ms)
			return FALSE;
		site_run(s, 10);
	}
	return TRUE;
}

struct pending_call {
	gboolean is_done;
	struct answer answer;
};

static void on_reply(const struct http_reply *reply, void *data)
{
	struct pending_call *p = data;

	p->is_done = TRUE;
	if (reply->status == STATUS_OK)
		p->answer.code = reply->code;
	p->answer.text = g_strdup(reply->text ? reply->text : "");
}

static struct answer send_request(struct site *s, const char *address,
				  const char *method, const char *path,
				  json_object *body)
{
	char *token = g_strconcat("Token ", s->key, NULL);
	const char *const headers[] = {
		"Host", "nony24.example", "Authorization",
		token,	"Deadline-Ms",	  "3000",
		NULL
	};
	struct pending_call p = { 0 };
	struct http_call_spec spec = {
		.method = method,
		.address = address,
		.path = path,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = headers,
		.on_reply = on_reply,
		.data = &p,
	};

	http_client_send(s->client, &spec);
	while (!p.is_done)
		g_main_context_iteration(NULL, TRUE);
	g_free(token);
	return p.answer;
}

struct answer site_call(struct site *s, guint entry, const char *method,
			const char *path, json_object *body)
{
	struct answer a =
		send_request(s, s->entries[entry].frontend, method, path, body);
	char *line = g_strndup(a.text, 100);

	g_strdelimit(line, "\n", ' ');
	site_note(s, "client with key %s: %s %s at edge-%u -> %u %s", s->key,
		  method, path, entry + 1, a.code, line);
	g_free(line);
	return a;
}

static void on_burst_reply(const struct http_reply *reply, void *data)
{
	guint *left = data;

	(*left)--;
}

void site_burst(struct site *s, guint entry, const char *path, guint count)
{
	char *token = g_strconcat("Token ", s->key, NULL);
	const char *const headers[] = {
		"Host", "nony24.example", "Authorization",
		token,	"Deadline-Ms",	  "3000",
		NULL
	};
	struct http_client *client = http_client_new(count, count);
	guint left = count;
	struct http_call_spec spec = {
		.method = "GET",
		.address = s->entries[entry].frontend,
		.path = path,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = headers,
		.on_reply = on_burst_reply,
		.data = &left,
	};

	for (guint i = 0; i < count; i++)
		http_client_send(client, &spec);
	while (left)
		g_main_context_iteration(NULL, TRUE);
	site_note(s,
		  "%u clients ask edge-%u at the same time, and are answered",
		  count, entry + 1);
	http_client_free(client);
	g_free(token);
}

guint site_submit(struct site *s, guint entry, const char *path,
		  const char *body)
{
	json_object *json = json_tokener_parse(body);
	struct answer a;

	site_note(s, "client: job %s", body);
	a = site_call(s, entry, "POST", path, json);
	json_object_put(json);
	g_free(a.text);
	return a.code;
}

char *site_state(struct site *s, guint entry, const char *path)
{
	struct answer a = site_call(s, entry, "GET", path, NULL);
	json_object *body = json_tokener_parse(a.text);
	char *state = g_strdup(text_of(body, "State"));

	json_object_put(body);
	g_free(a.text);
	return state;
}

void site_silence(struct site *s, guint entry)
{
	json_object *body = json_object_new_object();
	struct answer a;

	json_object_object_add(body, "silence_open",
			       json_object_new_boolean(TRUE));
	add_int(body, "route", entry);
	a = send_request(s, s->relay_control, "POST", "/control", body);
	site_note(s,
		  "the open channels between edge-%u and the store go "
		  "silent: %u",
		  entry + 1, a.code);
	g_free(a.text);
	json_object_put(body);
}

static gboolean are_ready(struct site *s, void *data)
{
	for (guint i = 0; i < s->entry_count; i++) {
		struct answer a = send_request(s, s->entries[i].readiness,
					       "GET", API "/readyz", NULL);

		g_free(a.text);
		if (a.code != 200)
			return FALSE;
	}
	return TRUE;
}

gboolean site_wait_ready(struct site *s)
{
	gboolean is_ready = site_wait(s, are_ready, NULL, READY_MS);

	site_note(s, is_ready ? "all entry VMs are ready"
			      : "the entry VMs are not ready");
	/* The first scan for other VMs and the first election end meanwhile. */
	site_run(s, 3000);
	return is_ready;
}

static gboolean is_of_job(const char *task, const char *job)
{
	return g_str_has_prefix(task, job) && task[strlen(job)] == '.';
}

guint site_running(const struct site *s, const char *job)
{
	guint count = 0;

	for (guint i = 0; i < s->runner_count; i++) {
		const struct runner *r = &s->runners[i];

		for (guint k = 0; k < r->runs->len; k++) {
			const struct run *run = r->runs->pdata[k];

			count += is_of_job(run->task, job);
		}
	}
	return count;
}

guint site_starts(const struct site *s, const char *job)
{
	guint count = 0;

	for (guint i = 0; i < s->starts->len; i++)
		count += is_of_job(((struct start *)s->starts->pdata[i])->task,
				   job);
	return count;
}
