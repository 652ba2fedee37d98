#include "tests/request_world.h"

#include <signal.h>
#include <string.h>

#define CALL_TIMEOUT_MS 15000

#define CONFIG                                                     \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","        \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["  \
	"{\"name\":\"rescue\",\"service\":\"salkhi\",\"share\":1," \
	"\"requests_per_s\":500,\"queued_requests\":200}],\"jobs\":[]}"

void request_world_add_vm_in(struct request_world *w,
			     const char *failure_domain, const char *vm,
			     const char *role, const char *state,
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

void request_world_add_vm(struct request_world *w, const char *vm,
			  const char *role, const char *state,
			  const char *address)
{
	request_world_add_vm_in(w, "tov-a", vm, role, state, address);
}

static void start_runners(struct request_world *w)
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
		request_world_add_vm(w, name, "endpoint", "live",
				     w->relayed[i]);
		g_free(name);
		g_free(routes[i]);
	}
}

static void start_gateway(struct request_world *w, guint i)
{
	char *name = g_strdup_printf("g%u", i);
	char *link = cluster_address();
	struct cluster_node node = { .node = name,
				     .link = link,
				     .platform = w->platform };

	w->addresses[i] = cluster_address();
	node.http = w->addresses[i];
	request_world_add_vm(w, name, "entry", "live", w->addresses[i]);
	w->gateways[i] = cluster_spawn_node(w->cluster, "csgated", &node);
	g_free(name);
	g_free(link);
}

struct config_wait {
	struct request_world *world;
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

static struct request_call *send_request(struct request_world *w, guint gateway,
					 const char *body);

/* Both gateways have the configuration and know the endpoints. */
static gboolean serves(void *data)
{
	struct config_wait *c = data;
	guint gateway = c->address == c->world->addresses[1];
	struct request_call *call = send_request(
		c->world, gateway,
		"{\"client_account\":\"rescue\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{\"work_ms\":1}}");
	gboolean holds;

	request_call_wait(call);
	holds = call->code == 200;
	request_call_free(call);
	return holds;
}

struct request_world *request_world_new(void)
{
	struct request_world *w = g_new0(struct request_world, 1);
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

void request_world_free(struct request_world *w)
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
	struct request_call *call = data;

	if (reply->status != STATUS_OK)
		g_test_message("no answer: %s", status_last_message());
	else if (!reply->body)
		g_test_message("answer %u is no JSON: %s", reply->code,
			       reply->text);
	call->body = json_object_get(reply->body);
	call->code = reply->code;
	call->is_done = TRUE;
}

static struct request_call *send_request(struct request_world *w, guint gateway,
					 const char *body)
{
	struct request_call *call = g_new0(struct request_call, 1);
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
	return ((struct request_call *)data)->is_done;
}

void request_call_wait(struct request_call *call)
{
	g_assert_true(cluster_wait(call_is_done, call, CALL_TIMEOUT_MS + 1000));
}

void request_call_free(struct request_call *call)
{
	json_object_put(call->body);
	g_free(call);
}

const char *request_call_text(const struct request_call *call, const char *name)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(call->body, name, &value))
		return "";
	return json_object_get_string(value);
}

struct request_call *request_world_send(struct request_world *w, guint gateway,
					const struct request_call_spec *r)
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
	struct request_call *call = send_request(w, gateway, body);

	g_free(key);
	g_free(body);
	return call;
}

guint request_world_runs_of(struct request_world *w, const char *key)
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

guint request_world_runs_at(struct request_world *w, guint runner)
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
	struct request_world *world;
	const char *key;
};

static gboolean has_started(void *data)
{
	struct run_wait *r = data;

	return request_world_runs_of(r->world, r->key) > 0;
}

void request_world_wait_started(struct request_world *w, const char *key)
{
	struct run_wait r = { w, key };

	g_assert_true(cluster_wait(has_started, &r, READY_TIMEOUT_MS));
}

void request_call_assert_whole(const struct request_call *call, const char *key)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *payload = json_object_object_get(result, "payload");

	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(payload, "key")),
		==, key);
}

void request_call_assert_own(const struct request_call *call)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *id = json_object_object_get(result, "request_id");

	request_call_assert_whole(call, "repeatable");
	g_assert_cmpstr(json_object_get_string(id), ==,
			request_call_text(call, "request_id"));
}

void request_call_assert_answer(const struct request_call *call,
				const char *allowed, const char *reason,
				const char *key)
{
	const char *answer = request_call_text(call, "answer");
	char **names = g_strsplit(allowed, "|", -1);

	g_test_message("answer %u %s, allowed \"%s\"", call->code,
		       json_object_to_json_string(call->body), allowed);
	g_assert_true(
		allowed[0] ? g_strv_contains((const char *const *)names, answer)
			   : answer[0] == '\0');
	if (reason)
		g_assert_cmpstr(request_call_text(call, "reason"), ==, reason);
	if (g_str_equal(answer, "done"))
		request_call_assert_whole(call, key);
	if (answer[0])
		g_assert_cmpuint(strlen(request_call_text(call, "request_id")),
				 >, 0);
	g_strfreev(names);
}

void request_world_send_some(struct request_world *w, guint count)
{
	const struct request_call_spec r = { NULL, 0, 5, DEADLINE_MS };

	for (guint i = 0; i < count; i++) {
		struct request_call *call =
			request_world_send(w, i % GATEWAYS, &r);

		request_call_wait(call);
		request_call_assert_answer(call, "done", NULL, "repeatable");
		request_call_assert_own(call);
		request_call_free(call);
	}
}

void request_world_kill_gateway(struct request_world *w)
{
	cluster_signal(w->gateways[0], SIGKILL);
	cluster_wait_exit(w->gateways[0], READY_TIMEOUT_MS);
}

void request_world_platform_down(struct request_world *w)
{
	cluster_control(w->cluster, w->platform, "{\"mode\":\"down\"}");
}

void request_world_drain_gateway(struct request_world *w)
{
	cluster_signal(w->gateways[0], SIGTERM);
}
