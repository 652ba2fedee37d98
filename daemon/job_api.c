#include "daemon/job_api.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "config/bearer_token.h"
#include "config/config_service.h"
#include "daemon/holder_client.h"
#include "daemon/http_service.h"
#include "daemon/job_row_writer.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "job/job_record.h"
#include "job/job_submission.h"

#define JOBS_PATH "/v1/jobs"
#define JOB_PATH "/v1/jobs/"
#define EXPLAIN_PATH "/v1/explain/job/"
#define EXPLAIN_GUARANTEE_PATH "/v1/explain/guarantee/"

struct job_api {
	struct service base;
	struct kernel *kernel;
	struct holder_client *holders;
	GHashTable *calls; /**< set of struct job_call */
};

enum job_call_kind {
	CALL_SUBMIT,
	CALL_READ,
	CALL_CANCEL,
	CALL_EXPLAIN,
};

/** A caller's request that is not answered yet. */
struct job_call {
	struct job_api *api;
	struct http_request *request;
	enum job_call_kind kind;
	char *pool;
	char *id;
	struct job_row_writer *writer; /**< NULL unless a write is in flight */
};

/** HTTP code, answer and reason for each outcome of a write. */
static const struct {
	guint code;
	const char *answer;
	const char *reason;
} answers[] = {
	[ROW_WRITTEN] = { SOUP_STATUS_ACCEPTED, "accepted", NULL },
	[ROW_UNCHANGED] = { SOUP_STATUS_OK, "accepted", NULL },
	[ROW_ID_TAKEN] = { SOUP_STATUS_CONFLICT, "conflict", "id-taken" },
	[ROW_NOT_FOUND] = { SOUP_STATUS_NOT_FOUND, "not run", "no-such-job" },
	[ROW_NOT_WRITTEN] = { SOUP_STATUS_SERVICE_UNAVAILABLE, "not run",
			      "table-unavailable" },
	[ROW_UNKNOWN] = { SOUP_STATUS_GATEWAY_TIMEOUT, "unknown",
			  "table-answer-lost" },
};

static struct job_call *call_new(struct job_api *api, struct http_request *r,
				 enum job_call_kind kind, const char *pool,
				 const char *id)
{
	struct job_call *c = g_new0(struct job_call, 1);

	c->api = api;
	c->request = r;
	c->kind = kind;
	c->pool = g_strdup(pool);
	c->id = g_strdup(id);
	g_hash_table_add(api->calls, c);
	return c;
}

static void call_free(struct job_call *c)
{
	g_hash_table_remove(c->api->calls, c);
	g_free(c->pool);
	g_free(c->id);
	g_free(c);
}

static void reply_answer(struct http_request *r, guint code, const char *id,
			 const char *answer, const char *reason)
{
	json_object *json = json_object_new_object();

	json_object_object_add(json, "answer", json_object_new_string(answer));
	json_object_object_add(json, "id", json_object_new_string(id));
	if (reason)
		json_object_object_add(json, "reason",
				       json_object_new_string(reason));
	http_request_reply(r, code, json);
}

static const struct config_service *config_of(const struct job_api *api)
{
	return (const struct config_service *)kernel_find(api->kernel,
							  CONFIG_SERVICE);
}

static void log_call(const struct job_api *api, enum job_call_kind kind,
		     const char *pool, const char *id, const char *answer,
		     const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO,
		  kind == CALL_SUBMIT ? "job_submit" : "job_cancel");
	log_str(&line, "pool", pool);
	log_str(&line, "job", id);
	log_str(&line, "answer", answer);
	log_str(&line, "reason", reason ? reason : "");
	log_int(&line, "config_version",
		config_service_version(config_of(api)));
	log_end(&line);
}

static void on_outcome(enum row_outcome outcome, void *data)
{
	struct job_call *c = data;

	c->writer = NULL;
	/* Logged first: the holder logs what it does with the job. */
	log_call(c->api, c->kind, c->pool, c->id, answers[outcome].answer,
		 answers[outcome].reason);
	if (outcome == ROW_WRITTEN)
		holder_client_poke(c->api->holders, c->pool, c->id);
	reply_answer(c->request, answers[outcome].code, c->id,
		     answers[outcome].answer, answers[outcome].reason);
	call_free(c);
}

static const struct config_doc *config_or_reply(const struct job_api *api,
						struct http_request *r)
{
	const struct config_doc *doc = config_service_doc(config_of(api));

	if (!doc)
		reply_answer(r, SOUP_STATUS_SERVICE_UNAVAILABLE, "", "not run",
			     "no-configuration");
	return doc;
}

static gboolean check_account_token(const struct config_doc *doc,
				    const char *account_name,
				    struct http_request *r)
{
	const struct client_account *account =
		config_doc_find_account(doc, account_name);

	if (!account ||
	    bearer_token_allows(account,
				http_request_header(r, "Authorization")))
		return TRUE;
	reply_answer(r, SOUP_STATUS_UNAUTHORIZED, "", "not run", "bad-token");
	return FALSE;
}

static void submit(struct job_api *api, struct http_request *r,
		   const struct config_doc *doc, struct job_record *record)
{
	struct job_call *c;

	if (!check_account_token(doc, record->client_account, r)) {
		log_call(api, CALL_SUBMIT, record->pool, record->id, "not run",
			 "bad-token");
		return;
	}
	record->submitted_ms = util_wall_ms();
	c = call_new(api, r, CALL_SUBMIT, record->pool, record->id);
	c->writer =
		job_row_submit(platform_of(api->kernel), record, on_outcome, c);
}

static void handle_submit(struct http_request *r, void *data)
{
	struct job_api *api = data;
	struct job_record record = { 0 };
	struct finding_list findings;
	const struct config_doc *doc;
	json_object *body = http_request_json(r);

	if (!body)
		return;
	doc = config_or_reply(api, r);
	if (!doc)
		return;
	finding_list_init(&findings);
	if (job_submission_decode(body, doc,
				  config_service_body(config_of(api)), &record,
				  &findings))
		submit(api, r, doc, &record);
	else
		http_request_reply_findings(r, &findings);
	job_record_clear(&record);
	finding_list_clear(&findings);
}

static char *pool_of_request(const struct job_api *api,
			     const struct http_request *r)
{
	const struct settings *settings = settings_of(api->kernel);
	const char *pool = http_request_query(r, "pool");

	if (pool && pool[0])
		return g_strdup(pool);
	return g_strdup_printf("%s.%s", settings->service,
			       settings->failure_domain);
}

static struct job_call *call_for_job(struct job_api *api,
				     struct http_request *r,
				     enum job_call_kind kind)
{
	char *pool = pool_of_request(api, r);
	struct job_call *c =
		call_new(api, r, kind, pool, http_request_path_suffix(r));

	g_free(pool);
	return c;
}

static void cancel_row(struct job_call *c)
{
	c->writer = job_row_cancel(platform_of(c->api->kernel), c->pool, c->id,
				   on_outcome, c);
}

/* Answers a read or goes on with a cancel, if the account's token allows it. */
static void handle_found_row(struct job_call *c, const struct table_row *row)
{
	const struct config_doc *doc = config_or_reply(c->api, c->request);
	json_object *account = NULL;
	const char *name;

	json_object_object_get_ex(row->value, "client_account", &account);
	name = account ? json_object_get_string(account) : "";
	if (!doc || !check_account_token(doc, name, c->request)) {
		call_free(c);
	} else if (c->kind == CALL_CANCEL) {
		cancel_row(c);
	} else {
		http_request_reply(c->request, SOUP_STATUS_OK,
				   json_object_get(row->value));
		call_free(c);
	}
}

static void on_read(const struct platform_result *result, void *data)
{
	struct job_call *c = data;

	if (result->status == STATUS_OK) {
		handle_found_row(c, &result->rows[0]);
		return;
	}
	if (result->status == STATUS_NOT_FOUND)
		reply_answer(c->request, SOUP_STATUS_NOT_FOUND, c->id,
			     "not run", "no-such-job");
	else
		reply_answer(c->request, SOUP_STATUS_SERVICE_UNAVAILABLE, c->id,
			     "not run", "table-unavailable");
	call_free(c);
}

static void read_row(struct job_call *c)
{
	char *key = job_record_key(c->pool, c->id);

	platform_read(platform_of(c->api->kernel), JOBS_TABLE, key, on_read, c);
	g_free(key);
}

static void handle_read(struct http_request *r, void *data)
{
	read_row(call_for_job(data, r, CALL_READ));
}

static void handle_cancel(struct http_request *r, void *data)
{
	read_row(call_for_job(data, r, CALL_CANCEL));
}

static void on_holder_reply(const struct http_reply *reply, void *data)
{
	struct job_call *c = data;

	if (reply->status == STATUS_OK && reply->body)
		http_request_reply(c->request, reply->code,
				   json_object_get(reply->body));
	else if (reply->status == STATUS_OK)
		reply_answer(c->request, reply->code, c->id, "unknown",
			     "not-known-to-holder");
	else
		reply_answer(c->request, SOUP_STATUS_SERVICE_UNAVAILABLE, c->id,
			     "unknown", "no-holder");
	call_free(c);
}

/* Forwards a request to the pool's holder; the id follows @path_prefix. */
static void forward_to_holder(struct job_api *api, struct http_request *r,
			      const char *path_prefix)
{
	struct job_call *c;
	char *id;
	char *path;

	if (!http_service_allow_operator(api->kernel, r))
		return;
	c = call_for_job(api, r, CALL_EXPLAIN);
	id = g_uri_escape_string(c->id, NULL, FALSE);
	path = g_strdup_printf("%s%s?pool=%s", path_prefix, id, c->pool);
	holder_client_get(api->holders, c->pool, path, on_holder_reply, c);
	g_free(path);
	g_free(id);
}

static void handle_explain(struct http_request *r, void *data)
{
	forward_to_holder(data, r, EXPLAIN_PATH);
}

static void handle_explain_guarantee(struct http_request *r, void *data)
{
	forward_to_holder(data, r, EXPLAIN_GUARANTEE_PATH);
}

static enum status job_api_start(struct service *base, struct kernel *k)
{
	struct job_api *api = (struct job_api *)base;
	struct http_server *server = http_server_of(k);

	api->kernel = k;
	api->holders = holder_client_new(k);
	http_server_add_route(server, "POST", JOBS_PATH, handle_submit, api);
	http_server_add_route(server, "GET", JOB_PATH, handle_read, api);
	http_server_add_route(server, "DELETE", JOB_PATH, handle_cancel, api);
	http_server_add_route(server, "GET", EXPLAIN_PATH, handle_explain, api);
	http_server_add_route(server, "GET", EXPLAIN_GUARANTEE_PATH,
			      handle_explain_guarantee, api);
	return STATUS_OK;
}

static void job_api_free(struct service *base)
{
	struct job_api *api = (struct job_api *)base;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, api->calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct job_call *c = item;

		if (c->writer)
			job_row_writer_free(c->writer);
		platform_forget(platform_of(api->kernel), c);
		g_free(c->pool);
		g_free(c->id);
		g_free(c);
	}
	g_hash_table_unref(api->calls);
	if (api->holders)
		holder_client_free(api->holders);
	g_free(api);
}

static const struct service_class job_api_class = {
	.name = JOB_API_SERVICE,
	.start = job_api_start,
	.free = job_api_free,
};

struct service *job_api_service_new(void)
{
	struct job_api *api = g_new0(struct job_api, 1);

	api->base.class = &job_api_class;
	api->calls = g_hash_table_new(NULL, NULL);
	return &api->base;
}
