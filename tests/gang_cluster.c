#include "tests/gang_cluster.h"

#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "job/job_record.h"

#define READY_TIMEOUT_MS 20000
/* Defaults of cs-standin-worker. */
#define WORKER_ACCELERATORS 8
#define WORKER_CORES 64
#define WORKER_MEMORY_MB 131072
#define ROWS_PATH "/table/jobs/salkhi.tov-a%2F"

static const struct gang_cluster_options defaults = { 0 };

void gang_cluster_start_scheduler(struct gang_cluster *g, guint index)
{
	char *name = g_strdup_printf("sched%u-%u", index,
				     g->cluster->processes->len);
	struct cluster_node_spec node = {
		.node = name,
		.platform = g->platform,
		.impossible_grace_ms = g->options.impossible_grace_ms
	};

	g_free(g->addresses[index]);
	g->addresses[index] = cluster_reserve_address();
	node.http = g->addresses[index];
	node.link = g->links[index];
	node.seeds = (const char *const *)g->links;
	g->schedulers[index] =
		cluster_spawn_node(g->cluster, "csschedd", &node);
	g_free(name);
}

/* Returns the last worker's rack; the other workers are in r0. */
static const char *last_rack(const struct gang_cluster *g)
{
	return g->options.is_one_rack ? "r0" : "r";
}

/*
 * Starts the relay and registers the last worker under the relay's address; the
 * worker itself runs without --platform.
 */
static void relay_last_worker(struct gang_cluster *g)
{
	char *route = g_strdup_printf("127.0.0.1:0=%s", g->workers[2]);
	struct cluster_process *p =
		cluster_spawn(g->cluster, "cs-standin-relay", "relay",
			      CLUSTER_ARGS("--route", route));
	char *address = cluster_listen_address(p, 0);
	char *body = g_strdup_printf(
		"{\"add_vms\":[{\"vm\":\"v0\",\"role\":\"worker\","
		"\"service\":\"salkhi\",\"failure_domain\":\"tov-a\","
		"\"rack\":\"%s\",\"state\":\"live\",\"address\":\"%s\","
		"\"accelerators\":%d,\"cores\":%d,\"memory_mb\":%d}]}",
		last_rack(g), address, WORKER_ACCELERATORS, WORKER_CORES,
		WORKER_MEMORY_MB);

	g->relay_control = cluster_log_value(p, "control", 0);
	cluster_control(g->cluster, g->platform, body);
	g_free(body);
	g_free(address);
	g_free(route);
}

static void start_workers(struct gang_cluster *g, gboolean is_relayed)
{
	g->worker_processes[0] =
		cluster_spawn(g->cluster, "cs-standin-worker", "workers",
			      CLUSTER_ARGS("--platform", g->platform, "--vm",
					   "w", "--count", "2"));
	g->worker_processes[1] = cluster_spawn(
		g->cluster, "cs-standin-worker", "last-worker",
		is_relayed
			? CLUSTER_ARGS("--vm", "v0", "--rack", last_rack(g),
				       "--no-digest")
			: CLUSTER_ARGS("--platform", g->platform, "--vm", "v0",
				       "--rack", last_rack(g), "--no-digest"));
	g->workers[0] = cluster_listen_address(g->worker_processes[0], 0);
	g->workers[1] = cluster_listen_address(g->worker_processes[0], 1);
	g->workers[2] = cluster_listen_address(g->worker_processes[1], 0);
	if (is_relayed)
		relay_last_worker(g);
}

static json_object *pool_status(struct gang_cluster *g, guint index)
{
	struct cluster_reply r =
		cluster_call(g->cluster, "GET", g->addresses[index],
			     "/v1/status", NULL, NULL, 300);
	json_object *services = NULL;
	json_object *jobs = NULL;
	json_object *pool = NULL;

	if (r.code == 200 &&
	    json_object_object_get_ex(r.body, "services", &services) &&
	    json_object_object_get_ex(services, "jobs", &jobs) &&
	    json_object_object_get_ex(jobs, GANG_POOL, &pool))
		json_object_get(pool);
	cluster_reply_clear(&r);
	return pool;
}

static gboolean is_active(struct gang_cluster *g, guint index)
{
	json_object *pool = pool_status(g, index);
	const char *phase =
		json_object_get_string(json_object_object_get(pool, "phase"));
	gboolean is_active_phase = g_strcmp0(phase, "active") == 0;

	json_object_put(pool);
	return is_active_phase;
}

int64_t gang_cluster_status_number(struct gang_cluster *g, guint index,
				   const char *member)
{
	json_object *pool = pool_status(g, index);
	int64_t count = -1;

	if (pool)
		count = json_object_get_int64(
			json_object_object_get(pool, member));
	json_object_put(pool);
	return count;
}

int64_t gang_cluster_usable_workers(struct gang_cluster *g)
{
	int holder = gang_cluster_holder(g);

	if (holder < 0)
		return -1;
	return gang_cluster_status_number(g, (guint)holder, "usable_workers");
}

int gang_cluster_holder(struct gang_cluster *g)
{
	for (guint i = 0; i < g->scheduler_count; i++) {
		if (cluster_is_running(g->schedulers[i]) && is_active(g, i))
			return (int)i;
	}
	return -1;
}

struct holder_wait {
	struct gang_cluster *cluster;
	int holder;
};

static gboolean has_holder(void *data)
{
	struct holder_wait *w = data;

	w->holder = gang_cluster_holder(w->cluster);
	return w->holder >= 0;
}

guint gang_cluster_wait_holder(struct gang_cluster *g)
{
	struct holder_wait w = { g, -1 };
	gboolean is_found = cluster_wait(has_holder, &w, READY_TIMEOUT_MS);

	g_assert_true(is_found);
	return (guint)w.holder;
}

static gboolean is_ready(void *data)
{
	const struct gang_cluster *g = data;

	return gang_cluster_usable_workers(data) ==
	       GANG_WORKERS + g->cpu_only_workers;
}

static void start_cpu_only_workers(struct gang_cluster *g)
{
	char *count = g_strdup_printf("%u", g->cpu_only_workers);

	cluster_spawn(g->cluster, "cs-standin-worker", "cpu-only-workers",
		      CLUSTER_ARGS("--platform", g->platform, "--vm", "x",
				   "--count", count, "--accelerators", "0"));
	g_free(count);
}

static struct gang_cluster *start_all(guint schedulers, gboolean is_relayed,
				      guint cpu_only_workers,
				      const struct gang_cluster_options *o)
{
	struct gang_cluster *g = g_new0(struct gang_cluster, 1);

	g->options = *o;
	g->cluster = cluster_new();
	g->saved_events = gang_history_new();
	g->platform_process = cluster_spawn(g->cluster, "cs-standin-platform",
					    "platform", NULL);
	g->platform = cluster_listen_address(g->platform_process, 0);
	start_workers(g, is_relayed);
	g->cpu_only_workers = cpu_only_workers;
	if (cpu_only_workers)
		start_cpu_only_workers(g);
	g->scheduler_count = schedulers;
	for (guint i = 0; i < schedulers; i++)
		g->links[i] = cluster_reserve_address();
	for (guint i = 0; i < schedulers; i++)
		gang_cluster_start_scheduler(g, i);
	return g;
}

struct gang_cluster *gang_cluster_start(guint schedulers, gboolean is_relayed)
{
	return start_all(schedulers, is_relayed, 0, &defaults);
}

struct gang_cluster *gang_cluster_start_wide(guint schedulers,
					     gboolean is_relayed,
					     guint cpu_only_workers)
{
	return start_all(schedulers, is_relayed, cpu_only_workers, &defaults);
}

void gang_cluster_wait_ready(struct gang_cluster *g)
{
	g_assert_true(cluster_wait(is_ready, g, READY_TIMEOUT_MS));
}

struct gang_cluster *gang_cluster_open(guint schedulers)
{
	return gang_cluster_open_with(schedulers, &defaults);
}

struct gang_cluster *
gang_cluster_open_with(guint schedulers, const struct gang_cluster_options *o)
{
	struct gang_cluster *g = start_all(schedulers, FALSE, 0, o);

	gang_cluster_wait_ready(g);
	return g;
}

void gang_cluster_close(struct gang_cluster *g)
{
	cluster_free(g->cluster);
	for (guint i = 0; i < GANG_WORKERS; i++)
		g_free(g->workers[i]);
	for (guint i = 0; i < GANG_MAX_SCHEDULERS; i++) {
		g_free(g->addresses[i]);
		g_free(g->links[i]);
	}
	g_array_unref(g->saved_events);
	g_free(g->platform);
	g_free(g->relay_control);
	g_free(g);
}

static guint commit_row(struct gang_cluster *g, const char *id, int64_t version,
			json_object *value)
{
	char *body = g_strdup_printf(
		"{\"writes\":[{\"table\":\"jobs\",\"key\":\"" GANG_POOL
		"/%s\",\"expected_version\":%" G_GINT64_FORMAT
		",\"value\":%s}]}",
		id, version, json_object_to_json_string(value));
	struct cluster_reply r =
		cluster_call(g->cluster, "POST", g->platform, "/commit", body,
			     NULL, CLUSTER_CALL_TIMEOUT_MS);
	guint code = r.code;

	cluster_reply_clear(&r);
	g_free(body);
	return code;
}

void gang_cluster_submit(struct gang_cluster *g,
			 const struct gang_submission *job)
{
	gang_cluster_submit_for(g, job, "a", ADJACENCY_NONE);
}

void gang_cluster_submit_for(struct gang_cluster *g,
			     const struct gang_submission *job,
			     const char *client_account,
			     enum adjacency adjacency)
{
	struct job_record r = {
		.id = g_strdup(job->id),
		.pool = g_strdup(GANG_POOL),
		.client_account = g_strdup(client_account),
		.class = JOB_CLASS_NORMAL,
		.shape = { job->members, job->accelerators, 1, 1, adjacency },
		.run_ms = job->run_ms,
		.expected_run_ms = job->run_ms,
		.is_checkpointable = job->is_checkpointable,
		.submitted_ms = util_wall_ms(),
	};
	json_object *value;

	if (job->class && g_str_equal(job->class, "urgent"))
		r.class = JOB_CLASS_URGENT;
	if (job->class && g_str_equal(job->class, "bulk"))
		r.class = JOB_CLASS_BULK;
	value = job_record_encode(&r);
	g_assert_cmpuint(commit_row(g, job->id, 0, value), ==, 200);
	json_object_put(value);
	job_record_clear(&r);
}

void gang_cluster_poke(struct gang_cluster *g, const char *id)
{
	guint holder = gang_cluster_wait_holder(g);
	char *body = g_strdup_printf(
		"{\"pool\":\"" GANG_POOL "\",\"id\":\"%s\"}", id);
	struct cluster_reply r;

	r = cluster_call(g->cluster, "POST", g->addresses[holder],
			 "/v1/jobs/poke", body, NULL, CLUSTER_CALL_TIMEOUT_MS);
	g_assert_cmpuint(r.code, ==, 202);
	cluster_reply_clear(&r);
	g_free(body);
}

static struct cluster_reply read_row(struct gang_cluster *g, const char *id)
{
	char *path = g_strconcat(ROWS_PATH, id, NULL);
	struct cluster_reply r = cluster_call(g->cluster, "GET", g->platform,
					      path, NULL, NULL, 300);

	g_free(path);
	return r;
}

void gang_cluster_cancel(struct gang_cluster *g, const char *id)
{
	guint code = 0;

	for (int tries = 0; tries < 20 && code != 200; tries++) {
		struct cluster_reply r = read_row(g, id);
		json_object *value = json_object_object_get(r.body, "value");

		/* A read may time out on a busy machine. */
		if (r.code != 200 || !value) {
			cluster_reply_clear(&r);
			continue;
		}
		json_object_object_add(value, "is_cancelled",
				       json_object_new_boolean(TRUE));
		json_object_object_add(value, "commit_id",
				       json_object_new_string("caller"));
		code = commit_row(g, id,
				  json_object_get_int64(json_object_object_get(
					  r.body, "version")),
				  value);
		cluster_reply_clear(&r);
	}
	g_assert_cmpuint(code, ==, 200);
}

char *gang_cluster_row_member(struct gang_cluster *g, const char *id,
			      const char *member)
{
	struct cluster_reply r = read_row(g, id);
	json_object *value = NULL;
	json_object *item = NULL;
	char *text;

	if (r.code == 200 && json_object_object_get_ex(r.body, "value", &value))
		json_object_object_get_ex(value, member, &item);
	text = g_strdup(item ? json_object_get_string(item) : "");
	cluster_reply_clear(&r);
	return text;
}

struct wait {
	struct gang_cluster *cluster;
	const char *id;
	const char *text; /* expected state or kind of event */
	guint count;
};

static gboolean has_state(void *data)
{
	const struct wait *w = data;
	char *state = gang_cluster_row_member(w->cluster, w->id, "state");
	gboolean is_equal = g_str_equal(state, w->text);

	g_free(state);
	return is_equal;
}

gboolean gang_cluster_wait_state(struct gang_cluster *g, const char *id,
				 const char *state, int64_t timeout_ms)
{
	struct wait w = { g, id, state, 0 };

	return cluster_wait(has_state, &w, timeout_ms);
}

static gboolean has_lost_answer(void *data)
{
	struct gang_cluster *g = data;
	struct cluster_reply r =
		cluster_call(g->cluster, "GET", g->platform, "/control/writes",
			     NULL, NULL, 300);
	gboolean has_lost = json_object_get_int64(json_object_object_get(
				    r.body, "lost_answers")) > 0;

	cluster_reply_clear(&r);
	return has_lost;
}

gboolean gang_cluster_wait_lost_answer(struct gang_cluster *g,
				       int64_t timeout_ms)
{
	return cluster_wait(has_lost_answer, g, timeout_ms);
}

static const char *member_text(json_object *item, const char *member)
{
	return json_object_get_string(json_object_object_get(item, member));
}

static void append_events(json_object *body, GArray *events)
{
	json_object *list = json_object_object_get(body, "events");

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *item = json_object_array_get_idx(list, i);

		gang_history_add(events,
				 json_object_get_int64(json_object_object_get(
					 item, "time_us")),
				 member_text(item, "task"),
				 member_text(item, "event"));
	}
}

static void read_history(struct gang_cluster *g, guint worker, GArray *events)
{
	struct cluster_reply r =
		cluster_call(g->cluster, "GET", g->workers[worker], "/history",
			     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);

	if (r.code == 200)
		append_events(r.body, events);
	cluster_reply_clear(&r);
}

/* Returns the events of all workers, sorted by time. */
static GArray *all_events(struct gang_cluster *g)
{
	GArray *events = gang_history_new();

	for (guint i = 0; i < g->saved_events->len; i++) {
		const struct gang_event *e =
			&g_array_index(g->saved_events, struct gang_event, i);

		gang_history_add(events, e->time_us, e->task, e->event);
	}
	for (guint i = 0; i < GANG_WORKERS; i++)
		read_history(g, i, events);
	gang_history_sort(events);
	return events;
}

/* Counts a job's events of a kind; sets last_ms to the time of the last. */
static guint count_events(struct gang_cluster *g, const char *id,
			  const char *event, int64_t *last_ms)
{
	GArray *events = all_events(g);
	char *prefix = g_strconcat(id, "/", NULL);
	guint count = 0;

	for (guint i = 0; i < events->len; i++) {
		const struct gang_event *e =
			&g_array_index(events, struct gang_event, i);

		if (!g_str_has_prefix(e->task, prefix) ||
		    !g_str_equal(e->event, event))
			continue;
		*last_ms = e->time_us / US_PER_MS;
		count++;
	}
	g_free(prefix);
	g_array_unref(events);
	return count;
}

guint gang_cluster_count_events(struct gang_cluster *g, const char *id,
				const char *event)
{
	int64_t last_ms;

	return count_events(g, id, event, &last_ms);
}

int64_t gang_cluster_last_event_ms(struct gang_cluster *g, const char *id,
				   const char *event)
{
	int64_t last_ms = 0;

	count_events(g, id, event, &last_ms);
	return last_ms;
}

static gboolean has_events(void *data)
{
	const struct wait *w = data;

	return gang_cluster_count_events(w->cluster, w->id, w->text) >=
	       w->count;
}

gboolean gang_cluster_wait_events(struct gang_cluster *g, const char *id,
				  const char *event, guint count,
				  int64_t timeout_ms)
{
	struct wait w = { g, id, event, count };

	return cluster_wait(has_events, &w, timeout_ms);
}

void gang_cluster_start_worker(struct gang_cluster *g)
{
	char *name =
		g_strdup_printf("last-worker-%u", g->cluster->processes->len);

	g->worker_processes[1] = cluster_spawn(
		g->cluster, "cs-standin-worker", name,
		CLUSTER_ARGS("--platform", g->platform, "--vm", "v0", "--rack",
			     last_rack(g), "--no-digest"));
	g_free(g->workers[GANG_WORKERS - 1]);
	g->workers[GANG_WORKERS - 1] =
		cluster_listen_address(g->worker_processes[1], 0);
	g_free(name);
}

void gang_cluster_kill_worker(struct gang_cluster *g)
{
	guint first = g->saved_events->len;
	guint last;

	/* Silenced, so that no event follows the history that is read. */
	cluster_control(g->cluster, g->workers[GANG_WORKERS - 1],
			"{\"silent\":true}");
	read_history(g, GANG_WORKERS - 1, g->saved_events);
	cluster_signal(g->worker_processes[1], SIGKILL);
	cluster_wait_exit(g->worker_processes[1], CLUSTER_CALL_TIMEOUT_MS);
	last = g->saved_events->len;
	for (guint i = first; i < last; i++) {
		const struct gang_event *e =
			&g_array_index(g->saved_events, struct gang_event, i);

		if (g_str_equal(e->event, "started"))
			gang_history_add(g->saved_events, util_wall_us(),
					 e->task, "killed");
	}
}

char *gang_cluster_check(struct gang_cluster *g, int64_t bound_ms)
{
	GArray *events = all_events(g);
	char *violation = gang_history_check(events, bound_ms);

	g_array_unref(events);
	return violation;
}

static gboolean is_configured(void *data)
{
	struct gang_cluster *g = data;
	gboolean has_config = TRUE;

	for (guint i = 0; i < g->scheduler_count && has_config; i++) {
		struct cluster_reply r =
			cluster_call(g->cluster, "GET", g->addresses[i],
				     "/v1/config", NULL, NULL, 300);

		has_config = r.code == 200 &&
			     json_object_get_int64(json_object_object_get(
				     r.body, "version")) > 0;
		cluster_reply_clear(&r);
	}
	return has_config;
}

void gang_cluster_configure(struct gang_cluster *g, const char *config)
{
	char *body =
		g_strdup_printf("{\"base_version\":0,\"config\":%s}", config);
	struct cluster_reply r =
		cluster_call(g->cluster, "POST", g->addresses[0], "/v1/config",
			     body, NULL, CLUSTER_CALL_TIMEOUT_MS);

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
	g_free(body);
	g_assert_true(cluster_wait(is_configured, g, READY_TIMEOUT_MS));
}
