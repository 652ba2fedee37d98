/*
 * Command line for operators: checks and applies configurations, shows the
 * state of the servers and explains scheduling decisions.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/json_text.h"
#include "client/command_line.h"
#include "client/config_diff.h"
#include "config/config_doc.h"
#include "job/guarantee_check.h"

#define HTTP_OK 200
#define HTTP_ACCEPTED 202
#define HTTP_CONFLICT 409
#define NO_BASE_VERSION (-1)
#define PLATFORM_TIMEOUT_MS 10000

static struct {
	gint64 base_version;
	gboolean dry_run;
	char *operator_name;
} apply_options = { .base_version = NO_BASE_VERSION };

static const GOptionEntry apply_entries[] = {
	{ "base", 'b', 0, G_OPTION_ARG_INT64, &apply_options.base_version,
	  "Version that the change is based on; default: the one in force",
	  "N" },
	{ "dry-run", 'n', 0, G_OPTION_ARG_NONE, &apply_options.dry_run,
	  "Show the changes without applying them", NULL },
	{ "operator", 'o', 0, G_OPTION_ARG_STRING, &apply_options.operator_name,
	  "Name shown to operators whose changes conflict with this one",
	  "NAME" },
	G_OPTION_ENTRY_NULL,
};

static char *check_vms_source;

static const GOptionEntry check_entries[] = {
	{ "vms", 0, 0, G_OPTION_ARG_STRING, &check_vms_source,
	  "List of VMs on which the guarantees must fit: a file, or the "
	  "platform's IP:PORT",
	  "FILE" },
	G_OPTION_ENTRY_NULL,
};

static char *explain_pool;

static const GOptionEntry explain_entries[] = {
	{ "pool", 0, 0, G_OPTION_ARG_STRING, &explain_pool,
	  "Pool of the job or guarantee, SERVICE.FAILURE_DOMAIN", "POOL" },
	G_OPTION_ENTRY_NULL,
};

/* A further check of a valid configuration; adds findings. */
typedef void (*config_check_fn)(const struct config_doc *doc,
				struct finding_list *findings);

/*
 * Loads a configuration. Returns its JSON, or prints all findings and returns
 * NULL. @extra_check may be NULL.
 */
static json_object *load_config(const char *file_name,
				config_check_fn extra_check)
{
	struct finding_list findings;
	struct config_doc doc = { 0 };
	json_object *json = NULL;
	struct json_text t;

	finding_list_init(&findings);
	if (json_text_load(&t, file_name, JSON_WITH_COMMENTS, &findings)) {
		struct schema_source source = json_text_source(&t);

		if (config_doc_decode(t.root, &doc, &source, &findings) &&
		    extra_check)
			extra_check(&doc, &findings);
		if (finding_list_count(&findings) == 0)
			json = json_object_get(t.root);
	}
	finding_list_print(&findings);
	if (!json)
		fprintf(stderr, "%u findings\n", finding_list_count(&findings));
	config_doc_clear(&doc);
	json_text_clear(&t);
	finding_list_clear(&findings);
	return json;
}

static json_object *read_vms_file(struct finding_list *findings)
{
	json_object *vms = NULL;
	struct json_text t;

	if (json_text_load(&t, check_vms_source, JSON_STRICT, findings))
		vms = json_object_get(t.root);
	json_text_clear(&t);
	return vms;
}

/* Calls without the operator's token, which the platform must not receive. */
static json_object *fetch_platform_vms(struct finding_list *findings)
{
	const char *const addresses[] = { check_vms_source, NULL };
	struct api_client *client =
		api_client_new(addresses, NULL, PLATFORM_TIMEOUT_MS);
	json_object *vms = NULL;
	struct api_reply reply;

	api_client_call(client, "GET", "/vms", NULL, &reply);
	if (reply.status == STATUS_OK && reply.code == HTTP_OK && reply.body)
		vms = json_object_get(reply.body);
	else
		finding_list_add(findings, check_vms_source, "a list of VMs",
				 "neither a file nor a platform that answers");
	api_reply_clear(&reply);
	api_client_free(client);
	return vms;
}

static void append_findings(const struct finding_list *entries,
			    struct finding_list *findings)
{
	for (guint i = 0; i < finding_list_kept(entries); i++) {
		const struct finding *f = finding_list_get(entries, i);

		finding_list_add(findings, f->place, f->allowed, "%s",
				 f->problem);
	}
}

static void check_guarantees(const struct config_doc *doc,
			     struct finding_list *findings)
{
	gboolean is_file =
		g_file_test(check_vms_source, G_FILE_TEST_IS_REGULAR);
	json_object *vms = is_file ? read_vms_file(findings)
				   : fetch_platform_vms(findings);
	struct finding_list entries;
	struct vm_list list;

	finding_list_init(&entries);
	vm_list_init(&list);
	if (!vms)
		goto out;
	if (!vm_list_decode(&list, vms, &entries)) {
		finding_list_add(findings, check_vms_source,
				 "{\"vms\":[VM...]}",
				 "not a list of VMs: %s %s",
				 finding_list_get(&entries, 0)->place,
				 finding_list_get(&entries, 0)->problem);
		goto out;
	}
	/*
	 * The platform may list entries that are unknown here, so invalid
	 * entries are findings only in a file, which the operator wrote.
	 */
	if (is_file)
		append_findings(&entries, findings);
	guarantee_check_vms(doc, &list, findings);
out:
	vm_list_clear(&list);
	finding_list_clear(&entries);
	json_object_put(vms);
}

static enum exit_code run_check(struct command_context *context, int argc,
				char **argv)
{
	json_object *json = load_config(
		argv[0], check_vms_source ? check_guarantees : NULL);

	if (!json)
		return EXIT_CODE_REFUSED;
	printf("%s: valid\n%s\n", argv[0],
	       check_vms_source
		       ? "guarantees: can all be held at once; pools without a "
			 "VM in the list are not checked"
		       : "guarantees: not checked against VMs; give --vms, "
			 "or use apply --dry-run");
	json_object_put(json);
	return EXIT_CODE_OK;
}

static gboolean reply_is_success(const struct api_reply *reply)
{
	return reply->status == STATUS_OK &&
	       (reply->code == HTTP_OK || reply->code == HTTP_ACCEPTED);
}

static json_object *apply_body(json_object *config, int64_t base_version)
{
	const char *name = apply_options.operator_name;
	json_object *body = json_object_new_object();

	json_object_object_add(body, "base_version",
			       json_object_new_int64(base_version));
	json_object_object_add(body, "config", json_object_get(config));
	json_object_object_add(body, "dry_run",
			       json_object_new_boolean(apply_options.dry_run));
	json_object_object_add(
		body, "operator",
		json_object_new_string(name ? name : g_get_user_name()));
	return body;
}

static void print_version_conflict(const struct api_reply *reply)
{
	fprintf(stderr,
		"conflict: version %" G_GINT64_FORMAT
		" by %s was accepted first\n",
		command_json_int(reply->body, "version"),
		command_json_string(reply->body, "operator",
				    "another operator"));
}

static enum exit_code send_config(struct command_context *context,
				  json_object *config, int64_t base_version)
{
	json_object *body = apply_body(config, base_version);
	struct api_reply reply;
	enum exit_code code = EXIT_CODE_OK;

	api_client_call(context->client, "POST", "/v1/config", body, &reply);
	if (!reply_is_success(&reply)) {
		code = command_report_failure(&reply);
		if (reply.code == HTTP_CONFLICT)
			print_version_conflict(&reply);
	} else if (context->as_json) {
		command_print_json(reply.body);
	} else {
		printf("%s, version %" G_GINT64_FORMAT "\n",
		       command_json_string(reply.body, "answer", ""),
		       command_json_int(reply.body, "version"));
	}
	api_reply_clear(&reply);
	json_object_put(body);
	return code;
}

static enum exit_code run_apply(struct command_context *context, int argc,
				char **argv)
{
	json_object *config = load_config(argv[0], NULL);
	json_object *current = NULL;
	struct api_reply reply;
	enum exit_code code;
	int64_t version;

	if (!config)
		return EXIT_CODE_REFUSED;
	api_client_call(context->client, "GET", "/v1/config", NULL, &reply);
	if (!reply_is_success(&reply)) {
		code = command_report_failure(&reply);
		goto out;
	}
	version = command_json_int(reply.body, "version");
	json_object_object_get_ex(reply.body, "config", &current);
	if (!context->as_json) {
		char *changes = config_diff_text(current, config);

		printf("changes against version %" G_GINT64_FORMAT ":\n%s",
		       version, changes);
		g_free(changes);
	}
	if (apply_options.base_version != NO_BASE_VERSION)
		version = apply_options.base_version;
	code = send_config(context, config, version);
out:
	api_reply_clear(&reply);
	json_object_put(config);
	return code;
}

/* Calls a path on each server, as each server has its own state. */
static enum exit_code call_each_server(struct command_context *context,
				       const char *method, const char *path)
{
	enum exit_code code = EXIT_CODE_OK;

	for (char **s = context->servers; *s; s++) {
		struct api_reply reply;

		api_client_call_at(context->client, *s, method, path, NULL,
				   &reply);
		if (!reply_is_success(&reply))
			code = command_report_failure(&reply);
		else if (reply.body)
			command_print_json(reply.body);
		else
			fputs(reply.text, stdout);
		api_reply_clear(&reply);
	}
	return code;
}

static enum exit_code run_status(struct command_context *context, int argc,
				 char **argv)
{
	return call_each_server(context, "GET", "/v1/status");
}

static enum exit_code run_counters(struct command_context *context, int argc,
				   char **argv)
{
	return call_each_server(context, "GET", "/v1/counters");
}

static enum exit_code run_drain(struct command_context *context, int argc,
				char **argv)
{
	return call_each_server(context, "POST", "/v1/drain");
}

static enum exit_code print_reply(struct command_context *context,
				  struct api_reply *reply)
{
	json_object *lines = NULL;

	if (!reply_is_success(reply))
		return command_report_failure(reply);
	if (context->as_json ||
	    !json_object_object_get_ex(reply->body, "lines", &lines)) {
		command_print_json(reply->body);
		return EXIT_CODE_OK;
	}
	for (size_t i = 0; i < json_object_array_length(lines); i++)
		puts(json_object_get_string(
			json_object_array_get_idx(lines, i)));
	return EXIT_CODE_OK;
}

static enum exit_code get_and_print(struct command_context *context,
				    const char *path)
{
	struct api_reply reply;
	enum exit_code code;

	api_client_call(context->client, "GET", path, NULL, &reply);
	code = print_reply(context, &reply);
	api_reply_clear(&reply);
	return code;
}

static enum exit_code run_explain(struct command_context *context, int argc,
				  char **argv)
{
	static const char *const kinds[] = { "job", "request", "guarantee",
					     NULL };
	enum exit_code code;
	char *id;
	char *path;

	if (!g_strv_contains(kinds, argv[0])) {
		fprintf(stderr,
			"explain: KIND must be job, request or guarantee\n");
		return EXIT_CODE_USAGE;
	}
	id = g_uri_escape_string(argv[1], NULL, FALSE);
	path = g_strdup_printf("/v1/explain/%s/%s?pool=%s", argv[0], id,
			       explain_pool ? explain_pool : "");
	code = get_and_print(context, path);
	g_free(path);
	g_free(id);
	return code;
}

static enum exit_code run_config(struct command_context *context, int argc,
				 char **argv)
{
	return get_and_print(context, "/v1/config");
}

static const struct subcommand subcommands[] = {
	{ "check", "FILE", "Check a configuration and print all findings",
	  "Needs no server. With --vms, also checks whether those VMs can\n"
	  "hold all guarantees at once; without it, the output says that this\n"
	  "was not checked. Pools without a VM in the list are not checked.\n"
	  "Exit code 1 if there are findings.",
	  check_entries, 1, 1, run_check },
	{ "apply", "FILE", "Apply a configuration",
	  "Prints the changes, then applies them if the version that they\n"
	  "are based on is still in force. Exit code 1 if the version of\n"
	  "another operator was accepted first: check it and apply again.",
	  apply_entries, 1, 1, run_apply },
	{ "config", "", "Print the configuration in force", NULL, NULL, 0, 0,
	  run_config },
	{ "status", "", "Print the state of each server given", NULL, NULL, 0,
	  0, run_status },
	{ "explain", "KIND ID", "Explain a job, request or guarantee",
	  "KIND is job, request or guarantee. For a guarantee, ID is a\n"
	  "client account: prints which of its guaranteed shapes are held,\n"
	  "since when and where, and what would stop if they were claimed\n"
	  "now.",
	  explain_entries, 2, 2, run_explain },
	{ "drain", "", "Gracefully shut down each server given", NULL, NULL, 0,
	  0, run_drain },
	{ "counters", "", "Print the counters of each server given", NULL, NULL,
	  0, 0, run_counters },
	{ 0 },
};

static const struct command_line_spec spec = {
	.name = "csctl",
	.summary = "Operates corianderstep.",
	.subcommands = subcommands,
};

int main(int argc, char **argv)
{
	return command_line_main(&spec, argc, argv);
}
