#include "standin/common/steppe_worker.h"

#include <stdio.h>
#include <string.h>

#include "base/http_server.h"
#include "base/json_member.h"
#include "base/util.h"
#include "standin/common/steppe_json.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define API_PREFIX "/corianderstep"
#define DEFAULT_RUN_MS 300
/* Time after which an incomplete gang ends. */
#define GANG_WAIT_MS 3000

/* A running task. */
struct task_run {
	char *task;
	int64_t run_number;
	int64_t end_ms; /* INT64_MAX while its gang is incomplete */
	gboolean will_fail;
	int64_t duration_ms; /* once the gang is complete */
	int64_t gang_size;   /* number of members, 0 for a task without gang */
	int64_t gang_deadline_ms; /* ends the run if the gang is incomplete */
};

/* An ended task, reported until the scheduler acknowledges it. */
struct task_end {
	int64_t cursor; /* acknowledged by AckCursor */
	char *task;
	int64_t run_number;
	const char *reason; /* "done", "failed", "stopped", "lapsed", ... */
};

/* A pending /hold request, answered when a task has ended or at due_ms. */
struct waiting_hold {
	struct http_request *request;
	int64_t due_ms;
};

struct steppe_worker {
	char *id;
	struct http_server *server;
	GHashTable *runs;	       /* task to struct task_run */
	GHashTable *highest_ended_run; /* task to boxed run number */
	GPtrArray *ends;	       /* of struct task_end, oldest first */
	GPtrArray *holds;	       /* of struct waiting_hold */
	int64_t last_cursor;
	int64_t epoch;		/* highest seen */
	int64_t lease_until_ms; /* all runs end at this time */
	int64_t starts;
	GPtrArray *peers;	      /* all workers, not owned */
	int64_t incarnation_start_ms; /* since the Unix epoch */
	gboolean prints_history;
};

static void print_history(const struct steppe_worker *w, const char *event,
			  const char *task, int64_t run, const char *reason)
{
	if (!w->prints_history)
		return;
	printf("history time_ms=%" G_GINT64_FORMAT " event=%s worker=%s "
	       "task=%s run=%" G_GINT64_FORMAT " how=%s\n",
	       util_monotonic_ms(), event, w->id, task, run, reason);
	fflush(stdout);
}

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

static void end_single_run(struct steppe_worker *w, struct task_run *run,
			   const char *reason)
{
	struct task_end *e = g_new0(struct task_end, 1);

	e->cursor = ++w->last_cursor;
	e->task = g_strdup(run->task);
	e->run_number = run->run_number;
	e->reason = reason;
	print_history(w, "end", run->task, run->run_number, reason);
	g_ptr_array_add(w->ends, e);
	g_hash_table_replace(w->highest_ended_run, g_strdup(run->task),
			     box(run->run_number));
	g_hash_table_remove(w->runs, run->task);
}

/* A run of a gang and the worker that runs it. */
struct member_run {
	struct steppe_worker *worker;
	struct task_run *run;
};

/* Returns TRUE if two task names differ only after their last dot. */
static gboolean is_same_step(const char *task, const char *other)
{
	gsize len = (gsize)(strrchr(task, '.') - task);

	return strncmp(task, other, len + 1) == 0 &&
	       !strchr(other + len + 1, '.');
}

/* Returns the started members of a run's gang, including the run. */
static GArray *find_gang_members(const struct steppe_worker *w,
				 const struct task_run *run)
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
			    (run->gang_size &&
			     m.run->run_number == run->run_number &&
			     is_same_step(run->task, m.run->task)))
				g_array_append_val(found, m);
		}
	}
	return found;
}

/*
 * Ends a run and the other members of its gang. These end as "broken" unless
 * the run is done.
 */
static void end_run(struct steppe_worker *w, struct task_run *run,
		    const char *reason)
{
	const char *others = g_str_equal(reason, "done") ? reason : "broken";
	GArray *members = find_gang_members(w, run);

	for (guint i = 0; i < members->len; i++) {
		const struct member_run *m =
			&g_array_index(members, struct member_run, i);

		end_single_run(m->worker, m->run,
			       m->run == run ? reason : others);
	}
	g_array_unref(members);
}

/* Sets the end of a run; the duration of a gang starts with its last member. */
static void begin_work(const struct steppe_worker *w, struct task_run *run)
{
	int64_t now_ms = util_monotonic_ms();
	GArray *members;

	run->end_ms = INT64_MAX;
	run->gang_deadline_ms =
		run->gang_size ? now_ms + GANG_WAIT_MS : INT64_MAX;
	members = find_gang_members(w, run);
	for (guint i = 0; members->len >= run->gang_size && i < members->len;
	     i++) {
		struct task_run *m =
			g_array_index(members, struct member_run, i).run;

		m->end_ms = now_ms + run->duration_ms;
		m->gang_deadline_ms = INT64_MAX;
	}
	g_array_unref(members);
}

static void run_free(gpointer data)
{
	struct task_run *run = data;

	g_free(run->task);
	g_free(run);
}

static json_object *encode_task_lists(const struct steppe_worker *w)
{
	json_object *body = json_object_new_object();
	json_object *running = json_object_new_array();
	json_object *ended = json_object_new_array();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct task_run *run = item;
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_string(run->task));
		json_object_array_add(e,
				      json_object_new_int64(run->run_number));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(e, json_object_new_int64(50));
		json_object_array_add(running, e);
	}
	for (guint i = 0; i < w->ends->len; i++) {
		const struct task_end *end = w->ends->pdata[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_int64(end->cursor));
		json_object_array_add(e, json_object_new_string(end->task));
		json_object_array_add(e,
				      json_object_new_int64(end->run_number));
		json_object_array_add(e, json_object_new_string(end->reason));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(ended, e);
	}
	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	steppe_add_int(body, "born", w->incarnation_start_ms);
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
		http_request_reply(h->request, 200, encode_task_lists(w));
		g_ptr_array_remove_index_fast(w->holds, i);
	}
}

/* Returns a run that has to end by now, NULL if there is none. */
static struct task_run *find_due_run(const struct steppe_worker *w,
				     int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct task_run *run = item;

		if (now_ms >= run->end_ms || now_ms >= run->gang_deadline_ms ||
		    now_ms >= w->lease_until_ms)
			return run;
	}
	return NULL;
}

static const char *end_reason(const struct task_run *run, int64_t now_ms)
{
	if (now_ms >= run->end_ms)
		return run->will_fail ? "failed" : "done";
	return now_ms >= run->gang_deadline_ms ? "alone" : "lapsed";
}

void steppe_worker_tick(struct steppe_worker *w)
{
	int64_t now_ms = util_monotonic_ms();
	struct task_run *run;

	/* end_run() also removes other gang members, so search again. */
	while ((run = find_due_run(w, now_ms)))
		end_run(w, run, end_reason(run, now_ms));
	answer_holds(w);
}

static void reply_refused(struct http_request *r, const char *reason)
{
	json_object *body = json_object_new_object();

	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	steppe_add_text(body, "Reason", reason);
	http_request_reply(r, 409, body);
}

static void reply_accepted(struct http_request *r)
{
	json_object *body = json_object_new_object();

	steppe_add_int(body, "ClockMs", util_monotonic_ms());
	http_request_reply(r, 200, body);
}

/*
 * Checks instance and epoch of a call and extends the lease. Returns the body,
 * or NULL after replying to a call that is not accepted.
 */
static json_object *accept_call(struct steppe_worker *w, struct http_request *r)
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
		reply_refused(r, "fence");
		return NULL;
	}
	w->epoch = json_member_int(body, "Fence");
	w->lease_until_ms =
		MAX(w->lease_until_ms, json_member_int(body, "UntilMs"));
	return body;
}

/* Returns the number N after a name, such as "gang=", in a payload. */
static int64_t payload_int(const char *payload, const char *name,
			   int64_t fallback)
{
	const char *at = strstr(payload, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void handle_start(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = accept_call(w, r);
	const int64_t *ended;
	const char *task;
	struct task_run *run;

	if (!body)
		return;
	task = steppe_text(body, "Task");
	ended = g_hash_table_lookup(w->highest_ended_run, task);
	run = g_hash_table_lookup(w->runs, task);
	if (ended && json_member_int(body, "Run") <= *ended) {
		reply_refused(r, "old");
		return;
	}
	if (!run) {
		run = g_new0(struct task_run, 1);
		run->task = g_strdup(task);
		run->run_number = json_member_int(body, "Run");
		run->duration_ms = payload_int(steppe_text(body, "Spec"),
					       "run_ms=", DEFAULT_RUN_MS);
		run->gang_size =
			payload_int(steppe_text(body, "Spec"), "gang=", 0);
		run->will_fail =
			strstr(steppe_text(body, "Spec"), "fail") != NULL;
		g_hash_table_replace(w->runs, run->task, run);
		w->starts++;
		print_history(w, "start", task, run->run_number, "");
		begin_work(w, run);
	}
	reply_accepted(r);
}

static void handle_stop(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = accept_call(w, r);
	struct task_run *run;

	if (!body)
		return;
	run = g_hash_table_lookup(w->runs, steppe_text(body, "Task"));
	if (run && run->run_number <= json_member_int(body, "Run"))
		end_run(w, run, "stopped");
	else if (!run)
		g_hash_table_replace(w->highest_ended_run,
				     g_strdup(steppe_text(body, "Task")),
				     box(json_member_int(body, "Run")));
	reply_accepted(r);
	answer_holds(w);
}

static void handle_hold(struct http_request *r, void *data)
{
	struct steppe_worker *w = data;
	json_object *body = accept_call(w, r);
	struct waiting_hold *h;

	if (!body)
		return;
	while (w->ends->len) {
		const struct task_end *e = w->ends->pdata[0];

		if (e->cursor > json_member_int(body, "AckCursor"))
			break;
		print_history(w, "ack", e->task, e->run_number, e->reason);
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
	struct task_end *e = data;

	g_free(e->task);
	g_free(e);
}

static void worker_free(struct steppe_worker *w)
{
	http_server_free(w->server);
	g_hash_table_unref(w->runs);
	g_hash_table_unref(w->highest_ended_run);
	g_ptr_array_unref(w->ends);
	g_ptr_array_unref(w->holds);
	g_free(w->id);
	g_free(w);
}

struct steppe_worker *steppe_worker_new(const char *id, const char *listen,
					GPtrArray *peers,
					gboolean prints_history)
{
	struct steppe_worker *w = g_new0(struct steppe_worker, 1);
	char *host = NULL;
	uint16_t port;

	w->id = g_strdup(id);
	w->peers = peers;
	w->prints_history = prints_history;
	w->incarnation_start_ms = util_wall_ms();
	w->server = http_server_new(MAX_BODY_BYTES);
	w->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	w->highest_ended_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->ends = g_ptr_array_new_with_free_func(end_free);
	w->holds = g_ptr_array_new_with_free_func(g_free);
	http_server_add_route(w->server, "POST", API_PREFIX "/run-start",
			      handle_start, w);
	http_server_add_route(w->server, "POST", API_PREFIX "/run-stop",
			      handle_stop, w);
	http_server_add_route(w->server, "POST", API_PREFIX "/hold",
			      handle_hold, w);
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

int64_t steppe_worker_incarnation_start_ms(const struct steppe_worker *w)
{
	return w->incarnation_start_ms;
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
	/* Also ends the gang members on other workers, as "broken". */
	for (g_hash_table_iter_init(&iter, w->runs);
	     g_hash_table_iter_next(&iter, NULL, &item);
	     g_hash_table_iter_init(&iter, w->runs))
		end_run(w, item, "lapsed");
	g_hash_table_remove_all(w->highest_ended_run);
	g_ptr_array_set_size(w->ends, 0);
	for (guint i = 0; i < w->holds->len; i++)
		http_request_close_connection(
			((struct waiting_hold *)w->holds->pdata[i])->request);
	g_ptr_array_set_size(w->holds, 0);
	w->last_cursor = 0;
	w->epoch = 0;
	w->lease_until_ms = 0;
	w->incarnation_start_ms =
		MAX(util_wall_ms(), w->incarnation_start_ms + 1);
}
