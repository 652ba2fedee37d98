#include "client/command_line.h"

#include <stdio.h>
#include <string.h>

#include "daemon/daemon.h"

#define DEFAULT_TIMEOUT_MS 10000
#define SERVERS_VARIABLE "CS_SERVERS"
#define TOKEN_VARIABLE "CS_TOKEN"

struct common_options {
	char *servers;
	char *token_file;
	gint timeout_ms;
	gboolean as_json;
	gboolean show_version;
};

static const struct subcommand *
find_subcommand(const struct command_line_spec *spec, const char *name)
{
	for (const struct subcommand *s = spec->subcommands; s->name; s++) {
		if (g_str_equal(s->name, name))
			return s;
	}
	return NULL;
}

static char *list_subcommands(const struct command_line_spec *spec)
{
	GString *text = g_string_new("Commands:\n");

	for (const struct subcommand *s = spec->subcommands; s->name; s++) {
		char *usage = g_strdup_printf("%s %s", s->name, s->arguments);

		g_string_append_printf(text, "  %-28s %s\n", usage, s->help);
		g_free(usage);
	}
	g_string_append_printf(
		text,
		"\n`%s COMMAND --help` describes a command."
		"\nServers are taken from --server or " SERVERS_VARIABLE
		", the token from --token-file or " TOKEN_VARIABLE
		".\nExit codes: 0 done, 1 refused, 2 usage error, 3 "
		"unknown: the call may have taken effect.",
		spec->name);
	return g_string_free(text, FALSE);
}

static void add_common_options(GOptionContext *context,
			       struct common_options *o)
{
	const GOptionEntry entries[] = {
		{ "server", 's', 0, G_OPTION_ARG_STRING, &o->servers,
		  "Entry VMs, tried in order", "IP:PORT[,IP:PORT...]" },
		{ "token-file", 't', 0, G_OPTION_ARG_FILENAME, &o->token_file,
		  "File with the bearer token", "FILE" },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &o->timeout_ms,
		  "Timeout of one call in milliseconds", "N" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &o->as_json, "Print JSON",
		  NULL },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &o->show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};

	g_option_context_add_main_entries(context, entries, NULL);
}

static GOptionContext *option_context_new(const struct command_line_spec *spec,
					  const struct subcommand *s,
					  struct common_options *o)
{
	GOptionContext *context;
	char *text;

	if (s) {
		text = g_strdup_printf("%s %s", s->name, s->arguments);
		context = g_option_context_new(text);
		g_option_context_set_summary(context, s->help);
		if (s->details)
			g_option_context_set_description(context, s->details);
		if (s->options)
			g_option_context_add_main_entries(context, s->options,
							  NULL);
	} else {
		text = list_subcommands(spec);
		context = g_option_context_new("COMMAND [ARGUMENTS]");
		g_option_context_set_summary(context, spec->summary);
		g_option_context_set_description(context, text);
	}
	g_free(text);
	add_common_options(context, o);
	return context;
}

static char *read_token(const struct common_options *o)
{
	char *text = NULL;

	if (!o->token_file)
		return g_strdup(g_getenv(TOKEN_VARIABLE));
	if (g_file_get_contents(o->token_file, &text, NULL, NULL))
		g_strstrip(text);
	return text;
}

static int run_subcommand(const struct subcommand *s,
			  const struct common_options *o, int argc, char **argv)
{
	const char *servers =
		o->servers ? o->servers : g_getenv(SERVERS_VARIABLE);
	struct command_context context = { .as_json = o->as_json };
	char *token = read_token(o);
	int code;

	context.servers = g_strsplit(servers ? servers : "", ",", -1);
	context.client = api_client_new((const char *const *)context.servers,
					token, o->timeout_ms);
	code = s->run(&context, argc, argv);
	api_client_free(context.client);
	g_strfreev(context.servers);
	g_free(token);
	return code;
}

/* Returns the first argument that names a subcommand, or NULL. */
static const struct subcommand *
subcommand_from_args(const struct command_line_spec *spec, int argc,
		     char **argv)
{
	for (int i = 1; i < argc; i++) {
		const struct subcommand *s = find_subcommand(spec, argv[i]);

		if (s)
			return s;
	}
	return NULL;
}

int command_line_main(const struct command_line_spec *spec, int argc,
		      char **argv)
{
	const struct subcommand *s = subcommand_from_args(spec, argc, argv);
	struct common_options o = { .timeout_ms = DEFAULT_TIMEOUT_MS };
	GOptionContext *context = option_context_new(spec, s, &o);
	GError *error = NULL;
	int code = EXIT_CODE_USAGE;
	int given_arguments;

	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s: %s\n", spec->name, error->message);
		goto out;
	}
	if (o.show_version) {
		printf("%s %s\n", spec->name, DAEMON_VERSION);
		code = EXIT_CODE_OK;
		goto out;
	}
	given_arguments = argc - 2;
	if (!s || given_arguments < s->min_arguments ||
	    given_arguments > s->max_arguments) {
		char *help = g_option_context_get_help(context, TRUE, NULL);

		fputs(help, stderr);
		g_free(help);
		goto out;
	}
	code = run_subcommand(s, &o, given_arguments, argv + 2);
out:
	g_clear_error(&error);
	g_option_context_free(context);
	g_free(o.servers);
	g_free(o.token_file);
	return code;
}

void command_print_json(json_object *body)
{
	puts(json_object_to_json_string_ext(
		body, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
			      JSON_C_TO_STRING_NOSLASHESCAPE));
}

const char *command_json_string(json_object *object, const char *name,
				const char *fallback)
{
	json_object *value = NULL;

	if (!object || !json_object_object_get_ex(object, name, &value))
		return fallback;
	return json_object_get_string(value);
}

int64_t command_json_int(json_object *object, const char *name)
{
	json_object *value = NULL;

	if (!object || !json_object_object_get_ex(object, name, &value))
		return 0;
	return json_object_get_int64(value);
}

static void print_findings(json_object *body)
{
	json_object *findings = NULL;

	if (!json_object_object_get_ex(body, "findings", &findings))
		return;
	for (size_t i = 0; i < json_object_array_length(findings); i++) {
		json_object *f = json_object_array_get_idx(findings, i);

		fprintf(stderr, "%s: %s (allowed: %s)\n",
			command_json_string(f, "place", ""),
			command_json_string(f, "problem", ""),
			command_json_string(f, "allowed", ""));
	}
}

enum exit_code command_report_failure(const struct api_reply *reply)
{
	if (reply->status != STATUS_OK) {
		fprintf(stderr, "%s: %s\n", status_name(reply->status),
			status_last_message());
		return reply->status == STATUS_UNKNOWN ? EXIT_CODE_UNKNOWN
						       : EXIT_CODE_REFUSED;
	}
	fprintf(stderr, "%s answered %u", reply->address, reply->code);
	if (reply->body)
		fprintf(stderr, ": %s %s %s",
			command_json_string(reply->body, "answer", ""),
			command_json_string(reply->body, "reason", ""),
			command_json_string(reply->body, "message", ""));
	else if (reply->text)
		fprintf(stderr, ": %s", g_strchomp(reply->text));
	fputc('\n', stderr);
	if (reply->body)
		print_findings(reply->body);
	return reply->code == 504 ? EXIT_CODE_UNKNOWN : EXIT_CODE_REFUSED;
}
