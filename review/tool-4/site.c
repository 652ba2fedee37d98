#include "review/tool-4/site.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"
#include "review/tool-4/proxy.h"

#define API "/corianderstep"
#define MAX_BODY_BYTES ((gsize)4 << 20)
#define TICK_MS 10
/* A stop takes effect after this time, well below StopMs. */
#define STOP_TAKES_MS 50
#define READY_LIMIT_MS 15000
#define CALL_TIMEOUT_MS 3000
#define RETRY_MS 300
#define MAX_TRIES 12
#define HOST "novo13.example"
/* How long a member of a gang waits for the others. */
#define GANG_MS 3000

const struct tenant site_tenants[TENANTS] = {
	{ "kaje80", "d4a3hwrr6x73d3zji9n7", 16 },
	{ "mova12", "3hh2b9wu3fexd9dnn2ct", 8 },
};

struct row {
	char *table;
	char *part;
	char *key;
	char *value; /* base64; NULL if dropped */
	int64_t version;
};

struct waiting_feed {
	struct http_request *request;
	char *table;
	int64_t after;
	int64_t due_ms;
};

struct waiting_hold {
	struct http_request *request;
	int64_t due_ms;
};

int64_t site_ms(const struct site *s)
{
	return util_monotonic_ms() - s->begin_ms;
}

void site_note(struct site *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(s->record, "%8.3f  ", (double)site_ms(s) / 1000);
	vfprintf(s->record, format, args);
	fputc('\n', s->record);
	fflush(s->record);
	va_end(args);
}

/* ---- the store ---- */

static void add_int(json_object *o, const char *name, int64_t value)
{
	json_object_object_add(o, name, json_object_new_int64(value));
}

static void add_text(json_object *o, const char *name, const char *value)
{
	json_object_object_add(o, name, json_object_new_string(value));
}

static char *row_id(const char *table, const char *part, const char *key)
{
	return g_strdup_printf("%s\n%s\n%s", table, part, key);
}

static void row_free(gpointer data)
{
	struct row *r = data;

	g_free(r->table);
	g_free(r->part);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static void set_row(struct site *s, const char *table, const char *part,
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

static struct row *get_row(const struct site *s, json_object *o)
{
	const char *part = json_member_text(o, "part");
	char *id = row_id(json_member_text(o, "Table"), part ? part : "",
			  json_member_text(o, "Key"));
	struct row *r = g_hash_table_lookup(s->rows, id);

	g_free(id);
	return r && r->value ? r : NULL;
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

static json_object *store_answer(const struct site *s, json_object *rows)
{
	json_object *o = json_object_new_object();

	if (rows)
		json_object_object_add(o, "rows", rows);
	add_int(o, "Ver", s->version);
	add_int(o, "NowMs", util_monotonic_ms());
	return o;
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

static void answer_feeds(struct site *s)
{
	for (guint i = s->feeds->len; i-- > 0;) {
		struct waiting_feed *f = s->feeds->pdata[i];
		GPtrArray *found = g_ptr_array_new();
		json_object *rows;
		GHashTableIter iter;
		gpointer item;

		g_hash_table_iter_init(&iter, s->rows);
		while (g_hash_table_iter_next(&iter, NULL, &item)) {
			struct row *r = item;

			if (r->version > f->after &&
			    g_str_equal(r->table, f->table))
				g_ptr_array_add(found, r);
		}
		if (found->len || util_monotonic_ms() >= f->due_ms) {
			g_ptr_array_sort(found, by_version);
			rows = json_object_new_array();
			for (guint k = 0; k < found->len; k++)
				json_object_array_add(
					rows, encode_row(found->pdata[k]));
			http_request_reply(f->request, 200,
					   store_answer(s, rows));
			g_ptr_array_remove_index_fast(s->feeds, i);
			g_free(f->table);
			g_free(f);
		}
		g_ptr_array_unref(found);
	}
}

static void handle_tx(struct http_request *r, void *data)
{
	struct site *s = data;
	json_object *body = http_request_json(r);
	json_object *conditions = json_member(body, "ExpectedRev");
	json_object *sets = json_member(body, "SetKeys");
	json_object *drops = json_member(body, "Remove");
	json_object *rows;
	gboolean holds = TRUE;

	if (!body)
		return;
	rows = json_object_new_array();
	for (size_t i = 0; conditions && i < json_object_array_length(conditions);
	     i++) {
		json_object *c = json_object_array_get_idx(conditions, i);
		const struct row *row = get_row(s, c);

		if (row)
			json_object_array_add(rows, encode_row(row));
		holds &= (row ? row->version : 0) == json_member_int(c, "Ver");
	}
	if (!holds) {
		http_request_reply(r, 412, store_answer(s, rows));
		return;
	}
	json_object_put(rows);
	s->version++;
	for (size_t i = 0; sets && i < json_object_array_length(sets); i++) {
		json_object *o = json_object_array_get_idx(sets, i);

		set_row(s, json_member_text(o, "Table"),
			json_member_text(o, "part"), json_member_text(o, "Key"),
			json_member_text(o, "Value"));
	}
	for (size_t i = 0; drops && i < json_object_array_length(drops); i++) {
		json_object *o = json_object_array_get_idx(drops, i);

		if (get_row(s, o))
			set_row(s, json_member_text(o, "Table"),
				json_member_text(o, "part"),
				json_member_text(o, "Key"), NULL);
	}
	answer_feeds(s);
	for (size_t i = 0; sets && i < json_object_array_length(sets); i++) {
		json_object *o = json_object_array_get_idx(sets, i);

		if (g_strcmp0(s->lost_job, json_member_text(o, "Key")) != 0 ||
		    !s->lost_job)
			continue;
		site_note(s, "the store has stored job %s; its answer is lost",
			  s->lost_job);
		s->lost_job = NULL;
		s->on_lost(s);
		return;
	}
	http_request_reply(r, 200, store_answer(s, NULL));
}

static void handle_get(struct http_request *r, void *data)
{
	struct site *s = data;
	const char *table = http_request_query(r, "Table");
	const char *part = http_request_query(r, "part");
	const char *from = http_request_query(r, "From");
	const char *to = http_request_query(r, "To");
	const char *limit = http_request_query(r, "Limit");
	guint most = limit ? (guint)atoi(limit) : 500;
	GPtrArray *found = g_ptr_array_new();
	json_object *rows = json_object_new_array();
	json_object *answer;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->rows);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct row *row = item;

		if (row->value && g_strcmp0(row->table, table) == 0 &&
		    g_str_equal(row->part, part ? part : "") &&
		    (!from || strcmp(row->key, from) >= 0) &&
		    (!to || strcmp(row->key, to) < 0))
			g_ptr_array_add(found, row);
	}
	g_ptr_array_sort(found, by_key);
	for (guint i = 0; i < found->len && i < most; i++)
		json_object_array_add(rows, encode_row(found->pdata[i]));
	answer = store_answer(s, rows);
	json_object_object_add(answer, "HasMore",
			       json_object_new_boolean(found->len > most));
	g_ptr_array_unref(found);
	http_request_reply(r, 200, answer);
}

static int64_t query_int(struct http_request *r, const char *name)
{
	const char *text = http_request_query(r, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void handle_feed(struct http_request *r, void *data)
{
	struct site *s = data;
	struct waiting_feed *f = g_new0(struct waiting_feed, 1);

	f->request = r;
	f->table = g_strdup(http_request_query(r, "Table"));
	f->after = query_int(r, "After");
	f->due_ms = util_monotonic_ms() + query_int(r, "WaitMs");
	g_ptr_array_add(s->feeds, f);
	answer_feeds(s);
}

void site_put_row(struct site *s, const char *table, const char *key,
		  const char *value)
{
	char *text = value ? g_base64_encode((const guchar *)value,
					     strlen(value))
			   : NULL;

	s->version++;
	set_row(s, table, "", key, text);
	g_free(text);
	answer_feeds(s);
}

void site_configure(struct site *s, const struct queue *queues, guint count)
{
	GString *text = g_string_new(NULL);
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	s->config_version += 7;
	g_string_append_printf(text,
			       "{\"Version\":%" G_GINT64_FORMAT
			       ",\"Routes\":[",
			       s->config_version);
	for (guint i = 0; i < count; i++)
		g_string_append_printf(
			text,
			"%s{\"Name\":\"%s\",\"Host\":\"" HOST
			"\",\"PathPrefix\":\"%s\",\"Kind\":\"unsafe\","
			"\"TimeoutMs\":3000,\"TargetLatencyMs\":1000,"
			"\"Priority\":%d,\"Service\":\"%s\",\"MaxAttempts\":3,"
			"\"Stretch\":3.0,\"Public\":false}",
			i ? "," : "", queues[i].name, queues[i].prefix,
			(int)queues[i].priority, queues[i].service);
	g_string_append(text, "],\"Services\":[");
	for (guint i = 0; i < count; i++) {
		if (!g_hash_table_add(services, (gpointer)queues[i].service))
			continue;
		g_string_append_printf(
			text,
			"%s{\"Name\":\"%s\",\"HealthPath\":\"/healthz\","
			"\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,"
			"\"AdmissionCheck\":false,\"Standby\":false}",
			i ? "," : "", queues[i].service);
	}
	g_string_append(
		text, "],\"Limits\":{\"MaxHeaderBytes\":16384,"
		      "\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
		      "\"IdleTimeoutMs\":15000},\"Tenants\":[");
	for (guint i = 0; i < TENANTS; i++)
		g_string_append_printf(
			text,
			"%s{\"Name\":\"%s\",\"ApiKeys\":[\"%s\"],"
			"\"Priority\":1,\"Guaranteed\":{\"Gpu\":%d}}",
			i ? "," : "", site_tenants[i].name,
			s->is_key_revoked && i == 0 ? "9pz2c41mk7d0q8x5vt3e"
						    : site_tenants[i].key,
			site_tenants[i].guaranteed);
	g_string_append(text, "]}");
	site_put_row(s, "op", "config", text->str);
	g_hash_table_unref(services);
	g_string_free(text, TRUE);
}

/* ---- the runners ---- */

static void run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static void register_runner(struct runner *r)
{
	int64_t left_ms = r->leave_ms ? r->leave_ms - util_monotonic_ms() : 0;
	char *drain = r->leave_ms ? g_strdup_printf(
					    "\"DrainRemainingMs\":%" G_GINT64_FORMAT
					    ",",
					    MIN(left_ms,
						r->site->bounds.drain_ms))
				  : g_strdup("");
	char *text = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"tov-a\","
		"\"Version\":\"v1\",\"Slots\":8,\"State\":\"%s\",%s"
		"\"ColdLeftMs\":0,\"Capacity\":{\"Cpu\":%" G_GINT64_FORMAT
		",\"MemMb\":%" G_GINT64_FORMAT ",\"Gpu\":%" G_GINT64_FORMAT
		"},\"Labels\":[\"%s\",\"%s\"],\"born\":%" G_GINT64_FORMAT
		",\"Sequence\":1}",
		r->spec.service, r->address, r->leave_ms ? "draining" : "ready",
		drain, r->spec.millicores, r->spec.memory_mb,
		r->spec.accelerators, r->spec.kind, r->spec.rack, r->born_ms);

	site_put_row(r->site, "servers", r->spec.id, text);
	g_free(drain);
	g_free(text);
}

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

static void end_run(struct runner *r, guint index, const char *how)
{
	struct run *run = r->runs->pdata[index];
	struct run_end *e = g_new0(struct run_end, 1);
	struct site *s = r->site;

	e->number = ++r->last_end;
	e->task = g_strdup(run->task);
	e->run = run->number;
	e->how = how;
	g_ptr_array_add(r->ends, e);
	g_hash_table_replace(r->last_run, g_strdup(run->task),
			     box(run->number));
	g_hash_table_replace(s->end_ms, g_strdup(run->task),
			     box(util_monotonic_ms()));
	site_note(s, "%s: run %" G_GINT64_FORMAT " of %s ends %s after %.3f s",
		  r->spec.id, run->number, run->task, how,
		  (double)(util_monotonic_ms() - run->begin_ms) / 1000);
	g_ptr_array_remove_index(r->runs, index);
}

/* Whole percents, as in the example of the protocol's page. */
static int64_t percent_of(const struct run *run)
{
	int64_t age_ms = util_monotonic_ms() - run->begin_ms;

	if (run->is_waiting)
		return 0;
	if (run->work_ms)
		return MIN(100 * age_ms / run->work_ms, 99);
	return run->startup_ms ? MIN(100 * age_ms / run->startup_ms, 100) : 100;
}

static json_object *encode_lists(const struct runner *r)
{
	json_object *o = json_object_new_object();
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
		json_object_array_add(e,
				      json_object_new_int64(run->millicores));
		json_object_array_add(running, e);
	}
	for (guint i = 0; i < r->ends->len && i < 500; i++) {
		const struct run_end *end = r->ends->pdata[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_int64(end->number));
		json_object_array_add(e, json_object_new_string(end->task));
		json_object_array_add(e, json_object_new_int64(end->run));
		json_object_array_add(e, json_object_new_string(end->how));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(ended, e);
	}
	add_int(o, "ClockMs", util_monotonic_ms());
	add_int(o, "born", r->born_ms);
	json_object_object_add(o, "Running", running);
	json_object_object_add(o, "Ended", ended);
	return o;
}

static void answer_holds(struct runner *r)
{
	for (guint i = r->holds->len; i-- > 0;) {
		struct waiting_hold *h = r->holds->pdata[i];

		if (!r->ends->len && util_monotonic_ms() < h->due_ms)
			continue;
		http_request_reply(h->request, 200, encode_lists(r));
		g_ptr_array_remove_index_fast(r->holds, i);
		g_free(h);
	}
}

static void reply_clock(struct http_request *r, guint code, const char *reason)
{
	json_object *o = json_object_new_object();

	add_int(o, "ClockMs", util_monotonic_ms());
	if (reason)
		add_text(o, "Reason", reason);
	http_request_reply(r, code, o);
}

/* Returns the body of an order, or NULL after refusing it. */
static json_object *accept_order(struct runner *r, struct http_request *q)
{
	const char *id = http_request_header(q, "Expect-Instance");
	json_object *body = http_request_json(q);
	int64_t now_ms = util_monotonic_ms();
	int64_t until_ms;

	if (!body)
		return NULL;
	if (id && !g_str_equal(id, r->spec.id)) {
		http_request_reply_empty(q, 421);
		return NULL;
	}
	if (json_member_int(body, "Fence") < r->fence) {
		reply_clock(q, 409, "fence");
		return NULL;
	}
	r->fence = json_member_int(body, "Fence");
	until_ms = MIN(json_member_int(body, "UntilMs"),
		       now_ms + r->site->bounds.hold_max_ms);
	r->until_ms = MAX(r->until_ms, until_ms);
	return body;
}

static struct run *find_run(const struct runner *r, const char *task,
			    guint *index)
{
	for (guint i = 0; i < r->runs->len; i++) {
		struct run *run = r->runs->pdata[i];

		if (!g_str_equal(run->task, task))
			continue;
		*index = i;
		return run;
	}
	return NULL;
}

static int64_t spec_int(const char *spec, const char *name)
{
	const char *at = spec ? strstr(spec, name) : NULL;

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : 0;
}

/* Calls a function for each member of a run's gang that is present. Returns how
 * many there are. */
static guint for_gang(struct site *s, const struct run *run,
		      void (*fn)(struct run *member))
{
	gsize len = (gsize)(strrchr(run->task, '.') - run->task) + 1;
	guint count = 0;

	for (guint i = 0; i < s->runner_count; i++) {
		const struct runner *r = s->runners[i];

		for (guint k = 0; k < r->runs->len; k++) {
			struct run *m = r->runs->pdata[k];

			if (m->number != run->number ||
			    strncmp(m->task, run->task, len) != 0)
				continue;
			count++;
			if (fn)
				fn(m);
		}
	}
	return count;
}

static void begin_work(struct run *member)
{
	member->is_waiting = FALSE;
	member->begin_ms = util_monotonic_ms();
}

static void break_run(struct run *member)
{
	member->is_broken = TRUE;
}

static void handle_start(struct http_request *q, void *data)
{
	struct runner *r = data;
	struct site *s = r->site;
	json_object *body;
	const char *task;
	const char *spec;
	const int64_t *last;
	int64_t *starts;
	int64_t number;
	struct run *run;
	guint index;

	if (r->is_unhealthy) {
		site_note(s, "%s: refuses a start with 503", r->spec.id);
		http_request_reply_empty(q, 503);
		return;
	}
	body = accept_order(r, q);
	if (!body)
		return;
	task = json_member_text(body, "Task");
	spec = json_member_text(body, "Spec");
	number = json_member_int(body, "Run");
	last = g_hash_table_lookup(r->last_run, task);
	run = find_run(r, task, &index);
	if ((last && number <= *last) || (run && number < run->number)) {
		reply_clock(q, 409, "old");
		return;
	}
	if (r->until_ms <= util_monotonic_ms()) {
		reply_clock(q, 409, "late");
		return;
	}
	if (!run) {
		starts = g_hash_table_lookup(s->starts, task);
		if (!starts) {
			starts = box(0);
			g_hash_table_replace(s->starts, g_strdup(task), starts);
		}
		++*starts;
		run = g_new0(struct run, 1);
		run->task = g_strdup(task);
		run->number = number;
		run->begin_ms = util_monotonic_ms();
		run->work_ms = spec_int(spec, "work=");
		run->startup_ms = spec_int(spec, "startup=");
		run->millicores = spec_int(spec, "cpu=");
		run->accelerators = spec_int(spec, "gpu=");
		if (s->fail_ms)
			run->fail_ms = s->fail_ms(s, task, (guint)*starts);
		run->gang = spec_int(spec, "gang=");
		run->is_waiting = run->gang > 0;
		g_ptr_array_add(r->runs, run);
		if (run->gang && for_gang(s, run, NULL) == run->gang)
			for_gang(s, run, begin_work);
		site_note(s, "%s: run %" G_GINT64_FORMAT " of %s starts",
			  r->spec.id, number, task);
	}
	reply_clock(q, 200, NULL);
}

static void handle_stop(struct http_request *q, void *data)
{
	struct runner *r = data;
	json_object *body = accept_order(r, q);
	const char *task;
	int64_t number;
	struct run *run;
	guint index;

	if (!body)
		return;
	task = json_member_text(body, "Task");
	number = json_member_int(body, "Run");
	run = find_run(r, task, &index);
	if (run && run->number <= number && !run->stop_end_ms) {
		run->stop_end_ms = util_monotonic_ms() + STOP_TAKES_MS;
		site_note(r->site, "%s: told to stop run %" G_GINT64_FORMAT
				   " of %s, at %d%%",
			  r->spec.id, number, task, (int)percent_of(run));
	} else if (!run) {
		const int64_t *last = g_hash_table_lookup(r->last_run, task);

		if (!last || *last < number)
			g_hash_table_replace(r->last_run, g_strdup(task),
					     box(number));
	}
	reply_clock(q, 200, NULL);
}

static void handle_hold(struct http_request *q, void *data)
{
	struct runner *r = data;
	json_object *body = accept_order(r, q);
	struct waiting_hold *h;

	if (!body)
		return;
	while (r->ends->len) {
		struct run_end *e = r->ends->pdata[0];

		if (e->number > json_member_int(body, "AckCursor"))
			break;
		g_free(e->task);
		g_free(e);
		g_ptr_array_remove_index(r->ends, 0);
	}
	h = g_new0(struct waiting_hold, 1);
	h->request = q;
	h->due_ms = util_monotonic_ms() + json_member_int(body, "WaitMs");
	g_ptr_array_add(r->holds, h);
	answer_holds(r);
}

struct runner *site_add_runner(struct site *s, const struct runner_spec *spec)
{
	struct runner *r = g_new0(struct runner, 1);

	r->spec = *spec;
	r->site = s;
	r->runs = g_ptr_array_new_with_free_func(run_free);
	r->ends = g_ptr_array_new();
	r->holds = g_ptr_array_new();
	r->last_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->born_ms = util_wall_ms();
	r->server = http_server_new(MAX_BODY_BYTES);
	http_server_add_route(r->server, "POST", API "/run-start", handle_start,
			      r);
	http_server_add_route(r->server, "POST", API "/run-stop", handle_stop,
			      r);
	http_server_add_route(r->server, "POST", API "/hold", handle_hold, r);
	if (http_server_listen(r->server, "127.0.0.1", 0) != STATUS_OK)
		site_finish(s, 2, "a runner can't listen");
	r->address =
		g_strdup_printf("127.0.0.1:%u", http_server_port(r->server));
	s->runners[s->runner_count++] = r;
	register_runner(r);
	return r;
}

void site_drain_runner(struct runner *r)
{
	r->leave_ms = util_monotonic_ms() + r->site->bounds.drain_ms + 300;
	site_note(r->site, "%s: drains, and leaves in %d ms", r->spec.id,
		  (int)r->site->bounds.drain_ms + 300);
	register_runner(r);
}

/* What runs on a runner that leaves ends without being listed. */
static void leave(struct runner *r)
{
	site_note(r->site, "%s: leaves with %u runs", r->spec.id,
		  r->runs->len);
	for (guint i = 0; i < r->runs->len; i++) {
		const struct run *run = r->runs->pdata[i];

		g_hash_table_replace(r->site->end_ms, g_strdup(run->task),
				     box(util_monotonic_ms()));
		site_note(r->site, "%s: run %" G_GINT64_FORMAT
				   " of %s terminates as its runner leaves",
			  r->spec.id, run->number, run->task);
	}
	for (guint i = 0; i < r->holds->len; i++) {
		struct waiting_hold *h = r->holds->pdata[i];

		http_request_close_connection(h->request);
		g_free(h);
	}
	g_ptr_array_set_size(r->holds, 0);
	g_ptr_array_set_size(r->runs, 0);
	g_clear_pointer(&r->server, http_server_free);
	site_put_row(r->site, "servers", r->spec.id, NULL);
}

static void tick_runner(struct runner *r)
{
	int64_t now_ms = util_monotonic_ms();

	if (!r->server)
		return;
	for (guint i = r->runs->len; i-- > 0;) {
		const struct run *run = r->runs->pdata[i];
		int64_t age_ms = now_ms - run->begin_ms;

		const char *how = NULL;

		if (run->stop_end_ms && now_ms >= run->stop_end_ms)
			how = "stopped";
		else if (run->is_broken)
			how = "broken";
		else if (run->is_waiting && age_ms >= GANG_MS)
			how = "alone";
		else if (run->fail_ms && age_ms >= run->fail_ms)
			how = "failed";
		else if (!run->is_waiting && run->work_ms &&
			 age_ms >= run->work_ms)
			how = "done";
		else if (now_ms >= r->until_ms)
			how = "lapsed";
		if (!how)
			continue;
		if (run->gang && !g_str_equal(how, "done"))
			for_gang(r->site, run, break_run);
		end_run(r, i, how);
	}
	answer_holds(r);
	if (r->leave_ms && now_ms >= r->leave_ms)
		leave(r);
}

struct run *site_running(const struct site *s, const char *task,
			 struct runner **where)
{
	guint index;

	for (guint i = 0; i < s->runner_count; i++) {
		struct run *run = find_run(s->runners[i], task, &index);

		if (!run)
			continue;
		if (where)
			*where = s->runners[i];
		return run;
	}
	return NULL;
}

gboolean site_job_runs(const struct site *s, const char *job)
{
	for (guint i = 0; i < s->runner_count; i++) {
		const struct runner *r = s->runners[i];

		for (guint k = 0; k < r->runs->len; k++) {
			const struct run *run = r->runs->pdata[k];

			if (g_str_has_prefix(run->task, job))
				return TRUE;
		}
	}
	return FALSE;
}

static void add_use(const struct runner *r, int64_t *millicores,
		    int64_t *accelerators)
{
	for (guint i = 0; i < r->runs->len; i++) {
		const struct run *run = r->runs->pdata[i];

		*millicores += run->millicores;
		*accelerators += run->accelerators;
	}
}

int64_t site_room(const struct site *s, const char *service, const char *kind,
		  int64_t millicores, int64_t accelerators)
{
	int64_t found = 0;

	for (guint i = 0; i < s->runner_count; i++) {
		const struct runner *r = s->runners[i];
		int64_t cpu = 0;
		int64_t gpu = 0;

		if (!r->server || r->leave_ms || r->is_unhealthy ||
		    !g_str_equal(r->spec.service, service) ||
		    (kind && !g_str_equal(r->spec.kind, kind)))
			continue;
		add_use(r, &cpu, &gpu);
		found += MIN((r->spec.millicores - cpu) / millicores,
			     accelerators ? (r->spec.accelerators - gpu) /
						    accelerators
					  : INT32_MAX);
	}
	return found;
}

double site_share_in_use(const struct site *s, const char *service)
{
	int64_t cpu = 0;
	int64_t gpu = 0;
	int64_t all_cpu = 0;
	int64_t all_gpu = 0;

	for (guint i = 0; i < s->runner_count; i++) {
		const struct runner *r = s->runners[i];

		if (!r->server || !g_str_equal(r->spec.service, service))
			continue;
		add_use(r, &cpu, &gpu);
		all_cpu += r->spec.millicores;
		all_gpu += r->spec.accelerators;
	}
	return MAX((double)cpu / (double)MAX(all_cpu, 1),
		   (double)gpu / (double)MAX(all_gpu, 1));
}

/* ---- the processes of csentryd ---- */

/* Returns a free address. Its port is below those that the kernel gives to
 * outgoing connections, and none is returned twice. */
static char *free_address(void)
{
	static int port;
	struct sockaddr_in a = { .sin_family = AF_INET };
	gboolean is_free = FALSE;

	if (!port)
		port = g_random_int_range(12000, 30000);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	while (!is_free && ++port < 32000) {
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		a.sin_port = htons((uint16_t)port);
		is_free = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
		close(fd);
	}
	return g_strdup_printf("127.0.0.1:%d", port);
}

static void before_exec(gpointer data)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static gboolean spawn_entry(struct site *s, guint i)
{
	struct entry *e = &s->entries[i];
	char *argv[] = { (char *)"target/bin/csentryd", NULL };
	char **env = g_environ_setenv(g_get_environ(),
				      "CORIANDERSTEP_SETTINGS", e->settings,
				      TRUE);
	int log = g_open(e->log, O_CREAT | O_WRONLY | O_APPEND, 0600);
	GError *error = NULL;
	gboolean is_good = log >= 0 &&
			   g_spawn_async_with_fds(
				   NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
				   before_exec, NULL, &e->pid, -1, log, log,
				   &error);

	if (!is_good)
		site_note(s, "csentryd can't be started: %s",
			  error ? error->message : "no log file");
	g_clear_error(&error);
	if (log >= 0)
		close(log);
	g_strfreev(env);
	return is_good;
}

static gboolean start_entry(struct site *s, guint i)
{
	struct entry *e = &s->entries[i];
	char *internal = free_address();
	char *forward = free_address();
	gboolean is_good;
	char *text;

	e->frontend = free_address();
	e->readiness = free_address();
	e->settings = g_strdup_printf("%s/node-%u.json", s->folder, i);
	e->log = g_strdup_printf("%s/node-%u.log", s->folder, i);
	if (s->has_paths)
		e->path = proxy_new(s->store_address);
	/* The template of the deploy file, filled in. */
	text = g_strdup_printf(
		"{\"node\":\"edge-tov-a-%u\",\"failure_domain\":\"tov-a\","
		"\"frontend\":\"%s\",\"readiness\":\"%s\",\"internal\":\"%s\","
		"\"forward\":\"%s\",\"cpu_share\":0.25,\"memory_mb\":260,"
		"\"descriptors\":4100,\"store\":{\"address\":\"%s\","
		"\"writes_per_s\":800,\"reads_per_s\":2000,"
		"\"row_bytes\":65536},\"bounds\":{\"lease_ms\":%" G_GINT64_FORMAT
		",\"grace_s\":6,\"status_s\":120}}",
		i + 1, e->frontend, e->readiness, internal, forward,
		e->path ? proxy_address(e->path) : s->store_address,
		s->bounds.hold_max_ms);
	is_good = g_file_set_contents(e->settings, text, -1, NULL) &&
		  spawn_entry(s, i);
	g_free(text);
	g_free(internal);
	g_free(forward);
	return is_good;
}

void site_restart_entry(struct site *s, guint i)
{
	site_note(s, "csentryd %u starts again", i);
	if (!spawn_entry(s, i))
		site_finish(s, 2, "csentryd can't be started");
}

gboolean site_start_entries(struct site *s)
{
	for (guint i = 0; i < ENTRIES; i++) {
		if (!start_entry(s, i))
			return FALSE;
	}
	return TRUE;
}

void site_kill_entry(struct site *s, guint i)
{
	site_note(s, "SIGKILL to csentryd %u", i);
	kill(s->entries[i].pid, SIGKILL);
	waitpid(s->entries[i].pid, NULL, 0);
	s->entries[i].pid = 0;
}

/* ---- clients ---- */

struct client_call {
	struct site *site;
	answer_fn fn;
	void *data;
	char *what;
};

static void on_answer(const struct http_reply *reply, void *data)
{
	struct client_call *c = data;

	site_note(c->site, "client: %s answered %u %s", c->what, reply->code,
		  reply->code == 200 && reply->text ? reply->text : "");
	if (c->fn)
		c->fn(c->site, reply->code, reply->body, c->data);
	g_free(c->what);
	g_free(c);
}

void site_call(struct site *s, guint tenant, guint entry, const char *method,
	       const char *path, const char *body, answer_fn fn, void *data)
{
	char *token = g_strconcat("Token ", site_tenants[tenant].key, NULL);
	const char *const headers[] = { "Host",		 HOST,
					"Authorization", token,
					"Deadline-Ms",	 "3000",
					NULL };
	struct client_call *c = g_new0(struct client_call, 1);
	json_object *json = body ? json_tokener_parse(body) : NULL;
	struct http_call_spec spec = {
		.method = method,
		.address = s->entries[entry].frontend,
		.path = path,
		.body = json,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = headers,
		.on_reply = on_answer,
		.data = c,
	};

	c->site = s;
	c->fn = fn;
	c->data = data;
	c->what = g_strdup_printf("%s %s at %u", method, path, entry);
	if (body)
		site_note(s, "client: sends %s %s", c->what, body);
	http_client_send(s->client, &spec);
	json_object_put(json);
	g_free(token);
}

struct submission {
	guint tenant;
	guint first; /* entry of the first try */
	char *path;
	char *body;
	guint tries;
	struct site *site;
	void (*fn)(struct site *s, gboolean is_accepted, void *data);
	void *data;
};

static void try_submit(struct submission *u);

static gboolean on_retry(gpointer data)
{
	try_submit(data);
	return G_SOURCE_REMOVE;
}

static void on_submitted(struct site *s, guint code, json_object *body,
			 void *data)
{
	struct submission *u = data;

	if (code != 200 && ++u->tries < MAX_TRIES) {
		g_timeout_add(RETRY_MS, on_retry, u);
		return;
	}
	if (u->fn)
		u->fn(s, code == 200, u->data);
	g_free(u->path);
	g_free(u->body);
	g_free(u);
}

static void try_submit(struct submission *u)
{
	site_call(u->site, u->tenant, (u->first + u->tries) % ENTRIES, "POST", u->path, u->body,
		  on_submitted, u);
}

void site_submit(struct site *s, guint tenant, const char *path,
		 const char *body,
		 void (*fn)(struct site *s, gboolean is_accepted, void *data),
		 void *data)
{
	struct submission *u = g_new0(struct submission, 1);

	u->site = s;
	u->tenant = tenant;
	u->first = s->first_entry;
	u->path = g_strdup(path);
	u->body = g_strdup(body);
	u->fn = fn;
	u->data = data;
	try_submit(u);
}

/* ---- the script ---- */

void site_finish(struct site *s, int code, const char *why)
{
	if (s->code >= 0)
		return;
	s->code = code;
	site_note(s, "%s: %s",
		  code == 0   ? "HELD"
		  : code == 1 ? "BROKEN"
			      : "NOT RUN",
		  why);
	if (s->loop)
		g_main_loop_quit(s->loop);
}

struct later {
	struct site *site;
	void (*fn)(struct site *s);
};

static gboolean on_later(gpointer data)
{
	struct later *l = data;

	if (l->site->code < 0)
		l->fn(l->site);
	g_free(l);
	return G_SOURCE_REMOVE;
}

void site_after(struct site *s, int64_t ms, void (*fn)(struct site *s))
{
	struct later *l = g_new0(struct later, 1);

	l->site = s;
	l->fn = fn;
	g_timeout_add((guint)ms, on_later, l);
}

static gboolean on_tick(gpointer data)
{
	struct site *s = data;

	for (guint i = 0; i < s->runner_count; i++)
		tick_runner(s->runners[i]);
	answer_feeds(s);
	return G_SOURCE_CONTINUE;
}

static void on_limit(struct site *s)
{
	site_finish(s, 2, "the script took too long");
}

static const struct scenario *chosen;
static guint ready_entries;

static void probe(struct site *s);

static void on_ready(const struct http_reply *reply, void *data)
{
	struct site *s = data;

	ready_entries += reply->code == 200;
	if (ready_entries == ENTRIES) {
		site_note(s, "all csentryd are ready");
		/* Traffic starts some seconds after the machines. */
		site_after(s, 2500, chosen->play);
	} else {
		site_after(s, 100, probe);
	}
}

/* Asks each entry in turn until it is ready. */
static void probe(struct site *s)
{
	struct http_call_spec spec = {
		.method = "GET",
		.path = API "/readyz",
		.timeout_ms = 1000,
		.on_reply = on_ready,
		.data = s,
	};

	if (site_ms(s) > READY_LIMIT_MS) {
		site_finish(s, 2, "csentryd didn't get ready");
		return;
	}
	spec.address = s->entries[ready_entries % ENTRIES].readiness;
	http_client_send(s->client, &spec);
}

static void start_store(struct site *s)
{
	s->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	s->feeds = g_ptr_array_new();
	s->store = http_server_new(MAX_BODY_BYTES);
	http_server_add_route(s->store, "POST", API "/rows-tx", handle_tx, s);
	http_server_add_route(s->store, "GET", API "/rows-get", handle_get, s);
	http_server_add_route(s->store, "GET", API "/rows-feed", handle_feed,
			      s);
	if (http_server_listen(s->store, "127.0.0.1", 0) != STATUS_OK)
		site_finish(s, 2, "the store can't listen");
	s->store_address =
		g_strdup_printf("127.0.0.1:%u", http_server_port(s->store));
}

static gboolean on_next_probe(gpointer data)
{
	probe(data);
	return G_SOURCE_REMOVE;
}

static void stop_entries(struct site *s)
{
	for (guint i = 0; i < ENTRIES; i++) {
		int status = 0;
		GPid pid = s->entries[i].pid;

		if (!pid)
			continue;
		if (waitpid(pid, &status, WNOHANG) == pid) {
			site_note(s, "csentryd %u had ended by itself: %d", i,
				  status);
			continue;
		}
		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
}

int main(int argc, char **argv)
{
	struct site s = { .code = -1 };
	const char *trouble = g_getenv("TROUBLE");

	if (argc != 4) {
		fprintf(stderr, "usage: site SCENARIO RECORD FOLDER\n");
		return 2;
	}
	for (chosen = scenarios; chosen->name; chosen++) {
		if (g_str_equal(chosen->name, argv[1]))
			break;
	}
	s.record = fopen(argv[2], "w");
	if (!chosen->name || !s.record)
		return 2;
	s.folder = argv[3];
	s.has_trouble = !trouble || !g_str_equal(trouble, "0");
	s.bounds = chosen->bounds;
	s.begin_ms = util_monotonic_ms();
	s.starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 g_free);
	s.end_ms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 g_free);
	s.client = http_client_new(200, 50);
	site_note(&s, "script %s, %s the disruption", chosen->name,
		  s.has_trouble ? "with" : "without");
	start_store(&s);
	chosen->setup(&s);
	s.loop = g_main_loop_new(NULL, FALSE);
	g_timeout_add(TICK_MS, on_tick, &s);
	site_after(&s, chosen->limit_ms, on_limit);
	if (!site_start_entries(&s))
		site_finish(&s, 2, "csentryd can't be started");
	g_timeout_add(300, on_next_probe, &s);
	if (s.code < 0)
		g_main_loop_run(s.loop);
	stop_entries(&s);
	fclose(s.record);
	return s.code;
}
