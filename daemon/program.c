#include "daemon/program.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "daemon/daemon.h"

static char *settings_help(const struct program_spec *spec)
{
	if (!spec->settings_variable)
		return g_strdup("Settings file, JSON with comments");
	return g_strdup_printf("Settings file, JSON with comments (default: "
			       "the file that the variable %s names)",
			       spec->settings_variable);
}

gboolean program_options_parse(struct program_options *o,
			       const struct program_spec *spec, int argc,
			       char **argv, int *code)
{
	char *help = settings_help(spec);
	gboolean show_version = FALSE;
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings_file,
		  help, "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &o->check_only,
		  "Check the settings and exit", NULL },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(context, spec->summary);
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	g_free(help);
	*code = EXIT_FAILURE;
	if (!is_good) {
		fprintf(stderr, "%s: %s\n", spec->name, error->message);
		g_error_free(error);
		return FALSE;
	}
	if (show_version) {
		printf("%s %s\n", spec->name, DAEMON_VERSION);
		*code = EXIT_SUCCESS;
		return FALSE;
	}
	if (!o->settings_file && spec->settings_variable)
		o->settings_file = g_strdup(g_getenv(spec->settings_variable));
	if (!o->settings_file)
		fprintf(stderr, "%s: --settings is missing\n", spec->name);
	return o->settings_file != NULL;
}

void program_options_clear(struct program_options *o)
{
	g_free(o->settings_file);
}

int program_run(struct kernel *k)
{
	enum status status = kernel_run(k);
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "stop");
	log_str(&line, "status", status_name(status));
	if (status != STATUS_OK)
		log_str(&line, "message", status_last_message());
	log_end(&line);
	kernel_free(k);
	log_close();
	return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
