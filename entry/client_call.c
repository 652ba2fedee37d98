#include "entry/client_call.h"

#include <string.h>

#include "base/http_client.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/forwarder.h"
#include "platform/wire_frontend.h"

/* Delay in seconds before a refused client should retry. Another VM will
 * probably serve it; without one, the few attempts of a client have to last for
 * an outage of several seconds. */
#define RETRY_AFTER "1"
#define RETRY_AFTER_OUTAGE "2"
/* For a client that sends no deadline. */
#define DEFAULT_DEADLINE_MS 3000
/* Share of the client's timeout during which other VMs are asked; the rest is
 * left for an attempt of the client's own. */
#define FORWARD_TIME_SHARE 0.8
/* A read takes at most the client's timeout divided by this. */
#define READ_TIMEOUT_DIVISOR 3

static void call_free(struct client_call *c)
{
	g_free(c->route);
	g_free(c->account);
	g_free(c->id);
	g_free(c);
}

static void log_call(const struct client_call *c, guint code,
		     const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "request");
	log_str(&line, "method", c->kind->method);
	log_str(&line, "job", c->id);
	log_str(&line, "route", c->route);
	log_int(&line, "code", code);
	log_str(&line, "reason", reason);
	log_int(&line, "took_ms", util_monotonic_ms() - c->began_ms);
	log_int(&line, "is_forwarded", c->is_from_peer);
	log_int(&line, "may_have_run", c->may_have_run);
	log_end(&line);
}

/* Clients of a VM that stops, or that the store doesn't answer, have to connect
 * again to reach another one. */
static void add_close_header(const struct client_call *c)
{
	if (c->context->is_draining ||
	    !election_hears_store(c->context->kernel))
		http_request_set_reply_header(c->request, "Connection",
					      "close");
}

/* Returns TRUE if an answer tells that a change has had no effect and never
 * will. Only a cancel is answered 410, which tells that there is nothing to
 * cancel. */
static gboolean is_rejection(guint code)
{
	return code >= SOUP_STATUS_BAD_REQUEST &&
	       code != SOUP_STATUS_GATEWAY_TIMEOUT && code != SOUP_STATUS_GONE;
}

/*
 * Returns TRUE if a rejection of a change could be false: each attempt at it
 * (by this VM, by the peers it was handed over to, by a peer that received it
 * twice) tells only what that attempt did. Once one of them may have stored the
 * job, or its cancel, only an answer that confirms the effect is certain.
 */
static gboolean must_withhold(const struct client_call *c, guint code)
{
	return c->kind->is_change && c->may_have_run && is_rejection(code);
}

static void log_withheld(const struct client_call *c, guint code,
			 const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "rejection_withheld");
	log_str(&line, "job", c->id);
	log_int(&line, "code", code);
	log_str(&line, "reason", reason);
	log_end(&line);
}

void client_call_answer(struct client_call *c, guint code, const char *reason)
{
	if (must_withhold(c, code)) {
		log_withheld(c, code, reason);
		code = SOUP_STATUS_GATEWAY_TIMEOUT;
		reason = "it is not known whether the request was accepted\n";
	}
	log_call(c, code, reason);
	if (code == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	    code == HTTP_TOO_MANY_REQUESTS)
		http_request_set_reply_header(
			c->request, "Retry-After",
			c->was_forwarded ? RETRY_AFTER_OUTAGE : RETRY_AFTER);
	add_close_header(c);
	http_request_reply_text(c->request, code, reason);
	call_free(c);
}

void client_call_answer_json(struct client_call *c, json_object *body,
			     const char *reason)
{
	log_call(c, SOUP_STATUS_OK, reason);
	add_close_header(c);
	http_request_reply(c->request, SOUP_STATUS_OK, body);
	call_free(c);
}

static const char *host_of(const struct client_call *c)
{
	const char *host = http_request_header(
		c->request, c->is_from_peer ? FORWARD_HOST_HEADER : "Host");

	return host ? host : "";
}

/* Passes on the answer of another VM. */
static void pass_on(struct client_call *c, const struct http_reply *reply)
{
	if (must_withhold(c, reply->code)) {
		client_call_answer(c, reply->code, "answered by another VM");
		return;
	}
	log_call(c, reply->code, "answered by another VM");
	add_close_header(c);
	if (reply->body)
		http_request_reply(c->request, reply->code,
				   json_object_get(reply->body));
	else
		http_request_reply_text(c->request, reply->code,
					reply->text ? reply->text : "");
	call_free(c);
}

static void serve(struct client_call *c);

static void on_forwarded(const struct http_reply *reply, gboolean may_have_run,
			 void *data)
{
	struct client_call *c = data;

	c->may_have_run |= may_have_run;
	if (reply)
		pass_on(c, reply);
	else if (c->was_served)
		client_call_answer(c, SOUP_STATUS_SERVICE_UNAVAILABLE,
				   "the store can't be reached\n");
	else
		serve(c);
}

/* Hands a client's request over to other VMs, once; FALSE if that can't help.
 */
static gboolean forward(struct client_call *c)
{
	int64_t passed_ms = util_monotonic_ms() - c->began_ms;
	int64_t left_ms =
		(int64_t)((double)c->deadline_ms * FORWARD_TIME_SHARE) -
		passed_ms;
	char *path;
	gboolean is_sent;

	if (c->is_from_peer || c->was_forwarded)
		return FALSE;
	path = g_strconcat("/", http_request_path_suffix(c->request), NULL);
	c->was_forwarded = TRUE;
	is_sent =
		forwarder_send(c->context->kernel, c->request, c->kind->method,
			       path, c->body, left_ms, on_forwarded, c);
	g_free(path);
	return is_sent;
}

void client_call_fail(struct client_call *c, gboolean may_have_run,
		      const char *reason)
{
	c->may_have_run |= may_have_run;
	if (!forward(c))
		client_call_answer(c, SOUP_STATUS_SERVICE_UNAVAILABLE, reason);
}

/* Serves a request on this VM. */
static void serve(struct client_call *c)
{
	c->was_served = TRUE;
	c->kind->serve(c);
}

/*
 * Returns the least configuration version that may decide on a call: of another
 * VM's request what it asks for, else what other VMs' answers were made by.
 */
static int64_t least_version(const struct client_call *c)
{
	const char *text =
		http_request_header(c->request, FORWARD_VERSION_HEADER);

	if (!c->is_from_peer)
		return forwarder_seen_version(c->context->kernel);
	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/* Tells the VM that has forwarded a call which configuration decided on it. */
static void set_version_header(struct client_call *c, int64_t version)
{
	char text[32];

	if (!c->is_from_peer)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, version);
	http_request_set_reply_header(c->request, FORWARD_VERSION_HEADER, text);
}

gboolean client_call_find_route(struct client_call *c)
{
	const struct fleet_config *config =
		config_feed_config(c->context->kernel);
	char *path =
		g_strconcat("/", http_request_path_suffix(c->request), NULL);
	char *host = g_strdup(host_of(c));
	const struct queue_route *route = NULL;
	const struct account_config *account = NULL;
	const char *key;
	gboolean is_found = FALSE;

	if (!config || config->version < least_version(c)) {
		client_call_fail(c, FALSE, "no current configuration yet\n");
		goto out;
	}
	set_version_header(c, config->version);
	if (strchr(host, ':'))
		*strchr(host, ':') = '\0';
	route = fleet_config_match(config, host, path);
	if (!route) {
		client_call_answer(c, SOUP_STATUS_NOT_FOUND, "no such queue\n");
		goto out;
	}
	c->route = g_strdup(route->name);
	key = http_request_header(c->request, WIRE_HEADER_AUTHORIZATION);
	if (key && g_str_has_prefix(key, WIRE_AUTH_SCHEME))
		account = fleet_config_account_by_key(
			config, key + strlen(WIRE_AUTH_SCHEME));
	if (!account && !route->is_public) {
		client_call_answer(c, SOUP_STATUS_UNAUTHORIZED,
				   "unknown key\n");
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

static struct client_call *call_new(const struct call_context *context,
				    struct http_request *r,
				    const struct call_kind *kind)
{
	const char *deadline = http_request_header(r, WIRE_HEADER_DEADLINE);
	struct client_call *c = g_new0(struct client_call, 1);
	gint64 deadline_ms = deadline ? g_ascii_strtoll(deadline, NULL, 10) : 0;

	c->kind = kind;
	c->context = context;
	c->request = r;
	c->began_ms = util_monotonic_ms();
	c->deadline_ms = deadline_ms > 0 ? deadline_ms : DEFAULT_DEADLINE_MS;
	return c;
}

void client_call_begin(const struct call_context *context,
		       struct http_request *r, const struct call_kind *kind,
		       gboolean is_from_peer)
{
	struct client_call *c = call_new(context, r, kind);
	gboolean hears_store = election_hears_store(context->kernel);

	c->is_from_peer = is_from_peer;
	if (is_from_peer && !hears_store) {
		client_call_answer(c, SOUP_STATUS_SERVICE_UNAVAILABLE,
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
	if (hears_store || !forward(c))
		serve(c);
}

void client_call_stop_timer(struct client_call *c)
{
	if (c->timer)
		g_source_remove(c->timer);
	c->timer = 0;
}

/* Asks other VMs for what the store doesn't tell this one, if there are any. */
static gboolean on_read_timeout(gpointer data)
{
	struct client_call *c = data;

	c->timer = 0;
	if (forward(c))
		platform_forget(c->context->platform, c);
	return G_SOURCE_REMOVE;
}

void client_call_read_row(struct client_call *c, const char *table,
			  const char *part, const char *key, platform_fn fn)
{
	int64_t timeout_ms =
		MIN(CLIENT_CALL_READ_MS, c->deadline_ms / READ_TIMEOUT_DIVISOR);

	c->timer = g_timeout_add((guint)timeout_ms, on_read_timeout, c);
	platform_read_part(c->context->platform, table, part, key, fn, c);
}
