#include "tests/entry_site.h"

#include <string.h>

static const char config_text[] = SITE_CONFIG("1", "/spot/", "k1");

struct site_job_wait {
	struct site *site;
	const char *id;
	const char *state;
	guint entry;
};

void site_start_entry(struct site *s, guint i)
{
	const struct cluster_entry_spec entry = {
		.index = i,
		.frontend = s->frontends[i],
		.readiness = s->readiness[i],
		.internal = s->internal[i],
		.forward = s->forwards[i],
		.store = s->paths[i] ? s->paths[i] : s->store,
		.writes_per_s = 500,
		.lease_ms = 3000,
		.delegate_min_workers = s->delegate_min_workers,
		.memory_mb = s->memory_mb,
		.descriptors = s->descriptors,
	};
	char *log =
		g_strdup_printf("e%u-%u.log", i, s->cluster->processes->len);

	s->entries[i] = cluster_spawn_entry(s->cluster, &entry, log);
	g_free(log);
}

gboolean site_is_ready(void *data)
{
	struct site *s = data;

	for (guint i = 0; i < SITE_ENTRIES; i++) {
		if (!cluster_entry_is_ready(s->cluster, s->readiness[i]))
			return FALSE;
	}
	return TRUE;
}

/* Starts a relay with a route from each entry VM to the store. */
static void start_relay(struct site *s)
{
	char *route = g_strdup_printf("127.0.0.1:0=%s", s->store);
	struct cluster_process *relay =
		cluster_spawn(s->cluster, "cs-standin-relay", "relay.log",
			      CLUSTER_ARGS("--route", route, "--route", route));

	s->relay_control = cluster_log_value(relay, "control", 0);
	for (guint i = 0; i < SITE_ENTRIES; i++)
		s->paths[i] = cluster_listen_address(relay, i);
	g_free(route);
}

void site_set_path_mode(struct site *s, guint entry, const char *mode)
{
	char *body =
		g_strdup_printf("{\"mode\":\"%s\",\"route\":%u}", mode, entry);

	cluster_control(s->cluster, s->relay_control, body);
	g_free(body);
}

static void start_site(struct site *s, gboolean has_relay)
{
	char *workers = g_strdup_printf("%d", SITE_WORKERS);
	char *config;

	s->cluster = cluster_new();
	config = cluster_write_file(s->cluster, "config.json", config_text);
	s->store = cluster_reserve_address();
	s->platform = cluster_spawn(
		s->cluster, "cs-standin-steppe", "platform.log",
		CLUSTER_ARGS("--listen", s->store, "--service", "salkhi",
			     "--config", config, "--workers", workers));
	if (has_relay)
		start_relay(s);
	for (guint i = 0; i < SITE_ENTRIES; i++) {
		s->forwards[i] = cluster_reserve_address();
		s->frontends[i] = cluster_reserve_address();
		s->readiness[i] = cluster_reserve_address();
		s->internal[i] = cluster_reserve_address();
		site_start_entry(s, i);
	}
	g_assert_true(cluster_wait(site_is_ready, s, SITE_WAIT_MS));
	g_free(config);
	g_free(workers);
}

struct site *site_new_with(guint delegate_min_workers, gboolean has_relay)
{
	struct site *s = g_new0(struct site, 1);

	s->delegate_min_workers = delegate_min_workers;
	start_site(s, has_relay);
	return s;
}

struct site *site_new_limited(int64_t memory_mb, int64_t descriptors)
{
	struct site *s = g_new0(struct site, 1);

	s->delegate_min_workers = SITE_NO_DELEGATION;
	s->memory_mb = memory_mb;
	s->descriptors = descriptors;
	start_site(s, FALSE);
	return s;
}

struct site *site_new_delegating(guint delegate_min_workers)
{
	return site_new_with(delegate_min_workers, FALSE);
}

struct site *site_new(void)
{
	return site_new_delegating(SITE_NO_DELEGATION);
}

void site_free(struct site *s)
{
	cluster_free(s->cluster);
	for (guint i = 0; i < SITE_ENTRIES; i++) {
		g_free(s->frontends[i]);
		g_free(s->readiness[i]);
		g_free(s->internal[i]);
		g_free(s->forwards[i]);
		g_free(s->paths[i]);
	}
	g_free(s->relay_control);
	g_free(s->store);
	g_free(s);
}

struct cluster_reply site_call_job(struct site *s, guint entry,
				   const char *method, const char *id,
				   const char *body)
{
	const char *const headers[] = { SITE_HEADERS };
	char *path = g_strconcat("/spot/", id, NULL);
	struct cluster_reply r =
		cluster_call(s->cluster, method, s->frontends[entry], path,
			     body, headers, CLUSTER_CALL_TIMEOUT_MS);

	g_free(path);
	return r;
}

guint site_call(struct site *s, guint entry, const char *method, const char *id,
		const char *body, char **text)
{
	struct cluster_reply r = site_call_job(s, entry, method, id, body);
	guint code = r.code;

	if (text)
		*text = g_strdup(r.text);
	cluster_reply_clear(&r);
	return code;
}

void site_commit(struct site *s, const char *sets, const char *removals)
{
	char *body = g_strdup_printf(
		"{\"ExpectedRev\":[],\"SetKeys\":[%s],\"Remove\":[%s]}", sets,
		removals);
	struct cluster_reply r = cluster_call(s->cluster, "POST", s->store,
					      "/corianderstep/rows-tx", body,
					      NULL, CLUSTER_CALL_TIMEOUT_MS);

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
	g_free(body);
}

guint site_submit(struct site *s, guint entry, const char *id, guint run_ms)
{
	char *body = g_strdup_printf(
		"{\"Spec\":\"run_ms=%u "
		"gang=2\",\"Steps\":[{\"Count\":2,\"Cpu\":1000,"
		"\"MemMb\":100,\"Gpu\":4,\"EstimateMs\":%u,\"Gang\":true}]}",
		run_ms, run_ms);
	guint code = site_call(s, entry, "POST", id, body, NULL);

	g_free(body);
	return code;
}

static gboolean has_state(void *data)
{
	struct site_job_wait *w = data;
	gboolean is_found;
	char *text = NULL;

	site_call(w->site, w->entry, "GET", w->id, NULL, &text);
	is_found = text && strstr(text, w->state);
	g_free(text);
	return is_found;
}

void site_assert_state(struct site *s, guint entry, const char *id,
		       const char *state)
{
	struct site_job_wait w = { s, id, state, entry };

	g_assert_true(cluster_wait(has_state, &w, SITE_WAIT_MS));
}

int64_t site_count_starts(struct site *s)
{
	struct cluster_reply r =
		cluster_call(s->cluster, "POST", s->store, "/control", "{}",
			     NULL, CLUSTER_CALL_TIMEOUT_MS);
	json_object *value = NULL;
	int64_t n;

	g_assert_true(json_object_object_get_ex(r.body, "starts", &value));
	n = json_object_get_int64(value);
	cluster_reply_clear(&r);
	return n;
}

guint site_holder(const struct site *s)
{
	guint found = 0;

	for (guint i = 0; i < SITE_ENTRIES; i++) {
		if (cluster_count_lines(s->entries[i], "event=lease_acquired"))
			found = i;
	}
	return found;
}
