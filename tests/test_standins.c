#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "tests/cluster.h"

/* A call to a stand-in and the expected reply. */
struct step {
	const char *method;
	const char *path;
	const char *body;
	guint code;
	const char *expected;	/* substring of the body, "" for any */
	int64_t sleep_after_ms; /* before the next step */
};

#define COMMANDS(epoch, lease, commands)                                    \
	"{\"pool\":\"salkhi.tov-a\",\"epoch\":" #epoch ",\"holder\":\"n\"," \
	"\"lease_ms\":" #lease ",\"commands\":[" commands "]}"
#define COMMAND(op, task)                                            \
	"{\"op\":\"" op "\",\"task\":\"" task "\",\"run_ms\":60000," \
	"\"accelerators\":8,\"cores\":8,\"memory_mb\":1024}"
/* A command for a task that runs for 30 ms. */
#define SHORT(op, task) \
	"{\"op\":\"" op "\",\"task\":\"" task "\",\"run_ms\":30}"

static const struct step epoch_steps[] = {
	{ "POST", "/commands", COMMANDS(7, 5000, COMMAND("reserve", "j/0/1")),
	  200, "\"status\":\"ok\"", 0 },
	{ "POST", "/commands", COMMANDS(6, 5000, COMMAND("stop", "j/0/1")), 409,
	  "\"epoch\":7", 0 },
	{ "POST", "/commands", COMMANDS(9, 5000, COMMAND("start", "j/0/1")),
	  200, "\"status\":\"ok\"", 0 },
	{ "POST", "/commands", COMMANDS(7, 5000, COMMAND("stop", "j/0/1")), 409,
	  "\"epoch\":9", 50 },
	{ "GET", "/report", NULL, 200, "\"state\":\"running\"", 0 },
};

static const struct step repeat_steps[] = {
	{ "POST", "/commands",
	  COMMANDS(1, 5000,
		   COMMAND("reserve", "j/0/1") "," COMMAND("reserve", "j/0/1")),
	  200,
	  "{\"task\":\"j/0/1\",\"status\":\"ok\"},"
	  "{\"task\":\"j/0/1\",\"status\":\"ok\"}",
	  0 },
	{ "POST", "/commands", COMMANDS(1, 5000, COMMAND("reserve", "k/0/1")),
	  200, "\"reason\":\"full\"", 0 },
	{ "POST", "/commands",
	  COMMANDS(1, 5000,
		   SHORT("start", "j/0/1") "," SHORT("start", "j/0/1")),
	  200,
	  "{\"task\":\"j/0/1\",\"status\":\"ok\"},"
	  "{\"task\":\"j/0/1\",\"status\":\"ok\"}",
	  100 },
	{ "POST", "/commands", COMMANDS(1, 5000, SHORT("start", "j/0/1")), 200,
	  "\"status\":\"ok\"", 50 },
	{ "GET", "/history", NULL, 200, "\"event\":\"done\"} ] }", 0 },
	{ "POST", "/commands",
	  COMMANDS(
		  1, 5000,
		  SHORT("stop", "late/0/1") "," COMMAND("reserve", "late/0/1")),
	  200, "\"reason\":\"ended\"", 0 },
};

static const struct step lapse_steps[] = {
	{ "POST", "/commands",
	  COMMANDS(1, 500,
		   COMMAND("reserve", "j/0/1") "," COMMAND("start", "j/0/1")),
	  200, "\"status\":\"ok\"", 250 },
	{ "POST", "/commands", COMMANDS(1, 500, ""), 200, "", 300 },
	{ "GET", "/report", NULL, 200, "\"state\":\"running\"", 400 },
	{ "GET", "/history", NULL, 200, "\"event\":\"lapsed\"", 0 },
	{ "POST", "/commands", COMMANDS(1, 500, COMMAND("reserve", "k/0/1")),
	  200, "\"status\":\"ok\"", 700 },
	{ "GET", "/report", NULL, 200, "\"accelerators\":8", 0 },
	{ "POST", "/commands", COMMANDS(1, 500, COMMAND("start", "k/0/1")), 200,
	  "\"reason\":\"ended\"", 0 },
};

static const struct step failing_steps[] = {
	{ "POST", "/control", "{\"fail_tasks\":true}", 200, "", 0 },
	{ "POST", "/commands",
	  COMMANDS(1, 5000,
		   COMMAND("reserve", "j/0/1") "," COMMAND("start", "j/0/1")),
	  200, "\"status\":\"ok\"", 150 },
	{ "GET", "/report", NULL, 200, "\"state\":\"failed\"", 0 },
	{ "POST", "/commands",
	  "{\"pool\":\"other.tov-a\",\"epoch\":1,"
	  "\"lease_ms\":1}",
	  400, "", 0 },
	{ "POST", "/commands", "{\"pool\":1}", 400, "wrong type", 0 },
};

static const struct step checkpoint_steps[] = {
	{ "POST", "/commands",
	  COMMANDS(1, 5000,
		   COMMAND("reserve", "j/0/1") "," COMMAND("start", "j/0/1")),
	  200, "\"status\":\"ok\"", 0 },
	{ "POST", "/commands", COMMANDS(1, 5000, COMMAND("throttle", "j/0/1")),
	  200, "\"status\":\"ok\"", 50 },
	{ "GET", "/report", NULL, 200, "\"remaining_ms\":119", 0 },
	{ "POST", "/commands",
	  COMMANDS(1, 5000, COMMAND("checkpoint", "j/0/1")), 200,
	  "\"status\":\"ok\"", 50 },
	{ "GET", "/report", NULL, 200, "\"state\":\"checkpointed\"", 0 },
};

/* json-c adds blanks and escapes slashes; removes both for comparison. */
static char *strip_blanks(const char *text)
{
	GString *out = g_string_new(NULL);

	for (const char *c = text; *c; c++) {
		if (*c != ' ' && *c != '\\')
			g_string_append_c(out, *c);
	}
	return g_string_free(out, FALSE);
}

static void run_steps(struct cluster *c, const char *address,
		      const struct step *steps, guint count)
{
	for (guint i = 0; i < count; i++) {
		const struct step *s = &steps[i];
		struct cluster_reply r =
			cluster_call(c, s->method, address, s->path, s->body,
				     NULL, CLUSTER_CALL_TIMEOUT_MS);
		char *wanted = strip_blanks(s->expected);
		char *got = strip_blanks(json_object_to_json_string(r.body));

		g_test_message("step %u: %u %s", i, r.code, got);
		g_assert_cmpuint(r.code, ==, s->code);
		g_assert_nonnull(strstr(got, wanted));
		g_free(wanted);
		g_free(got);
		cluster_reply_clear(&r);
		if (s->sleep_after_ms)
			cluster_sleep(s->sleep_after_ms);
	}
}

struct worker_case {
	const char *path;
	const struct step *steps;
	guint count;
};

static const struct worker_case worker_cases[] = {
	{ "/standins/worker-epoch", epoch_steps, G_N_ELEMENTS(epoch_steps) },
	{ "/standins/worker-repeat", repeat_steps, G_N_ELEMENTS(repeat_steps) },
	{ "/standins/worker-lapse", lapse_steps, G_N_ELEMENTS(lapse_steps) },
	{ "/standins/worker-failing", failing_steps,
	  G_N_ELEMENTS(failing_steps) },
	{ "/standins/worker-checkpoint", checkpoint_steps,
	  G_N_ELEMENTS(checkpoint_steps) },
};

static void test_worker(const void *data)
{
	const struct worker_case *wc = data;
	struct cluster *c = cluster_new();
	struct cluster_process *p =
		cluster_spawn(c, "cs-standin-worker", "worker",
			      CLUSTER_ARGS("--report-lag-ms", "10"));
	char *address = cluster_listen_address(p, 0);

	run_steps(c, address, wc->steps, wc->count);
	g_free(address);
	cluster_free(c);
}

static const struct step runner_steps[] = {
	{ "POST", "/run",
	  "{\"request_id\":\"a\",\"work_ms\":5,\"payload\":{\"key\":\"k\"}}",
	  200,
	  "\"request_id\":\"a\",\"result\":{\"request_id\":\"a\","
	  "\"payload\":{\"key\":\"k\"}}",
	  0 },
	{ "GET", "/runs", NULL, 200, "{\"runs\":{\"a\":1},\"keys\":{\"k\":1}}",
	  0 },
	{ "POST", "/control", "{\"wrong_id\":true}", 200, "", 0 },
	{ "POST", "/run", "{\"request_id\":\"b\"}", 200,
	  "\"request_id\":\"a\",", 0 },
	{ "POST", "/control", "{\"wrong_id\":false,\"fail\":true}", 200, "",
	  0 },
	{ "POST", "/run", "{\"request_id\":\"c\"}", 500, "", 0 },
	{ "POST", "/control", "{\"fail\":false,\"leaving\":true}", 200, "", 0 },
	{ "POST", "/run", "{\"request_id\":\"d\"}", 503,
	  "\"reason\":\"leaving\"", 0 },
	{ "GET", "/health", NULL, 200, "\"is_leaving\":true", 0 },
	{ "GET", "/runs", NULL, 200, "\"c\":1", 0 },
};

static void test_runner(void)
{
	struct cluster *c = cluster_new();
	struct cluster_process *p = cluster_spawn(
		c, "cs-standin-runner", "runner", CLUSTER_ARGS("--count", "2"));
	char *first = cluster_listen_address(p, 0);
	char *second = cluster_listen_address(p, 1);

	g_assert_cmpstr(first, !=, second);
	run_steps(c, second, runner_steps, G_N_ELEMENTS(runner_steps));
	g_free(first);
	g_free(second);
	cluster_free(c);
}

struct slot_count {
	guint done;
	guint busy;
	guint total;
};

static void on_slot_reply(const struct http_reply *reply, void *data)
{
	struct slot_count *n = data;

	n->total++;
	n->done += reply->code == 200;
	n->busy += reply->code == 503;
}

static gboolean all_replied(void *data)
{
	return ((struct slot_count *)data)->total == 10;
}

static void test_slots(void)
{
	struct cluster *c = cluster_new();
	struct cluster_process *p =
		cluster_spawn(c, "cs-standin-runner", "runner", NULL);
	char *address = cluster_listen_address(p, 0);
	struct slot_count n = { 0 };

	for (int i = 0; i < 10; i++) {
		json_object *body = json_object_new_object();
		char *id = g_strdup_printf("r%d", i);
		struct http_call_spec spec = {
			.method = "POST",
			.address = address,
			.path = "/run",
			.body = body,
			.timeout_ms = CLUSTER_CALL_TIMEOUT_MS,
			.on_reply = on_slot_reply,
			.data = &n,
		};

		json_object_object_add(body, "request_id",
				       json_object_new_string(id));
		json_object_object_add(body, "work_ms",
				       json_object_new_int(300));
		http_client_send(c->client, &spec);
		json_object_put(body);
		g_free(id);
	}
	g_assert_true(cluster_wait(all_replied, &n, CLUSTER_CALL_TIMEOUT_MS));
	g_assert_cmpuint(n.done, ==, 8);
	g_assert_cmpuint(n.busy, ==, 2);
	g_free(address);
	cluster_free(c);
}

struct vm_wait {
	struct cluster *cluster;
	const char *address;
	size_t count;
};

static gboolean has_vms(void *data)
{
	struct vm_wait *w = data;
	struct cluster_reply r =
		cluster_call(w->cluster, "GET", w->address, "/vms", NULL, NULL,
			     CLUSTER_CALL_TIMEOUT_MS);
	json_object *vms = json_object_object_get(r.body, "vms");
	gboolean holds = json_object_array_length(vms) == w->count;

	cluster_reply_clear(&r);
	return holds;
}

static void test_vm_list(void)
{
	struct cluster *c = cluster_new();
	struct cluster_process *p =
		cluster_spawn(c, "cs-standin-platform", "platform", NULL);
	char *address = cluster_listen_address(p, 0);
	struct vm_wait wait = { c, address, 10 };

	cluster_spawn(c, "cs-standin-worker", "workers",
		      CLUSTER_ARGS("--count", "10", "--platform", address,
				   "--vm", "w"));
	g_assert_true(cluster_wait(has_vms, &wait, CLUSTER_CALL_TIMEOUT_MS));
	cluster_control(c, address, "{\"vm_lag_ms\":300}");
	cluster_sleep(350);
	cluster_control(c, address, "{\"remove_vms\":[\"w3\"]}");
	g_assert_true(has_vms(&wait));
	wait.count = 9;
	g_assert_true(cluster_wait(has_vms, &wait, CLUSTER_CALL_TIMEOUT_MS));
	g_free(address);
	cluster_free(c);
}

struct relay {
	struct cluster *cluster;
	struct cluster_process *process;
	char *control;
	char *address;
};

static enum status call_health(struct relay *r, int64_t timeout_ms)
{
	struct cluster_reply reply =
		cluster_call(r->cluster, "GET", r->address, "/health", NULL,
			     NULL, timeout_ms);

	cluster_reply_clear(&reply);
	return reply.status;
}

static const struct {
	const char *control;
	enum status status;
} relay_cases[] = {
	{ "{}", STATUS_OK },
	{ "{\"mode\":\"silent\"}", STATUS_UNKNOWN },
	{ "{\"mode\":\"pass\"}", STATUS_OK },
	{ "{\"mode\":\"cut_up\"}", STATUS_UNKNOWN },
	{ "{\"mode\":\"cut_down\"}", STATUS_UNKNOWN },
	{ "{\"mode\":\"pass\",\"delay_ms\":20}", STATUS_OK },
	{ "{\"silence_open\":true}", STATUS_UNKNOWN },
	{ "{}", STATUS_OK },
	{ "{\"delay_ms\":300}", STATUS_UNKNOWN },
	{ "{\"mode\":\"refuse\",\"delay_ms\":0}", STATUS_UNKNOWN },
	{ "{\"mode\":\"pass\"}", STATUS_OK },
};

static void relay_init(struct relay *r)
{
	char *target;
	char *route;

	r->cluster = cluster_new();
	target = cluster_listen_address(
		cluster_spawn(r->cluster, "cs-standin-runner", "runner", NULL),
		0);
	route = g_strdup_printf("127.0.0.1:0=%s", target);
	r->process = cluster_spawn(r->cluster, "cs-standin-relay", "relay",
				   CLUSTER_ARGS("--route", route));
	r->control = cluster_log_value(r->process, "control", 0);
	r->address = cluster_listen_address(r->process, 0);
	g_free(target);
	g_free(route);
}

static void relay_clear(struct relay *r)
{
	g_free(r->control);
	g_free(r->address);
	cluster_free(r->cluster);
}

static void test_relay(void)
{
	struct relay r;

	relay_init(&r);
	for (guint i = 0; i < G_N_ELEMENTS(relay_cases); i++) {
		g_test_message("relay case %u", i);
		cluster_control(r.cluster, r.control, relay_cases[i].control);
		g_assert_cmpint(call_health(&r, 250), ==,
				relay_cases[i].status);
	}
	relay_clear(&r);
}

/*
 * An entry VM that takes over opens some twenty connections to the store at
 * once. A relay that doesn't run at that moment must not drop any of them: TCP
 * would repeat it only after a second.
 */
static void test_relay_burst(void)
{
	struct relay r;
	uint16_t port;
	char *host;

	relay_init(&r);
	g_assert_true(util_parse_endpoint(r.address, &host, &port));
	cluster_signal(r.process, SIGSTOP);
	cluster_connect_burst(port);
	cluster_signal(r.process, SIGCONT);
	g_free(host);
	relay_clear(&r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(worker_cases); i++)
		g_test_add_data_func(worker_cases[i].path, &worker_cases[i],
				     test_worker);
	g_test_add_func("/standins/runner-control", test_runner);
	g_test_add_func("/standins/runner-slots", test_slots);
	g_test_add_func("/standins/vm-list-lag", test_vm_list);
	g_test_add_func("/standins/relay", test_relay);
	g_test_add_func("/standins/relay-burst", test_relay_burst);
	return g_test_run();
}
