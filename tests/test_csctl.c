/*
 * Runs csctl as a process and checks its output and exit code.
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

enum vms_argument {
	VMS_NOT_GIVEN,
	VMS_FILE,
	VMS_OTHER_FILE, /* a file without a list of VMs */
	VMS_PLATFORM,
	VMS_UNREACHABLE, /* an address on which nothing listens */
	VMS_ARGUMENT_COUNT,
};

static const struct {
	const char *config;
	enum vms_argument vms;
	int exit_code;
	const char *output;	   /* text that must occur in it */
	const char *second_output; /* or NULL */
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
	{ CONFIG("2"), VMS_UNREACHABLE, 1, "neither a file nor a platform",
	  NULL },
	{ CONFIG("2"), VMS_OTHER_FILE, 1, "not a list of VMs", "1 findings" },
	{ "{\"format\":1,\"surplus\":1}", VMS_FILE, 1, "surplus", NULL },
};

struct check_fixture {
	struct cluster *cluster;
	char *vms[VMS_ARGUMENT_COUNT];
};

static char *write_file(struct cluster *c, const char *name, const char *text)
{
	char *path = g_build_filename(c->dir, name, NULL);

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
	return path;
}

struct vm_list_wait {
	struct cluster *cluster;
	const char *platform;
};

/* Polled, as the platform's list lags behind. */
static gboolean is_vm_list_complete(void *data)
{
	const struct vm_list_wait *w = data;
	struct cluster_reply r = cluster_call(w->cluster, "GET", w->platform,
					      "/vms", NULL, NULL, TIMEOUT_MS);
	json_object *list = NULL;
	gboolean is_complete =
		r.code == 200 &&
		json_object_object_get_ex(r.body, "vms", &list) &&
		json_object_array_length(list) == 2;

	cluster_reply_clear(&r);
	return is_complete;
}

static void check_fixture_init(struct check_fixture *f)
{
	struct cluster_process *p;
	struct vm_list_wait wait;

	f->cluster = cluster_new();
	p = cluster_spawn(f->cluster, "cs-standin-platform", "platform", NULL);
	f->vms[VMS_NOT_GIVEN] = NULL;
	f->vms[VMS_FILE] = write_file(f->cluster, "vms.json", VMS);
	f->vms[VMS_OTHER_FILE] = write_file(f->cluster, "other.json", "{}");
	f->vms[VMS_PLATFORM] = cluster_listen_address(p, 0);
	f->vms[VMS_UNREACHABLE] = cluster_reserve_address();
	cluster_spawn(f->cluster, "cs-standin-worker", "workers",
		      CLUSTER_ARGS("--platform", f->vms[VMS_PLATFORM], "--vm",
				   "w", "--count", "2"));
	wait = (struct vm_list_wait){ f->cluster, f->vms[VMS_PLATFORM] };
	g_assert_true(cluster_wait(is_vm_list_complete, &wait, TIMEOUT_MS));
}

static void check_fixture_clear(struct check_fixture *f)
{
	cluster_free(f->cluster);
	for (guint i = 0; i < G_N_ELEMENTS(f->vms); i++)
		g_free(f->vms[i]);
}

static void run_check_case(struct check_fixture *f, guint i)
{
	const char *vms = f->vms[check_cases[i].vms];
	char *name = g_strdup_printf("check%u", i);
	char *file = write_file(f->cluster, name, check_cases[i].config);
	char *log = g_strdup_printf("log%u", i);
	struct cluster_process *p;

	p = cluster_spawn(
		f->cluster, "csctl", log,
		CLUSTER_ARGS("check", file, vms ? "--vms" : NULL, vms));
	g_assert_cmpint(cluster_wait_exit(p, TIMEOUT_MS), ==,
			check_cases[i].exit_code);
	g_assert_cmpuint(cluster_count_lines(p, check_cases[i].output), >, 0);
	if (check_cases[i].second_output)
		g_assert_cmpuint(
			cluster_count_lines(p, check_cases[i].second_output), >,
			0);
	g_free(log);
	g_free(file);
	g_free(name);
}

static void test_check(void)
{
	struct check_fixture f;

	check_fixture_init(&f);
	for (guint i = 0; i < G_N_ELEMENTS(check_cases); i++) {
		g_test_message("case %u", i);
		run_check_case(&f, i);
	}
	check_fixture_clear(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/csctl/check", test_check);
	return g_test_run();
}
