#include "tests/request_cluster.h"

#include <signal.h>
#include <string.h>

#define CALL_TIMEOUT_MS 15000

#define CONFIG                                                     \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","        \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["  \
	"{\"name\":\"rescue\",\"service\":\"salkhi\",\"share\":1," \
	"\"requests_per_s\":500,\"queued_requests\":200}],\"jobs\":[]}"

void request_cluster_add_vm_in_domain(struct request_cluster *c,
				      const char *failure_domain,
				      const char *vm, const char *role,
				      const char *state, const char *address)
{
	char *body = g_strdup_printf(
		"{\"add_vms\":[{\"vm\":\"%s\",\"role\":\"%s\","
		"\"service\":\"salkhi\",\"failure_domain\":\"%s\","
		"\"state\":\"%s\",\"address\":\"%s\"}]}",
		vm, role, failure_domain, state, address);

	cluster_control(c->cluster, c->platform, body);
	g_free(body);
}

void request_cluster_add_vm(struct request_cluster *c, const char *vm,
			    const char *role, const char *state,
			    const char *address)
{
	request_cluster_add_vm_in_domain(c, "tov-a", vm, role, state, address);
}

static void start_runners(struct request_cluster *c)
{
	struct cluster_process *p =
		cluster_spawn(c->cluster, "cs-standin-runner", "runners",
			      CLUSTER_ARGS("--count", "2"));
	char *routes[RUNNERS];

	for (guint i = 0; i < RUNNERS; i++) {
		c->runner_addresses[i] = cluster_listen_address(p, i);
		routes[i] = g_strdup_printf("127.0.0.1:0=%s",
					    c->runner_addresses[i]);
	}
	p = cluster_spawn(
		c->cluster, "cs-standin-relay", "relay",
		CLUSTER_ARGS("--route", routes[0], "--route", routes[1]));
	c->relay_control = cluster_log_value(p, "control", 0);
	for (guint i = 0; i < RUNNERS; i++) {
		char *name = g_strdup_printf("r%u", i);

		c->relayed_addresses[i] = cluster_listen_address(p, i);
		request_cluster_add_vm(c, name, "endpoint", "live",
				       c->relayed_addresses[i]);
		g_free(name);
		g_free(routes[i]);
	}
}

static void start_gateway(struct request_cluster *c, guint i)
{
	char *name = g_strdup_printf("g%u", i);
	char *link = cluster_reserve_address();
	struct cluster_node_spec node = { .node = name,
					  .link = link,
					  .platform = c->platform };

	c->gateway_addresses[i] = cluster_reserve_address();
	node.http = c->gateway_addresses[i];
	request_cluster_add_vm(c, name, "entry", "live",
			       c->gateway_addresses[i]);
	c->gateways[i] = cluster_spawn_node(c->cluster, "csgated", &node);
	g_free(name);
	g_free(link);
}

/* The gateway that a condition polls. */
struct gateway_wait {
	struct request_cluster *cluster;
	const char *address;
	const char *body; /* configuration to apply, NULL to read it */
};

static gboolean is_applied(void *data)
{
	struct gateway_wait *wait = data;
	struct cluster_reply r = cluster_call(
		wait->cluster->cluster, wait->body ? "POST" : "GET",
		wait->address, "/v1/config", wait->body, NULL,
		CLUSTER_CALL_TIMEOUT_MS);
	gboolean holds = r.code == 200 &&
			 json_object_get_int(
				 json_object_object_get(r.body, "version")) > 0;

	cluster_reply_clear(&r);
	return holds;
}

static struct request_call *send_request(struct request_cluster *c,
					 guint gateway, const char *body);

/*
 * Returns TRUE if the gateway serves a request, which takes the configuration
 * and the list of endpoints.
 */
static gboolean serves(void *data)
{
	struct gateway_wait *wait = data;
	guint gateway = wait->address == wait->cluster->gateway_addresses[1];
	struct request_call *call = send_request(
		wait->cluster, gateway,
		"{\"client_account\":\"rescue\",\"service\":\"salkhi\","
		"\"class\":\"spot\",\"deadline_ms\":500,"
		"\"is_repeatable\":true,\"payload\":{\"work_ms\":1}}");
	gboolean holds;

	request_call_wait(call);
	holds = call->code == 200;
	request_call_free(call);
	return holds;
}

struct request_cluster *request_cluster_new(void)
{
	struct request_cluster *c = g_new0(struct request_cluster, 1);
	struct gateway_wait post = { c, NULL, NULL };
	char *body =
		g_strdup_printf("{\"base_version\":0,\"config\":%s}", CONFIG);
	struct cluster_process *p;

	c->cluster = cluster_new();
	p = cluster_spawn(c->cluster, "cs-standin-platform", "platform", NULL);
	c->platform = cluster_listen_address(p, 0);
	start_runners(c);
	for (guint i = 0; i < GATEWAYS; i++)
		start_gateway(c, i);
	post.address = c->gateway_addresses[0];
	post.body = body;
	g_assert_true(cluster_wait(is_applied, &post, READY_TIMEOUT_MS));
	for (guint i = 0; i < GATEWAYS; i++) {
		struct gateway_wait ready = { c, c->gateway_addresses[i],
					      NULL };

		g_assert_true(cluster_wait(serves, &ready, READY_TIMEOUT_MS));
	}
	g_free(body);
	return c;
}

void request_cluster_free(struct request_cluster *c)
{
	/* The gateways' drain would wait for a platform that is down. */
	cluster_control(c->cluster, c->platform, "{\"mode\":\"ok\"}");
	cluster_free(c->cluster);
	for (guint i = 0; i < GATEWAYS; i++)
		g_free(c->gateway_addresses[i]);
	for (guint i = 0; i < RUNNERS; i++) {
		g_free(c->runner_addresses[i]);
		g_free(c->relayed_addresses[i]);
	}
	g_free(c->platform);
	g_free(c->relay_control);
	g_free(c);
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct request_call *call = data;

	if (reply->status != STATUS_OK)
		g_test_message("no answer: %s", status_last_message());
	else if (!reply->body)
		g_test_message("HTTP %u with a body that is not JSON: %s",
			       reply->code, reply->text);
	call->body = json_object_get(reply->body);
	call->code = reply->code;
	call->is_done = TRUE;
}

static struct request_call *send_request(struct request_cluster *c,
					 guint gateway, const char *body)
{
	struct request_call *call = g_new0(struct request_call, 1);
	json_object *json = json_tokener_parse(body);
	struct http_call_spec spec = {
		.method = "POST",
		.address = c->gateway_addresses[gateway],
		.path = "/v1/requests",
		.body = json,
		.timeout_ms = CALL_TIMEOUT_MS,
		.on_reply = on_reply,
		.data = call,
	};

	http_client_send(c->cluster->client, &spec);
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

const char *request_call_member(const struct request_call *call,
				const char *name)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(call->body, name, &value))
		return "";
	return json_object_get_string(value);
}

struct request_call *request_cluster_send(struct request_cluster *c,
					  guint gateway,
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
	struct request_call *call = send_request(c, gateway, body);

	g_free(key);
	g_free(body);
	return call;
}

guint request_cluster_count_runs_of_key(struct request_cluster *c,
					const char *key)
{
	guint runs = 0;

	for (guint i = 0; i < RUNNERS; i++) {
		struct cluster_reply r = cluster_call(
			c->cluster, "GET", c->runner_addresses[i], "/runs",
			NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
		json_object *keys = json_object_object_get(r.body, "keys");

		runs += (guint)json_object_get_int(
			json_object_object_get(keys, key));
		cluster_reply_clear(&r);
	}
	return runs;
}

guint request_cluster_count_runs_at_runner(struct request_cluster *c,
					   guint runner)
{
	struct cluster_reply r =
		cluster_call(c->cluster, "GET", c->runner_addresses[runner],
			     "/runs", NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
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
	struct request_cluster *cluster;
	const char *key;
};

static gboolean has_started(void *data)
{
	struct run_wait *r = data;

	return request_cluster_count_runs_of_key(r->cluster, r->key) > 0;
}

void request_cluster_wait_started(struct request_cluster *c, const char *key)
{
	struct run_wait r = { c, key };

	g_assert_true(cluster_wait(has_started, &r, READY_TIMEOUT_MS));
}

void request_call_assert_result_key(const struct request_call *call,
				    const char *key)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *payload = json_object_object_get(result, "payload");

	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(payload, "key")),
		==, key);
}

void request_call_assert_result_id(const struct request_call *call)
{
	json_object *result = json_object_object_get(call->body, "result");
	json_object *id = json_object_object_get(result, "request_id");

	request_call_assert_result_key(call, "repeatable");
	g_assert_cmpstr(json_object_get_string(id), ==,
			request_call_member(call, "request_id"));
}

void request_call_assert_answer(const struct request_call *call,
				const char *allowed, const char *reason,
				const char *key)
{
	const char *answer = request_call_member(call, "answer");
	char **names = g_strsplit(allowed, "|", -1);

	g_test_message("answer %u %s, allowed \"%s\"", call->code,
		       json_object_to_json_string(call->body), allowed);
	g_assert_true(
		allowed[0] ? g_strv_contains((const char *const *)names, answer)
			   : answer[0] == '\0');
	if (reason)
		g_assert_cmpstr(request_call_member(call, "reason"), ==,
				reason);
	if (g_str_equal(answer, "done"))
		request_call_assert_result_key(call, key);
	if (answer[0])
		g_assert_cmpuint(
			strlen(request_call_member(call, "request_id")), >, 0);
	g_strfreev(names);
}

void request_cluster_send_repeatable(struct request_cluster *c, guint count)
{
	const struct request_call_spec r = { NULL, 0, 5, DEADLINE_MS };

	for (guint i = 0; i < count; i++) {
		struct request_call *call =
			request_cluster_send(c, i % GATEWAYS, &r);

		request_call_wait(call);
		request_call_assert_answer(call, "done", NULL, "repeatable");
		request_call_assert_result_id(call);
		request_call_free(call);
	}
}

void request_cluster_kill_gateway(struct request_cluster *c)
{
	cluster_signal(c->gateways[0], SIGKILL);
	cluster_wait_exit(c->gateways[0], READY_TIMEOUT_MS);
}

void request_cluster_set_platform_down(struct request_cluster *c)
{
	cluster_control(c->cluster, c->platform, "{\"mode\":\"down\"}");
}

void request_cluster_drain_gateway(struct request_cluster *c)
{
	cluster_signal(c->gateways[0], SIGTERM);
}
