#include "config/config_routes.h"

#include "base/log.h"
#include "config/config_writer.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "job/guarantee_check.h"

#define OPERATOR_MAX_BYTES 64
#define CONFIG_PATH "/v1/config"

struct config_routes {
	struct kernel *kernel;
	struct config_service *service;
};

/** Body of POST /v1/config. */
struct config_post {
	int64_t base_version;
	json_object *config;
	int64_t is_dry_run;
	char *operator_name;
};

static const struct field_spec config_post_fields[] = {
	{ .name = "base_version",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_post, base_version),
	  .max = INT64_MAX },
	{ .name = "config",
	  .type = FIELD_JSON,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_post, config) },
	{ .name = "dry_run",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct config_post, is_dry_run) },
	{ .name = "operator",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct config_post, operator_name),
	  .max = OPERATOR_MAX_BYTES },
	{ 0 },
};

static const struct schema config_post_schema = { sizeof(struct config_post),
						  config_post_fields };

/** A POST request that has not been answered yet. */
struct pending_post {
	struct config_routes *routes;
	struct http_request *request;
	struct config_post post;
	struct config_doc doc; /**< decoded from post.config */
};

static void pending_post_free(struct pending_post *pending)
{
	config_doc_clear(&pending->doc);
	schema_clear(&config_post_schema, &pending->post);
	g_free(pending);
}

/** HTTP status and body members of the reply for an outcome. */
struct answer {
	guint code;
	const char *answer;
	const char *reason;
};

static const struct answer answers[] = {
	[ACCEPTANCE_ACCEPTED] = { SOUP_STATUS_OK, "accepted", NULL },
	[ACCEPTANCE_VALID] = { SOUP_STATUS_OK, "valid", NULL },
	[ACCEPTANCE_CONFLICT] = { SOUP_STATUS_CONFLICT, "conflict", NULL },
	[ACCEPTANCE_UNAVAILABLE] = { SOUP_STATUS_SERVICE_UNAVAILABLE, "not run",
				     "store-unavailable" },
	[ACCEPTANCE_UNKNOWN] = { SOUP_STATUS_GATEWAY_TIMEOUT, "unknown",
				 "store-answer-lost" },
};

static void add_string(json_object *body, const char *name, const char *value)
{
	if (value)
		json_object_object_add(body, name,
				       json_object_new_string(value));
}

static void on_outcome(const struct config_acceptance *a, json_object *config,
		       void *data)
{
	struct pending_post *post = data;
	const struct answer *answer = &answers[a->outcome];
	json_object *body = json_object_new_object();
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "config_post");
	log_str(&line, "answer", answer->answer);
	log_str(&line, "operator", a->operator_name);
	log_int(&line, "base_version", a->base_version);
	log_int(&line, "config_version", a->current_version);
	log_end(&line);
	if (a->outcome == ACCEPTANCE_ACCEPTED)
		config_service_apply(post->routes->service, a->next.version,
				     config, CONFIG_FROM_STORE);
	add_string(body, "answer", answer->answer);
	add_string(body, "reason", answer->reason);
	json_object_object_add(
		body, "version",
		json_object_new_int64(a->outcome == ACCEPTANCE_ACCEPTED
					      ? a->next.version
					      : a->current_version));
	add_string(body, "operator", a->winning_operator);
	http_request_reply(post->request, answer->code, body);
	pending_post_free(post);
}

static gboolean decode_post(json_object *json, struct pending_post *pending,
			    struct finding_list *findings)
{
	return schema_decode(&config_post_schema, json, &pending->post, "",
			     NULL, findings) &&
	       config_doc_decode(pending->post.config, &pending->doc, NULL,
				 findings);
}

static void reply_vm_list_unavailable(struct pending_post *pending)
{
	json_object *body = json_object_new_object();

	add_string(body, "answer", "not run");
	add_string(body, "reason", "store-unavailable");
	add_string(body, "message",
		   "can't check the guarantees: the VM list can't be read");
	http_request_reply(pending->request, SOUP_STATUS_SERVICE_UNAVAILABLE,
			   body);
	pending_post_free(pending);
}

/*
 * Refuses a configuration whose guarantees don't all fit on the listed workers;
 * starts the write of any other.
 */
static void check_guarantees(struct pending_post *pending,
			     const struct vm_list *list)
{
	const struct config_post *post = &pending->post;
	struct finding_list findings;

	finding_list_init(&findings);
	if (!guarantee_check_vms(&pending->doc, list, &findings)) {
		http_request_reply_findings(pending->request, &findings);
		pending_post_free(pending);
		goto out;
	}
	config_writer_start(
		platform_of(pending->routes->kernel), post->base_version,
		post->operator_name ? post->operator_name : "", post->config,
		post->is_dry_run != 0, on_outcome, pending);
out:
	finding_list_clear(&findings);
}

static void on_vm_list(const struct platform_result *result, void *data)
{
	struct finding_list findings;
	struct vm_list list;

	finding_list_init(&findings);
	vm_list_init(&list);
	if (result->status == STATUS_OK &&
	    vm_list_decode_bytes(&list, result->bytes, &findings))
		check_guarantees(data, &list);
	else
		reply_vm_list_unavailable(data);
	vm_list_clear(&list);
	finding_list_clear(&findings);
}

/*
 * Uses the VM list of this process; a process that has just started may have no
 * complete one yet and reads it from the platform.
 */
static void load_vm_list(struct config_routes *r, struct pending_post *pending)
{
	const struct vm_list *list = vm_reader_list(vm_reader_of(r->kernel));
	const struct vm_list_query query = { NULL, NULL };

	if (list && list->is_whole)
		check_guarantees(pending, list);
	else
		platform_vm_list(platform_of(r->kernel), &query, on_vm_list,
				 pending);
}

static void handle_post(struct http_request *request, void *data)
{
	struct config_routes *r = data;
	struct pending_post *pending;
	struct finding_list findings;
	json_object *json;

	if (!http_service_allow_operator(r->kernel, request))
		return;
	json = http_request_json(request);
	if (!json)
		return;
	finding_list_init(&findings);
	pending = g_new0(struct pending_post, 1);
	pending->routes = r;
	pending->request = request;
	if (decode_post(json, pending, &findings)) {
		load_vm_list(r, pending);
	} else {
		http_request_reply_findings(request, &findings);
		pending_post_free(pending);
	}
	finding_list_clear(&findings);
}

static void handle_get(struct http_request *request, void *data)
{
	struct config_routes *r = data;
	const struct config_body *config = config_service_body(r->service);
	json_object *body;

	if (!http_service_allow_operator(r->kernel, request))
		return;
	body = json_object_new_object();
	json_object_object_add(
		body, "version",
		json_object_new_int64(config_service_version(r->service)));
	json_object_object_add(body, "config",
			       config ? config_body_encode(config) : NULL);
	http_request_reply(request, SOUP_STATUS_OK, body);
}

struct config_routes *config_routes_new(struct kernel *k,
					struct config_service *service)
{
	struct config_routes *r = g_new0(struct config_routes, 1);
	struct http_server *server = http_server_of(k);

	r->kernel = k;
	r->service = service;
	http_server_add_route(server, "GET", CONFIG_PATH, handle_get, r);
	http_server_add_route(server, "POST", CONFIG_PATH, handle_post, r);
	return r;
}

void config_routes_free(struct config_routes *r)
{
	g_free(r);
}
