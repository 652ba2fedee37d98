/*
 * The operators' command line as a process: what it prints and its exit code.
 */
#include <glib.h>

#include "tests/cluster.h"

#define TIMEOUT_MS 10000
#define WORKER(vm, rack)                                                       \
	"{\"vm\":\"" vm "\",\"role\":\"worker\",\"state\":\"live\","           \
	"\"service\":\"salkhi\",\"failure_domain\":\"tov-a\",\"rack\":\"" rack \
	"\",\"address\":\"127.0.0.1:1\",\"accelerators\":8,"                   \
	"\"cores\":64,\"memory_mb\":65536}"
#define VMS "{\"vms\":[" WORKER("w0", "r0") "," WORKER("w1", "r0") "]}"
#define CONFIG(members_)                                                 \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","              \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["        \
	"{\"name\":\"a\",\"service\":\"salkhi\",\"guaranteed_shapes\":[" \
	"{\"name\":\"g\",\"pool\":\"salkhi.tov-a\",\"shape\":{"          \
	"\"members\":" members_                                          \
	",\"accelerators\":8,\"cores\":1,\"memory_mb\":1,"               \
	"\"adjacency\":\"rack\"}}]}]}"

enum vms_from {
	VMS_NOT_GIVEN,
	VMS_FILE,
	VMS_NO_LIST, /* a file of something else */
	VMS_PLATFORM,
	VMS_NOWHERE,
	VMS_FROM_COUNT,
};

static const struct {
	const char *config;
	enum vms_from from;
	int exit_code;
	const char *says;
	const char *also; /* or NULL */
} check_cases[] = {
	{ CONFIG("2"), VMS_NOT_GIVEN, 0, "guarantees: not checked against VMs",
	  NULL },
	{ CONFIG("3"), VMS_NOT_GIVEN, 0, "guarantees: not checked against VMs",
	  NULL },
	{ CONFIG("2"), VMS_FILE, 0, "guarantees: can all be held at once",
	  NULL },
	{ CONFIG("3"), VMS_FILE, 1,
	  "client_accounts.a.salkhi.tov-a.g: no usable workers can hold it",
	  NULL },
	{ CONFIG("2"), VMS_PLATFORM, 0, "guarantees: can all be held at once",
	  NULL },
	{ CONFIG("3"), VMS_PLATFORM, 1,
	  "client_accounts.a.salkhi.tov-a.g: no usable workers can hold it",
	  NULL },
	{ CONFIG("2"), VMS_NOWHERE, 1, "neither a file nor a platform", NULL },
	{ CONFIG("2"), VMS_NO_LIST, 1, "no list of VMs", "1 findings" },
	{ "{\"format\":1,\"surplus\":1}", VMS_FILE, 1, "surplus", NULL },
};

struct world {
	struct cluster *cluster;
	char *vms[VMS_FROM_COUNT];
};

static char *write_file(struct cluster *c, const char *name, const char *text)
{
	char *path = g_build_filename(c->dir, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

struct vms_wait {
	struct cluster *cluster;
	const char *platform;
};

/* The platform's list lags. */
static gboolean lists_workers(void *data)
{
	const struct vms_wait *w = data;
	struct cluster_reply r = cluster_call(w->cluster, "GET", w->platform,
					      "/vms", NULL, NULL, TIMEOUT_MS);
	json_object *list = NULL;
	gboolean is_full = r.code == 200 &&
			   json_object_object_get_ex(r.body, "vms", &list) &&
			   json_object_array_length(list) == 2;

	cluster_reply_clear(&r);
	return is_full;
}

static void open_world(struct world *w)
{
	struct cluster_process *p;
	struct vms_wait wait;

	w->cluster = cluster_new();
	p = cluster_spawn(w->cluster, "cs-standin-platform", "platform", NULL);
	w->vms[VMS_NOT_GIVEN] = NULL;
	w->vms[VMS_FILE] = write_file(w->cluster, "vms.json", VMS);
	w->vms[VMS_NO_LIST] = write_file(w->cluster, "other.json", "{}");
	w->vms[VMS_PLATFORM] = cluster_listening(p, 0);
	w->vms[VMS_NOWHERE] = cluster_address();
	cluster_spawn(w->cluster, "cs-standin-worker", "workers",
		      CLUSTER_ARGS("--platform", w->vms[VMS_PLATFORM], "--vm",
				   "w", "--count", "2"));
	wait = (struct vms_wait){ w->cluster, w->vms[VMS_PLATFORM] };
	g_assert_true(cluster_wait(lists_workers, &wait, TIMEOUT_MS));
}

static void close_world(struct world *w)
{
	cluster_free(w->cluster);
	for (guint i = 0; i < G_N_ELEMENTS(w->vms); i++)
		g_free(w->vms[i]);
}

static void check(struct world *w, guint i)
{
	const char *vms = w->vms[check_cases[i].from];
	char *name = g_strdup_printf("check%u", i);
	char *file = write_file(w->cluster, name, check_cases[i].config);
	char *log = g_strdup_printf("log%u", i);
	struct cluster_process *p;

	p = cluster_spawn(
		w->cluster, "csctl", log,
		CLUSTER_ARGS("check", file, vms ? "--vms" : NULL, vms));
	g_assert_cmpint(cluster_wait_exit(p, TIMEOUT_MS), ==,
			check_cases[i].exit_code);
	g_assert_cmpuint(cluster_grep(p, check_cases[i].says), >, 0);
	if (check_cases[i].also)
		g_assert_cmpuint(cluster_grep(p, check_cases[i].also), >, 0);
	g_free(log);
	g_free(file);
	g_free(name);
}

static void test_check(void)
{
	struct world w;

	open_world(&w);
	for (guint i = 0; i < G_N_ELEMENTS(check_cases); i++) {
		g_test_message("case %u", i);
		check(&w, i);
	}
	close_world(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/csctl/check", test_check);
	return g_test_run();
}
