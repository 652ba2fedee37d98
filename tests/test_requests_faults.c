/*
 * Faults at each step of a request's life, over the real processes: two
 * gateways, the platform's stand-in, two runners behind a relay.
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/util.h"
#include "tests/cluster.h"

#define GATEWAYS 2
#define RUNNERS 2
#define READY_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 15000
#define DEADLINE_MS 1500
#define WORK_MS 300
#define LEAVING_MS 3000
#define WARM_UP_REQUESTS 12

#define CONFIG                                                     \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","        \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["  \
	"{\"name\":\"rescue\",\"service\":\"salkhi\",\"share\":1," \
	"\"requests_per_s\":500,\"queued_requests\":200}],\"jobs\":[]}"

struct world {
	struct cluster *cluster;
	struct cluster_process *gateways[GATEWAYS];
	char *addresses[GATEWAYS];
	char *platform;
	char *runners[RUNNERS];
	char *relayed[RUNNERS];
	char *relay_control;
	guint next_key;
};

/* A request that is under way. */
struct call {
	json_object *body; /* of the answer, NULL without one */
	guint code;
	gboolean is_done;
};

static void add_vm_in(struct world *w, const char *failure_domain,
		      const char *vm, const char *role, const char *state,
		      const char *address)
{
	char *body = g_strdup_printf(
		"{\"add_vms\":[{\"vm\":\"%s\",\"role\":\"%s\","
		"\"service\":\"salkhi\",\"failure_domain\":\"%s\","
		"\"state\":\"%s\",\"address\":\"%s\"}]}",
		vm, role, failure_domain, state, address);

	cluster_control(w->cluster, w->platform, body);
	g_free(body);
}

static void add_vm(struct world *w, const char *vm, const char *role,
		   const char *state, const char *address)
{
	add_vm_in(w, "tov-a", vm, role, state, address);
}

static void start_runners(struct world *w)
{
	struct cluster_process *p =
		cluster_spawn(w->cluster, "cs-standin-runner", "runners",
			      CLUSTER_ARGS("--count", "2"));
	char *routes[RUNNERS];

	for (guint i = 0; i < RUNNERS; i++) {
		w->runners[i] = cluster_listening(p, i);
		routes[i] = g_strdup_printf("127.0.0.1:0=%s", w->runners[i]);
	}
	p = cluster_spawn(
		w->cluster, "cs-standin-relay", "relay",
		CLUSTER_ARGS("--route", routes[0], "--route", routes[1]));
	w->relay_control = cluster_log_value(p, "control", 0);
	for (guint i = 0; i < RUNNERS; i++) {
		char *name = g_strdup_printf("r%u", i);

		w->relayed[i] = cluster_listening(p, i);
		add_vm(w, name, "endpoint", "live", w->relayed[i]);
		g_free(name);
		g_free(routes[i]);
	}
}

static void start_gateway(struct world *w, guint i)
{
	char *name = g_strdup_printf("g%u", i);
	char *link = cluster_address();
	struct cluster_node node = { .node = name,
				     .link = link,
				     .platform = w->platform };

	w->addresses[i] = cluster_address();
	node.http = w->addresses[i];
	add_vm(w, name, "entry", "live", w->addresses[i]);
	w->gateways[i] = cluster_spawn_node(w->cluster, "csgated", &node);
	g_free(name);
	g_free(link);
}

struct config_wait {
	struct world *world;
	const char *address;
	const char *body;
};

static gboolean is_applied(void *data)
{
	struct config_wait *c = data;
	struct cluster_reply r = cluster_call(
		c->world->cluster, c->body ? "POST" : "GET", c->address,
		"/v1/config", c->body, NULL, CLUSTER_CALL_TIMEOUT_MS);
	gboolean holds = r.code == 200 &&
			 json_object_get_int(
				 json_object_object_get(r.body, "version")) > 0;

	cluster_reply_clear(&r);
	return holds;
}

static struct call *send_request(struct world *w, guint gateway,
				 const char *body);
static void call_wait(struct call *call);
static void call_free(struct call *call);

/* Both gateways have the configuration and know the endpoints. */
static gboolean serves(void *data)
{
	struct config_wait *c = data;
	guint gateway = c->address == c->world->addresses[1];
	struct call *call = send_request(
		c->world, gateway,
		"{\"client_account\":\"rescue\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{\"work_ms\":1}}");
	gboolean holds;

	call_wait(call);
	holds = call->code == 200;
	call_free(call);
	return holds;
}

static struct world *world_new(void)
{
	struct world *w = g_new0(struct world, 1);
	struct config_wait post = { w, NULL, NULL };
	char *body =
		g_strdup_printf("{\"base_version\":0,\"config\":%s}", CONFIG);
	struct cluster_process *p;

	w->cluster = cluster_new();
	p = cluster_spawn(w->cluster, "cs-standin-platform", "platform", NULL);
	w->platform = cluster_listening(p, 0);
	start_runners(w);
	for (guint i = 0; i < GATEWAYS; i++)
		start_gateway(w, i);
	post.address = w->addresses[0];
	post.body = body;
	g_assert_true(cluster_wait(is_applied, &post, READY_TIMEOUT_MS));
	for (guint i = 0; i < GATEWAYS; i++) {
		struct config_wait ready = { w, w->addresses[i], NULL };

		g_assert_true(cluster_wait(serves, &ready, READY_TIMEOUT_MS));
	}
	g_free(body);
	return w;
}

static void world_free(struct world *w)
{
	/* So that a drain does not wait for the platform. */
	cluster_control(w->cluster, w->platform, "{\"mode\":\"ok\"}");
	cluster_free(w->cluster);
	for (guint i = 0; i < GATEWAYS; i++)
		g_free(w->addresses[i]);
	for (guint i = 0; i < RUNNERS; i++) {
		g_free(w->runners[i]);
		g_free(w->relayed[i]);
	}
	g_free(w->platform);
	g_free(w->relay_control);
	g_free(w);
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct call *call = data;

	call->body = json_object_get(reply->body);
	call->code = reply->code;
	call->is_done = TRUE;
}

static struct call *send_request(struct world *w, guint gateway,
				 const char *body)
{
	struct call *call = g_new0(struct call, 1);
	json_object *json = json_tokener_parse(body);
	struct http_call_spec spec = {
		.method = "POST",
		.address = w->addresses[gateway],
		.path = "/v1/requests",
		.body = json,
		.timeout_ms = CALL_TIMEOUT_MS,
		.on_reply = on_reply,
		.data = call,
	};

	http_client_send(w->cluster->client, &spec);
	json_object_put(json);
	return call;
}

static gboolean call_is_done(void *data)
{
	return ((struct call *)data)->is_done;
}

static void call_wait(struct call *call)
{
	g_assert_true(cluster_wait(call_is_done, call, CALL_TIMEOUT_MS + 1000));
}

static void call_free(struct call *call)
{
	json_object_put(call->body);
	g_free(call);
}

static const char *call_text(const struct call *call, const char *name)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(call->body, name, &value))
		return "";
	return json_object_get_string(value);
}

struct request {
	const char *key; /* NULL: repeatable */
	int attempt;
	int work_ms;
	int deadline_ms;
};

static struct call *send(struct world *w, guint gateway,
			 const struct request *r)
{
	char *key =
		r->key ? g_strdup_printf("\"idempotency_key\":\"%s\",", r->key)
		       : g_strdup("");
	char *body = g_strdup_printf(
		"{\"client_account\":\"rescue\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":%d,\"is_repeatable\":%s,"
		"%s\"attempt\":%d,\"payload\":{\"key\":\"%s\","
		"\"work_ms\":%d}}",
		r->deadline_ms, r->key ? "false" : "true", key, r->attempt,
		r->key ? r->key : "repeatable", r->work_ms);
	struct call *call = send_request(w, gateway, body);

	g_free(key);
	g_free(body);
	return call;
}

/* How often the runners started the key. */
static guint runs_of(struct world *w, const char *key)
{
	guint runs = 0;

	for (guint i = 0; i < RUNNERS; i++) {
		struct cluster_reply r =
			cluster_call(w->cluster, "GET", w->runners[i], "/runs",
				     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
		json_object *keys = json_object_object_get(r.body, "keys");

		runs += (guint)json_object_get_int(
			json_object_object_get(keys, key));
		cluster_reply_clear(&r);
	}
	return runs;
}

static guint runs_at(struct world *w, guint runner)
{
	struct cluster_reply r =
		cluster_call(w->cluster, "GET", w->runners[runner], "/runs",
			     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
	json_object *runs = json_object_object_get(r.body, "runs");
	guint sum = 0;

	json_object_object_foreach(runs, id, count)
	{
		(void)id;
		sum += (guint)json_object_get_int(count);
	}
	cluster_reply_clear(&r);
	return sum;
}

struct run_wait {
	struct world *world;
	const char *key;
};

static gboolean has_started(void *data)
{
	struct run_wait *r = data;

	return runs_of(r->world, r->key) > 0;
}

static void wait_started(struct world *w, const char *key)
{
	struct run_wait r = { w, key };

	g_assert_true(cluster_wait(has_started, &r, READY_TIMEOUT_MS));
}

/* Checks that an answer is whole: its result is that of its own request. */
static void assert_whole(const struct call *call, const char *key)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *payload = json_object_object_get(result, "payload");

	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(payload, "key")),
		==, key);
}

/* The faults. */

static void no_fault(struct world *w)
{
}

static void platform_down(struct world *w)
{
	cluster_control(w->cluster, w->platform, "{\"mode\":\"down\"}");
}

static void platform_slow(struct world *w)
{
	cluster_control(w->cluster, w->platform,
			"{\"mode\":\"slow\",\"slow_ms\":300}");
}

static void platform_up(struct world *w)
{
	cluster_control(w->cluster, w->platform, "{\"mode\":\"ok\"}");
}

static void lose_claim_answer(struct world *w)
{
	cluster_control(w->cluster, w->platform,
			"{\"lose_answers\":1,\"lose_table\":\"claims\"}");
}

static void kill_gateway(struct world *w)
{
	cluster_signal(w->gateways[0], SIGKILL);
	cluster_wait_exit(w->gateways[0], READY_TIMEOUT_MS);
}

static void kill_gateway_soon(struct world *w)
{
	cluster_sleep(100);
	kill_gateway(w);
}

static void stop_gateway(struct world *w)
{
	cluster_signal(w->gateways[0], SIGSTOP);
}

static void continue_gateway(struct world *w)
{
	cluster_signal(w->gateways[0], SIGCONT);
}

static void drain_gateway(struct world *w)
{
	cluster_signal(w->gateways[0], SIGTERM);
}

static void control_runners(struct world *w, const char *body)
{
	for (guint i = 0; i < RUNNERS; i++)
		cluster_control(w->cluster, w->runners[i], body);
}

static void silence_runners(struct world *w)
{
	control_runners(w, "{\"silent\":true}");
}

static void cross_answers(struct world *w)
{
	control_runners(w, "{\"wrong_id\":true}");
}

static void fail_runs(struct world *w)
{
	control_runners(w, "{\"fail\":true}");
}

static void delay_answers(struct world *w)
{
	control_runners(w, "{\"delay_ms\":2500}");
}

static void runners_leave(struct world *w)
{
	control_runners(w, "{\"leaving\":true}");
}

static void silence_open(struct world *w)
{
	cluster_control(w->cluster, w->relay_control,
			"{\"silence_open\":true}");
}

static void refuse_connections(struct world *w)
{
	cluster_control(w->cluster, w->relay_control, "{\"mode\":\"refuse\"}");
}

/* The result is that of the run which the answer names. */
static void assert_own(const struct call *call)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *id = json_object_object_get(result, "request_id");

	assert_whole(call, "repeatable");
	g_assert_cmpstr(json_object_get_string(id), ==,
			call_text(call, "request_id"));
}

enum when {
	BEFORE_CLAIM, /* before the request is sent */
	AFTER_ARRIVAL,
	RUNNING,
	ANSWERED,
};

typedef void (*fault_fn)(struct world *w);

/* One request at the first gateway, a fault, then a retry at the second. */
struct fault_case {
	const char *path;
	enum when when;
	int attempt; /* number of the first attempt, 0 for none */
	fault_fn fault;
	const char *answer; /* allowed answers of the first, "" for none */
	const char *reason; /* NULL for any */
	fault_fn before_retry;
	const char *retry;	  /* allowed answers of the retry */
	const char *retry_reason; /* NULL for any */
	guint least_runs;
	guint most_runs;
};

static const struct fault_case cases[] = {
	{ "/requests-faults/none", BEFORE_CLAIM, 1, no_fault, "done", NULL,
	  no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-lost-answer", BEFORE_CLAIM, 1,
	  lose_claim_answer, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/result-lost-answer", RUNNING, 1, lose_claim_answer,
	  "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-down", BEFORE_CLAIM, 1,
	  platform_down, "not run", "platform_down", platform_up, "done", NULL,
	  1, 1 },
	{ "/requests-faults/claim-platform-down-uncounted", BEFORE_CLAIM, 0,
	  platform_down, "unknown", "claim_unreachable", no_fault, "unknown",
	  "claim_unreachable", 0, 0 },
	{ "/requests-faults/result-platform-down", RUNNING, 1, platform_down,
	  "done", NULL, no_fault, "unknown", "claim_unreachable", 1, 1 },
	{ "/requests-faults/result-platform-back", RUNNING, 1, platform_down,
	  "done", NULL, platform_up, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-platform-slow", BEFORE_CLAIM, 1,
	  platform_slow, "done", NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/claim-gateway-killed", AFTER_ARRIVAL, 1,
	  kill_gateway_soon, "", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-gateway-killed", RUNNING, 1, kill_gateway,
	  "", NULL, no_fault, "unknown", "claimant_gone", 1, 1 },
	{ "/requests-faults/answered-gateway-killed", ANSWERED, 1, kill_gateway,
	  "done", NULL, no_fault, "done|unknown", NULL, 1, 1 },
	{ "/requests-faults/answered-gateway-stopped", ANSWERED, 1,
	  stop_gateway, "done", NULL, no_fault, "done|unknown", NULL, 1, 1 },
	{ "/requests-faults/running-drain", RUNNING, 1, drain_gateway, "done",
	  NULL, no_fault, "done", NULL, 1, 1 },
	{ "/requests-faults/crossed-answer", BEFORE_CLAIM, 1, cross_answers,
	  "unknown", "crossed_answer", no_fault, "unknown", "lost_answer", 1,
	  1 },
	{ "/requests-faults/failed-run", BEFORE_CLAIM, 1, fail_runs, "unknown",
	  "run_failed", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-runner", BEFORE_CLAIM, 1, silence_runners,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/late-answer", BEFORE_CLAIM, 1, delay_answers,
	  "unknown", "lost_answer", no_fault, "unknown", "lost_answer", 1, 1 },
	{ "/requests-faults/silent-connections", BEFORE_CLAIM, 1, silence_open,
	  "done|unknown", NULL, no_fault, "done|unknown", NULL, 0, 1 },
	{ "/requests-faults/running-silent-connection", RUNNING, 1,
	  silence_open, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 1, 1 },
	{ "/requests-faults/closed-connections", BEFORE_CLAIM, 1,
	  refuse_connections, "unknown", "lost_answer", no_fault, "unknown",
	  "lost_answer", 0, 0 },
	{ "/requests-faults/all-leaving", BEFORE_CLAIM, 1, runners_leave,
	  "not run", NULL, no_fault, "not run", NULL, 0, 0 },
};

static void apply(const struct fault_case *f, struct world *w, enum when when)
{
	if (f->when == when)
		f->fault(w);
}

static void assert_answer(const struct call *call, const char *allowed,
			  const char *reason, const char *key)
{
	const char *answer = call_text(call, "answer");
	char **names = g_strsplit(allowed, "|", -1);

	g_test_message("answer \"%s\" reason \"%s\", allowed \"%s\"", answer,
		       call_text(call, "reason"), allowed);
	g_assert_true(
		allowed[0] ? g_strv_contains((const char *const *)names, answer)
			   : answer[0] == '\0');
	if (reason)
		g_assert_cmpstr(call_text(call, "reason"), ==, reason);
	if (g_str_equal(answer, "done"))
		assert_whole(call, key);
	if (answer[0])
		g_assert_cmpuint(strlen(call_text(call, "request_id")), >, 0);
	g_strfreev(names);
}

static void test_fault(const void *data)
{
	const struct fault_case *f = data;
	struct world *w = world_new();
	struct request r = { "k", f->attempt, WORK_MS, DEADLINE_MS };
	struct call *first;
	struct call *retry;

	apply(f, w, BEFORE_CLAIM);
	if (f->when == AFTER_ARRIVAL)
		platform_slow(w);
	first = send(w, 0, &r);
	apply(f, w, AFTER_ARRIVAL);
	if (f->when == RUNNING)
		wait_started(w, r.key);
	apply(f, w, RUNNING);
	call_wait(first);
	assert_answer(first, f->answer, f->reason, r.key);
	apply(f, w, ANSWERED);
	f->before_retry(w);
	r.attempt = f->attempt ? f->attempt + 1 : 0;
	retry = send(w, 1, &r);
	call_wait(retry);
	assert_answer(retry, f->retry, f->retry_reason, r.key);
	cluster_sleep(WORK_MS);
	g_assert_cmpuint(runs_of(w, r.key), >=, f->least_runs);
	g_assert_cmpuint(runs_of(w, r.key), <=, f->most_runs);
	call_free(first);
	call_free(retry);
	world_free(w);
}

/* A stopped claimant holds its claim; once it goes on, its answer stands. */
static void test_stopped(void)
{
	struct world *w = world_new();
	struct request r = { "k", 1, WORK_MS, DEADLINE_MS * 4 };
	struct request again = { "k", 2, WORK_MS, 800 };
	struct call *first = send(w, 0, &r);
	struct call *retry;

	wait_started(w, "k");
	stop_gateway(w);
	retry = send(w, 1, &again);
	call_wait(retry);
	assert_answer(retry, "unknown", "claimed_elsewhere", "k");
	continue_gateway(w);
	call_wait(first);
	assert_answer(first, "done", NULL, "k");
	call_free(retry);
	retry = send(w, 1, &again);
	call_wait(retry);
	assert_answer(retry, "done", NULL, "k");
	g_assert_cmpuint(runs_of(w, "k"), ==, 1);
	call_free(first);
	call_free(retry);
	world_free(w);
}

/* Attempts at the same time, by one gateway and by both, run once. */
static void test_same_key(void)
{
	struct world *w = world_new();
	struct request r = { "k", 0, WORK_MS, DEADLINE_MS };
	struct call *calls[4];

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = send(w, i % GATEWAYS, &r);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		call_wait(calls[i]);
		assert_answer(calls[i], "done", NULL, "k");
		call_free(calls[i]);
	}
	g_assert_cmpuint(runs_of(w, "k"), ==, 1);
	world_free(w);
}

static void warm_up(struct world *w)
{
	const struct request r = { NULL, 0, 5, DEADLINE_MS };

	for (guint i = 0; i < WARM_UP_REQUESTS; i++) {
		struct call *call = send(w, 0, &r);

		call_wait(call);
		assert_answer(call, "done", NULL, "repeatable");
		assert_own(call);
		call_free(call);
	}
}

/* What strikes one endpoint, or the platform, while requests are repeatable. */
struct retry_case {
	const char *path;
	const char *runner_control; /* of the first runner */
	const char *relay_control;
	const char *platform_control;
};

static const struct retry_case retry_cases[] = {
	{ "/requests-faults/repeatable-silent-runner", "{\"silent\":true}",
	  NULL, NULL },
	{ "/requests-faults/repeatable-crossed-answer", "{\"wrong_id\":true}",
	  NULL, NULL },
	{ "/requests-faults/repeatable-failed-run", "{\"fail\":true}", NULL,
	  NULL },
	{ "/requests-faults/repeatable-late-answer", "{\"delay_ms\":2500}",
	  NULL, NULL },
	{ "/requests-faults/repeatable-silent-connections", NULL,
	  "{\"silence_open\":true}", NULL },
	{ "/requests-faults/repeatable-platform-down", NULL, NULL,
	  "{\"mode\":\"down\"}" },
};

static void test_repeatable(const void *data)
{
	const struct retry_case *c = data;
	const struct request r = { NULL, 0, 5, DEADLINE_MS };
	struct world *w = world_new();

	warm_up(w);
	if (c->runner_control)
		cluster_control(w->cluster, w->runners[0], c->runner_control);
	if (c->relay_control)
		cluster_control(w->cluster, w->relay_control, c->relay_control);
	if (c->platform_control)
		cluster_control(w->cluster, w->platform, c->platform_control);
	for (guint i = 0; i < 10; i++) {
		struct call *call = send(w, 0, &r);

		call_wait(call);
		assert_answer(call, "done", NULL, "repeatable");
		assert_own(call);
		call_free(call);
	}
	world_free(w);
}

/* Signs that the first endpoint leaves. */
struct leaving_case {
	const char *path;
	const char *runner_control;
	const char *state; /* in the platform's list */
	gboolean is_removed;
	gboolean is_platform_down; /* after the sign */
};

static const struct leaving_case leaving_cases[] = {
	{ "/requests-faults/leaving-by-list", NULL, "leaving", FALSE, FALSE },
	{ "/requests-faults/leaving-by-absence", NULL, NULL, TRUE, FALSE },
	{ "/requests-faults/leaving-by-answer", "{\"leaving\":true}", NULL,
	  FALSE, FALSE },
	{ "/requests-faults/leaving-platform-down", "{\"leaving\":true}", NULL,
	  FALSE, TRUE },
};

static void send_some(struct world *w, guint count)
{
	const struct request r = { NULL, 0, 5, DEADLINE_MS };

	for (guint i = 0; i < count; i++) {
		struct call *call = send(w, i % GATEWAYS, &r);

		call_wait(call);
		assert_answer(call, "done", NULL, "repeatable");
		assert_own(call);
		call_free(call);
	}
}

static void test_leaving(const void *data)
{
	const struct leaving_case *c = data;
	struct world *w = world_new();
	guint before;

	send_some(w, WARM_UP_REQUESTS);
	if (c->runner_control)
		cluster_control(w->cluster, w->runners[0], c->runner_control);
	if (c->state)
		add_vm(w, "r0", "endpoint", c->state, w->relayed[0]);
	if (c->is_removed)
		cluster_control(w->cluster, w->platform,
				"{\"remove_vms\":[\"r0\"]}");
	if (c->is_platform_down)
		platform_down(w);
	cluster_sleep(LEAVING_MS);
	before = runs_at(w, 0);
	send_some(w, 20);
	g_assert_cmpuint(runs_at(w, 0), ==, before);
	world_free(w);
}

/* Takes a port without listening on it: connections to it are refused. */
static GSocket *hold_port(char **address)
{
	GSocketAddress *wanted =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	GSocket *s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				  G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *got;
	guint port;

	g_assert_true(g_socket_bind(s, wanted, FALSE, NULL));
	got = g_socket_get_local_address(s, NULL);
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(got));
	*address = g_strdup_printf("127.0.0.1:%u", port);
	g_object_unref(got);
	g_object_unref(wanted);
	return s;
}

static gboolean has_ejected(void *data)
{
	struct world *w = data;

	send_some(w, GATEWAYS);
	return cluster_grep(w->gateways[0], "endpoint_ejected") > 0;
}

/* An endpoint that refuses connections costs no request, and is set aside. */
static void test_refused(void)
{
	struct world *w = world_new();
	char *nobody = NULL;
	GSocket *s = hold_port(&nobody);

	add_vm(w, "r2", "endpoint", "live", nobody);
	g_assert_true(cluster_wait(has_ejected, w, READY_TIMEOUT_MS));
	send_some(w, 20);
	g_object_unref(s);
	g_free(nobody);
	world_free(w);
}

static const struct {
	const char *state;   /* of the endpoint in the own failure domain */
	const char *control; /* of the relay to the other failure domain */
	const char *answer;
} domain_cases[] = {
	{ "live", "{}", "done" },
	{ "leaving", "{}", "done" },
	/* Cut off from the other failure domain: the own one still serves. */
	{ "live", "{\"route\":1,\"mode\":\"cut_up\"}", "done" },
	{ "leaving", "{\"route\":1,\"mode\":\"cut_up\"}", "unknown" },
};

static void send_and_expect(struct world *w, guint count, const char *answer)
{
	const struct request r = { NULL, 0, 5, 800 };

	for (guint i = 0; i < count; i++) {
		struct call *call = send(w, 0, &r);

		call_wait(call);
		assert_answer(call, answer, NULL, "repeatable");
		call_free(call);
	}
}

/* Another failure domain serves only what the own one can't. */
static void test_domains(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(domain_cases); i++) {
		struct world *w = world_new();
		guint before;

		add_vm_in(w, "tov-b", "r1", "endpoint", "live", w->relayed[1]);
		add_vm(w, "r0", "endpoint", domain_cases[i].state,
		       w->relayed[0]);
		cluster_sleep(1500);
		cluster_control(w->cluster, w->relay_control,
				domain_cases[i].control);
		before = runs_at(w, 1);
		send_and_expect(w, 3, domain_cases[i].answer);
		if (g_str_equal(domain_cases[i].state, "live"))
			g_assert_cmpuint(runs_at(w, 1), ==, before);
		world_free(w);
	}
}

/* A drain finishes what was accepted, refuses what is new, and ends well. */
static void test_drain(void)
{
	struct world *w = world_new();
	const struct request slow = { NULL, 0, 700, 2500 };
	const struct request late = { NULL, 0, 5, DEADLINE_MS };
	struct call *calls[8];
	struct call *refused;

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = send(w, 0, &slow);
	wait_started(w, "repeatable");
	cluster_sleep(100);
	drain_gateway(w);
	cluster_sleep(100);
	refused = send(w, 0, &late);
	call_wait(refused);
	assert_answer(refused, "not run", "draining", NULL);
	call_free(refused);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		call_wait(calls[i]);
		assert_answer(calls[i], "done", NULL, "repeatable");
		call_free(calls[i]);
	}
	g_assert_cmpint(cluster_wait_exit(w->gateways[0], READY_TIMEOUT_MS), ==,
			0);
	world_free(w);
}

#define STORM 60

/* One of many keys, each with a retry at the other gateway. */
struct storm_key {
	char *key;
	struct call *call;
};

static void storm_send(struct world *w, struct storm_key *k, guint i)
{
	struct request r = { NULL, 1, 100, DEADLINE_MS };

	k->key = g_strdup_printf("storm-%u", i);
	r.key = k->key;
	k->call = send(w, i % GATEWAYS, &r);
}

static void storm_retry(struct world *w, struct storm_key *k)
{
	const struct request r = { k->key, 2, 100, DEADLINE_MS };

	call_wait(k->call);
	if (k->call->body)
		return;
	call_free(k->call);
	k->call = send(w, 1, &r);
	call_wait(k->call);
}

/* Returns whether it is done. */
static gboolean storm_check(struct world *w, const struct storm_key *k)
{
	const char *answer = call_text(k->call, "answer");
	guint runs = runs_of(w, k->key);

	g_assert_cmpuint(runs, <=, 1);
	if (g_str_equal(answer, "not run"))
		g_assert_cmpuint(runs, ==, 0);
	if (!g_str_equal(answer, "done"))
		return FALSE;
	g_assert_cmpuint(runs, ==, 1);
	assert_whole(k->call, k->key);
	return TRUE;
}

/*
 * Many keys while answers of the table are lost and one gateway dies: each is
 * retried at the other one, none runs twice, and "not run" is true.
 */
static void test_storm(void)
{
	struct world *w = world_new();
	struct storm_key keys[STORM];
	guint done = 0;

	cluster_control(w->cluster, w->platform,
			"{\"lose_answers\":5,\"lose_table\":\"claims\"}");
	for (guint i = 0; i < STORM; i++)
		storm_send(w, &keys[i], i);
	cluster_sleep(150);
	kill_gateway(w);
	for (guint i = 0; i < STORM; i++)
		storm_retry(w, &keys[i]);
	for (guint i = 0; i < STORM; i++) {
		done += storm_check(w, &keys[i]);
		call_free(keys[i].call);
		g_free(keys[i].key);
	}
	g_test_message("%u of %u done", done, STORM);
	g_assert_cmpuint(done, >=, STORM / 2);
	world_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_fault);
	for (guint i = 0; i < G_N_ELEMENTS(retry_cases); i++)
		g_test_add_data_func(retry_cases[i].path, &retry_cases[i],
				     test_repeatable);
	for (guint i = 0; i < G_N_ELEMENTS(leaving_cases); i++)
		g_test_add_data_func(leaving_cases[i].path, &leaving_cases[i],
				     test_leaving);
	g_test_add_func("/requests-faults/running-gateway-stopped",
			test_stopped);
	g_test_add_func("/requests-faults/same-key", test_same_key);
	g_test_add_func("/requests-faults/refused-connections", test_refused);
	g_test_add_func("/requests-faults/failure-domains", test_domains);
	g_test_add_func("/requests-faults/drain", test_drain);
	g_test_add_func("/requests-faults/storm", test_storm);
	return g_test_run();
}
