/*
 * What a process holds of a configuration and what one change costs it, by the
 * number of jobs in the configuration.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/sim/bounds.h"
#include "config/config_version.h"

/** The letter: 90 teams, 8,500 jobs a day, 32 MB a node for all control. */
#define TEAMS 90
#define MOST_JOBS 8500
#define NODE_BYTES (32.0 * 1024 * 1024)
/** A VM's two processes may hold a quarter of it as configuration. */
#define HELD_BYTES (NODE_BYTES / 4 / 2)
#define CHANGES 50
#define KB 1024.0

static struct bounds bounds;

/* Takes the text over. */
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
		job, job % TEAMS, class));
}

static json_object *make_config(int jobs)
{
	json_object *out = json_tokener_parse(
		"{\"format\":1,\"services\":[{\"name\":\"salkhi\","
		"\"failure_domains\":[\"tov-a\"]}]}");
	json_object *accounts = json_object_new_array();
	json_object *list = json_object_new_array();

	for (int i = 0; i < TEAMS; i++)
		json_object_array_add(accounts, make_account(i));
	for (int i = 0; i < jobs; i++)
		json_object_array_add(list, make_job(i, "normal"));
	json_object_object_add(out, "client_accounts", accounts);
	json_object_object_add(out, "jobs", list);
	return out;
}

static double allocated_bytes(void)
{
	return (double)mallinfo2().uordblks;
}

/* The change of one job, or of one team without jobs. */
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

/* Counts the entities of a body that the one before does not share. */
static guint count_made(const struct config_body *before,
			const struct config_body *after)
{
	guint made = 0;

	for (guint list = 0; list < CONFIG_LIST_COUNT; list++) {
		for (guint i = 0; i < config_body_count(after, list); i++) {
			const struct config_entity *e =
				config_body_get(after, list, i);

			made += config_body_find(before, list, e->name) != e;
		}
	}
	return made;
}

struct result {
	double held_bytes;
	double whole_us; /**< to take a whole configuration */
	double change_us;
	guint made; /**< entities made anew, the most of a change */
};

/* Makes changes and takes them, as a process does that hears of them. */
static void run_changes(struct config_version *v, int jobs, struct result *r)
{
	struct finding_list findings;

	finding_list_init(&findings);
	for (int i = 0; i < CHANGES; i++) {
		struct config_body *before = config_body_ref(v->body);
		struct config_delta d = { 0 };
		gint64 since_us;

		make_change(v, jobs, i, &d);
		since_us = g_get_monotonic_time();
		if (config_version_apply_delta(v, &d, &findings) != STATUS_OK)
			bounds_check(&bounds, "change refused", 1, 0,
				     "bench_config");
		r->change_us += (double)(g_get_monotonic_time() - since_us);
		r->made = MAX(r->made, count_made(before, v->body));
		config_body_unref(before);
		schema_clear(&config_delta_schema, &d);
	}
	r->change_us /= CHANGES;
	finding_list_clear(&findings);
}

static struct result run(int jobs)
{
	struct result r = { 0 };
	struct config_version v;
	struct finding_list findings;
	double before = allocated_bytes();
	json_object *config = make_config(jobs);
	gint64 since_us = g_get_monotonic_time();

	config_version_init(&v);
	finding_list_init(&findings);
	if (config_version_apply(&v, 1, config, &findings) != STATUS_OK)
		bounds_check(&bounds, "configuration refused", 1, 0,
			     "bench_config");
	r.whole_us = (double)(g_get_monotonic_time() - since_us);
	json_object_put(config);
	run_changes(&v, jobs, &r);
	r.held_bytes = allocated_bytes() - before;
	config_version_clear(&v);
	finding_list_clear(&findings);
	return r;
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 0, 100, 1000, 4000, MOST_JOBS };
	gboolean is_check = argc > 1 && g_str_equal(argv[1], "--check");

	printf("%d teams; times are of this machine\n", TEAMS);
	printf("%6s %10s %10s %10s %8s\n", "jobs", "held_kb", "whole_us",
	       "change_us", "made");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct result r = run(sizes[i]);

		printf("%6d %10.1f %10.0f %10.0f %8u\n", sizes[i],
		       r.held_bytes / KB, r.whole_us, r.change_us, r.made);
		if (!is_check)
			continue;
		bounds_check(&bounds, "bytes held", r.held_bytes, HELD_BYTES,
			     "letter: 32 MB a node");
		bounds_check(&bounds, "entities made by a change of one",
			     r.made, 1, "docs/design/configuration.md");
	}
	if (is_check)
		bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
