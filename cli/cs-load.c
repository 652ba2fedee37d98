/*
 * Load generator: sends a bounded number of requests through a gateway and, in
 * alternating rounds, directly to an endpoint, and prints the latency that the
 * gateway adds.
 */
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/finding.h"
#include "base/http_client.h"
#include "base/util.h"
#include "daemon/daemon.h"
#include "request/request.h"
#include "request/run_reply.h"

#define DEFAULT_COUNT 1000
#define MAX_COUNT 100000
#define DEFAULT_CONCURRENCY 4
#define MAX_CONCURRENCY 64
#define MAX_WORK_MS 4000
#define ROUND_REQUESTS 50
#define DEADLINE_MS 5000
#define CALL_TIMEOUT_MS 10000

/* Outcome of a request; each sent request is counted once. */
enum load_outcome {
	LOAD_DONE,
	LOAD_NOT_RUN, /* the request certainly did not run */
	LOAD_UNKNOWN, /* the request may have run */
	LOAD_OUTCOME_COUNT,
};

/* The gateway or the endpoint, with the statistics of its requests. */
struct load_target {
	const char *name;
	const char *address;
	const char *path;
	const char *const *headers;
	json_object *(*body)(guint number);
	enum load_outcome (*classify)(const struct http_reply *reply,
				      guint number);
	double *latency_us; /* of the requests with LOAD_DONE */
	guint outcomes[LOAD_OUTCOME_COUNT];
	guint sent;
	guint in_flight;
	int64_t busy_us; /* total duration of its rounds */
};

struct load_call {
	struct load_target *target;
	guint number;
	int64_t start_us;
};

static struct {
	char *server;
	char *endpoint;
	char *client_account;
	char *service;
	char *token;
	gint count;
	gint concurrency;
	gint work_ms;
	gboolean show_version;
} options = {
	.count = DEFAULT_COUNT,
	.concurrency = DEFAULT_CONCURRENCY,
};

static struct http_client *client;

static void add_string(json_object *json, const char *key, const char *value)
{
	json_object_object_add(json, key, json_object_new_string(value));
}

static json_object *work_payload(void)
{
	json_object *payload = json_object_new_object();

	json_object_object_add(payload, "work_ms",
			       json_object_new_int(options.work_ms));
	return payload;
}

static json_object *gateway_body(guint number)
{
	json_object *body = json_object_new_object();

	add_string(body, "client_account", options.client_account);
	add_string(body, "service", options.service);
	add_string(body, "class", "spot");
	json_object_object_add(body, "deadline_ms",
			       json_object_new_int(DEADLINE_MS));
	json_object_object_add(body, "is_repeatable",
			       json_object_new_boolean(TRUE));
	json_object_object_add(body, "payload", work_payload());
	return body;
}

static enum load_outcome gateway_classify_reply(const struct http_reply *reply,
						guint number)
{
	json_object *answer = NULL;
	const char *text;

	if (reply->status == STATUS_UNAVAILABLE)
		return LOAD_NOT_RUN;
	if (json_object_is_type(reply->body, json_type_object))
		json_object_object_get_ex(reply->body, "answer", &answer);
	text = json_object_get_string(answer);
	if (g_strcmp0(text, answer_name(ANSWER_DONE)) == 0)
		return LOAD_DONE;
	return g_strcmp0(text, answer_name(ANSWER_NOT_RUN)) == 0 ? LOAD_NOT_RUN
								 : LOAD_UNKNOWN;
}

static char *endpoint_id(guint number)
{
	return g_strdup_printf("load-%u", number);
}

static enum load_outcome endpoint_classify_reply(const struct http_reply *reply,
						 guint number)
{
	char *id = endpoint_id(number);
	struct run_reply run;

	run_reply_classify(reply->status, reply->code, reply->body, id, &run);
	g_free(id);
	if (run.outcome == RUN_DONE)
		return LOAD_DONE;
	return run_outcome_is_not_started(run.outcome) ? LOAD_NOT_RUN
						       : LOAD_UNKNOWN;
}

static json_object *endpoint_body(guint number)
{
	json_object *body = json_object_new_object();
	char *id = endpoint_id(number);

	add_string(body, "request_id", id);
	json_object_object_add(body, "work_ms",
			       json_object_new_int(options.work_ms));
	json_object_object_add(body, "payload", work_payload());
	g_free(id);
	return body;
}

static void on_reply(const struct http_reply *reply, void *data)
{
	struct load_call *call = data;
	struct load_target *t = call->target;
	int64_t latency_us = g_get_monotonic_time() - call->start_us;
	enum load_outcome outcome = t->classify(reply, call->number);

	t->in_flight--;
	if (outcome == LOAD_DONE)
		t->latency_us[t->outcomes[LOAD_DONE]] = (double)latency_us;
	t->outcomes[outcome]++;
	g_free(call);
}

static void send_one(struct load_target *t)
{
	struct load_call *call = g_new0(struct load_call, 1);
	json_object *body = t->body(t->sent);
	struct http_call_spec spec = {
		.method = "POST",
		.address = t->address,
		.path = t->path,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = t->headers,
		.on_reply = on_reply,
		.data = call,
	};

	call->target = t;
	call->number = t->sent;
	call->start_us = g_get_monotonic_time();
	t->sent++;
	t->in_flight++;
	http_client_send(client, &spec);
	json_object_put(body);
}

static void run_round(struct load_target *t, guint requests)
{
	guint until = t->sent + requests;
	int64_t start_us = g_get_monotonic_time();

	while (t->sent < until || t->in_flight) {
		while (t->sent < until &&
		       t->in_flight < (guint)options.concurrency)
			send_one(t);
		g_main_context_iteration(NULL, TRUE);
	}
	t->busy_us += g_get_monotonic_time() - start_us;
}

static void print_target(const struct load_target *t)
{
	guint done = t->outcomes[LOAD_DONE];

	printf("%-8s %8u %8u %8u %8u", t->name, t->sent, done,
	       t->outcomes[LOAD_NOT_RUN], t->outcomes[LOAD_UNKNOWN]);
	if (done) {
		gsl_sort(t->latency_us, 1, done);
		printf(" %9.0f %9.0f %9.0f %9.0f",
		       gsl_stats_quantile_from_sorted_data(t->latency_us, 1,
							   done, 0.5),
		       gsl_stats_quantile_from_sorted_data(t->latency_us, 1,
							   done, 0.99),
		       t->latency_us[done - 1],
		       (double)done * G_USEC_PER_SEC / (double)t->busy_us);
	}
	printf("\n");
}

static void print_added_latency(const struct load_target *gateway,
				const struct load_target *direct)
{
	static const double quantiles[] = { 0.5, 0.99 };

	for (guint i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf("latency added by the gateway, p%.0f: %.0f us\n",
		       quantiles[i] * 100,
		       gsl_stats_quantile_from_sorted_data(
			       gateway->latency_us, 1,
			       gateway->outcomes[LOAD_DONE], quantiles[i]) -
			       gsl_stats_quantile_from_sorted_data(
				       direct->latency_us, 1,
				       direct->outcomes[LOAD_DONE],
				       quantiles[i]));
}

static gboolean is_all_done(const struct load_target *t)
{
	return t->outcomes[LOAD_DONE] == t->sent;
}

static int run(struct load_target *gateway, struct load_target *direct)
{
	guint left = (guint)options.count;

	while (left > 0) {
		guint requests = MIN(left, ROUND_REQUESTS);

		run_round(gateway, requests);
		if (direct->address)
			run_round(direct, requests);
		left -= requests;
	}
	printf("%-8s %8s %8s %8s %8s %9s %9s %9s %9s\n", "way", "sent", "done",
	       "not_run", "unknown", "p50_us", "p99_us", "max_us", "per_s");
	print_target(gateway);
	if (direct->address) {
		print_target(direct);
		if (gateway->outcomes[LOAD_DONE] && direct->outcomes[LOAD_DONE])
			print_added_latency(gateway, direct);
	}
	return is_all_done(gateway) && is_all_done(direct) ? EXIT_SUCCESS
							   : EXIT_FAILURE;
}

static const GOptionEntry entries[] = {
	{ "server", 's', 0, G_OPTION_ARG_STRING, &options.server,
	  "Gateway to send through", "IP:PORT" },
	{ "endpoint", 'e', 0, G_OPTION_ARG_STRING, &options.endpoint,
	  "Endpoint to compare with; default: none", "IP:PORT" },
	{ "account", 'a', 0, G_OPTION_ARG_STRING, &options.client_account,
	  "Client account", "NAME" },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &options.service, "Service",
	  "NAME" },
	{ "token", 0, 0, G_OPTION_ARG_STRING, &options.token,
	  "The client account's token", "TEXT" },
	{ "count", 'n', 0, G_OPTION_ARG_INT, &options.count,
	  "Requests to each target, at most 100000", "N" },
	{ "concurrency", 'c', 0, G_OPTION_ARG_INT, &options.concurrency,
	  "Concurrent requests, at most 64", "N" },
	{ "work-ms", 'w', 0, G_OPTION_ARG_INT, &options.work_ms,
	  "Run time of a request at the endpoint in ms, at most 4000", "N" },
	{ "version", 'V', 0, G_OPTION_ARG_NONE, &options.show_version,
	  "Print the version and exit", NULL },
	G_OPTION_ENTRY_NULL,
};

static void check_address(struct finding_list *findings, const char *place,
			  const char *address)
{
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(address, &host, &port))
		finding_list_add(findings, place, "IP:PORT", "bad address %s",
				 address);
	g_free(host);
}

static void check_range(struct finding_list *findings, const char *place,
			gint value, gint min, gint max)
{
	char *allowed = g_strdup_printf("%d to %d", min, max);

	if (value < min || value > max)
		finding_list_add(findings, place, allowed, "%d", value);
	g_free(allowed);
}

/* Checks all options, to report all problems together. */
static gboolean check_options(const char *extra_argument)
{
	struct finding_list findings;
	gboolean is_good;

	finding_list_init(&findings);
	if (extra_argument)
		finding_list_add(&findings, extra_argument, "options",
				 "not an option");
	if (options.server)
		check_address(&findings, "server", options.server);
	else
		finding_list_add(&findings, "server", "IP:PORT", "missing");
	if (options.endpoint)
		check_address(&findings, "endpoint", options.endpoint);
	if (!options.client_account)
		finding_list_add(&findings, "account",
				 "the name of a client account", "missing");
	if (!options.service)
		finding_list_add(&findings, "service", "the name of a service",
				 "missing");
	check_range(&findings, "count", options.count, 1, MAX_COUNT);
	check_range(&findings, "concurrency", options.concurrency, 1,
		    MAX_CONCURRENCY);
	check_range(&findings, "work-ms", options.work_ms, 0, MAX_WORK_MS);
	is_good = finding_list_count(&findings) == 0;
	finding_list_print(&findings);
	finding_list_clear(&findings);
	return is_good;
}

static gboolean parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(
		context, "Measures the latency that a gateway adds.");
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!is_good) {
		fprintf(stderr, "cs-load: %s\n", error->message);
		g_error_free(error);
		return FALSE;
	}
	return options.show_version || check_options(argc > 1 ? argv[1] : NULL);
}

int main(int argc, char **argv)
{
	struct load_target gateway = { .name = "gateway",
				       .path = "/v1/requests",
				       .body = gateway_body,
				       .classify = gateway_classify_reply };
	struct load_target direct = { .name = "direct",
				      .path = "/run",
				      .body = endpoint_body,
				      .classify = endpoint_classify_reply };
	const char *headers[] = { NULL, NULL, NULL };
	char *bearer = NULL;
	int code;

	if (!parse_options(argc, argv))
		return EXIT_FAILURE;
	if (options.show_version) {
		printf("cs-load %s\n", DAEMON_VERSION);
		return EXIT_SUCCESS;
	}
	if (options.token) {
		bearer = g_strdup_printf("Bearer %s", options.token);
		headers[0] = "Authorization";
		headers[1] = bearer;
	}
	gateway.headers = headers;
	gateway.address = options.server;
	direct.address = options.endpoint;
	gateway.latency_us = g_new0(double, options.count);
	direct.latency_us = g_new0(double, options.count);
	client = http_client_new(MAX_CONCURRENCY, MAX_CONCURRENCY);
	code = run(&gateway, &direct);
	http_client_free(client);
	g_free(gateway.latency_us);
	g_free(direct.latency_us);
	g_free(bearer);
	return code;
}
