#include "standin/common/steppe_worker.h"

#include <stdio.h>
#include <string.h>

#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"
#include "standin/common/steppe_json.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define PATH "/corianderstep"
#define DEFAULT_RUN_MS 300
/* The members of a gang wait so long for each other. */
#define GANG_MS 3000

struct run {
	char *task;
	int64_t run;
	int64_t end_ms;
	gboolean is_failing;
	int64_t work_ms;  /* how long it runs */
	int64_t gang;	  /* members that work only together, 0 for none */
	int64_t alone_ms; /* the others have to be there by then */
};

struct end {
	int64_t number;
	char *task;
	int64_t run;
	const char *how;
};

struct waiting_hold {
	struct http_request *request;
	int64_t due_ms;
};

struct steppe_worker {
	char *id;
	struct http_server *server;
	GHashTable *runs;    /* task to struct run */
	GHashTable *highest; /* task to the highest run that ended, boxed */
	GPtrArray *ends;     /* of struct end */
	GPtrArray *holds;    /* of struct waiting_hold */
	int64_t last_end;
	int64_t epoch;
	int64_t lease_ms; /* all that runs ends then */
	int64_t starts;
	GPtrArray *peers; /* of all workers, not owned */
	int64_t born_ms;  /* of this incarnation, since 1970 */
	gboolean has_history;
};

static void print_history(const struct steppe_worker *w, const char *event,
			  const char *task, int64_t run, const char *how)
{
	if (!w->has_history)
		return;
	printf("history time_ms=%" G_GINT64_FORMAT " event=%s worker=%s "
	       "task=%s run=%" G_GINT64_FORMAT " how=%s\n",
	       util_monotonic_ms(), event, w->id, task, run, how);
	fflush(stdout);
}

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

static void end_one(struct steppe_worker *w, struct run *run, const char *how)
{
	struct end *e = g_new0(struct end, 1);

	e->number = ++w->last_end;
	e->task = g_strdup(run->task);
	e->run = run->run;
	e->how = how;
	print_history(w, "end", run->task, run->run, how);
	g_ptr_array_add(w->ends, e);
	g_hash_table_replace(w->highest, g_strdup(run->task), box(run->run));
	g_hash_table_remove(w->runs, run->task);
}

/* A run and where it is. */
struct member_run {
	struct steppe_worker *worker;
	struct run *run;
};

static gboolean same_step(const char *task, const char *other)
{
	gsize len = (gsize)(strrchr(task, '.') - task);

	return strncmp(task, other, len + 1) == 0 &&
	       !strchr(other + len + 1, '.');
}

/* Returns the members of a run's gang that are there, itself included. */
static GArray *gang_members(const struct steppe_worker *w,
			    const struct run *run)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct member_run));

	for (guint i = 0; i < w->peers->len; i++) {
		struct member_run m = { .worker = w->peers->pdata[i] };
		GHashTableIter iter;
		gpointer item;

		g_hash_table_iter_init(&iter, m.worker->runs);
		while (g_hash_table_iter_next(&iter, NULL, &item)) {
			m.run = item;
			if (m.run == run ||
			    (run->gang && m.run->run == run->run &&
			     same_step(run->task, m.run->task)))
				g_array_append_val(found, m);
		}
	}
	return found;
}

/* The members of a gang end together, as done or else as broken. */
static void end_run(struct steppe_worker *w, struct run *run, const char *how)
{
	const char *others = g_str_equal(how, "done") ? how : "broken";
	GArray *members = gang_members(w, run);

	for (guint i = 0; i < members->len; i++) {
		const struct member_run *m =
			&g_array_index(members, struct member_run, i);

		end_one(m->worker, m->run, m->run == run ? how : others);
	}
	g_array_unref(members);
}

/* A gang works from the moment when all of its members are there. */
static void begin_work(const struct steppe_worker *w, struct run *run)
{
	int64_t now_ms = util_monotonic_ms();
	GArray *members;

	run->end_ms = INT64_MAX;
	run->alone_ms = run->gang ? now_ms + GANG_MS : INT64_MAX;
	members = gang_members(w, run);
	for (guint i = 0; members->len >= run->gang && i < members->len; i++) {
		struct run *m =
			g_array_index(members, struct member_run, i).run;

		m->end_ms = now_ms + run->work_ms;
		m->alone_ms = INT64_MAX;
	}
	g_array_unref(members);
}

static void run_free(gpointer data)
{
	struct run *run = data;

	g_free(run->task);
	g_free(run);
}

static json_object *lists(const struct steppe_worker *w)
{
	json_object *body = json_object_new_object();
	json_object *running = json_object_new_array();
	json_object *ended = json_object_new_array();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct run *run = item;
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_string(run->task));
		json_object_array_add(e, json_object_new_int64(run->run));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(e, json_object_new_int64(50));
		json_object_array_add(running, e);
	}
	for (guint i = 0; i < w->ends->len; i++) {
		const struct end *end = w->ends->pdata[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_int64(end->number));
		json_object_array_add(e, json_object_new_string(end->task));
		json_object_array_add(e, json_object_new_int64(end->run));
		json_object_array_add(e, json_object_new_string(end->how));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(ended, e);
	}
	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	steppe_add_int(body, "born", w->born_ms);
	json_object_object_add(body, "Running", running);
	json_object_object_add(body, "Ended", ended);
	return body;
}

static void answer_holds(struct steppe_worker *w)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = w->holds->len; i-- > 0;) {
		struct waiting_hold *h = w->holds->pdata[i];

		if (!w->ends->len && now_ms < h->due_ms)
			continue;
		http_request_reply(h->request, 200, lists(w));
		g_ptr_array_remove_index_fast(w->holds, i);
	}
}

/* Returns a run that is over, NULL for none. */
static struct run *find_over(const struct steppe_worker *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct run *run = item;

		if (now_ms >= run->end_ms || now_ms >= run->alone_ms ||
		    now_ms >= w->lease_ms)
			return run;
	}
	return NULL;
}

static const char *how_it_ends(const struct run *run, int64_t now_ms)
{
	if (now_ms >= run->end_ms)
		return run->is_failing ? "failed" : "done";
	return now_ms >= run->alone_ms ? "alone" : "lapsed";
}

void steppe_worker_tick(struct steppe_worker *w)
{
	int64_t now_ms = util_monotonic_ms();
	struct run *run;

	/* The end of one ends the rest of its gang. */
	while ((run = find_over(w, now_ms)))
		end_run(w, run, how_it_ends(run, now_ms));
	answer_holds(w);
}

static void refuse(struct http_request *r, const char *reason)
{
	json_object *body = json_object_new_object();

	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	steppe_add_text(body, "Reason", reason);
	http_request_reply(r, 409, body);
}

static void accept(struct http_request *r)
{
	json_object *body = json_object_new_object();

	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	http_request_reply(r, 200, body);
}

/* Checks what all orders carry; answers when the order is not obeyed. */
static json_object *take_order(struct steppe_worker *w, struct http_request *r)
{
	const char *instance = http_request_header(r, "Expect-Instance");
	json_object *body = http_request_json(r);

	if (!body)
		return NULL;
	if (instance && !g_str_equal(instance, w->id)) {
		http_request_reply_empty(r, 421);
		return NULL;
	}
	if (json_member_int(body, "Fence") < w->epoch) {
		refuse(r, "fence");
		return NULL;
	}
	w->epoch = json_member_int(body, "Fence");
	w->lease_ms = MAX(w->lease_ms, json_member_int(body, "UntilMs"));
	return body;
}

/* Returns a number that stands in the payload as "NAME=N". */
static int64_t payload_int(const char *payload, const char *name,
			   int64_t fallback)
{
	const char *at = strstr(payload, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void handle_start(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = take_order(w, r);
	const int64_t *ended;
	const char *task;
	struct run *run;

	if (!body)
		return;
	task = steppe_text(body, "Task");
	ended = g_hash_table_lookup(w->highest, task);
	run = g_hash_table_lookup(w->runs, task);
	if (ended && json_member_int(body, "Run") <= *ended) {
		refuse(r, "old");
		return;
	}
	if (!run) {
		run = g_new0(struct run, 1);
		run->task = g_strdup(task);
		run->run = json_member_int(body, "Run");
		run->work_ms = payload_int(steppe_text(body, "Spec"),
					   "run_ms=", DEFAULT_RUN_MS);
		run->gang = payload_int(steppe_text(body, "Spec"), "gang=", 0);
		run->is_failing =
			strstr(steppe_text(body, "Spec"), "fail") != NULL;
		g_hash_table_replace(w->runs, run->task, run);
		w->starts++;
		print_history(w, "start", task, run->run, "");
		begin_work(w, run);
	}
	accept(r);
}

static void handle_stop(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = take_order(w, r);
	struct run *run;

	if (!body)
		return;
	run = g_hash_table_lookup(w->runs, steppe_text(body, "Task"));
	if (run && run->run <= json_member_int(body, "Run"))
		end_run(w, run, "stopped");
	else if (!run)
		g_hash_table_replace(w->highest,
				     g_strdup(steppe_text(body, "Task")),
				     box(json_member_int(body, "Run")));
	accept(r);
	answer_holds(w);
}

static void handle_hold(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = take_order(w, r);
	struct waiting_hold *h;

	if (!body)
		return;
	while (w->ends->len) {
		const struct end *e = w->ends->pdata[0];

		if (e->number > json_member_int(body, "AckCursor"))
			break;
		print_history(w, "ack", e->task, e->run, e->how);
		g_ptr_array_remove_index(w->ends, 0);
	}
	h = g_new0(struct waiting_hold, 1);
	h->request = r;
	h->due_ms = util_monotonic_ms() + json_member_int(body, "WaitMs");
	g_ptr_array_add(w->holds, h);
	answer_holds(w);
}

static void end_free(gpointer data)
{
	struct end *e = data;

	g_free(e->task);
	g_free(e);
}

static void worker_free(struct steppe_worker *w)
{
	http_server_free(w->server);
	g_hash_table_unref(w->runs);
	g_hash_table_unref(w->highest);
	g_ptr_array_unref(w->ends);
	g_ptr_array_unref(w->holds);
	g_free(w->id);
	g_free(w);
}

struct steppe_worker *steppe_worker_new(const char *id, const char *listen,
					GPtrArray *peers, gboolean has_history)
{
	struct steppe_worker *w = g_new0(struct steppe_worker, 1);
	char *host = NULL;
	uint16_t port;

	w->id = g_strdup(id);
	w->peers = peers;
	w->has_history = has_history;
	w->born_ms = util_wall_ms();
	w->server = http_server_new(MAX_BODY_BYTES);
	w->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	w->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->ends = g_ptr_array_new_with_free_func(end_free);
	w->holds = g_ptr_array_new_with_free_func(g_free);
	http_server_route(w->server, "POST", PATH "/run-start", handle_start,
			  w);
	http_server_route(w->server, "POST", PATH "/run-stop", handle_stop, w);
	http_server_route(w->server, "POST", PATH "/hold", handle_hold, w);
	if (!util_parse_endpoint(listen, &host, &port) ||
	    http_server_listen(w->server, host, port) != STATUS_OK) {
		fprintf(stderr, "worker %s: %s\n", id, status_last_message());
		worker_free(w);
		w = NULL;
	}
	g_free(host);
	return w;
}

char *steppe_worker_address(const struct steppe_worker *w)
{
	return g_strdup_printf("127.0.0.1:%u", http_server_port(w->server));
}

const char *steppe_worker_id(const struct steppe_worker *w)
{
	return w->id;
}

int64_t steppe_worker_born_ms(const struct steppe_worker *w)
{
	return w->born_ms;
}

int64_t steppe_worker_starts(const struct steppe_worker *w)
{
	return w->starts;
}

void steppe_worker_crash(struct steppe_worker *w)
{
	GHashTableIter iter;
	gpointer item;

	print_history(w, "crash", "-", 0, "");
	/* Members of its gangs elsewhere break. */
	for (g_hash_table_iter_init(&iter, w->runs);
	     g_hash_table_iter_next(&iter, NULL, &item);
	     g_hash_table_iter_init(&iter, w->runs))
		end_run(w, item, "lapsed");
	g_hash_table_remove_all(w->highest);
	g_ptr_array_set_size(w->ends, 0);
	for (guint i = 0; i < w->holds->len; i++)
		http_request_close_connection(
			((struct waiting_hold *)w->holds->pdata[i])->request);
	g_ptr_array_set_size(w->holds, 0);
	w->last_end = 0;
	w->epoch = 0;
	w->lease_ms = 0;
	w->born_ms = MAX(util_wall_ms(), w->born_ms + 1);
}
