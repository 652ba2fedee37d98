#include "daemon/daemon.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/settings.h"
#include "daemon/heap_service.h"
#include "daemon/http_service.h"
#include "daemon/settings_service.h"

struct options {
	char *settings_file;
	gboolean check_only;
	gboolean show_version;
};

static gboolean parse_options(const struct daemon_spec *spec, int argc,
			      char **argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings_file,
		  "Settings file, JSON with comments", "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &o->check_only,
		  "Check the settings and exit", NULL },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &o->show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(context, spec->summary);
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	if (!is_good) {
		fprintf(stderr, "%s: %s\n", spec->name, error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return is_good;
}

static gboolean load_settings(const struct daemon_spec *spec,
			      struct settings *s, const char *file_name)
{
	struct finding_list findings;
	gboolean is_good;
	char *text;

	finding_list_init(&findings);
	is_good = settings_load(s, file_name, &findings);
	text = finding_list_text(&findings);
	fputs(text, stderr);
	g_free(text);
	finding_list_clear(&findings);
	return is_good;
}

static int run(const struct daemon_spec *spec, const struct settings *s)
{
	struct kernel *k = kernel_new(s->drain_timeout_ms);
	enum status status;
	struct log_line line;

	log_open(s->node, (enum log_level)s->log_level);
	kernel_register(k, settings_service_new(s));
	kernel_register(k, http_service_new());
	kernel_register(k, heap_service_new());
	for (const service_new_fn *fn = spec->services; *fn; fn++)
		kernel_register(k, (*fn)());
	log_begin(&line, LOG_LEVEL_INFO, "start");
	log_str(&line, "program", spec->name);
	log_end(&line);
	status = kernel_run(k);
	log_begin(&line, LOG_LEVEL_INFO, "stop");
	log_str(&line, "status", status_name(status));
	if (status != STATUS_OK)
		log_str(&line, "message", status_last_message());
	log_end(&line);
	kernel_free(k);
	log_close();
	return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

int daemon_main(const struct daemon_spec *spec, int argc, char **argv)
{
	struct options o = { 0 };
	struct settings s = { 0 };
	int code = EXIT_FAILURE;

	if (!parse_options(spec, argc, argv, &o))
		goto out;
	if (o.show_version) {
		printf("%s %s\n", spec->name, DAEMON_VERSION);
		code = EXIT_SUCCESS;
		goto out;
	}
	if (!o.settings_file) {
		fprintf(stderr, "%s: --settings is missing\n", spec->name);
		goto out;
	}
	if (!load_settings(spec, &s, o.settings_file))
		goto out;
	code = o.check_only ? EXIT_SUCCESS : run(spec, &s);
out:
	settings_clear(&s);
	g_free(o.settings_file);
	return code;
}
