/*
 * Stand-in of a runner: runs work units under a lease, for the time that their
 * Spec names ("run_ms=N"), and reports them. Percentages are whole numbers, as
 * in the example of PROTOCOL.md. AdmissionCheck is false: it starts whatever it
 * is told to start.
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
#define LAPSE_MS (3 * HEARTBEAT_MS)
#define DEFAULT_RUN_MS 1000

struct run {
	char *task;
	char *spec;
	int64_t run;
	int64_t begin_ms;
	int64_t work_ms;
	int64_t gpu;
	gboolean lasts;
	gboolean fails;
	int64_t gang;	/* members, 0 for none */
	gboolean waits; /* for the other members of its gang */
};

struct run_end {
	int64_t number;
	char *task;
	int64_t run;
	const char *how;
};

struct hold {
	struct http_request *request;
	int64_t due_ms;
};

struct runner {
	struct rig *rig;
	char *id;
	char *kind;
	char *rack;
	char *service;
	uint16_t port;
	struct http_server *server; /* NULL while it is down */
	GHashTable *runs;	    /* by task */
	GHashTable *highest;	    /* highest run stopped or ended, by task */
	GPtrArray *ends;
	GPtrArray *holds;
	GPtrArray *dropped; /* requests that get no answer */
	int64_t last_end;
	int64_t fence;
	int64_t lease_until_ms;
	int64_t born_ms;
	int64_t life_begin_ms;
	int64_t sequence;
	int64_t next_beat_ms;
	int64_t lapse_ms; /* when the store drops the entry, 0: never */
	gboolean drains;  /* has announced that it will leave */
	gboolean is_cut;  /* calls are lost, and it doesn't reach the store */
	double late_share;
	int64_t lose_start_ms; /* lateness of the next start, 0 for none */
	guint tick;
};

static void run_free(gpointer data)
{
	struct run *r = data;

	g_free(r->task);
	g_free(r->spec);
	g_free(r);
}

static void end_free(gpointer data)
{
	struct run_end *e = data;

	g_free(e->task);
	g_free(e);
}

/* The runner's own steady clock, which starts anew with each life. */
static int64_t clock_ms(const struct runner *w)
{
	return util_monotonic_ms() - w->life_begin_ms;
}

static int64_t *box(int64_t value)
{
	int64_t *p = g_new(int64_t, 1);

	*p = value;
	return p;
}

static void record(struct runner *w, const struct run *run, gboolean is_start,
		   const char *how)
{
	struct run_event e = {
		.at_ms = rig_now(w->rig),
		.is_start = is_start,
		.runner = g_strdup(w->id),
		.label = g_strdup(w->kind),
		.task = g_strdup(run->task),
		.spec = g_strdup(run->spec),
		.run = run->run,
		.how = how,
		.is_late = w->rig->is_late_order,
		.gpu_used = runner_gpu_used(w),
	};

	g_array_append_val(w->rig->events, e);
	rig_log(w->rig,
		"runner %s (kind %s): %s of %s, run %" G_GINT64_FORMAT
		", at %" G_GINT64_FORMAT " ms of %" G_GINT64_FORMAT "%s%s",
		w->id, w->kind, is_start ? "start" : "end", run->task, run->run,
		util_monotonic_ms() - run->begin_ms, run->work_ms,
		is_start ? "" : ": ", is_start ? "" : how);
}

/* Remembers that a run was stopped or ended: no run of its task that is not
 * higher will start. */
static void raise_highest(struct runner *w, const char *task, int64_t run)
{
	const int64_t *highest = g_hash_table_lookup(w->highest, task);

	if (!highest || *highest < run)
		g_hash_table_replace(w->highest, g_strdup(task), box(run));
}

/* Removes a run; its end is listed unless the runner is lost. */
static void end_run(struct runner *w, struct run *run, const char *how)
{
	struct run_end *e = g_new0(struct run_end, 1);

	record(w, run, FALSE, how);
	e->number = ++w->last_end;
	e->task = g_strdup(run->task);
	e->run = run->run;
	e->how = how;
	g_ptr_array_add(w->ends, e);
	raise_highest(w, run->task, run->run);
	g_hash_table_remove(w->runs, run->task);
}

static int64_t percent(const struct run *run)
{
	int64_t passed_ms = util_monotonic_ms() - run->begin_ms;

	if (run->waits)
		return 0;
	if (run->lasts)
		return 100;
	return MIN(passed_ms * 100 / MAX(run->work_ms, 1), 99);
}

static json_object *lists(const struct runner *w)
{
	json_object *body = json_object_new_object();
	json_object *running = json_object_new_array();
	json_object *ended = json_object_new_array();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct run *run = item;
		json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string(run->task));
		json_object_array_add(row, json_object_new_int64(run->run));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(row, json_object_new_int64(percent(run)));
		json_object_array_add(running, row);
	}
	for (guint i = 0; i < w->ends->len && i < 500; i++) {
		const struct run_end *e = w->ends->pdata[i];
		json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_int64(e->number));
		json_object_array_add(row, json_object_new_string(e->task));
		json_object_array_add(row, json_object_new_int64(e->run));
		json_object_array_add(row, json_object_new_string(e->how));
		json_object_array_add(row, json_object_new_string(""));
		json_object_array_add(ended, row);
	}
	steppe_add_int(body, "ClockMs", clock_ms(w));
	steppe_add_int(body, "born", w->born_ms);
	json_object_object_add(body, "Running", running);
	json_object_object_add(body, "Ended", ended);
	return body;
}

static void answer_holds(struct runner *w)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = w->holds->len; i-- > 0;) {
		struct hold *h = w->holds->pdata[i];

		if (!w->ends->len && now_ms < h->due_ms)
			continue;
		http_request_reply(h->request, 200, lists(w));
		g_ptr_array_remove_index_fast(w->holds, i);
	}
}

static void write_entry(struct runner *w)
{
	char *text = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\","
		"\"Zone\":\"lagos-ikeja\",\"Version\":\"1\",\"Slots\":8,"
		"\"State\":\"%s\"%s,\"Capacity\":{\"Cpu\":%d,\"MemMb\":%d,"
		"\"Gpu\":%d},\"Labels\":[\"%s\",\"%s\"],"
		"\"born\":%" G_GINT64_FORMAT ",\"Sequence\":%" G_GINT64_FORMAT
		"}",
		w->service, w->port, w->drains ? "draining" : "ready",
		w->drains ? ",\"DrainRemainingMs\":2000" : "", RUNNER_CPU,
		RUNNER_MEM_MB, RUNNER_GPU, w->kind, w->rack, w->born_ms,
		++w->sequence);

	store_put(w->rig->store, "servers", w->id, text);
	if (w->sequence == 1)
		rig_log(w->rig, "runner %s: entry in the store: %s", w->id,
			text);
	g_free(text);
}

struct member {
	struct runner *runner;
	struct run *run;
};

/* Returns the present members of a run's gang, or the run alone. */
static GArray *members_of(struct runner *w, struct run *run)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct member));
	gsize len = (gsize)(strrchr(run->task, '.') - run->task) + 1;

	for (guint i = 0; run->gang && i < w->rig->runners->len; i++) {
		struct member m = { .runner = w->rig->runners->pdata[i] };
		GHashTableIter iter;
		gpointer item;

		g_hash_table_iter_init(&iter, m.runner->runs);
		while (g_hash_table_iter_next(&iter, NULL, &item)) {
			m.run = item;
			if (m.run->run == run->run &&
			    strncmp(m.run->task, run->task, len) == 0)
				g_array_append_val(found, m);
		}
	}
	if (!run->gang) {
		struct member m = { w, run };

		g_array_append_val(found, m);
	}
	return found;
}

/* Ends a run and, as "broken" or "done", the others of its gang. */
static void end_all(struct runner *w, struct run *run, const char *how)
{
	GArray *found = members_of(w, run);
	gboolean is_done = g_str_equal(how, "done");

	for (guint i = 0; i < found->len; i++) {
		struct member *m = &g_array_index(found, struct member, i);
		gboolean is_it = m->run == run;

		end_run(m->runner, m->run, is_it || is_done ? how : "broken");
	}
	g_array_unref(found);
}

static void begin_gang(struct runner *w, struct run *run)
{
	GArray *found;

	if (!run->gang)
		return;
	run->waits = TRUE;
	found = members_of(w, run);
	for (guint i = 0; (int64_t)found->len == run->gang && i < found->len;
	     i++) {
		struct run *other = g_array_index(found, struct member, i).run;

		other->waits = FALSE;
		other->begin_ms = util_monotonic_ms();
	}
	g_array_unref(found);
}

static void end_due_runs(struct runner *w, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct run *run = item;
		const char *how = NULL;

		if (clock_ms(w) >= w->lease_until_ms)
			how = "lapsed";
		else if (run->waits && now_ms - run->begin_ms >= GANG_MS)
			how = "alone";
		else if (!run->waits && (!run->lasts || run->fails) &&
			 now_ms - run->begin_ms >= run->work_ms)
			how = run->fails ? "failed" : "done";
		if (!how)
			continue;
		end_all(w, run, how);
		g_hash_table_iter_init(&iter, w->runs);
	}
}

static gboolean on_tick(gpointer data)
{
	struct runner *w = data;
	int64_t now_ms = util_monotonic_ms();

	if (w->lapse_ms && now_ms >= w->lapse_ms) {
		w->lapse_ms = 0;
		store_remove(w->rig->store, "servers", w->id);
		rig_log(w->rig, "store: the entry of %s is removed", w->id);
	}
	if (!w->server)
		return G_SOURCE_CONTINUE;
	if (now_ms >= w->next_beat_ms && !w->is_cut) {
		w->next_beat_ms = now_ms + HEARTBEAT_MS;
		w->lapse_ms = 0;
		write_entry(w);
	}
	end_due_runs(w, now_ms);
	answer_holds(w);
	return G_SOURCE_CONTINUE;
}

static void refuse(const struct runner *w, struct http_request *r,
		   const char *reason)
{
	json_object *body;

	if (!r)
		return;
	body = json_object_new_object();

	steppe_add_int(body, "ClockMs", clock_ms(w));
	steppe_add_text(body, "Reason", reason);
	http_request_reply(r, 409, body);
}

static void accept_call(const struct runner *w, struct http_request *r)
{
	json_object *body;

	if (!r)
		return;
	body = json_object_new_object();

	steppe_add_int(body, "ClockMs", clock_ms(w));
	http_request_reply(r, 200, body);
}

/* Closes the connections of calls that were left unanswered. */
static void close_dropped(struct runner *w)
{
	for (guint i = 0; i < w->dropped->len; i++)
		http_request_close_connection(w->dropped->pdata[i]);
	g_ptr_array_set_size(w->dropped, 0);
}

static void do_start(struct runner *w, struct http_request *r,
		     json_object *body);
static void do_stop(struct runner *w, struct http_request *r,
		    json_object *body);

struct late_order {
	struct runner *runner;
	json_object *body;
	gboolean is_start;
};

static gboolean on_late_order(gpointer data)
{
	struct late_order *o = data;
	struct runner *w = o->runner;

	if (w->server && !w->is_cut &&
	    json_member_int(o->body, "Fence") >= w->fence) {
		rig_log(w->rig, "runner %s carries out a late %s of %s", w->id,
			o->is_start ? "start" : "stop",
			steppe_text(o->body, "Task"));
		w->fence = json_member_int(o->body, "Fence");
		if (o->is_start)
			w->lease_until_ms =
				MAX(w->lease_until_ms,
				    MIN(json_member_int(o->body, "UntilMs"),
					clock_ms(w) + HOLD_MAX_MS));
		w->rig->is_late_order = TRUE;
		if (o->is_start)
			do_start(w, NULL, o->body);
		else
			do_stop(w, NULL, o->body);
		w->rig->is_late_order = FALSE;
	}
	json_object_put(o->body);
	g_free(o);
	return G_SOURCE_REMOVE;
}

/* Leaves a call unanswered, and maybe carries it out late. */
static gboolean is_lost(struct runner *w, struct http_request *r,
			gboolean is_start, gboolean is_stop)
{
	gboolean is_late =
		(is_start && w->lose_start_ms) ||
		((is_start || is_stop) && g_random_double() < w->late_share);
	int64_t late_ms = w->lose_start_ms ? w->lose_start_ms
					   : g_random_int_range(2000, 12000);
	json_object *body;

	if (!w->is_cut && !is_late)
		return FALSE;
	body = is_late && !w->is_cut ? http_request_json(r) : NULL;
	if (body) {
		struct late_order *o = g_new0(struct late_order, 1);

		o->runner = w;
		o->body = json_object_get(body);
		o->is_start = is_start;
		rig_log(w->rig, "runner %s leaves a %s of %s unanswered", w->id,
			is_start ? "start" : "stop", steppe_text(body, "Task"));
		g_timeout_add((guint)late_ms, on_late_order, o);
		w->lose_start_ms = 0;
	}
	g_ptr_array_add(w->dropped, r);
	return TRUE;
}

void runner_set_cut(struct runner *w, gboolean is_cut)
{
	w->is_cut = is_cut;
	rig_log(w->rig, "runner %s is %s", w->id,
		is_cut ? "cut off" : "reachable again");
	w->next_beat_ms = util_monotonic_ms();
	if (!is_cut)
		close_dropped(w);
	if (is_cut)
		w->lapse_ms = util_monotonic_ms() + LAPSE_MS;
}

void runner_lose_start(struct runner *w, int64_t late_ms)
{
	w->lose_start_ms = late_ms;
}

void runner_set_late(struct runner *w, double share)
{
	w->late_share = share;
}

/* Checks the intended runner and the fence, and takes the lease. */
static json_object *check(struct runner *w, struct http_request *r)
{
	const char *instance = http_request_header(r, "Expect-Instance");
	json_object *body = http_request_json(r);
	int64_t until_ms;

	if (!body)
		return NULL;
	if (instance && !g_str_equal(instance, w->id)) {
		http_request_reply_empty(r, 421);
		return NULL;
	}
	if (json_member_int(body, "Fence") < w->fence) {
		refuse(w, r, "fence");
		return NULL;
	}
	w->fence = json_member_int(body, "Fence");
	until_ms = MIN(json_member_int(body, "UntilMs"),
		       clock_ms(w) + HOLD_MAX_MS);
	w->lease_until_ms = MAX(w->lease_until_ms, until_ms);
	return body;
}

static int64_t spec_int(const char *spec, const char *name, int64_t fallback)
{
	const char *at = strstr(spec, name);

	return at ? g_ascii_strtoll(at + strlen(name), NULL, 10) : fallback;
}

static void do_start(struct runner *w, struct http_request *r,
		     json_object *body)
{
	const int64_t *highest;
	struct run *run;

	highest = g_hash_table_lookup(w->highest, steppe_text(body, "Task"));
	run = g_hash_table_lookup(w->runs, steppe_text(body, "Task"));
	if (highest && json_member_int(body, "Run") <= *highest) {
		refuse(w, r, "old");
		return;
	}
	if (json_member_int(body, "UntilMs") <= clock_ms(w)) {
		refuse(w, r, "late");
		return;
	}
	if (!run) {
		run = g_new0(struct run, 1);
		run->task = g_strdup(steppe_text(body, "Task"));
		run->spec = g_strdup(steppe_text(body, "Spec"));
		run->run = json_member_int(body, "Run");
		run->begin_ms = util_monotonic_ms();
		run->work_ms = spec_int(run->spec, "run_ms=", DEFAULT_RUN_MS);
		run->gpu = spec_int(run->spec, "gpu=", 0);
		run->lasts = strstr(run->spec, "lasts") != NULL;
		run->fails = g_random_int_range(0, 100) <
			     spec_int(run->spec, "fail=", 0);
		run->gang = spec_int(run->spec, "gang=", 0);
		g_hash_table_replace(w->runs, run->task, run);
		record(w, run, TRUE, NULL);
		begin_gang(w, run);
	}
	accept_call(w, r);
}

static void handle_start(struct http_request *r, void *data)
{
	struct runner *w = data;
	json_object *body;

	if (is_lost(w, r, TRUE, FALSE))
		return;
	body = check(w, r);
	if (body)
		do_start(w, r, body);
}

static void do_stop(struct runner *w, struct http_request *r, json_object *body)
{
	struct run *run;

	run = g_hash_table_lookup(w->runs, steppe_text(body, "Task"));
	if (run && run->run <= json_member_int(body, "Run"))
		end_all(w, run, "stopped");
	else if (!run)
		raise_highest(w, steppe_text(body, "Task"),
			      json_member_int(body, "Run"));
	accept_call(w, r);
	answer_holds(w);
}

static void handle_stop(struct http_request *r, void *data)
{
	struct runner *w = data;
	json_object *body;

	if (is_lost(w, r, FALSE, TRUE))
		return;
	body = check(w, r);
	if (body)
		do_stop(w, r, body);
}

static void handle_hold(struct http_request *r, void *data)
{
	struct runner *w = data;
	json_object *body;
	struct hold *h;

	if (is_lost(w, r, FALSE, FALSE))
		return;
	body = check(w, r);
	if (!body)
		return;
	while (w->ends->len) {
		const struct run_end *e = w->ends->pdata[0];

		if (e->number > json_member_int(body, "AckCursor"))
			break;
		if (g_str_equal(e->how, "done"))
			g_hash_table_add(w->rig->done, g_strdup(e->task));
		g_ptr_array_remove_index(w->ends, 0);
	}
	h = g_new0(struct hold, 1);
	h->request = r;
	h->due_ms = util_monotonic_ms() + json_member_int(body, "WaitMs");
	g_ptr_array_add(w->holds, h);
	answer_holds(w);
}

static void listen_at_port(struct runner *w)
{
	w->server = http_server_new(MAX_BODY_BYTES);
	http_server_add_route(w->server, "POST", API "/run-start", handle_start,
			      w);
	http_server_add_route(w->server, "POST", API "/run-stop", handle_stop,
			      w);
	http_server_add_route(w->server, "POST", API "/hold", handle_hold, w);
	if (http_server_listen(w->server, "127.0.0.1", w->port) != STATUS_OK)
		g_error("runner %s: %s", w->id, status_last_message());
	w->port = http_server_port(w->server);
}

struct runner *runner_new(struct rig *g, const char *id, const char *kind,
			  const char *rack)
{
	return runner_new_of(g, SERVICE, id, kind, rack);
}

struct runner *runner_new_of(struct rig *g, const char *service, const char *id,
			     const char *kind, const char *rack)
{
	struct runner *w = g_new0(struct runner, 1);

	w->rig = g;
	w->id = g_strdup(id);
	w->kind = g_strdup(kind);
	w->rack = g_strdup(rack);
	w->service = g_strdup(service);
	w->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	w->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->ends = g_ptr_array_new_with_free_func(end_free);
	w->holds = g_ptr_array_new_with_free_func(g_free);
	w->dropped = g_ptr_array_new();
	w->born_ms = util_wall_ms();
	w->life_begin_ms = util_monotonic_ms();
	listen_at_port(w);
	w->tick = g_timeout_add(TICK_MS, on_tick, w);
	g_ptr_array_add(g->runners, w);
	on_tick(w);
	return w;
}

const char *runner_id(const struct runner *w)
{
	return w->id;
}

guint runner_running(const struct runner *w)
{
	return g_hash_table_size(w->runs);
}

int64_t runner_gpu_used(const struct runner *w)
{
	GHashTableIter iter;
	int64_t used = 0;
	gpointer item;

	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		used += ((struct run *)item)->gpu;
	return used;
}

void runner_crash(struct runner *w)
{
	GHashTableIter iter;
	gpointer item;

	rig_log(w->rig, "runner %s crashes", w->id);
	g_hash_table_iter_init(&iter, w->runs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		GArray *found = members_of(w, item);

		record(w, item, FALSE, "lost with the runner");
		for (guint i = 0; i < found->len; i++) {
			struct member *m =
				&g_array_index(found, struct member, i);

			if (m->runner != w)
				end_run(m->runner, m->run, "broken");
		}
		g_array_unref(found);
	}
	g_hash_table_remove_all(w->runs);
	g_hash_table_remove_all(w->highest);
	g_ptr_array_set_size(w->ends, 0);
	for (guint i = 0; i < w->holds->len; i++)
		http_request_close_connection(
			((struct hold *)w->holds->pdata[i])->request);
	g_ptr_array_set_size(w->holds, 0);
	close_dropped(w);
	http_server_free(w->server);
	w->server = NULL;
	w->last_end = 0;
	w->fence = 0;
	w->lease_until_ms = 0;
	w->sequence = 0;
	w->lapse_ms = w->next_beat_ms - HEARTBEAT_MS + LAPSE_MS;
}

void runner_restart(struct runner *w, const char *kind, int64_t register_ms)
{
	g_free(w->kind);
	w->kind = g_strdup(kind);
	w->born_ms = util_wall_ms();
	w->life_begin_ms = util_monotonic_ms();
	w->next_beat_ms = util_monotonic_ms() + register_ms;
	listen_at_port(w);
	rig_log(w->rig, "runner %s starts again as kind %s", w->id, w->kind);
}

void runner_drain(struct runner *w)
{
	w->drains = TRUE;
	rig_log(w->rig, "runner %s drains", w->id);
	w->next_beat_ms = util_monotonic_ms();
}
void runner_leave(struct runner *w)
{
	if (w->server)
		runner_crash(w);
	w->lapse_ms = 0;
	store_remove(w->rig->store, "servers", w->id);
	rig_log(w->rig, "runner %s has left", w->id);
}
void runner_join(struct runner *w, const char *kind)
{
	char *id = g_strdup_printf("%sx", w->id);
	g_free(w->id);
	w->id = id;
	w->drains = FALSE;
	w->port = 0;
	runner_restart(w, kind, 0);
}
