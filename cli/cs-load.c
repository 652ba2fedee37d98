/*
 * Load tool: sends a bounded number of requests through a gateway and, in
 * turns within the same run, straight to an endpoint, and prints what the hop
 * through the gateway adds.
 */
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/http_client.h"
#include "base/util.h"
#include "daemon/daemon.h"

#define DEFAULT_COUNT 1000
#define MAX_COUNT 100000
#define DEFAULT_CONCURRENCY 4
#define MAX_CONCURRENCY 64
#define ROUND_REQUESTS 50
#define DEADLINE_MS 5000
#define CALL_TIMEOUT_MS 10000
#define HTTP_OK 200

/* One of the two ways that a request can go. */
struct way {
	const char *name;
	const char *address;
	const char *path;
	const char *const *headers;
	json_object *(*body)(guint number);
	double *latency_us; /* of those that were done */
	gsize done;
	guint sent;
	guint failed;
	guint in_flight;
	int64_t busy_us; /* time of its rounds */
};

struct load_call {
	struct way *way;
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

static json_object *endpoint_body(guint number)
{
	json_object *body = json_object_new_object();
	char *id = g_strdup_printf("load-%u", number);

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
	struct way *w = call->way;
	int64_t latency_us = g_get_monotonic_time() - call->start_us;

	w->in_flight--;
	if (reply->status == STATUS_OK && reply->code == HTTP_OK)
		w->latency_us[w->done++] = (double)latency_us;
	else
		w->failed++;
	g_free(call);
}

static void send_one(struct way *w)
{
	struct load_call *call = g_new0(struct load_call, 1);
	json_object *body = w->body(w->sent);
	struct http_call_spec spec = {
		.method = "POST",
		.address = w->address,
		.path = w->path,
		.body = body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = w->headers,
		.on_reply = on_reply,
		.data = call,
	};

	call->way = w;
	call->start_us = g_get_monotonic_time();
	w->sent++;
	w->in_flight++;
	http_client_send(client, &spec);
	json_object_put(body);
}

static void run_round(struct way *w, guint requests)
{
	guint until = w->sent + requests;
	int64_t start_us = g_get_monotonic_time();

	while (w->sent < until || w->in_flight) {
		while (w->sent < until &&
		       w->in_flight < (guint)options.concurrency)
			send_one(w);
		g_main_context_iteration(NULL, TRUE);
	}
	w->busy_us += g_get_monotonic_time() - start_us;
}

static void print_way(const struct way *w)
{
	printf("%-8s %8u %8zu %8u", w->name, w->sent, w->done, w->failed);
	if (w->done) {
		gsl_sort(w->latency_us, 1, w->done);
		printf(" %9.0f %9.0f %9.0f %9.0f",
		       gsl_stats_quantile_from_sorted_data(w->latency_us, 1,
							   w->done, 0.5),
		       gsl_stats_quantile_from_sorted_data(w->latency_us, 1,
							   w->done, 0.99),
		       w->latency_us[w->done - 1],
		       (double)w->done * G_USEC_PER_SEC / (double)w->busy_us);
	}
	printf("\n");
}

static void print_added(const struct way *gateway, const struct way *direct)
{
	static const double quantiles[] = { 0.5, 0.99 };

	for (guint i = 0; i < G_N_ELEMENTS(quantiles); i++)
		printf("added by the entry hop, p%.0f: %.0f us\n",
		       quantiles[i] * 100,
		       gsl_stats_quantile_from_sorted_data(gateway->latency_us,
							   1, gateway->done,
							   quantiles[i]) -
			       gsl_stats_quantile_from_sorted_data(
				       direct->latency_us, 1, direct->done,
				       quantiles[i]));
}

static int run(struct way *gateway, struct way *direct)
{
	guint left = (guint)options.count;

	while (left > 0) {
		guint requests = MIN(left, ROUND_REQUESTS);

		run_round(gateway, requests);
		if (direct->address)
			run_round(direct, requests);
		left -= requests;
	}
	printf("%-8s %8s %8s %8s %9s %9s %9s %9s\n", "way", "sent", "done",
	       "failed", "p50_us", "p99_us", "max_us", "per_s");
	print_way(gateway);
	if (direct->address) {
		print_way(direct);
		if (gateway->done && direct->done)
			print_added(gateway, direct);
	}
	return gateway->failed || direct->failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static const GOptionEntry entries[] = {
	{ "server", 's', 0, G_OPTION_ARG_STRING, &options.server,
	  "Gateway to send through", "IP:PORT" },
	{ "endpoint", 'e', 0, G_OPTION_ARG_STRING, &options.endpoint,
	  "Endpoint to compare with; none without it", "IP:PORT" },
	{ "account", 'a', 0, G_OPTION_ARG_STRING, &options.client_account,
	  "Client account", "NAME" },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &options.service, "Service",
	  "NAME" },
	{ "token", 0, 0, G_OPTION_ARG_STRING, &options.token,
	  "The client account's token", "TEXT" },
	{ "count", 'n', 0, G_OPTION_ARG_INT, &options.count,
	  "Requests each way, at most 100000", "N" },
	{ "concurrency", 'c', 0, G_OPTION_ARG_INT, &options.concurrency,
	  "Requests at a time, at most 64", "N" },
	{ "work-ms", 'w', 0, G_OPTION_ARG_INT, &options.work_ms,
	  "Time that a request takes at the endpoint", "N" },
	{ "version", 'V', 0, G_OPTION_ARG_NONE, &options.show_version,
	  "Print the version and exit", NULL },
	G_OPTION_ENTRY_NULL,
};

static gboolean parse_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(
		context, "Measures what the hop through a gateway adds.");
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!is_good) {
		fprintf(stderr, "cs-load: %s\n", error->message);
		g_error_free(error);
		return FALSE;
	}
	if (options.show_version)
		return TRUE;
	if (!options.server || !options.client_account || !options.service) {
		fprintf(stderr,
			"cs-load: --server, --account, --service needed\n");
		return FALSE;
	}
	options.count = CLAMP(options.count, 1, MAX_COUNT);
	options.concurrency = CLAMP(options.concurrency, 1, MAX_CONCURRENCY);
	return TRUE;
}

int main(int argc, char **argv)
{
	struct way gateway = { .name = "gateway",
			       .path = "/v1/requests",
			       .body = gateway_body };
	struct way direct = { .name = "direct",
			      .path = "/run",
			      .body = endpoint_body };
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
