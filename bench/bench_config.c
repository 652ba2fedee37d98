/*
 * Measures the memory that a configuration takes in a process and the cost of
 * applying one change, by the number of jobs in the configuration.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/sim/bounds.h"
#include "config/config_version.h"

/** Requirements: 90 teams, 8,500 jobs a day, 32 MB per node for control. */
#define TEAM_COUNT 90
#define MAX_JOB_COUNT 8500
#define NODE_CONTROL_BYTES (32.0 * 1024 * 1024)
/** Bound per process: the two of a VM share a quarter of that. */
#define MAX_CONFIG_BYTES (NODE_CONTROL_BYTES / 4 / 2)
#define CHANGE_COUNT 50
#define KB 1024.0

static struct bounds bounds;

/* Parses JSON text and frees the text. */
static json_object *parse(char *text)
{
	json_object *json = json_tokener_parse(text);

	g_free(text);
	return json;
}

static json_object *make_account(int team)
{
	return parse(g_strdup_printf(
		"{\"name\":\"team-%03d\",\"service\":\"salkhi\",\"share\":1,"
		"\"guaranteed_shapes\":[{\"name\":\"gust-map\",\"pool\":"
		"\"salkhi.tov-a\",\"shape\":{\"members\":2,\"accelerators\":8,"
		"\"cores\":8,\"memory_mb\":4096,\"adjacency\":\"rack\"}}]}",
		team));
}

static json_object *make_job(int job, const char *class)
{
	return parse(g_strdup_printf(
		"{\"name\":\"rerun-%06d\",\"client_account\":\"team-%03d\","
		"\"pool\":\"salkhi.tov-a\",\"class\":\"%s\",\"shape\":{"
		"\"members\":8,\"accelerators\":2,\"cores\":4,\"memory_mb\":"
		"16384,\"adjacency\":\"rack\"},\"expected_run_ms\":3600000,"
		"\"is_checkpointable\":true}",
		job, job % TEAM_COUNT, class));
}

static json_object *make_config(int jobs)
{
	json_object *out = json_tokener_parse(
		"{\"format\":1,\"services\":[{\"name\":\"salkhi\","
		"\"failure_domains\":[\"tov-a\"]}]}");
	json_object *accounts = json_object_new_array();
	json_object *list = json_object_new_array();

	for (int i = 0; i < TEAM_COUNT; i++)
		json_object_array_add(accounts, make_account(i));
	for (int i = 0; i < jobs; i++)
		json_object_array_add(list, make_job(i, "normal"));
	json_object_object_add(out, "client_accounts", accounts);
	json_object_object_add(out, "jobs", list);
	return out;
}

/* Returns the bytes that malloc has handed out in this process. */
static double allocated_bytes(void)
{
	return (double)mallinfo2().uordblks;
}

/* Makes the delta that changes one job, or one client account without jobs. */
static void make_change(const struct config_version *v, int jobs, int round,
			struct config_delta *d)
{
	json_object *config = config_body_encode(v->body);
	json_object *list = json_object_object_get(
		config, jobs ? "jobs" : "client_accounts");
	struct config_body *next;

	if (jobs)
		json_object_array_put_idx(
			list, round % jobs,
			make_job(round % jobs, round % 2 ? "normal" : "bulk"));
	else
		json_object_object_add(json_object_array_get_idx(list, round),
				       "share", json_object_new_int(2));
	next = config_body_new(config);
	config_delta_make(v->body, v->version, next, v->version + 1, d);
	config_body_unref(next);
	json_object_put(config);
}

/* Counts the entities of a body that it doesn't share with the previous one. */
static guint count_new_entities(const struct config_body *previous,
				const struct config_body *after)
{
	guint new_entities = 0;

	for (guint list = 0; list < CONFIG_LIST_COUNT; list++) {
		for (guint i = 0; i < config_body_count(after, list); i++) {
			const struct config_entity *e =
				config_body_get(after, list, i);

			new_entities +=
				config_body_find(previous, list, e->name) != e;
		}
	}
	return new_entities;
}

struct result {
	double config_bytes;   /**< of the configuration after all changes */
	double full_apply_us;  /**< to apply a whole configuration */
	double delta_apply_us; /**< to apply a delta, mean */
	guint new_entities;    /**< maximum per delta */
};

/* Makes changes and applies each, as a process that receives deltas does. */
static void run_changes(struct config_version *v, int jobs, struct result *r)
{
	struct finding_list findings;

	finding_list_init(&findings);
	for (int i = 0; i < CHANGE_COUNT; i++) {
		struct config_body *previous = config_body_ref(v->body);
		struct config_delta d = { 0 };
		gint64 since_us;

		make_change(v, jobs, i, &d);
		since_us = g_get_monotonic_time();
		if (config_version_apply_delta(v, &d, &findings) != STATUS_OK)
			bounds_check(&bounds, "refused changes", 1, 0,
				     "bench_config");
		r->delta_apply_us +=
			(double)(g_get_monotonic_time() - since_us);
		r->new_entities = MAX(r->new_entities,
				      count_new_entities(previous, v->body));
		config_body_unref(previous);
		schema_clear(&config_delta_schema, &d);
	}
	r->delta_apply_us /= CHANGE_COUNT;
	finding_list_clear(&findings);
}

static struct result run(int jobs)
{
	struct result r = { 0 };
	struct config_version v;
	struct finding_list findings;
	double baseline = allocated_bytes();
	json_object *config = make_config(jobs);
	gint64 since_us = g_get_monotonic_time();

	config_version_init(&v);
	finding_list_init(&findings);
	if (config_version_apply(&v, 1, config, &findings) != STATUS_OK)
		bounds_check(&bounds, "refused configurations", 1, 0,
			     "bench_config");
	r.full_apply_us = (double)(g_get_monotonic_time() - since_us);
	json_object_put(config);
	run_changes(&v, jobs, &r);
	r.config_bytes = allocated_bytes() - baseline;
	config_version_clear(&v);
	finding_list_clear(&findings);
	return r;
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 0, 100, 1000, 4000, MAX_JOB_COUNT };
	gboolean is_check = argc > 1 && g_str_equal(argv[1], "--check");

	printf("%d teams; times measured on this machine\n", TEAM_COUNT);
	printf("%6s %10s %10s %10s %8s\n", "jobs", "held_kb", "whole_us",
	       "change_us", "made");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct result r = run(sizes[i]);

		printf("%6d %10.1f %10.0f %10.0f %8u\n", sizes[i],
		       r.config_bytes / KB, r.full_apply_us, r.delta_apply_us,
		       r.new_entities);
		if (!is_check)
			continue;
		bounds_check(&bounds, "configuration bytes per process",
			     r.config_bytes, MAX_CONFIG_BYTES,
			     "requirement: 32 MB per node");
		bounds_check(&bounds, "new entities per changed entity",
			     r.new_entities, 1, "docs/design/configuration.md");
	}
	if (is_check)
		bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
