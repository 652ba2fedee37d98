/*
 * Daemon of an entry VM: accepts callers' jobs, and schedules the pool while it
 * holds the pool's lease.
 */
#include <glib/gstdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/util.h"
#include "daemon/daemon.h"
#include "daemon/heap_service.h"
#include "daemon/program.h"
#include "entry/delegate.h"
#include "entry/config_feed.h"
#include "entry/election.h"
#include "entry/entry_settings.h"
#include "entry/entry_store.h"
#include "entry/forwarder.h"
#include "entry/frontend.h"
#include "entry/pool_holder.h"

#define PROGRAM "csentryd"
/* The settings file may change without a reload signal. */
#define SETTINGS_POLL_MS 2000
#define SETTINGS_VARIABLE "CORIANDERSTEP_SETTINGS"

static const service_new_fn services[] = {
	config_feed_new, election_new,	delegate_new,
	pool_holder_new, forwarder_new, frontend_new,
};

static gboolean load_settings(struct entry_settings *s, const char *file_name)
{
	struct finding_list findings;
	gboolean is_good;

	finding_list_init(&findings);
	is_good = entry_settings_load(s, file_name, &findings);
	finding_list_print(&findings);
	finding_list_clear(&findings);
	return is_good;
}

/* The settings in force and the file they were loaded from. */
struct settings_source {
	struct entry_settings *settings;
	const char *file_name;
	int64_t mtime_s; /* modification time when last loaded, 0 if unknown */
};

static int64_t file_mtime_s(const char *file_name)
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

	source->mtime_s = file_mtime_s(source->file_name);
	if (is_good) {
		struct entry_settings old = *source->settings;

		process_limits_apply(&fresh.limits);
		*source->settings = fresh;
		fresh = old;
	}
	entry_settings_clear(&fresh);
	log_begin(&line, is_good ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR, "reload");
	log_str(&line, "outcome", is_good ? "in force" : "refused");
	log_int(&line, "file_changed_s", source->mtime_s);
	log_end(&line);
}

static gboolean on_settings_poll(gpointer data)
{
	struct settings_source *source = data;

	if (file_mtime_s(source->file_name) != source->mtime_s)
		on_reload(source);
	return G_SOURCE_CONTINUE;
}

static int run(struct entry_settings *s, const char *file_name)
{
	struct settings_source source = {
		.settings = s,
		.file_name = file_name,
		.mtime_s = file_mtime_s(file_name),
	};
	struct kernel *k = kernel_new((int64_t)(s->bounds.grace_s * MS_PER_S));
	struct log_line line;
	guint poll_id;
	int code;

	log_open_stdout(s->node, LOG_LEVEL_INFO);
	process_limits_apply(&s->limits);
	kernel_set_reload_handler(k, on_reload, &source);
	poll_id = g_timeout_add(SETTINGS_POLL_MS, on_settings_poll, &source);
	kernel_register(k, entry_store_new(s));
	kernel_register(k, heap_service_new());
	for (guint i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_register(k, services[i]());
	log_begin(&line, LOG_LEVEL_INFO, "start");
	log_str(&line, "program", PROGRAM);
	log_str(&line, "version", DAEMON_VERSION);
	log_str(&line, "failure_domain", s->failure_domain);
	log_end(&line);
	code = program_run(k);
	g_source_remove(poll_id);
	return code;
}

int main(int argc, char **argv)
{
	const struct program_spec spec = {
		.name = PROGRAM,
		.summary =
			"Accepts jobs, and schedules the pool while elected.",
		.settings_variable = SETTINGS_VARIABLE,
	};
	struct program_options o = { 0 };
	struct entry_settings s = { 0 };
	int code;

	if (!program_options_parse(&o, &spec, argc, argv, &code))
		goto out;
	code = EXIT_FAILURE;
	if (!load_settings(&s, o.settings_file))
		goto out;
	code = o.check_only ? EXIT_SUCCESS : run(&s, o.settings_file);
out:
	entry_settings_clear(&s);
	program_options_clear(&o);
	return code;
}
