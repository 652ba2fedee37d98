#include "entry/frontend.h"

#include <string.h>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/config_feed.h"
#include "entry/entry_store.h"
#include "entry/submission.h"
#include "platform/wire_frontend.h"
#include "platform/wire_job.h"
#include "sched/job_progress.h"

#define MAX_BODY_BYTES ((gsize)1 << 20)
#define JOB_ID_CHARS 16
/* Delay in seconds before a refused client should retry. */
#define RETRY_AFTER "1"
/* For a client that sends no deadline. */
#define DEFAULT_DEADLINE_MS 3000
/* Time between the end of serving and the SIGKILL that follows SIGTERM. */
#define GRACE_MARGIN_MS 1500

struct frontend {
	struct service base;
	struct kernel *kernel;
	struct http_server *server;
	struct http_server *ready_server;
	struct platform *platform;
	struct submitter *submitter;
	gboolean is_draining;
	int64_t stop_ms; /* end of serving while draining, 0 before */
	struct histogram *submit_latency;
	struct counter *accepted;
	struct counter *refused;
	struct counter *unknown;
};

/* A client's request that is being served. */
struct call {
	struct frontend *frontend;
	struct http_request *request;
	char *id;
	char *route;
	char *account; /* NULL on a public route without a known key */
	int64_t began_ms;
	int64_t deadline_ms; /* how long the client waits, from began_ms */
};

static void call_free(struct call *c)
{
	g_free(c->route);
	g_free(c->account);
	g_free(c->id);
	g_free(c);
}

static void log_call(const struct call *c, const char *method, guint code,
		     const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "request");
	log_str(&line, "method", method);
	log_str(&line, "job", c->id);
	log_str(&line, "route", c->route);
	log_int(&line, "code", code);
	log_str(&line, "reason", reason);
	log_int(&line, "took_ms", util_monotonic_ms() - c->began_ms);
	log_end(&line);
}

static void add_close_header(struct frontend *s, struct http_request *r)
{
	if (s->is_draining)
		http_request_set_reply_header(r, "Connection", "close");
}

/* Replies with a status code and a reason as plain text; frees the call. */
static void answer(struct call *c, const char *method, guint code,
		   const char *reason)
{
	log_call(c, method, code, reason);
	if (code == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	    code == HTTP_TOO_MANY_REQUESTS)
		http_request_set_reply_header(c->request, "Retry-After",
					      RETRY_AFTER);
	add_close_header(c->frontend, c->request);
	http_request_reply_text(c->request, code, reason);
	call_free(c);
}

/* Replies with a JSON body and frees the body and the call. */
static void answer_json(struct call *c, const char *method, json_object *body,
			const char *reason)
{
	log_call(c, method, SOUP_STATUS_OK, reason);
	add_close_header(c->frontend, c->request);
	http_request_reply(c->request, SOUP_STATUS_OK, body);
	call_free(c);
}

static const char *host_of(const struct http_request *r)
{
	const char *host = http_request_header(r, "Host");

	return host ? host : "";
}

/*
 * Resolves the route, the account of the client's key and the job id. On
 * failure answers the call, which frees it.
 */
static gboolean find_route(struct call *c, const char *method)
{
	const struct fleet_config *config =
		config_feed_config(c->frontend->kernel);
	char *path =
		g_strconcat("/", http_request_path_suffix(c->request), NULL);
	char *host = g_strdup(host_of(c->request));
	const struct queue_route *route = NULL;
	const struct account_config *account = NULL;
	const char *key;
	gboolean is_found = FALSE;

	if (!config) {
		answer(c, method, SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "no configuration yet\n");
		goto out;
	}
	if (strchr(host, ':'))
		*strchr(host, ':') = '\0';
	route = fleet_config_match(config, host, path);
	if (!route) {
		answer(c, method, SOUP_STATUS_NOT_FOUND, "no such queue\n");
		goto out;
	}
	c->route = g_strdup(route->name);
	key = http_request_header(c->request, WIRE_HEADER_AUTHORIZATION);
	if (key && g_str_has_prefix(key, WIRE_AUTH_SCHEME))
		account = fleet_config_account_by_key(
			config, key + strlen(WIRE_AUTH_SCHEME));
	if (!account && !route->is_public) {
		answer(c, method, SOUP_STATUS_UNAUTHORIZED, "unknown key\n");
		goto out;
	}
	c->account = account ? g_strdup(account->name) : NULL;
	c->id = g_strdup(path + strlen(route->path_prefix));
	is_found = TRUE;
out:
	g_free(path);
	g_free(host);
	return is_found;
}

static gboolean is_job_id(const char *id)
{
	if (strlen(id) != JOB_ID_CHARS)
		return FALSE;
	for (const char *p = id; *p; p++) {
		if (!g_ascii_isxdigit(*p))
			return FALSE;
	}
	return TRUE;
}

static struct call *call_new(struct frontend *s, struct http_request *r)
{
	const char *deadline = http_request_header(r, WIRE_HEADER_DEADLINE);
	struct call *c = g_new0(struct call, 1);
	gint64 deadline_ms = deadline ? g_ascii_strtoll(deadline, NULL, 10) : 0;

	c->frontend = s;
	c->request = r;
	c->began_ms = util_monotonic_ms();
	c->deadline_ms = deadline_ms > 0 ? deadline_ms : DEFAULT_DEADLINE_MS;
	return c;
}

static void on_submitted(enum submission_outcome outcome, void *data)
{
	struct call *c = data;
	struct frontend *s = c->frontend;

	switch (outcome) {
	case SUBMISSION_ACCEPTED:
	case SUBMISSION_DUPLICATE:
		counter_add(s->accepted, 1);
		histogram_record(s->submit_latency,
				 (util_monotonic_ms() - c->began_ms) *
					 US_PER_MS);
		answer(c, "POST", SOUP_STATUS_OK,
		       outcome == SUBMISSION_ACCEPTED ? "accepted\n"
						      : "accepted before\n");
		break;
	case SUBMISSION_REFUSED:
		counter_add(s->refused, 1);
		answer(c, "POST", SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached; nothing was accepted\n");
		break;
	case SUBMISSION_UNKNOWN:
		counter_add(s->unknown, 1);
		answer(c, "POST", SOUP_STATUS_GATEWAY_TIMEOUT,
		       "it is not known whether the job was accepted\n");
		break;
	}
}

static void handle_post(struct http_request *r, void *data)
{
	struct frontend *s = data;
	struct call *c = call_new(s, r);
	struct job_spec spec = { 0 };
	struct finding_list findings;
	json_object *body;
	json_object *row;
	char *text;

	if (!find_route(c, "POST"))
		return;
	if (!is_job_id(c->id)) {
		answer(c, "POST", SOUP_STATUS_NOT_FOUND, "no job id\n");
		return;
	}
	body = http_request_json(r);
	if (!body) {
		call_free(c);
		return;
	}
	finding_list_init(&findings);
	if (wire_job_decode(body, &spec, &findings)) {
		row = job_row_encode(c->route, c->account, &spec,
				     config_feed_store_clock_ms(s->kernel));
		submitter_submit(s->submitter, c->id, row, c->deadline_ms,
				 on_submitted, c);
		json_object_put(row);
	} else {
		text = finding_list_text(&findings);
		answer(c, "POST", SOUP_STATUS_BAD_REQUEST, text);
		g_free(text);
	}
	finding_list_clear(&findings);
	job_spec_clear(&spec);
}

static void on_queue(const struct platform_result *result, void *data)
{
	struct call *c = data;
	json_object *count = NULL;

	if (result->status != STATUS_OK) {
		answer(c, "GET", SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
		return;
	}
	if (result->row_count &&
	    json_object_is_type(result->rows[0].value, json_type_object))
		json_object_object_get_ex(result->rows[0].value, c->route,
					  &count);
	answer_json(c, "GET", wire_job_pending(json_object_get_int64(count)),
		    "waiting jobs");
}

static void on_job_row(const struct platform_result *result, void *data)
{
	struct call *c = data;

	if (result->status != STATUS_OK) {
		answer(c, "GET", SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
		return;
	}
	if (!result->row_count) {
		answer(c, "GET", SOUP_STATUS_GONE, "no such job\n");
		return;
	}
	answer_json(c, "GET",
		    wire_job_state(fleet_job_state_name(FLEET_JOB_QUEUED)),
		    "accepted");
}

static void on_progress(const struct platform_result *result, void *data)
{
	struct call *c = data;
	enum fleet_job_state state = FLEET_JOB_STATE_COUNT;

	if (result->status != STATUS_OK) {
		answer(c, "GET", SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
		return;
	}
	if (result->row_count)
		state = job_progress_state(result->rows[0].value);
	if (state == FLEET_JOB_STATE_COUNT) {
		platform_read_part(c->frontend->platform, JOB_TABLE,
				   job_part(c->id), c->id, on_job_row, c);
		return;
	}
	answer_json(c, "GET", wire_job_state(fleet_job_state_name(state)),
		    fleet_job_state_name(state));
}

static void handle_get(struct http_request *r, void *data)
{
	struct frontend *s = data;
	struct call *c = call_new(s, r);

	if (!find_route(c, "GET"))
		return;
	if (!c->id[0])
		platform_read_part(s->platform, QUEUE_TABLE, HOLDER_PART,
				   QUEUE_KEY, on_queue, c);
	else if (!is_job_id(c->id))
		answer(c, "GET", SOUP_STATUS_GONE, "no such job\n");
	else
		platform_read_part(s->platform, JOB_PROGRESS_TABLE, HOLDER_PART,
				   c->id, on_progress, c);
}

static void on_cancelled(const struct platform_result *result, void *data)
{
	struct call *c = data;

	if (result->status == STATUS_OK)
		answer(c, "DELETE", SOUP_STATUS_OK, "cancelled\n");
	else
		answer(c, "DELETE",
		       result->status == STATUS_UNKNOWN
			       ? SOUP_STATUS_GATEWAY_TIMEOUT
			       : SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
}

static void on_job_to_cancel(const struct platform_result *result, void *data)
{
	struct call *c = data;
	struct table_write write = {
		.table = JOB_CANCEL_TABLE,
		.part = job_part(c->id),
		.key = c->id,
		.expected_version = TABLE_ANY_VERSION,
	};

	if (result->status != STATUS_OK) {
		answer(c, "DELETE", SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
		return;
	}
	if (!result->row_count) {
		answer(c, "DELETE", SOUP_STATUS_GONE, "no such job\n");
		return;
	}
	write.value = json_object_new_object();
	platform_commit(c->frontend->platform, &write, 1, on_cancelled, c);
	json_object_put(write.value);
}

static void handle_delete(struct http_request *r, void *data)
{
	struct frontend *s = data;
	struct call *c = call_new(s, r);

	if (!find_route(c, "DELETE"))
		return;
	if (is_job_id(c->id))
		platform_read_part(s->platform, JOB_TABLE, job_part(c->id),
				   c->id, on_job_to_cancel, c);
	else
		answer(c, "DELETE", SOUP_STATUS_GONE, "no such job\n");
}

static void handle_ready(struct http_request *r, void *data)
{
	struct frontend *s = data;
	gboolean is_ready = !s->is_draining && config_feed_config(s->kernel) &&
			    config_feed_is_store_reachable(s->kernel);

	http_request_reply_empty(r, is_ready ? SOUP_STATUS_OK
					     : SOUP_STATUS_SERVICE_UNAVAILABLE);
}

static void handle_counters(struct http_request *r, void *data)
{
	struct frontend *s = data;
	char *text = counters_text(kernel_counters(s->kernel));

	http_request_reply_text(r, SOUP_STATUS_OK, text);
	g_free(text);
}

static enum status listen_at(struct http_server *server, const char *address)
{
	enum status status;
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(address, &host, &port))
		return status_fail(STATUS_INVALID,
				   "bad address %s, expected IP:PORT", address);
	status = http_server_listen(server, host, port);
	g_free(host);
	return status;
}

static enum status frontend_start(struct service *base, struct kernel *k)
{
	struct frontend *s = (struct frontend *)base;
	const struct entry_settings *settings = entry_settings_of(k);
	struct counters *counters = kernel_counters(k);
	enum status status;

	s->kernel = k;
	s->platform = entry_platform_of(k);
	s->submitter = submitter_new(s->platform);
	s->submit_latency = counters_histogram(
		counters, "cs_submit_latency_seconds",
		"From the arrival of a job to its acceptance");
	s->accepted = counters_counter(counters, "cs_jobs_accepted_total",
				       "Jobs accepted by this process");
	s->refused = counters_counter(counters, "cs_jobs_refused_total",
				      "Jobs refused: not accepted, never run");
	s->unknown = counters_counter(
		counters, "cs_jobs_unknown_total",
		"Jobs whose acceptance was not known at the deadline");
	http_server_add_route(s->server, "POST", "/", handle_post, s);
	http_server_add_route(s->server, "GET", "/", handle_get, s);
	http_server_add_route(s->server, "DELETE", "/", handle_delete, s);
	http_server_add_route(s->ready_server, "GET", WIRE_READY_PATH,
			      handle_ready, s);
	http_server_add_route(s->ready_server, "GET", "/metrics",
			      handle_counters, s);
	status = listen_at(s->server, settings->frontend);
	if (status == STATUS_OK)
		status = listen_at(s->ready_server, settings->readiness);
	return status;
}

static void frontend_drain(struct service *base)
{
	struct frontend *s = (struct frontend *)base;
	const struct entry_settings *settings = entry_settings_of(s->kernel);

	s->is_draining = TRUE;
	s->stop_ms = util_monotonic_ms() +
		     (int64_t)(settings->bounds.grace_s * MS_PER_S) -
		     GRACE_MARGIN_MS;
}

/* Serves until stop_ms: clients use their connections until they are closed. */
static gboolean frontend_is_idle(const struct service *base)
{
	const struct frontend *s = (const struct frontend *)base;

	return util_monotonic_ms() >= s->stop_ms &&
	       http_server_pending(s->server) == 0;
}

static void frontend_free(struct service *base)
{
	struct frontend *s = (struct frontend *)base;

	submitter_free(s->submitter);
	http_server_free(s->server);
	http_server_free(s->ready_server);
	g_free(s);
}

static const struct service_class frontend_class = {
	.name = FRONTEND_SERVICE,
	.start = frontend_start,
	.drain = frontend_drain,
	.is_idle = frontend_is_idle,
	.free = frontend_free,
};

struct service *frontend_new(void)
{
	struct frontend *s = g_new0(struct frontend, 1);

	s->base.class = &frontend_class;
	s->server = http_server_new(MAX_BODY_BYTES);
	s->ready_server = http_server_new(MAX_BODY_BYTES);
	return &s->base;
}
