#include "tests/fleet.h"

#include <signal.h>
#include <string.h>

#define STATUS_TIMEOUT_MS 500
#define PLATFORM_TIMEOUT_MS 500
#define POST_TIMEOUT_MS 15000
/* Time between two rounds of status requests. */
#define POLL_INTERVAL_MS 50
#define DEFAULT_PROGRAM "csschedd"

/* Starts the relay; routes to the platform come first, then those to links. */
static void start_relay(struct fleet *f)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	struct cluster_process *relay;

	for (guint i = 0; i < 2 * f->count; i++) {
		const char *target = i < f->count ? f->platform
						  : f->nodes[i - f->count].link;

		g_ptr_array_add(args, g_strdup("--route"));
		g_ptr_array_add(args,
				g_strdup_printf("127.0.0.1:0=%s", target));
	}
	g_ptr_array_add(args, NULL);
	relay = cluster_spawn(f->cluster, "cs-standin-relay", "relay",
			      (const char *const *)args->pdata);
	f->relay_control = cluster_log_value(relay, "control", 0);
	for (guint i = 0; i < f->count; i++) {
		f->nodes[i].platform = cluster_listen_address(relay, i);
		f->nodes[i].link_public =
			cluster_listen_address(relay, f->count + i);
	}
	g_ptr_array_unref(args);
}

struct fleet *fleet_new(guint near, guint far)
{
	struct fleet *f = g_new0(struct fleet, 1);
	struct cluster_process *platform;

	f->cluster = cluster_new();
	f->count = near + far;
	platform = cluster_spawn(f->cluster, "cs-standin-platform", "platform",
				 NULL);
	f->platform = cluster_listen_address(platform, 0);
	for (guint i = 0; i < f->count; i++) {
		f->nodes[i].name = g_strdup_printf("n%u", i);
		f->nodes[i].program = DEFAULT_PROGRAM;
		f->nodes[i].failure_domain = i < near ? "tov-a" : "tov-b";
		f->nodes[i].http = cluster_reserve_address();
		f->nodes[i].link = cluster_reserve_address();
	}
	start_relay(f);
	return f;
}

void fleet_free(struct fleet *f)
{
	cluster_free(f->cluster);
	for (guint i = 0; i < f->count; i++) {
		g_free(f->nodes[i].name);
		g_free(f->nodes[i].http);
		g_free(f->nodes[i].link);
		g_free(f->nodes[i].link_public);
		g_free(f->nodes[i].platform);
	}
	g_free(f->platform);
	g_free(f->relay_control);
	g_free(f);
}

void fleet_start(struct fleet *f, guint node)
{
	struct fleet_node *n = &f->nodes[node];
	const char *const seeds[] = { f->nodes[0].link_public,
				      f->nodes[f->count - 1].link_public,
				      NULL };
	struct cluster_node_spec settings = {
		.node = n->name,
		.failure_domain = n->failure_domain,
		.http = n->http,
		.link = n->link,
		.link_public = n->link_public,
		.platform = n->platform,
		.link_secret = "shared",
		.seeds = seeds,
		.platform_timeout_ms = PLATFORM_TIMEOUT_MS,
	};

	n->process = cluster_spawn_node(f->cluster, n->program, &settings);
	n->is_unresponsive = FALSE;
}

void fleet_start_all(struct fleet *f)
{
	for (guint i = 0; i < f->count; i++)
		fleet_start(f, i);
}

void fleet_signal(struct fleet *f, guint node, int signal_number)
{
	cluster_signal(f->nodes[node].process, signal_number);
	f->nodes[node].is_unresponsive = signal_number != SIGCONT;
}

static void control_route(struct fleet *f, guint route, const char *mode)
{
	char *body =
		g_strdup_printf("{\"mode\":\"%s\",\"route\":%u}", mode, route);

	cluster_control(f->cluster, f->relay_control, body);
	g_free(body);
}

void fleet_set_platform_mode(struct fleet *f, guint node, const char *mode)
{
	control_route(f, node, mode);
}

void fleet_set_link_mode(struct fleet *f, guint node, const char *mode)
{
	control_route(f, f->count + node, mode);
}

void fleet_block_link(struct fleet *f, guint from, guint to)
{
	char *body = g_strdup_printf(
		"{\"mode\":\"cut_up\",\"only\":\"%s\",\"route\":%u}",
		f->nodes[from].name, f->count + to);

	cluster_control(f->cluster, f->relay_control, body);
	g_free(body);
}

json_object *fleet_status(struct fleet *f, guint node)
{
	struct cluster_reply r;
	json_object *status;

	if (f->nodes[node].is_unresponsive || !f->nodes[node].process)
		return NULL;
	r = cluster_call(f->cluster, "GET", f->nodes[node].http, "/v1/status",
			 NULL, NULL, STATUS_TIMEOUT_MS);
	status = json_object_get(r.body);
	cluster_reply_clear(&r);
	return status;
}

/* Returns the first list element whose member has a value; not owned. */
static json_object *find_by_member(json_object *status, const char *list,
				   const char *member, const char *value)
{
	json_object *items = json_object_object_get(status, list);

	for (size_t i = 0; items && i < json_object_array_length(items); i++) {
		json_object *item = json_object_array_get_idx(items, i);

		if (g_strcmp0(json_object_get_string(
				      json_object_object_get(item, member)),
			      value) == 0)
			return item;
	}
	return NULL;
}

struct fleet_lease fleet_lease(struct fleet *f, guint node)
{
	struct fleet_lease lease = { 0 };
	json_object *status = fleet_status(f, node);
	json_object *pool = find_by_member(status, "pools", "pool", FLEET_POOL);

	if (pool) {
		g_strlcpy(lease.role,
			  json_object_get_string(
				  json_object_object_get(pool, "role")),
			  sizeof(lease.role));
		lease.epoch = json_object_get_int64(
			json_object_object_get(pool, "epoch"));
	}
	json_object_put(status);
	return lease;
}

int64_t fleet_config_version(struct fleet *f, guint node)
{
	json_object *status = fleet_status(f, node);
	int64_t version = -1;

	if (status)
		version = json_object_get_int64(
			json_object_object_get(status, "config_version"));
	json_object_put(status);
	return version;
}

char *fleet_member_state(struct fleet *f, guint node, guint other)
{
	json_object *status = fleet_status(f, node);
	json_object *member =
		find_by_member(status, "members", "node", f->nodes[other].name);
	char *state = g_strdup(json_object_get_string(
		json_object_object_get(member, "state")));

	json_object_put(status);
	return state;
}

struct cluster_reply fleet_post_config(struct fleet *f, guint node,
				       int64_t base_version,
				       const char *client_account)
{
	char *body = g_strdup_printf(
		"{\"base_version\":%" G_GINT64_FORMAT ",\"operator\":\"%s\","
		"\"config\":{\"format\":1,\"services\":[{\"name\":\"salkhi\","
		"\"failure_domains\":[\"tov-a\",\"tov-b\"]}],"
		"\"client_accounts\":[{\"name\":\"%s\","
		"\"service\":\"salkhi\"}]}}",
		base_version, client_account, client_account);
	struct cluster_reply r =
		cluster_call(f->cluster, "POST", f->nodes[node].http,
			     "/v1/config", body, NULL, POST_TIMEOUT_MS);

	g_free(body);
	return r;
}

struct wait {
	struct fleet *fleet;
	int64_t min; /* epoch or configuration version */
	guint node;
	guint other;
	const char *state;
};

static gboolean has_one_holder(void *data)
{
	struct wait *w = data;
	guint holders = 0;
	int64_t epoch = 0;

	cluster_sleep(POLL_INTERVAL_MS);
	for (guint i = 0; i < w->fleet->count; i++) {
		struct fleet_lease lease = fleet_lease(w->fleet, i);

		if (!g_str_equal(lease.role, "holder"))
			continue;
		w->node = i;
		epoch = lease.epoch;
		holders++;
	}
	return holders == 1 && epoch >= w->min;
}

guint fleet_wait_holder(struct fleet *f, int64_t min_epoch, int64_t timeout_ms)
{
	struct wait w = { .fleet = f, .min = min_epoch };

	g_assert_true(cluster_wait(has_one_holder, &w, timeout_ms));
	return w.node;
}

static gboolean has_config(void *data)
{
	const struct wait *w = data;

	cluster_sleep(POLL_INTERVAL_MS);
	for (guint i = 0; i < w->fleet->count; i++) {
		if (w->fleet->nodes[i].is_unresponsive ||
		    !w->fleet->nodes[i].process)
			continue;
		if (fleet_config_version(w->fleet, i) < w->min)
			return FALSE;
	}
	return TRUE;
}

gboolean fleet_wait_config(struct fleet *f, int64_t version, int64_t timeout_ms)
{
	struct wait w = { .fleet = f, .min = version };

	return cluster_wait(has_config, &w, timeout_ms);
}

static gboolean has_state(void *data)
{
	const struct wait *w = data;
	gboolean has;
	char *state;

	cluster_sleep(POLL_INTERVAL_MS);
	state = fleet_member_state(w->fleet, w->node, w->other);
	has = g_strcmp0(state, w->state) == 0;
	g_free(state);
	return has;
}

gboolean fleet_wait_state(struct fleet *f, guint node, guint other,
			  const char *state, int64_t timeout_ms)
{
	struct wait w = {
		.fleet = f,
		.node = node,
		.other = other,
		.state = state,
	};

	return cluster_wait(has_state, &w, timeout_ms);
}
