#include "entry/frontend.h"

#include <string.h>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/entry_store.h"
#include "entry/forwarder.h"
#include "entry/submission.h"
#include "platform/wire_frontend.h"
#include "platform/wire_job.h"
#include "sched/job_progress.h"

#define MAX_BODY_BYTES ((gsize)1 << 20)
#define JOB_ID_CHARS 16
/* Delay in seconds before a refused client should retry. Another VM will
 * probably serve it; without one, the few attempts of a client have to last for
 * an outage of several seconds. */
#define RETRY_AFTER "1"
#define RETRY_AFTER_OUTAGE "2"
/* For a client that sends no deadline. */
#define DEFAULT_DEADLINE_MS 3000
/* Time between the end of serving and the SIGKILL that follows SIGTERM. */
#define GRACE_MARGIN_MS 1500
/* Share of the client's timeout during which other VMs are asked; the rest is
 * left for an attempt of the client's own. */
#define FORWARD_TIME_SHARE 0.8
/* Longest wait for a row before other VMs are asked: longer than a store needs
 * that is 60 times slower than usual. */
#define READ_TIMEOUT_MS 300
/* A job that is still active is read once more after this time: clients often
 * ask right after its last task has ended, just before its end is stored. */
#define ACTIVE_RECHECK_MS 80

#define CALL_KIND_COUNT 3

struct call_kind;

/* A kind of request as it arrives at one of the servers. */
struct entrance {
	struct frontend *frontend;
	const struct call_kind *kind;
	gboolean is_forwarded;
};

struct frontend {
	struct service base;
	struct kernel *kernel;
	struct http_server *server;
	struct http_server *forward_server; /* for other VMs' requests */
	struct http_server *ready_server;
	struct entrance direct[CALL_KIND_COUNT];
	struct entrance forwarded[CALL_KIND_COUNT];
	struct platform *platform;
	struct submitter *submitter;
	gboolean is_draining;
	int64_t stop_ms; /* end of serving while draining, 0 before */
	struct histogram *submit_latency;
	struct counter *accepted;
	struct counter *refused;
	struct counter *unknown;
};

struct call;

/* What a request asks for. */
struct call_kind {
	const char *method;
	void (*serve)(struct call *c);
	gboolean has_body;
	/* It changes something, so that a lost answer leaves its outcome open.
	 */
	gboolean is_change;
};

/* A client's request that is being served. */
struct call {
	const struct call_kind *kind;
	struct frontend *frontend;
	struct http_request *request;
	json_object *body;	/* borrowed; NULL unless the kind has one */
	gboolean is_forwarded;	/* by another VM */
	gboolean was_served;	/* this VM has tried to serve it */
	gboolean was_sent_on;	/* other VMs have been asked */
	gboolean may_have_run;	/* an attempt had no definite answer */
	gboolean was_rechecked; /* its job was active and is read again */
	guint timer;		/* of the read in flight or the next one */
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

static void log_call(const struct call *c, guint code, const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "request");
	log_str(&line, "method", c->kind->method);
	log_str(&line, "job", c->id);
	log_str(&line, "route", c->route);
	log_int(&line, "code", code);
	log_str(&line, "reason", reason);
	log_int(&line, "took_ms", util_monotonic_ms() - c->began_ms);
	log_int(&line, "is_forwarded", c->is_forwarded);
	log_end(&line);
}

static void add_close_header(struct frontend *s, struct http_request *r)
{
	if (s->is_draining)
		http_request_set_reply_header(r, "Connection", "close");
}

/* Replies with a status code and a reason as plain text; frees the call. */
static void answer(struct call *c, guint code, const char *reason)
{
	log_call(c, code, reason);
	if (code == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	    code == HTTP_TOO_MANY_REQUESTS)
		http_request_set_reply_header(
			c->request, "Retry-After",
			c->was_sent_on ? RETRY_AFTER_OUTAGE : RETRY_AFTER);
	add_close_header(c->frontend, c->request);
	http_request_reply_text(c->request, code, reason);
	call_free(c);
}

/* Replies with a JSON body and frees the body and the call. */
static void answer_json(struct call *c, json_object *body, const char *reason)
{
	log_call(c, SOUP_STATUS_OK, reason);
	add_close_header(c->frontend, c->request);
	http_request_reply(c->request, SOUP_STATUS_OK, body);
	call_free(c);
}

static const char *host_of(const struct call *c)
{
	const char *host = http_request_header(
		c->request, c->is_forwarded ? FORWARD_HOST_HEADER : "Host");

	return host ? host : "";
}

/* Passes on the answer of another VM. */
static void pass_on(struct call *c, const struct http_reply *reply)
{
	log_call(c, reply->code, "answered by another VM");
	add_close_header(c->frontend, c->request);
	if (reply->body)
		http_request_reply(c->request, reply->code,
				   json_object_get(reply->body));
	else
		http_request_reply_text(c->request, reply->code,
					reply->text ? reply->text : "");
	call_free(c);
}

static void serve(struct call *c);

/* Neither this VM nor another one could serve the request. */
static void answer_unserved(struct call *c, const char *reason)
{
	if (c->may_have_run && c->kind->is_change)
		answer(c, SOUP_STATUS_GATEWAY_TIMEOUT,
		       "it is not known whether the request was accepted\n");
	else
		answer(c, SOUP_STATUS_SERVICE_UNAVAILABLE, reason);
}

static void on_sent_on(enum forward_outcome outcome,
		       const struct http_reply *reply, void *data)
{
	struct call *c = data;

	if (outcome == FORWARD_ANSWERED) {
		pass_on(c, reply);
		return;
	}
	c->may_have_run |= outcome == FORWARD_UNKNOWN;
	if (c->was_served)
		answer_unserved(c, "the store can't be reached\n");
	else
		serve(c);
}

/* Hands a client's request over to other VMs, once; FALSE if that can't help.
 */
static gboolean send_on(struct call *c)
{
	int64_t passed_ms = util_monotonic_ms() - c->began_ms;
	int64_t left_ms =
		(int64_t)((double)c->deadline_ms * FORWARD_TIME_SHARE) -
		passed_ms;
	char *path;
	gboolean is_sent;

	if (c->is_forwarded || c->was_sent_on)
		return FALSE;
	path = g_strconcat("/", http_request_path_suffix(c->request), NULL);
	c->was_sent_on = TRUE;
	is_sent =
		forwarder_send(c->frontend->kernel, c->request, c->kind->method,
			       path, c->body, left_ms, on_sent_on, c);
	g_free(path);
	return is_sent;
}

/* The store did not answer this VM: asks other VMs, or gives up. */
static void fail(struct call *c, gboolean may_have_run, const char *reason)
{
	c->may_have_run |= may_have_run;
	if (!send_on(c))
		answer_unserved(c, reason);
}

/* Serves a request on this VM. */
static void serve(struct call *c)
{
	c->was_served = TRUE;
	c->kind->serve(c);
}

/*
 * Returns the least configuration version that may decide on a call: of another
 * VM's request what it asks for, else what other VMs' answers were made by.
 */
static int64_t least_version(const struct call *c)
{
	const char *text =
		http_request_header(c->request, FORWARD_VERSION_HEADER);

	if (!c->is_forwarded)
		return forwarder_seen_version(c->frontend->kernel);
	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/* Tells the VM that has forwarded a call which configuration decided on it. */
static void set_version_header(struct call *c, int64_t version)
{
	char text[32];

	if (!c->is_forwarded)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, version);
	http_request_set_reply_header(c->request, FORWARD_VERSION_HEADER, text);
}

/*
 * Resolves the route, the account of the client's key and the job id. On
 * failure answers the call, which frees it.
 */
static gboolean find_route(struct call *c)
{
	const struct fleet_config *config =
		config_feed_config(c->frontend->kernel);
	char *path =
		g_strconcat("/", http_request_path_suffix(c->request), NULL);
	char *host = g_strdup(host_of(c));
	const struct queue_route *route = NULL;
	const struct account_config *account = NULL;
	const char *key;
	gboolean is_found = FALSE;

	if (!config || config->version < least_version(c)) {
		fail(c, FALSE, "no current configuration yet\n");
		goto out;
	}
	set_version_header(c, config->version);
	if (strchr(host, ':'))
		*strchr(host, ':') = '\0';
	route = fleet_config_match(config, host, path);
	if (!route) {
		answer(c, SOUP_STATUS_NOT_FOUND, "no such queue\n");
		goto out;
	}
	c->route = g_strdup(route->name);
	key = http_request_header(c->request, WIRE_HEADER_AUTHORIZATION);
	if (key && g_str_has_prefix(key, WIRE_AUTH_SCHEME))
		account = fleet_config_account_by_key(
			config, key + strlen(WIRE_AUTH_SCHEME));
	if (!account && !route->is_public) {
		answer(c, SOUP_STATUS_UNAUTHORIZED, "unknown key\n");
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

static struct call *call_new(struct frontend *s, struct http_request *r,
			     const struct call_kind *kind)
{
	const char *deadline = http_request_header(r, WIRE_HEADER_DEADLINE);
	struct call *c = g_new0(struct call, 1);
	gint64 deadline_ms = deadline ? g_ascii_strtoll(deadline, NULL, 10) : 0;

	c->kind = kind;
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
		answer(c, SOUP_STATUS_OK,
		       outcome == SUBMISSION_ACCEPTED ? "accepted\n"
						      : "accepted before\n");
		break;
	case SUBMISSION_REFUSED:
		counter_add(s->refused, 1);
		fail(c, FALSE,
		     "the store can't be reached; nothing was accepted\n");
		break;
	case SUBMISSION_UNKNOWN:
		counter_add(s->unknown, 1);
		fail(c, TRUE, "the store can't be reached\n");
		break;
	}
}

static void serve_post(struct call *c)
{
	struct frontend *s = c->frontend;
	struct job_spec spec = { 0 };
	struct finding_list findings;
	json_object *row;
	char *text;

	if (!find_route(c))
		return;
	if (!is_job_id(c->id)) {
		answer(c, SOUP_STATUS_NOT_FOUND, "no job id\n");
		return;
	}
	finding_list_init(&findings);
	if (wire_job_decode(c->body, &spec, &findings)) {
		row = job_row_encode(c->route, c->account, &spec,
				     config_feed_store_clock_ms(s->kernel));
		submitter_submit(s->submitter, c->id, row,
				 c->is_forwarded ? 0 : READ_TIMEOUT_MS,
				 c->deadline_ms, on_submitted, c);
		json_object_put(row);
	} else {
		text = finding_list_text(&findings);
		answer(c, SOUP_STATUS_BAD_REQUEST, text);
		g_free(text);
	}
	finding_list_clear(&findings);
	job_spec_clear(&spec);
}

static void stop_timer(struct call *c)
{
	if (c->timer)
		g_source_remove(c->timer);
	c->timer = 0;
}

/* Asks other VMs for what the store doesn't tell this one, if there are any. */
static gboolean on_read_timeout(gpointer data)
{
	struct call *c = data;

	c->timer = 0;
	if (send_on(c))
		platform_forget(c->frontend->platform, c);
	return G_SOURCE_REMOVE;
}

/* Reads a row for a call; @fn has to call stop_timer(). */
static void read_row(struct call *c, const char *table, const char *part,
		     const char *key, platform_fn fn)
{
	c->timer = g_timeout_add(READ_TIMEOUT_MS, on_read_timeout, c);
	platform_read_part(c->frontend->platform, table, part, key, fn, c);
}

static void on_queue(const struct platform_result *result, void *data)
{
	struct call *c = data;
	json_object *count = NULL;

	stop_timer(c);
	if (result->status != STATUS_OK) {
		fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (result->row_count &&
	    json_object_is_type(result->rows[0].value, json_type_object))
		json_object_object_get_ex(result->rows[0].value, c->route,
					  &count);
	answer_json(c, wire_job_pending(json_object_get_int64(count)),
		    "waiting jobs");
}

static void on_job_row(const struct platform_result *result, void *data)
{
	struct call *c = data;

	stop_timer(c);
	if (result->status != STATUS_OK) {
		fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (!result->row_count) {
		answer(c, SOUP_STATUS_GONE, "no such job\n");
		return;
	}
	answer_json(c, wire_job_state(fleet_job_state_name(FLEET_JOB_QUEUED)),
		    "accepted");
}

static void on_progress(const struct platform_result *result, void *data);

static void read_progress(struct call *c)
{
	read_row(c, JOB_PROGRESS_TABLE, HOLDER_PART, c->id, on_progress);
}

static gboolean on_recheck(gpointer data)
{
	struct call *c = data;

	c->timer = 0;
	read_progress(c);
	return G_SOURCE_REMOVE;
}

static void on_progress(const struct platform_result *result, void *data)
{
	struct call *c = data;
	enum fleet_job_state state = FLEET_JOB_STATE_COUNT;

	stop_timer(c);
	if (result->status != STATUS_OK) {
		fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (result->row_count)
		state = job_progress_state(result->rows[0].value);
	if (state == FLEET_JOB_STATE_COUNT) {
		read_row(c, JOB_TABLE, job_part(c->id), c->id, on_job_row);
		return;
	}
	if (state == FLEET_JOB_ACTIVE && !c->was_rechecked) {
		c->was_rechecked = TRUE;
		c->timer = g_timeout_add(ACTIVE_RECHECK_MS, on_recheck, c);
		return;
	}
	answer_json(c, wire_job_state(fleet_job_state_name(state)),
		    fleet_job_state_name(state));
}

static void serve_get(struct call *c)
{
	if (!find_route(c))
		return;
	if (!c->id[0])
		read_row(c, QUEUE_TABLE, HOLDER_PART, QUEUE_KEY, on_queue);
	else if (!is_job_id(c->id))
		answer(c, SOUP_STATUS_GONE, "no such job\n");
	else
		read_progress(c);
}

static void on_cancelled(const struct platform_result *result, void *data)
{
	struct call *c = data;

	if (result->status == STATUS_OK)
		answer(c, SOUP_STATUS_OK, "cancelled\n");
	else
		fail(c, result->status == STATUS_UNKNOWN,
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

	stop_timer(c);
	if (result->status != STATUS_OK) {
		fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (!result->row_count) {
		answer(c, SOUP_STATUS_GONE, "no such job\n");
		return;
	}
	write.value = json_object_new_object();
	platform_commit(c->frontend->platform, &write, 1, on_cancelled, c);
	json_object_put(write.value);
}

static void serve_delete(struct call *c)
{
	if (!find_route(c))
		return;
	if (is_job_id(c->id))
		read_row(c, JOB_TABLE, job_part(c->id), c->id,
			 on_job_to_cancel);
	else
		answer(c, SOUP_STATUS_GONE, "no such job\n");
}

static const struct call_kind call_kinds[CALL_KIND_COUNT] = {
	{ "POST", serve_post, TRUE, TRUE },
	{ "GET", serve_get, FALSE, FALSE },
	{ "DELETE", serve_delete, FALSE, TRUE },
};

/*
 * Serves a request here, or hands it over while the store doesn't answer this
 * VM: other VMs may reach it, and have its newest configuration.
 */
static void handle(struct frontend *s, struct http_request *r,
		   const struct call_kind *kind, gboolean is_forwarded)
{
	struct call *c = call_new(s, r, kind);
	gboolean hears_store = election_hears_store(s->kernel);

	c->is_forwarded = is_forwarded;
	if (is_forwarded && !hears_store) {
		answer(c, SOUP_STATUS_SERVICE_UNAVAILABLE,
		       "the store can't be reached\n");
		return;
	}
	if (kind->has_body) {
		c->body = http_request_json(r);
		if (!c->body) {
			call_free(c);
			return;
		}
	}
	if (hears_store || !send_on(c))
		serve(c);
}

static void on_request(struct http_request *r, void *data)
{
	const struct entrance *e = data;

	handle(e->frontend, r, e->kind, e->is_forwarded);
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
	for (guint i = 0; i < CALL_KIND_COUNT; i++) {
		const char *method = call_kinds[i].method;

		s->direct[i] = (struct entrance){ s, &call_kinds[i], FALSE };
		s->forwarded[i] = (struct entrance){ s, &call_kinds[i], TRUE };
		http_server_add_route(s->server, method, "/", on_request,
				      &s->direct[i]);
		http_server_add_route(s->forward_server, method, "/",
				      on_request, &s->forwarded[i]);
	}
	http_server_add_route(s->ready_server, "GET", WIRE_READY_PATH,
			      handle_ready, s);
	http_server_add_route(s->ready_server, "GET", "/metrics",
			      handle_counters, s);
	status = listen_at(s->server, settings->frontend);
	if (status == STATUS_OK && settings->forward)
		status = listen_at(s->forward_server, settings->forward);
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
	       http_server_pending(s->server) == 0 &&
	       http_server_pending(s->forward_server) == 0;
}

static void frontend_free(struct service *base)
{
	struct frontend *s = (struct frontend *)base;

	submitter_free(s->submitter);
	http_server_free(s->server);
	http_server_free(s->forward_server);
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
	s->forward_server = http_server_new(MAX_BODY_BYTES);
	s->ready_server = http_server_new(MAX_BODY_BYTES);
	return &s->base;
}
