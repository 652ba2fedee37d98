#include "entry/frontend.h"

#include <string.h>

#include "base/http_client.h"
#include "base/http_counters.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/client_call.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/entry_store.h"
#include "entry/submission.h"
#include "platform/wire_frontend.h"
#include "platform/wire_job.h"
#include "sched/job_progress.h"
#include "store/store_budget.h"

#define MAX_BODY_BYTES ((gsize)1 << 20)
/* Requests of the readiness port have no body. */
#define READY_MAX_BODY_BYTES ((gsize)4 << 10)
#define JOB_ID_CHARS 16
/* Time between the end of serving and the SIGKILL that follows SIGTERM. */
#define GRACE_MARGIN_MS 1500
/* A job that is still active is read once more after this time: clients often
 * ask right after its last task has ended, just before its end is stored. */
#define ACTIVE_RECHECK_MS 80

#define CALL_KIND_COUNT 3

/* Shares of the ports in what clients may use: clients that take up all that
 * the frontend has leave the other ports theirs. */
#define FRONTEND_SHARE 0.75
#define FORWARD_SHARE 0.125
#define READINESS_SHARE 0.125

/* Limit of the marks that this process writes for cancels of unknown jobs. A
 * wave of cancels may hit all submissions that a frozen VM has not read yet. */
static const struct store_budget_config mark_budget = {
	.rate_per_s = 2,
	.burst = 100,
};

/* A kind of request as it arrives at one of the servers. */
struct server_route {
	struct frontend *frontend;
	const struct call_kind *kind;
	gboolean is_from_peer;
};

struct frontend {
	struct service base;
	struct kernel *kernel;
	struct http_server *server;
	struct http_server *forward_server; /* for other VMs' requests */
	struct http_server *ready_server;
	struct server_route direct[CALL_KIND_COUNT];
	struct server_route forwarded[CALL_KIND_COUNT];
	struct call_context context;
	struct submitter *submitter;
	int64_t stop_ms; /* end of serving while draining, 0 before */
	struct histogram *submit_latency;
	struct counter *accepted;
	struct counter *refused;
	struct counter *unknown;
	struct store_budget marks;
	struct counter *cancels_marked;
};

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

static void on_submitted(enum submission_outcome outcome, void *data)
{
	struct client_call *c = data;
	struct frontend *s = c->context->data;

	switch (outcome) {
	case SUBMISSION_ACCEPTED:
	case SUBMISSION_DUPLICATE:
		counter_add(s->accepted, 1);
		histogram_record(s->submit_latency,
				 (util_monotonic_ms() - c->began_ms) *
					 US_PER_MS);
		client_call_answer(c, SOUP_STATUS_OK,
				   outcome == SUBMISSION_ACCEPTED
					   ? "accepted\n"
					   : "accepted before\n");
		break;
	case SUBMISSION_REFUSED:
		counter_add(s->refused, 1);
		client_call_fail(
			c, FALSE,
			"the store can't be reached; nothing was accepted\n");
		break;
	case SUBMISSION_UNKNOWN:
		counter_add(s->unknown, 1);
		client_call_fail(c, TRUE, "the store can't be reached\n");
		break;
	}
}

static void serve_post(struct client_call *c)
{
	struct frontend *s = c->context->data;
	struct job_spec spec = { 0 };
	struct finding_list findings;
	const struct entry_settings *settings = entry_settings_of(s->kernel);
	json_object *row;
	char *text;

	if (!client_call_find_route(c))
		return;
	if (!is_job_id(c->id)) {
		client_call_answer(c, SOUP_STATUS_NOT_FOUND, "no job id\n");
		return;
	}
	finding_list_init(&findings);
	if (wire_job_decode(c->body, &spec, &findings)) {
		row = job_row_encode(c->route, c->account, &spec,
				     config_feed_store_clock_ms(s->kernel));
		if (job_row_bytes(row) > (gsize)settings->store.row_bytes)
			client_call_answer(c, SOUP_STATUS_BAD_REQUEST,
					   "the job is too large to store\n");
		else
			submitter_submit(s->submitter, c->id, row,
					 c->is_from_peer ? 0
							 : CLIENT_CALL_READ_MS,
					 c->deadline_ms, on_submitted, c);
		json_object_put(row);
	} else {
		text = finding_list_text(&findings);
		client_call_answer(c, SOUP_STATUS_BAD_REQUEST, text);
		g_free(text);
	}
	finding_list_clear(&findings);
	job_spec_clear(&spec);
}

static void on_queue(const struct platform_result *result, void *data)
{
	struct client_call *c = data;
	json_object *count = NULL;

	client_call_stop_timer(c);
	if (result->status != STATUS_OK) {
		client_call_fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (result->row_count &&
	    json_object_is_type(result->rows[0].value, json_type_object))
		json_object_object_get_ex(result->rows[0].value, c->route,
					  &count);
	client_call_answer_json(c,
				wire_job_pending(json_object_get_int64(count)),
				"waiting jobs");
}

static void on_job_row(const struct platform_result *result, void *data)
{
	struct client_call *c = data;

	client_call_stop_timer(c);
	if (result->status != STATUS_OK) {
		client_call_fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (!result->row_count) {
		client_call_answer(c, SOUP_STATUS_GONE, "no such job\n");
		return;
	}
	client_call_answer_json(
		c, wire_job_state(fleet_job_state_name(FLEET_JOB_QUEUED)),
		"accepted");
}

static void on_progress(const struct platform_result *result, void *data);

static void read_progress(struct client_call *c)
{
	client_call_read_row(c, JOB_PROGRESS_TABLE, HOLDER_PART, c->id,
			     on_progress);
}

static gboolean on_recheck(gpointer data)
{
	struct client_call *c = data;

	c->timer = 0;
	read_progress(c);
	return G_SOURCE_REMOVE;
}

static void on_progress(const struct platform_result *result, void *data)
{
	struct client_call *c = data;
	enum fleet_job_state state = FLEET_JOB_STATE_COUNT;

	client_call_stop_timer(c);
	if (result->status != STATUS_OK) {
		client_call_fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	if (result->row_count)
		state = job_progress_state(result->rows[0].value);
	if (state == FLEET_JOB_STATE_COUNT) {
		client_call_read_row(c, JOB_TABLE, job_part(c->id), c->id,
				     on_job_row);
		return;
	}
	if (state == FLEET_JOB_ACTIVE && !c->was_rechecked) {
		c->was_rechecked = TRUE;
		c->timer = g_timeout_add(ACTIVE_RECHECK_MS, on_recheck, c);
		return;
	}
	client_call_answer_json(c, wire_job_state(fleet_job_state_name(state)),
				fleet_job_state_name(state));
}

static void serve_get(struct client_call *c)
{
	if (!client_call_find_route(c))
		return;
	if (!c->id[0])
		client_call_read_row(c, QUEUE_TABLE, HOLDER_PART, QUEUE_KEY,
				     on_queue);
	else if (!is_job_id(c->id))
		client_call_answer(c, SOUP_STATUS_GONE, "no such job\n");
	else
		read_progress(c);
}

static void on_cancelled(const struct platform_result *result, void *data)
{
	struct client_call *c = data;

	if (result->status == STATUS_OK && c->is_job_missing)
		client_call_answer(c, SOUP_STATUS_GONE, "no such job\n");
	else if (result->status == STATUS_OK)
		client_call_answer(c, SOUP_STATUS_OK, "cancelled\n");
	else
		client_call_fail(c, result->status == STATUS_UNKNOWN,
				 "the store can't be reached\n");
}

/*
 * Stores the cancel of a job, also of one that is not known: another VM may be
 * about to store it, such as one that was paused before it read a submission
 * that its client has given up. The row then cancels the job as soon as it is
 * stored.
 */
static void on_job_to_cancel(const struct platform_result *result, void *data)
{
	struct client_call *c = data;
	struct frontend *s = c->context->data;
	struct table_write write = {
		.table = JOB_CANCEL_TABLE,
		.part = job_part(c->id),
		.key = c->id,
		.expected_version = TABLE_ANY_VERSION,
	};

	client_call_stop_timer(c);
	if (result->status != STATUS_OK) {
		client_call_fail(c, FALSE, "the store can't be reached\n");
		return;
	}
	c->is_job_missing = !result->row_count;
	if (c->is_job_missing) {
		if (!store_budget_take(&s->marks, STORE_PRIORITY_NORMAL,
				       util_monotonic_ms())) {
			client_call_answer(
				c, HTTP_TOO_MANY_REQUESTS,
				"too many cancels of unknown jobs\n");
			return;
		}
		counter_add(s->cancels_marked, 1);
	}
	write.value = json_object_new_object();
	platform_commit(c->context->platform, &write, 1, on_cancelled, c);
	json_object_put(write.value);
}

static void serve_delete(struct client_call *c)
{
	if (!client_call_find_route(c))
		return;
	if (is_job_id(c->id))
		client_call_read_row(c, JOB_TABLE, job_part(c->id), c->id,
				     on_job_to_cancel);
	else
		client_call_answer(c, SOUP_STATUS_GONE, "no such job\n");
}

static const struct call_kind call_kinds[CALL_KIND_COUNT] = {
	{ "POST", serve_post, TRUE, TRUE },
	{ "GET", serve_get, FALSE, FALSE },
	{ "DELETE", serve_delete, FALSE, TRUE },
};

static void on_request(struct http_request *r, void *data)
{
	const struct server_route *e = data;

	client_call_begin(&e->frontend->context, r, e->kind, e->is_from_peer);
}

static void handle_ready(struct http_request *r, void *data)
{
	struct frontend *s = data;
	gboolean is_ready = !s->context.is_draining &&
			    config_feed_config(s->kernel) &&
			    config_feed_is_store_reachable(s->kernel) &&
			    election_hears_store(s->kernel);

	http_request_reply_empty(r, is_ready ? SOUP_STATUS_OK
					     : SOUP_STATUS_SERVICE_UNAVAILABLE);
}

static void handle_counters(struct http_request *r, void *data)
{
	struct frontend *s = data;
	struct http_server *const servers[] = { s->server, s->forward_server,
						s->ready_server };
	char *text;

	http_counters_update(kernel_counters(s->kernel), servers,
			     G_N_ELEMENTS(servers));
	text = counters_text(kernel_counters(s->kernel));
	http_request_reply_text(r, SOUP_STATUS_OK, text);
	g_free(text);
}

static enum status listen_at(struct http_server *server, const char *address,
			     const struct http_limits *limits)
{
	enum status status;
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(address, &host, &port))
		return status_fail(STATUS_INVALID,
				   "bad address %s, expected IP:PORT", address);
	http_server_set_limits(server, limits);
	status = http_server_listen(server, host, port);
	g_free(host);
	return status;
}

static enum status listen_at_ports(struct frontend *s,
				   const struct entry_settings *settings)
{
	const struct {
		struct http_server *server;
		const char *name;
		const char *address;
		double share;
	} ports[] = {
		{ s->server, "frontend", settings->frontend, FRONTEND_SHARE },
		{ s->forward_server, "forward", settings->forward,
		  FORWARD_SHARE },
		{ s->ready_server, "readiness", settings->readiness,
		  READINESS_SHARE },
	};
	enum status status = STATUS_OK;

	for (guint i = 0; i < G_N_ELEMENTS(ports) && status == STATUS_OK; i++) {
		struct http_limits limits =
			process_limits_http(&settings->limits, ports[i].share);

		limits.port = ports[i].name;
		if (ports[i].address)
			status = listen_at(ports[i].server, ports[i].address,
					   &limits);
	}
	return status;
}

static enum status frontend_start(struct service *base, struct kernel *k)
{
	struct frontend *s = (struct frontend *)base;
	const struct entry_settings *settings = entry_settings_of(k);
	struct counters *counters = kernel_counters(k);

	s->kernel = k;
	s->context.kernel = k;
	s->context.data = s;
	s->context.platform = entry_platform_of(k);
	s->submitter = submitter_new(s->context.platform);
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
	s->cancels_marked = counters_counter(
		counters, "cs_cancels_marked_total",
		"Cancels stored although the job was not known");
	store_budget_init(&s->marks, &mark_budget, util_monotonic_ms());
	for (guint i = 0; i < CALL_KIND_COUNT; i++) {
		const char *method = call_kinds[i].method;

		s->direct[i] =
			(struct server_route){ s, &call_kinds[i], FALSE };
		s->forwarded[i] =
			(struct server_route){ s, &call_kinds[i], TRUE };
		http_server_add_route(s->server, method, "/", on_request,
				      &s->direct[i]);
		http_server_add_route(s->forward_server, method, "/",
				      on_request, &s->forwarded[i]);
	}
	http_server_add_route(s->ready_server, "GET", WIRE_READY_PATH,
			      handle_ready, s);
	http_server_add_route(s->ready_server, "GET", "/metrics",
			      handle_counters, s);
	return listen_at_ports(s, settings);
}

static void frontend_drain(struct service *base)
{
	struct frontend *s = (struct frontend *)base;
	const struct entry_settings *settings = entry_settings_of(s->kernel);

	s->context.is_draining = TRUE;
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
	s->ready_server = http_server_new(READY_MAX_BODY_BYTES);
	return &s->base;
}
