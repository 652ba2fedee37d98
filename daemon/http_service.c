#include "daemon/http_service.h"

#include "base/http_counters.h"
#include "base/process_usage.h"
#include "base/util.h"
#include "config/bearer_token.h"
#include "daemon/settings_service.h"

#define MAX_BODY_BYTES ((gsize)4 << 20)
#define MAX_CALLS_IN_FLIGHT 2000
#define MAX_CONNECTIONS_PER_ADDRESS 64

struct http_service {
	struct service base;
	struct kernel *kernel;
	struct http_server *server;
	struct http_client *client;
};

static struct http_service *find(const struct kernel *k)
{
	return (struct http_service *)kernel_find(k, HTTP_SERVICE);
}

static void update_traffic(struct http_service *s)
{
	struct counters *counters = kernel_counters(s->kernel);
	struct http_traffic traffic = http_client_traffic(s->client);

	counter_set(counters_gauge(counters, "cs_http_client_sent_bytes",
				   "Bytes sent by calls of this process"),
		    (int64_t)traffic.sent_bytes);
	counter_set(counters_gauge(counters, "cs_http_client_received_bytes",
				   "Bytes received by calls of this process"),
		    (int64_t)traffic.received_bytes);
}

static void handle_counters(struct http_request *r, void *data)
{
	struct http_service *s = data;
	char *text;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	process_usage_update(kernel_counters(s->kernel));
	update_traffic(s);
	http_counters_update(kernel_counters(s->kernel), &s->server, 1);
	text = counters_text(kernel_counters(s->kernel));
	http_request_reply_text(r, SOUP_STATUS_OK, text);
	g_free(text);
}

static void handle_drain(struct http_request *r, void *data)
{
	struct http_service *s = data;

	if (!http_service_allow_operator(s->kernel, r))
		return;
	http_request_reply(r, SOUP_STATUS_ACCEPTED, json_object_new_object());
	kernel_drain(s->kernel);
}

static enum status http_service_start(struct service *base, struct kernel *k)
{
	struct http_service *s = (struct http_service *)base;
	const struct settings *settings = settings_of(k);
	struct http_limits limits;
	enum status status;
	char *host = NULL;
	uint16_t port;

	s->kernel = k;
	if (!util_parse_endpoint(settings->http, &host, &port))
		return status_fail(
			STATUS_INVALID,
			"setting http: bad address %s, expected IP:PORT",
			settings->http);
	limits = process_limits_http(&settings->limits, 1);
	limits.may_run_elsewhere = TRUE;
	http_server_set_limits(s->server, &limits);
	http_server_add_route(s->server, "GET", "/v1/counters", handle_counters,
			      s);
	http_server_add_route(s->server, "POST", "/v1/drain", handle_drain, s);
	status = http_server_listen(s->server, host, port);
	g_free(host);
	return status;
}

static gboolean http_service_is_idle(const struct service *base)
{
	const struct http_service *s = (const struct http_service *)base;

	return http_server_pending(s->server) == 0;
}

static void http_service_free(struct service *base)
{
	struct http_service *s = (struct http_service *)base;

	http_client_free(s->client);
	http_server_free(s->server);
	g_free(s);
}

static const struct service_class http_service_class = {
	.name = HTTP_SERVICE,
	.start = http_service_start,
	.is_idle = http_service_is_idle,
	.free = http_service_free,
};

struct service *http_service_new(void)
{
	struct http_service *s = g_new0(struct http_service, 1);

	s->base.class = &http_service_class;
	s->server = http_server_new(MAX_BODY_BYTES);
	s->client = http_client_new(MAX_CALLS_IN_FLIGHT,
				    MAX_CONNECTIONS_PER_ADDRESS);
	return &s->base;
}

struct http_server *http_server_of(const struct kernel *k)
{
	return find(k)->server;
}

struct http_client *http_client_of(const struct kernel *k)
{
	return find(k)->client;
}

gboolean http_service_allow_operator(const struct kernel *k,
				     struct http_request *r)
{
	const char *token = settings_of(k)->operator_token;
	const char *given =
		bearer_token_of(http_request_header(r, "Authorization"));

	if (!token || (given && bearer_token_equal(given, token)))
		return TRUE;
	http_request_reply_text(r, SOUP_STATUS_UNAUTHORIZED,
				"operator token missing or wrong\n");
	return FALSE;
}
