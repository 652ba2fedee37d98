/*
 * The program of an entry VM: takes jobs of callers, and schedules the pool
 * while it holds the pool's lease.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/util.h"
#include "daemon/daemon.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/entry_settings.h"
#include "entry/entry_store.h"
#include "entry/frontend.h"
#include "entry/pool_holder.h"

#define PROGRAM "csentryd"
/* The file may change without a signal. */
#define LOOK_AT_FILE_MS 2000
#define SETTINGS_VARIABLE "CORIANDERSTEP_SETTINGS"

static const service_new_fn services[] = {
	config_feed_new,
	election_new,
	pool_holder_new,
	frontend_new,
};

struct options {
	char *settings_file;
	gboolean check_only;
	gboolean show_version;
};

static gboolean parse_options(int argc, char **argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &o->settings_file,
		  "Settings file, JSON with comments (default: the file that "
		  "the variable " SETTINGS_VARIABLE " names)",
		  "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &o->check_only,
		  "Check the settings and exit", NULL },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &o->show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(
		context, "Takes jobs, and schedules the pool when elected.");
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	if (!is_good) {
		fprintf(stderr, PROGRAM ": %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return is_good;
}

static gboolean load_settings(struct entry_settings *s, const char *file_name)
{
	struct finding_list findings;
	gboolean is_good;
	char *text;

	finding_list_init(&findings);
	is_good = entry_settings_load(s, file_name, &findings);
	text = finding_list_text(&findings);
	fputs(text, stderr);
	g_free(text);
	finding_list_clear(&findings);
	return is_good;
}

/* The settings in force and the file that they came from. */
struct settings_source {
	struct entry_settings *settings;
	const char *file_name;
	int64_t changed_s; /* of the file */
};

static int64_t file_changed_s(const char *file_name)
{
	GStatBuf info;

	return g_stat(file_name, &info) == 0 ? (int64_t)info.st_mtime : 0;
}

static void on_reload(void *data)
{
	struct settings_source *source = data;
	struct entry_settings fresh = { 0 };
	gboolean is_good = load_settings(&fresh, source->file_name);
	struct log_line line;

	source->changed_s = file_changed_s(source->file_name);
	if (is_good) {
		struct entry_settings old = *source->settings;

		*source->settings = fresh;
		fresh = old;
	}
	entry_settings_clear(&fresh);
	log_begin(&line, is_good ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR, "reload");
	log_str(&line, "outcome", is_good ? "in force" : "refused");
	log_int(&line, "file_changed_s", source->changed_s);
	log_end(&line);
}

static gboolean on_look_at_file(gpointer data)
{
	struct settings_source *source = data;

	if (file_changed_s(source->file_name) != source->changed_s)
		on_reload(source);
	return G_SOURCE_CONTINUE;
}

static int run(struct entry_settings *s, const char *file_name)
{
	struct settings_source source = {
		.settings = s,
		.file_name = file_name,
		.changed_s = file_changed_s(file_name),
	};

	struct kernel *k = kernel_new((int64_t)(s->bounds.grace_s * MS_PER_S));
	enum status status;
	struct log_line line;
	guint look;

	log_open_output(s->node, LOG_LEVEL_INFO);
	kernel_on_reload(k, on_reload, &source);
	look = g_timeout_add(LOOK_AT_FILE_MS, on_look_at_file, &source);
	kernel_register(k, entry_store_new(s));
	for (guint i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_register(k, services[i]());
	log_begin(&line, LOG_LEVEL_INFO, "start");
	log_str(&line, "program", PROGRAM);
	log_str(&line, "version", DAEMON_VERSION);
	log_str(&line, "failure_domain", s->failure_domain);
	log_end(&line);
	status = kernel_run(k);
	g_source_remove(look);
	log_begin(&line, LOG_LEVEL_INFO, "stop");
	log_str(&line, "status", status_name(status));
	if (status != STATUS_OK)
		log_str(&line, "message", status_last_message());
	log_end(&line);
	kernel_free(k);
	log_close();
	return status == STATUS_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}

int main(int argc, char **argv)
{
	const char *file_name = g_getenv(SETTINGS_VARIABLE);
	struct entry_settings s = { 0 };
	struct options o = { 0 };
	int code = EXIT_FAILURE;

	if (!parse_options(argc, argv, &o))
		goto out;
	if (o.show_version) {
		printf(PROGRAM " " DAEMON_VERSION "\n");
		code = EXIT_SUCCESS;
		goto out;
	}
	if (o.settings_file)
		file_name = o.settings_file;
	if (!file_name) {
		fprintf(stderr, PROGRAM ": --settings is missing\n");
		goto out;
	}
	if (!load_settings(&s, file_name))
		goto out;
	code = o.check_only ? EXIT_SUCCESS : run(&s, file_name);
out:
	entry_settings_clear(&s);
	g_free(o.settings_file);
	return code;
}
