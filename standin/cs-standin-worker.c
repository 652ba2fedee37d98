/**
 * @file
 * Stand-in for workers: each runs tasks under leases, rejects commands below
 * the highest epoch seen and serves reports with a lag.
 */
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "standin/common/standin.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define NAME_MAX_BYTES 512
#define MAX_COMMANDS 4096
#define MAX_RESOURCE (INT64_C(1) << 40)
#define MAX_TIME_MS INT64_C(864000000)
#define TICK_MS 10
#define FAILED_TASK_RUN_MS 20
#define KEEP_ENDED_MS 60000 /* time that ended tasks stay in the report */
#define DEFAULT_REPORT_LAG_MS 1000
#define DIGEST_BYTES 20

enum task_state {
	TASK_RESERVED,
	TASK_RUNNING,
	TASK_CHECKPOINTED,
	TASK_DONE,
	TASK_FAILED,
	TASK_STOPPED,
};

static const char *const state_names[] = { "reserved",	   "running",
					   "checkpointed", "done",
					   "failed",	   "stopped" };

/* Resources of a worker or a task. */
struct size {
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
};

struct task {
	char *name;
	enum task_state state;
	gboolean was_started;
	struct size size;
	int64_t lease_until_ms;
	int64_t end_ms;	      /* of a running task */
	int64_t remaining_ms; /* of a checkpointed task */
	int64_t ended_ms;     /* set at creation, updated at the end */
};

struct worker {
	struct http_server *server;
	struct standin_vm vm;
	char *pool;
	struct size free;	   /* unreserved */
	GHashTable *tasks;	   /* name to struct task */
	json_object *report;	   /* served until the next update */
	char digest[DIGEST_BYTES]; /* of the tasks in the report */
	gboolean sends_digest;
	int64_t report_ms; /* time of the last update */
	int64_t report_lag_ms;
	int64_t epoch;	     /* highest seen */
	int64_t is_failing;  /* tasks end early as failed */
	int64_t is_silent;   /* no replies to commands and report reads */
	int64_t delay_ms;    /* before commands are processed */
	json_object *events; /* history of task events */
};

struct command_body {
	int64_t op;
	char *task;
	int64_t accelerators;
	int64_t cores;
	int64_t memory_mb;
	int64_t run_ms;
};

struct commands_body {
	char *pool;
	int64_t epoch;
	char *holder;
	int64_t lease_ms;
	char *known; /* digest of the last report received by the caller */
	GArray *commands;
};

struct control_body {
	int64_t is_failing;
	int64_t is_silent;
	int64_t delay_ms;
};

/* A request that is processed after delay_ms. */
struct delayed_request {
	struct worker *worker;
	struct http_request *request;
};

/* Executes a command; returns NULL, or the reason if it is refused. */
typedef const char *(*command_fn)(struct worker *w,
				  const struct command_body *c,
				  int64_t lease_until_ms);

static void add_event(struct worker *w, const char *task, const char *event)
{
	json_object *json = json_object_new_object();

	json_object_object_add(json, "time_us",
			       json_object_new_int64(util_wall_us()));
	json_object_object_add(json, "task", json_object_new_string(task));
	json_object_object_add(json, "event", json_object_new_string(event));
	json_object_array_add(w->events, json);
}

/* Returns TRUE if a task occupies its resources. */
static gboolean is_live(const struct task *t)
{
	return t->state == TASK_RESERVED || t->state == TASK_RUNNING;
}

static void task_free(gpointer data)
{
	struct task *t = data;

	g_free(t->name);
	g_free(t);
}

static struct task *task_add(struct worker *w, const char *name,
			     enum task_state state)
{
	struct task *t = g_new0(struct task, 1);

	t->name = g_strdup(name);
	t->state = state;
	t->ended_ms = util_monotonic_ms();
	g_hash_table_insert(w->tasks, t->name, t);
	return t;
}

static void task_end(struct worker *w, struct task *t, enum task_state state,
		     const char *event)
{
	t->state = state;
	t->ended_ms = util_monotonic_ms();
	w->free.accelerators += t->size.accelerators;
	w->free.cores += t->size.cores;
	w->free.memory_mb += t->size.memory_mb;
	add_event(w, t->name, event);
}

static const char *reserve(struct worker *w, const struct command_body *c,
			   int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);

	if (t)
		return is_live(t) ? NULL : "ended";
	if (c->accelerators > w->free.accelerators ||
	    c->cores > w->free.cores || c->memory_mb > w->free.memory_mb)
		return "full";
	t = task_add(w, c->task, TASK_RESERVED);
	t->size = (struct size){ c->accelerators, c->cores, c->memory_mb };
	t->lease_until_ms = lease_until_ms;
	w->free.accelerators -= c->accelerators;
	w->free.cores -= c->cores;
	w->free.memory_mb -= c->memory_mb;
	add_event(w, t->name, "reserved");
	return NULL;
}

static const char *start(struct worker *w, const struct command_body *c,
			 int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);

	if (!t)
		return "not reserved";
	if (t->was_started)
		return t->state == TASK_STOPPED ? "ended" : NULL;
	if (t->state != TASK_RESERVED)
		return "ended";
	t->state = TASK_RUNNING;
	t->was_started = TRUE;
	t->end_ms = util_monotonic_ms() +
		    (w->is_failing ? FAILED_TASK_RUN_MS : c->run_ms);
	add_event(w, t->name, "started");
	return NULL;
}

static const char *release(struct worker *w, const struct command_body *c,
			   int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);

	if (t && t->state == TASK_RUNNING)
		return "running";
	if (t && t->state == TASK_RESERVED)
		task_end(w, t, TASK_STOPPED, "released");
	else if (!t)
		task_add(w, c->task, TASK_STOPPED);
	return NULL;
}

static const char *checkpoint(struct worker *w, const struct command_body *c,
			      int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);

	if (!t || (t->state != TASK_RUNNING && t->state != TASK_CHECKPOINTED))
		return "not running";
	if (t->state == TASK_RUNNING) {
		t->remaining_ms = MAX(t->end_ms - util_monotonic_ms(), 0);
		task_end(w, t, TASK_CHECKPOINTED, "checkpointed");
	}
	return NULL;
}

static const char *throttle(struct worker *w, const struct command_body *c,
			    int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);
	int64_t now_ms = util_monotonic_ms();

	if (!t || t->state != TASK_RUNNING)
		return "not running";
	/* Half speed: the remaining time doubles. */
	t->end_ms += MAX(t->end_ms - now_ms, 0);
	return NULL;
}

static const char *stop(struct worker *w, const struct command_body *c,
			int64_t lease_until_ms)
{
	struct task *t = g_hash_table_lookup(w->tasks, c->task);

	if (t && is_live(t))
		task_end(w, t, TASK_STOPPED, "stopped");
	else if (!t) /* so that a later reservation is refused */
		task_add(w, c->task, TASK_STOPPED);
	return NULL;
}

static const char *const op_names[] = { "reserve",    "start",	  "release",
					"checkpoint", "throttle", "stop",
					NULL };

static const command_fn op_functions[] = { reserve,    start,	 release,
					   checkpoint, throttle, stop };

#define COMMAND_SIZE(name_, max_)                                             \
	{                                                                     \
		.name = #name_, .type = FIELD_INT,                            \
		.offset = offsetof(struct command_body, name_), .max = (max_) \
	}

static const struct field_spec command_fields[] = {
	{ .name = "op",
	  .type = FIELD_ENUM,
	  .is_required = TRUE,
	  .offset = offsetof(struct command_body, op),
	  .names = op_names },
	{ .name = "task",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct command_body, task),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	COMMAND_SIZE(accelerators, MAX_RESOURCE),
	COMMAND_SIZE(cores, MAX_RESOURCE),
	COMMAND_SIZE(memory_mb, MAX_RESOURCE),
	COMMAND_SIZE(run_ms, MAX_TIME_MS),
	{ 0 },
};

static const struct schema command_schema = { sizeof(struct command_body),
					      command_fields };

static const struct field_spec commands_fields[] = {
	{ .name = "pool",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct commands_body, pool),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	{ .name = "epoch",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct commands_body, epoch),
	  .max = INT64_MAX },
	{ .name = "holder",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct commands_body, holder),
	  .max = NAME_MAX_BYTES },
	{ .name = "lease_ms",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct commands_body, lease_ms),
	  .max = MAX_TIME_MS },
	{ .name = "known",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct commands_body, known),
	  .max = NAME_MAX_BYTES },
	{ .name = "commands",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct commands_body, commands),
	  .max = MAX_COMMANDS,
	  .schema = &command_schema },
	{ 0 },
};

static const struct schema commands_schema = { sizeof(struct commands_body),
					       commands_fields };

static const struct field_spec control_fields[] = {
	STANDIN_FLAG("fail_tasks", is_failing),
	STANDIN_FLAG("silent", is_silent),
	STANDIN_INT(delay_ms, MAX_TIME_MS),
	{ 0 },
};

static const struct schema control_schema = { sizeof(struct control_body),
					      control_fields };

static json_object *encode_task(const struct task *t, int64_t now_ms)
{
	json_object *json = json_object_new_object();
	int64_t remaining_ms = t->remaining_ms;

	if (t->state == TASK_RUNNING)
		remaining_ms = MAX(t->end_ms - now_ms, 0);
	json_object_object_add(json, "task", json_object_new_string(t->name));
	json_object_object_add(json, "state",
			       json_object_new_string(state_names[t->state]));
	json_object_object_add(json, "remaining_ms",
			       json_object_new_int64(remaining_ms));
	return json;
}

static json_object *encode_free(const struct size *size)
{
	json_object *json = json_object_new_object();

	json_object_object_add(json, "accelerators",
			       json_object_new_int64(size->accelerators));
	json_object_object_add(json, "cores",
			       json_object_new_int64(size->cores));
	json_object_object_add(json, "memory_mb",
			       json_object_new_int64(size->memory_mb));
	return json;
}

static uint64_t task_digest(const struct task *t)
{
	return util_mix64((uint64_t)g_str_hash(t->name) << 8 |
			  (uint64_t)t->state);
}

/* Replaces the report, which is served until the next update. */
static void update_report(struct worker *w, int64_t now_ms)
{
	json_object *tasks = json_object_new_array();
	uint64_t digest = 0;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		json_object_array_add(tasks, encode_task(item, now_ms));
		digest += task_digest(item);
	}
	g_snprintf(w->digest, sizeof(w->digest), "%" G_GINT64_MODIFIER "x",
		   digest);
	json_object_put(w->report);
	w->report = json_object_new_object();
	json_object_object_add(w->report, "tasks", tasks);
	json_object_object_add(w->report, "free", encode_free(&w->free));
	w->report_ms = now_ms;
}

/*
 * Ends a task that is finished or whose lease has expired, whichever is first.
 * Returns TRUE once an ended task is to be removed.
 */
static gboolean task_tick(struct worker *w, struct task *t, int64_t now_ms)
{
	gboolean is_due = t->state == TASK_RUNNING && now_ms >= t->end_ms;

	if (!is_live(t))
		return now_ms - t->ended_ms > KEEP_ENDED_MS;
	if (is_due && t->end_ms < t->lease_until_ms)
		task_end(w, t, w->is_failing ? TASK_FAILED : TASK_DONE,
			 w->is_failing ? "failed" : "done");
	else if (now_ms >= t->lease_until_ms)
		task_end(w, t, TASK_STOPPED, "lapsed");
	return FALSE;
}

static void worker_tick(struct worker *w)
{
	int64_t now_ms = util_monotonic_ms();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		if (task_tick(w, item, now_ms))
			g_hash_table_iter_remove(&iter);
	}
	if (now_ms - w->report_ms >= w->report_lag_ms)
		update_report(w, now_ms);
}

static void renew_leases(struct worker *w, int64_t lease_until_ms)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((struct task *)item)->lease_until_ms = lease_until_ms;
}

static json_object *run_command(struct worker *w, const struct command_body *c,
				int64_t lease_until_ms)
{
	const char *reason = op_functions[c->op](w, c, lease_until_ms);
	json_object *json = json_object_new_object();

	json_object_object_add(json, "task", json_object_new_string(c->task));
	json_object_object_add(
		json, "status",
		json_object_new_string(reason ? "refused" : "ok"));
	if (reason)
		json_object_object_add(json, "reason",
				       json_object_new_string(reason));
	return json;
}

/* Omits tasks and free resources if known is the digest of the report. */
static json_object *encode_report(const struct worker *w, const char *known)
{
	json_object *body = json_object_new_object();
	json_object *tasks = json_object_object_get(w->report, "tasks");
	json_object *free = json_object_object_get(w->report, "free");

	json_object_object_add(body, "epoch", json_object_new_int64(w->epoch));
	if (w->sends_digest)
		json_object_object_add(body, "digest",
				       json_object_new_string(w->digest));
	if (w->sends_digest && known && g_str_equal(known, w->digest)) {
		json_object_object_add(body, "unchanged",
				       json_object_new_boolean(TRUE));
		return body;
	}
	json_object_object_add(body, "tasks", json_object_get(tasks));
	json_object_object_add(body, "free", json_object_get(free));
	return body;
}

static void run_commands(struct worker *w, struct http_request *r,
			 const struct commands_body *body)
{
	int64_t lease_until_ms = util_monotonic_ms() + body->lease_ms;
	json_object *results = json_object_new_array();
	json_object *json;

	w->epoch = body->epoch;
	renew_leases(w, lease_until_ms);
	for (guint i = 0; i < body->commands->len; i++) {
		const struct command_body *c =
			&g_array_index(body->commands, struct command_body, i);

		json_object_array_add(results,
				      run_command(w, c, lease_until_ms));
	}
	json = encode_report(w, body->known);
	json_object_object_add(json, "results", results);
	http_request_reply(r, SOUP_STATUS_OK, json);
}

static void process_commands(struct worker *w, struct http_request *r)
{
	struct commands_body body = { 0 };
	json_object *json;

	if (!standin_decode(r, &commands_schema, &body))
		return;
	worker_tick(w);
	if (!g_str_equal(body.pool, w->pool)) {
		http_request_reply_text(r, SOUP_STATUS_BAD_REQUEST,
					"the worker belongs to another pool\n");
	} else if (body.epoch < w->epoch) {
		json = json_object_new_object();
		json_object_object_add(json, "epoch",
				       json_object_new_int64(w->epoch));
		http_request_reply(r, SOUP_STATUS_CONFLICT, json);
	} else {
		run_commands(w, r, &body);
	}
	schema_clear(&commands_schema, &body);
}

static gboolean on_delay_over(gpointer data)
{
	struct delayed_request *d = data;

	process_commands(d->worker, d->request);
	g_free(d);
	return G_SOURCE_REMOVE;
}

static struct delayed_request *delayed_request_new(struct worker *w,
						   struct http_request *r)
{
	struct delayed_request *d = g_new0(struct delayed_request, 1);

	d->worker = w;
	d->request = r;
	return d;
}

static void handle_commands(struct http_request *r, void *data)
{
	struct worker *w = data;

	if (w->is_silent)
		return; /* the caller runs into its timeout */
	if (!w->delay_ms) {
		process_commands(w, r);
		return;
	}
	g_timeout_add(w->delay_ms, on_delay_over, delayed_request_new(w, r));
}

static void handle_report(struct http_request *r, void *data)
{
	struct worker *w = data;

	if (w->is_silent)
		return;
	worker_tick(w);
	http_request_reply(r, SOUP_STATUS_OK, encode_report(w, NULL));
}

static void handle_control(struct http_request *r, void *data)
{
	struct worker *w = data;
	struct control_body body = { 0 };

	if (!standin_decode(r, &control_schema, &body))
		return;
	standin_set_if_given(&w->is_failing, body.is_failing);
	standin_set_if_given(&w->is_silent, body.is_silent);
	standin_set_if_given(&w->delay_ms, body.delay_ms);
	standin_reply_ok(r);
}

static void handle_history(struct http_request *r, void *data)
{
	struct worker *w = data;
	json_object *body = json_object_new_object();

	json_object_object_add(body, "events", json_object_get(w->events));
	http_request_reply(r, SOUP_STATUS_OK, body);
}

static const struct {
	const char *method;
	const char *prefix;
	http_handler handler;
} routes[] = {
	{ "POST", "/commands", handle_commands },
	{ "GET", "/report", handle_report },
	{ "POST", "/control", handle_control },
	{ "GET", "/history", handle_history },
};

static gboolean worker_open(struct worker *w, const struct standin_options *o,
			    guint index, const struct size *size)
{
	w->free = *size;
	w->pool = g_strdup_printf("%s.%s", o->service, o->failure_domain);
	w->tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, task_free);
	w->events = json_object_new_array();
	w->vm.role = "worker";
	w->vm.accelerators = size->accelerators;
	w->vm.cores = size->cores;
	w->vm.memory_mb = size->memory_mb;
	update_report(w, util_monotonic_ms());
	w->server = http_server_new(MAX_BODY_BYTES);
	for (guint i = 0; i < G_N_ELEMENTS(routes); i++)
		http_server_add_route(w->server, routes[i].method,
				      routes[i].prefix, routes[i].handler, w);
	return standin_listen(o, index, w->server, &w->vm);
}

struct workers {
	struct worker *items;
	gint count;
};

static gboolean on_tick(gpointer data)
{
	struct workers *all = data;

	for (gint i = 0; i < all->count; i++)
		worker_tick(&all->items[i]);
	return G_SOURCE_CONTINUE;
}

int main(int argc, char **argv)
{
	struct standin_options o = { 0 };
	struct size size = { 8, 64, 131072 };
	gint64 report_lag_ms = DEFAULT_REPORT_LAG_MS;
	gboolean is_plain = FALSE;
	const GOptionEntry entries[] = {
		{ "accelerators", 0, 0, G_OPTION_ARG_INT64, &size.accelerators,
		  "Accelerators per worker", "N" },
		{ "cores", 0, 0, G_OPTION_ARG_INT64, &size.cores,
		  "Cores per worker", "N" },
		{ "memory-mb", 0, 0, G_OPTION_ARG_INT64, &size.memory_mb,
		  "Memory per worker", "MB" },
		{ "report-lag-ms", 0, 0, G_OPTION_ARG_INT64, &report_lag_ms,
		  "Time between two updates of the report", "MS" },
		{ "no-digest", 0, 0, G_OPTION_ARG_NONE, &is_plain,
		  "Always reply with all tasks, without a digest", NULL },
		G_OPTION_ENTRY_NULL,
	};
	struct workers all = { 0 };
	struct standin_vm *vms;
	int code = EXIT_FAILURE;

	if (!standin_options_parse(&o, entries, "Stand-in for workers.", argc,
				   argv, &code))
		return code;
	all.count = o.count;
	all.items = g_new0(struct worker, o.count);
	vms = g_new0(struct standin_vm, o.count);
	for (gint i = 0; i < o.count; i++) {
		all.items[i].report_lag_ms = report_lag_ms;
		all.items[i].sends_digest = !is_plain;
		if (!worker_open(&all.items[i], &o, i, &size))
			goto out;
		vms[i] = all.items[i].vm;
	}
	standin_register(&o, vms, o.count);
	g_timeout_add(TICK_MS, on_tick, &all);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	code = EXIT_SUCCESS;
out:
	g_free(vms);
	g_free(all.items);
	return code;
}
