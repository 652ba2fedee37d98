#include "daemon/request_service.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "config/bearer_token.h"
#include "config/config_service.h"
#include "daemon/dispatcher.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "daemon/vm_watch.h"

struct request_service {
	struct service base;
	struct kernel *kernel;
	struct config_service *config;
	struct dispatcher *dispatcher;
	struct vm_watch *vms;
	gboolean is_draining;
};

static void add_string(json_object *body, const char *name, const char *value)
{
	json_object_object_add(body, name, json_object_new_string(value));
}

static void reply(struct http_request *r, const struct dispatch_answer *a)
{
	json_object *body = json_object_new_object();

	add_string(body, "answer", answer_name(a->kind));
	add_string(body, "request_id", a->request_id);
	if (a->kind == ANSWER_DONE) {
		json_object_object_add(body, "result",
				       json_object_get(a->result));
		add_string(body, "endpoint", a->endpoint ? a->endpoint : "");
	} else {
		add_string(body, "reason", reason_name(a->reason));
		add_string(body, "message", reason_message(a->reason));
	}
	http_request_reply(r, answer_http_code(a->kind, a->reason), body);
}

static void on_answer(const struct dispatch_answer *answer, void *data)
{
	reply(data, answer);
}

static enum reason check_caller(const struct request_service *s,
				const struct request_spec *spec,
				const struct http_request *r)
{
	const struct config_doc *doc = config_service_doc(s->config);
	const struct client_account *account;

	if (s->is_draining)
		return REASON_DRAINING;
	if (!doc)
		return REASON_NO_CONFIGURATION;
	account = config_doc_find_account(doc, spec->client_account);
	if (!account)
		return REASON_UNKNOWN_ACCOUNT;
	if (!bearer_token_allows(account,
				 http_request_header(r, "Authorization")))
		return REASON_BAD_TOKEN;
	if (!g_str_equal(account->service, spec->service) ||
	    !g_str_equal(settings_of(s->kernel)->service, spec->service))
		return REASON_UNKNOWN_SERVICE;
	return REASON_NONE;
}

/*
 * Returns the kind of answer for a request that is refused before its
 * idempotency key is looked up in the table. "Not run" is certain only when no
 * earlier attempt with the key can be running or queued at another gateway.
 */
static enum answer_kind refusal_kind(const struct request_spec *spec,
				     enum reason reason)
{
	gboolean may_run_elsewhere = !spec->is_repeatable &&
				     spec->attempt != 1 &&
				     (reason == REASON_DRAINING ||
				      reason == REASON_NO_CONFIGURATION);

	return may_run_elsewhere ? ANSWER_UNKNOWN : ANSWER_NOT_RUN;
}

static void log_refusal(const struct request_service *s,
			const struct request_spec *spec,
			const struct dispatch_answer *a)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, answer_name(a->kind));
	log_str(&line, "request", a->request_id);
	log_str(&line, "client_account", spec->client_account);
	log_str(&line, "key", spec->idempotency_key);
	log_str(&line, "reason", reason_name(a->reason));
	log_int(&line, "attempts", 0);
	log_int(&line, "config_version", config_service_version(s->config));
	log_end(&line);
}

static void handle_request(struct http_request *r, void *data)
{
	struct request_service *s = data;
	json_object *json = http_request_json(r);
	struct request_spec spec = { 0 };
	struct finding_list findings;
	char *id = util_random_id();
	enum reason reason;

	finding_list_init(&findings);
	if (!json)
		goto out;
	if (!request_spec_decode(json, &spec, &findings)) {
		http_request_reply_findings(r, &findings);
		goto out;
	}
	reason = check_caller(s, &spec, r);
	if (reason != REASON_NONE) {
		struct dispatch_answer answer = {
			.request_id = id,
			.kind = refusal_kind(&spec, reason),
			.reason = reason,
		};

		log_refusal(s, &spec, &answer);
		reply(r, &answer);
		goto out;
	}
	dispatcher_submit(s->dispatcher, &spec, id, on_answer, r);
out:
	g_free(id);
	request_spec_clear(&spec);
	finding_list_clear(&findings);
}

static void handle_explain(struct http_request *r, void *data)
{
	struct request_service *s = data;
	const struct decision *d;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	d = decision_log_find(dispatcher_decisions(s->dispatcher),
			      http_request_path_suffix(r));
	if (d)
		http_request_reply(r, SOUP_STATUS_OK, decision_encode(d));
	else
		http_request_reply_text(r, SOUP_STATUS_NOT_FOUND,
					"not among the recent requests\n");
}

/* Reports to other gateways whether a claim of this process is pending. */
static void handle_claim(struct http_request *r, void *data)
{
	struct request_service *s = data;
	json_object *body = json_object_new_object();
	gboolean is_pending = dispatcher_is_claim_pending(
		s->dispatcher, http_request_path_suffix(r));

	add_string(body, "incarnation", incarnation_of(s->kernel));
	json_object_object_add(body, "is_pending",
			       json_object_new_boolean(is_pending));
	http_request_reply(r, SOUP_STATUS_OK, body);
}

static void on_config(const struct config_doc *doc, int64_t version, void *data)
{
	struct request_service *s = data;

	dispatcher_set_config(s->dispatcher, doc, version);
}

static void on_vms(void *data)
{
	struct request_service *s = data;
	const struct config_doc *doc = config_service_doc(s->config);

	dispatcher_set_gateways(s->dispatcher, vm_watch_gateways(s->vms));
	if (doc)
		on_config(doc, config_service_version(s->config), s);
	dispatcher_pump(s->dispatcher);
}

static void add_routes(struct request_service *s)
{
	struct http_server *server = http_server_of(s->kernel);

	http_server_add_route(server, "POST", "/v1/requests", handle_request,
			      s);
	http_server_add_route(server, "GET", "/v1/explain/request/",
			      handle_explain, s);
	http_server_add_route(server, "GET", "/v1/claims/", handle_claim, s);
}

static enum status request_service_start(struct service *base, struct kernel *k)
{
	struct request_service *s = (struct request_service *)base;
	const struct settings *settings = settings_of(k);
	struct vm_watch_spec spec = {
		.reader = vm_reader_of(k),
		.service = settings->service,
		.failure_domain = settings->failure_domain,
		.vm = settings->vm,
		.on_change = on_vms,
		.data = s,
	};

	s->kernel = k;
	s->config = (struct config_service *)kernel_find(k, CONFIG_SERVICE);
	s->dispatcher = dispatcher_new(k);
	spec.endpoints = dispatcher_endpoints(s->dispatcher);
	s->vms = vm_watch_new(&spec);
	config_service_subscribe(s->config, on_config, s);
	if (config_service_doc(s->config))
		on_config(config_service_doc(s->config),
			  config_service_version(s->config), s);
	add_routes(s);
	return STATUS_OK;
}

static void request_service_drain(struct service *base)
{
	((struct request_service *)base)->is_draining = TRUE;
}

static gboolean request_service_is_idle(const struct service *base)
{
	const struct request_service *s = (const struct request_service *)base;

	return dispatcher_pending(s->dispatcher) == 0;
}

static void request_service_free(struct service *base)
{
	struct request_service *s = (struct request_service *)base;

	if (s->vms)
		vm_watch_free(s->vms);
	if (s->dispatcher)
		dispatcher_free(s->dispatcher);
	g_free(s);
}

static const struct service_class request_service_class = {
	.name = REQUEST_SERVICE,
	.start = request_service_start,
	.drain = request_service_drain,
	.is_idle = request_service_is_idle,
	.free = request_service_free,
};

struct service *request_service_new(void)
{
	struct request_service *s = g_new0(struct request_service, 1);

	s->base.class = &request_service_class;
	return &s->base;
}
