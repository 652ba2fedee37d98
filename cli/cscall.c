/*
 * Command line for callers: sends requests, and submits, watches and cancels
 * jobs.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/json_text.h"
#include "base/util.h"
#include "client/command_line.h"

#define DEFAULT_DEADLINE_MS 2000
#define WATCH_PERIOD_US 200000
#define HTTP_OK 200
#define HTTP_ACCEPTED 202

static struct {
	char *client_account;
	char *service;
	char *class;
	char *key;
	char *payload;
	gint deadline_ms;
	gint attempt;
	gboolean not_repeatable;
} request_options = { .deadline_ms = DEFAULT_DEADLINE_MS };

static const GOptionEntry request_entries[] = {
	{ "account", 'a', 0, G_OPTION_ARG_STRING,
	  &request_options.client_account, "Client account", "NAME" },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &request_options.service,
	  "Service, such as salkhi", "NAME" },
	{ "class", 'c', 0, G_OPTION_ARG_STRING, &request_options.class,
	  "spot or bulk", "CLASS" },
	{ "deadline-ms", 'd', 0, G_OPTION_ARG_INT, &request_options.deadline_ms,
	  "Deadline of the request in ms, from its arrival", "N" },
	{ "payload", 'p', 0, G_OPTION_ARG_STRING, &request_options.payload,
	  "JSON object for the endpoint", "JSON" },
	{ "key", 'k', 0, G_OPTION_ARG_STRING, &request_options.key,
	  "Idempotency key; use the same one on a retry", "KEY" },
	{ "attempt", 0, 0, G_OPTION_ARG_INT, &request_options.attempt,
	  "Attempt number for the key, from 1; allows a definite refusal of "
	  "the first attempt while the platform is down",
	  "N" },
	{ "not-repeatable", 'n', 0, G_OPTION_ARG_NONE,
	  &request_options.not_repeatable, "The request may run at most once",
	  NULL },
	G_OPTION_ENTRY_NULL,
};

static struct {
	char *id;
	gint run_ms;
} submit_options;

static const GOptionEntry submit_entries[] = {
	{ "id", 'i', 0, G_OPTION_ARG_STRING, &submit_options.id,
	  "Id of the job; use the same one on a retry", "ID" },
	{ "run-ms", 'r', 0, G_OPTION_ARG_INT, &submit_options.run_ms,
	  "Amount of work of the job in ms", "N" },
	G_OPTION_ENTRY_NULL,
};

static struct {
	char *pool;
} job_options;

static const GOptionEntry job_entries[] = {
	{ "pool", 0, 0, G_OPTION_ARG_STRING, &job_options.pool,
	  "Pool of the job, SERVICE.FAILURE_DOMAIN", "POOL" },
	G_OPTION_ENTRY_NULL,
};

static json_object *parse_argument(const char *name, const char *text)
{
	struct finding_list findings;
	struct json_text t;
	json_object *json = NULL;

	finding_list_init(&findings);
	if (json_text_parse(&t, name, text, strlen(text), JSON_STRICT,
			    &findings))
		json = json_object_get(t.root);
	finding_list_print(&findings);
	json_text_clear(&t);
	finding_list_clear(&findings);
	return json;
}

static void add_string(json_object *body, const char *name, const char *value)
{
	if (value)
		json_object_object_add(body, name,
				       json_object_new_string(value));
}

static json_object *request_body(void)
{
	const char *payload =
		request_options.payload ? request_options.payload : "{}";
	json_object *body;
	json_object *parsed = parse_argument("--payload", payload);

	if (!parsed)
		return NULL;
	body = json_object_new_object();
	add_string(body, "client_account", request_options.client_account);
	add_string(body, "service", request_options.service);
	add_string(body, "class",
		   request_options.class ? request_options.class : "spot");
	json_object_object_add(
		body, "deadline_ms",
		json_object_new_int(request_options.deadline_ms));
	json_object_object_add(
		body, "is_repeatable",
		json_object_new_boolean(!request_options.not_repeatable));
	add_string(body, "idempotency_key", request_options.key);
	if (request_options.attempt)
		json_object_object_add(
			body, "attempt",
			json_object_new_int(request_options.attempt));
	json_object_object_add(body, "payload", parsed);
	return body;
}

static enum exit_code print_answer(struct command_context *context,
				   struct api_reply *reply, guint expected)
{
	if (reply->status != STATUS_OK || !reply->body ||
	    (reply->code != expected && reply->code != HTTP_OK))
		return command_report_failure(reply);
	if (context->as_json) {
		command_print_json(reply->body);
		return EXIT_CODE_OK;
	}
	printf("%s %s %s\n",
	       command_json_string(
		       reply->body, "answer",
		       command_json_string(reply->body, "state", "")),
	       command_json_string(reply->body, "request_id",
				   command_json_string(reply->body, "id", "")),
	       command_json_string(reply->body, "result", ""));
	return EXIT_CODE_OK;
}

static enum exit_code run_request(struct command_context *context, int argc,
				  char **argv)
{
	json_object *body = request_body();
	struct api_reply reply;
	enum exit_code code;

	if (!body)
		return EXIT_CODE_USAGE;
	api_client_call(context->client, "POST", "/v1/requests", body, &reply);
	code = print_answer(context, &reply, HTTP_OK);
	api_reply_clear(&reply);
	json_object_put(body);
	return code;
}

static json_object *submit_body(const char *job)
{
	json_object *body;

	if (job[0] == '{')
		body = parse_argument("JOB", job);
	else
		body = json_object_new_object();
	if (!body)
		return NULL;
	if (job[0] != '{')
		add_string(body, "job", job);
	if (submit_options.run_ms)
		json_object_object_add(
			body, "run_ms",
			json_object_new_int(submit_options.run_ms));
	if (!submit_options.id)
		submit_options.id = util_random_id();
	add_string(body, "id", submit_options.id);
	return body;
}

static enum exit_code run_submit(struct command_context *context, int argc,
				 char **argv)
{
	json_object *body = submit_body(argv[0]);
	struct api_reply reply;
	enum exit_code code;

	if (!body)
		return EXIT_CODE_USAGE;
	api_client_call(context->client, "POST", "/v1/jobs", body, &reply);
	code = print_answer(context, &reply, HTTP_ACCEPTED);
	api_reply_clear(&reply);
	json_object_put(body);
	return code;
}

static char *job_path(const char *id)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strdup_printf("/v1/jobs/%s?pool=%s", escaped,
				     job_options.pool ? job_options.pool : "");

	g_free(escaped);
	return path;
}

static gboolean has_ended(const char *state)
{
	static const char *const ended[] = { "done", "failed", "refused",
					     "cancelled", NULL };

	return g_strv_contains(ended, state);
}

/* Prints the state if it is not @last; returns a copy of it. */
static char *print_change(const char *id, const char *last, json_object *job)
{
	const char *state = command_json_string(job, "state", "");

	if (!g_str_equal(state, last)) {
		printf("%s %s %s\n", id, state,
		       command_json_string(job, "reason", ""));
		fflush(stdout);
	}
	return g_strdup(state);
}

static enum exit_code run_watch(struct command_context *context, int argc,
				char **argv)
{
	char *path = job_path(argv[0]);
	char *last = g_strdup("");
	enum exit_code code = EXIT_CODE_OK;

	while (!has_ended(last)) {
		struct api_reply reply;
		char *state = NULL;

		api_client_call(context->client, "GET", path, NULL, &reply);
		if (reply.status == STATUS_OK && reply.code == HTTP_OK)
			state = print_change(argv[0], last, reply.body);
		else
			code = command_report_failure(&reply);
		api_reply_clear(&reply);
		if (!state)
			goto out;
		g_free(last);
		last = state;
		g_usleep(WATCH_PERIOD_US);
	}
	code = g_str_equal(last, "done") ? EXIT_CODE_OK : EXIT_CODE_REFUSED;
out:
	g_free(last);
	g_free(path);
	return code;
}

static enum exit_code run_cancel(struct command_context *context, int argc,
				 char **argv)
{
	char *path = job_path(argv[0]);
	struct api_reply reply;
	enum exit_code code;

	api_client_call(context->client, "DELETE", path, NULL, &reply);
	code = print_answer(context, &reply, HTTP_ACCEPTED);
	api_reply_clear(&reply);
	g_free(path);
	return code;
}

static const struct subcommand subcommands[] = {
	{ "request", "", "Send one request and print its answer",
	  "The answer is done, not run or unknown. After unknown, retry a\n"
	  "request that may run only once with the same key, never with\n"
	  "another one.",
	  request_entries, 0, 0, run_request },
	{ "submit", "JOB", "Submit a job: a name or a JSON object",
	  "JOB is the name of a job in the configuration, or an object as\n"
	  "described in docs/PROTOCOLS.md.",
	  submit_entries, 1, 1, run_submit },
	{ "watch", "ID", "Print a job's state changes until it ends", NULL,
	  job_entries, 1, 1, run_watch },
	{ "cancel", "ID", "Cancel a job", NULL, job_entries, 1, 1, run_cancel },
	{ 0 },
};

static const struct command_line_spec spec = {
	.name = "cscall",
	.summary = "Sends requests and jobs to corianderstep.",
	.subcommands = subcommands,
};

int main(int argc, char **argv)
{
	return command_line_main(&spec, argc, argv);
}
