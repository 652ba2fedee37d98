/**
 * @file
 * Stand-in for a runner, an endpoint that runs requests in a limited number of
 * slots. POST /control injects faults.
 */
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "standin/common/standin.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define ID_MAX_BYTES 256
#define MAX_WORK_MS 3600000
#define DEFAULT_SLOTS 8
#define MAX_CONNECTIONS 64

struct runner {
	struct http_server *server;
	struct standin_vm vm;
	gint slots;
	gint slots_busy;
	int64_t delay_ms;   /* between the end of the work and the reply */
	int64_t is_silent;  /* no replies to runs and health checks */
	int64_t is_leaving; /* refuses new requests */
	int64_t is_failing; /* replies 500 after the work */
	int64_t returns_wrong_id; /* replies with the id of another request */
	GHashTable *runs;	  /* request id to number of starts */
	GHashTable *keys;	  /* "key" in the payload to number of starts */
	char *last_id; /* of the last request with a result, or NULL */
};

/* A request in a slot. */
struct run {
	struct runner *runner;
	struct http_request *request;
	char *id;
	json_object *payload;
};

struct run_body {
	char *request_id;
	int64_t work_ms;
	json_object *payload;
};

struct control_body {
	int64_t delay_ms;
	int64_t is_silent;
	int64_t is_leaving;
	int64_t is_failing;
	int64_t returns_wrong_id;
};

static const struct field_spec run_fields[] = {
	{ .name = "request_id",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct run_body, request_id),
	  .min = 1,
	  .max = ID_MAX_BYTES },
	{ .name = "work_ms",
	  .type = FIELD_INT,
	  .offset = offsetof(struct run_body, work_ms),
	  .max = MAX_WORK_MS },
	{ .name = "payload",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct run_body, payload) },
	{ 0 },
};

static const struct schema run_schema = { sizeof(struct run_body), run_fields };

static const struct field_spec control_fields[] = {
	STANDIN_INT(delay_ms, MAX_WORK_MS),
	STANDIN_FLAG("silent", is_silent),
	STANDIN_FLAG("leaving", is_leaving),
	STANDIN_FLAG("fail", is_failing),
	STANDIN_FLAG("wrong_id", returns_wrong_id),
	{ 0 },
};

static const struct schema control_schema = { sizeof(struct control_body),
					      control_fields };

static void add_slots(json_object *json, const struct runner *r)
{
	json_object_object_add(json, "slots_busy",
			       json_object_new_int(r->slots_busy));
	json_object_object_add(json, "slots", json_object_new_int(r->slots));
}

static void count_up(GHashTable *table, const char *key)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_replace(table, g_strdup(key), GUINT_TO_POINTER(count + 1));
}

static void run_free(struct run *run)
{
	json_object_put(run->payload);
	g_free(run->id);
	g_free(run);
}

static json_object *encode_result(const struct run *run)
{
	json_object *result = json_object_new_object();

	json_object_object_add(result, "request_id",
			       json_object_new_string(run->id));
	json_object_object_add(result, "payload",
			       json_object_get(run->payload));
	return result;
}

static void reply_result(struct run *run)
{
	struct runner *r = run->runner;
	const char *id = run->id;
	json_object *body;

	if (r->is_silent)
		return; /* the caller runs into its timeout */
	if (r->is_failing) {
		http_request_reply_text(run->request,
					SOUP_STATUS_INTERNAL_SERVER_ERROR,
					"failed\n");
		run_free(run);
		return;
	}
	if (r->returns_wrong_id)
		id = r->last_id ? r->last_id : "other";
	body = json_object_new_object();
	json_object_object_add(body, "request_id", json_object_new_string(id));
	json_object_object_add(body, "result", encode_result(run));
	json_object_object_add(body, "endpoint",
			       json_object_new_string(r->vm.name));
	add_slots(body, r);
	http_request_reply(run->request, SOUP_STATUS_OK, body);
	g_free(r->last_id);
	r->last_id = g_strdup(run->id);
	run_free(run);
}

static gboolean on_delay_over(gpointer data)
{
	reply_result(data);
	return G_SOURCE_REMOVE;
}

static gboolean on_work_done(gpointer data)
{
	struct run *run = data;

	run->runner->slots_busy--;
	if (run->runner->delay_ms)
		g_timeout_add(run->runner->delay_ms, on_delay_over, run);
	else
		reply_result(run);
	return G_SOURCE_REMOVE;
}

static void reply_refused(struct runner *r, struct http_request *request,
			  const char *id, const char *reason)
{
	json_object *body = json_object_new_object();

	json_object_object_add(body, "request_id", json_object_new_string(id));
	json_object_object_add(body, "reason", json_object_new_string(reason));
	add_slots(body, r);
	http_request_reply(request, SOUP_STATUS_SERVICE_UNAVAILABLE, body);
}

static void start_run(struct runner *r, struct http_request *request,
		      const struct run_body *body)
{
	struct run *run = g_new0(struct run, 1);
	json_object *key = NULL;

	run->runner = r;
	run->request = request;
	run->id = g_strdup(body->request_id);
	run->payload = json_object_get(body->payload);
	r->slots_busy++;
	count_up(r->runs, run->id);
	if (json_object_is_type(run->payload, json_type_object) &&
	    json_object_object_get_ex(run->payload, "key", &key))
		count_up(r->keys, json_object_get_string(key));
	g_timeout_add(body->work_ms, on_work_done, run);
}

static void handle_run(struct http_request *request, void *data)
{
	struct runner *r = data;
	struct run_body body = { 0 };

	if (!standin_decode(request, &run_schema, &body))
		return;
	if (r->is_leaving)
		reply_refused(r, request, body.request_id, "leaving");
	else if (r->slots_busy >= r->slots)
		reply_refused(r, request, body.request_id, "busy");
	else
		start_run(r, request, &body);
	schema_clear(&run_schema, &body);
}

static void handle_health(struct http_request *request, void *data)
{
	struct runner *r = data;
	json_object *body;

	if (r->is_silent)
		return;
	body = json_object_new_object();
	add_slots(body, r);
	json_object_object_add(body, "is_leaving",
			       json_object_new_boolean(r->is_leaving != 0));
	http_request_reply(request, SOUP_STATUS_OK, body);
}

static void handle_control(struct http_request *request, void *data)
{
	struct runner *r = data;
	struct control_body body = { 0 };

	if (!standin_decode(request, &control_schema, &body))
		return;
	standin_set_if_given(&r->delay_ms, body.delay_ms);
	standin_set_if_given(&r->is_silent, body.is_silent);
	standin_set_if_given(&r->is_leaving, body.is_leaving);
	standin_set_if_given(&r->is_failing, body.is_failing);
	standin_set_if_given(&r->returns_wrong_id, body.returns_wrong_id);
	standin_reply_ok(request);
}

static json_object *encode_counts(GHashTable *table)
{
	json_object *json = json_object_new_object();
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &count))
		json_object_object_add(
			json, key,
			json_object_new_int64(GPOINTER_TO_UINT(count)));
	return json;
}

static void handle_runs(struct http_request *request, void *data)
{
	struct runner *r = data;
	json_object *body = json_object_new_object();

	json_object_object_add(body, "runs", encode_counts(r->runs));
	json_object_object_add(body, "keys", encode_counts(r->keys));
	http_request_reply(request, SOUP_STATUS_OK, body);
}

static gboolean runner_open(struct runner *r, const struct standin_options *o,
			    guint index, gint slots)
{
	struct http_limits limits = *http_default_limits();

	r->slots = slots;
	r->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	r->vm.role = "endpoint";
	r->server = http_server_new(MAX_BODY_BYTES);
	limits.connections.max_connections = MAX_CONNECTIONS;
	http_server_set_limits(r->server, &limits);
	http_server_add_route(r->server, "POST", "/run", handle_run, r);
	http_server_add_route(r->server, "GET", "/health", handle_health, r);
	http_server_add_route(r->server, "POST", "/control", handle_control, r);
	http_server_add_route(r->server, "GET", "/runs", handle_runs, r);
	return standin_listen(o, index, r->server, &r->vm);
}

int main(int argc, char **argv)
{
	struct standin_options o = { 0 };
	gint slots = DEFAULT_SLOTS;
	const GOptionEntry entries[] = {
		{ "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Slots", "N" },
		G_OPTION_ENTRY_NULL,
	};
	struct standin_vm *vms;
	struct runner *runners = NULL;
	int code = EXIT_FAILURE;

	if (!standin_options_parse(&o, entries, "Stand-in for a runner.", argc,
				   argv, &code))
		return code;
	runners = g_new0(struct runner, o.count);
	vms = g_new0(struct standin_vm, o.count);
	for (gint i = 0; i < o.count; i++) {
		if (!runner_open(&runners[i], &o, i, slots))
			goto out;
		vms[i] = runners[i].vm;
	}
	standin_register(&o, vms, o.count);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	code = EXIT_SUCCESS;
out:
	g_free(vms);
	g_free(runners);
	return code;
}
