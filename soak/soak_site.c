#include "soak/soak_site.h"

#define READY_TIMEOUT_MS 20000
#define API_KEY "k1"
/* delegate_min_workers above the worker count: the holder calls all workers. */
#define NO_DELEGATES (SOAK_WORKER_COUNT + 1)

/* Builds a configuration with the three job routes and one probe route per
 * version up to this one. */
static json_object *config_json(int64_t version)
{
	static const struct {
		const char *name;
		int64_t priority;
	} routes[] = { { "spot", 0 }, { "bulk", 1 }, { "poison", 1 } };
	GString *text = g_string_new(NULL);
	json_object *json;

	g_string_append_printf(text,
			       "{\"Version\":%" G_GINT64_FORMAT
			       ",\"Services\":[{\"Name\":\"salkhi\"}],"
			       "\"Tenants\":[{\"Name\":\"rescue\",\"ApiKeys\":"
			       "[\"" API_KEY
			       "\"],\"Guaranteed\":{\"Gpu\":16}}],"
			       "\"Routes\":[",
			       version);
	for (guint i = 0; i < G_N_ELEMENTS(routes); i++)
		g_string_append_printf(
			text,
			"{\"Name\":\"%s\",\"Host\":\"wind.example\","
			"\"PathPrefix\":\"/%s/\",\"Service\":\"salkhi\","
			"\"Priority\":%" G_GINT64_FORMAT
			",\"MaxAttempts\":%d,\"Stretch\":1.5,"
			"\"TargetLatencyMs\":250},",
			routes[i].name, routes[i].name, routes[i].priority,
			SOAK_MAX_ATTEMPTS);
	for (int64_t i = 1; i <= version; i++)
		g_string_append_printf(
			text,
			"%s{\"Name\":\"probe-%" G_GINT64_FORMAT
			"\",\"Host\":\"wind.example\",\"PathPrefix\":"
			"\"/probe-%" G_GINT64_FORMAT
			"/\",\"Service\":\"salkhi\",\"Priority\":2,"
			"\"MaxAttempts\":1,\"Stretch\":1.5,"
			"\"TargetLatencyMs\":250}",
			i > 1 ? "," : "", i, i);
	g_string_append(text, "]}");
	json = json_tokener_parse(text->str);
	g_string_free(text, TRUE);
	return json;
}

void soak_site_start_entry(struct soak_site *s, guint index)
{
	struct soak_entry *e = &s->entries[index];
	const struct cluster_entry_spec entry = {
		.index = index,
		.frontend = e->frontend,
		.readiness = e->readiness,
		.internal = e->internal,
		.forward = e->forward,
		.store = s->path_addresses[index],
		.writes_per_s = 800,
		.lease_ms = SOAK_LEASE_MS,
		.delegate_min_workers = s->has_delegates ? 1 : NO_DELEGATES,
	};
	char *log = g_strdup_printf("e%u-%u", index, e->boots++);

	e->seen_config_version = 0;
	e->process = cluster_spawn_entry(s->cluster, &entry, log);
	g_free(log);
}

static gboolean is_ready(void *data)
{
	struct soak_site *s = data;

	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++) {
		if (!cluster_entry_is_ready(s->cluster,
					    s->entries[i].readiness))
			return FALSE;
	}
	return TRUE;
}

/* Starts the platform stand-in, whose workers register the relay's addresses.
 * Adds the routes to the workers to @routes. */
static void start_platform(struct soak_site *s, GPtrArray *routes)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	json_object *config = config_json(++s->config_version);
	char *file = cluster_write_file(s->cluster, "config.json",
					json_object_to_json_string(config));
	const char *const fixed_args[] = { "--listen",	s->store_address,
					   "--service", "salkhi",
					   "--config",	file,
					   "--history" };

	for (guint i = 0; i < G_N_ELEMENTS(fixed_args); i++)
		g_ptr_array_add(args, g_strdup(fixed_args[i]));
	for (guint i = SOAK_ENTRY_COUNT; i < SOAK_PATH_COUNT; i++) {
		char *worker_address = cluster_reserve_address();

		g_ptr_array_add(args, g_strdup("--worker"));
		g_ptr_array_add(args, g_strdup_printf("%s=%s", worker_address,
						      s->path_addresses[i]));
		g_ptr_array_add(routes,
				g_strdup_printf("%s=%s", s->path_addresses[i],
						worker_address));
		g_free(worker_address);
	}
	g_ptr_array_add(args, NULL);
	s->platform = cluster_spawn(s->cluster, "cs-standin-steppe", "platform",
				    (const char *const *)args->pdata);
	json_object_put(config);
	g_free(file);
	g_ptr_array_unref(args);
}

static void start_relay(struct soak_site *s, const GPtrArray *routes)
{
	GPtrArray *args = g_ptr_array_new();
	struct cluster_process *p;

	for (guint i = 0; i < routes->len; i++) {
		g_ptr_array_add(args, (gpointer) "--route");
		g_ptr_array_add(args, routes->pdata[i]);
	}
	g_ptr_array_add(args, NULL);
	p = cluster_spawn(s->cluster, "cs-standin-relay", "relay",
			  (const char *const *)args->pdata);
	s->relay_control = cluster_log_value(p, "control", 0);
	g_ptr_array_unref(args);
}

struct soak_site *soak_site_new(gboolean has_delegates)
{
	struct soak_site *s = g_new0(struct soak_site, 1);
	GPtrArray *routes = g_ptr_array_new_with_free_func(g_free);

	s->has_delegates = has_delegates;
	s->cluster = cluster_new();
	s->store_address = cluster_reserve_address();
	for (guint i = 0; i < SOAK_PATH_COUNT; i++)
		s->path_addresses[i] = cluster_reserve_address();
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++)
		g_ptr_array_add(routes,
				g_strdup_printf("%s=%s", s->path_addresses[i],
						s->store_address));
	start_platform(s, routes);
	start_relay(s, routes);
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++) {
		s->entries[i].frontend = cluster_reserve_address();
		s->entries[i].readiness = cluster_reserve_address();
		s->entries[i].internal = cluster_reserve_address();
		s->entries[i].forward = cluster_reserve_address();
		soak_site_start_entry(s, i);
	}
	g_assert_true(cluster_wait(is_ready, s, READY_TIMEOUT_MS));
	g_ptr_array_unref(routes);
	return s;
}

void soak_site_free(struct soak_site *s, gboolean keeps_logs)
{
	s->cluster->keeps_logs = keeps_logs;
	cluster_free(s->cluster);
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++) {
		g_free(s->entries[i].frontend);
		g_free(s->entries[i].readiness);
		g_free(s->entries[i].internal);
		g_free(s->entries[i].forward);
	}
	for (guint i = 0; i < SOAK_PATH_COUNT; i++)
		g_free(s->path_addresses[i]);
	g_free(s->relay_control);
	g_free(s->store_address);
	g_free(s);
}

void soak_site_change_config(struct soak_site *s)
{
	json_object *config = config_json(++s->config_version);
	char *body = g_strdup_printf("{\"config\":%s}",
				     json_object_to_json_string(config));

	cluster_control(s->cluster, s->store_address, body);
	g_free(body);
	json_object_put(config);
}
