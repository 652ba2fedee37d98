#include "daemon/daemon.h"

#include <glib.h>
#include <stdlib.h>

#include "base/log.h"
#include "config/settings.h"
#include "daemon/heap_service.h"
#include "daemon/http_service.h"
#include "daemon/program.h"
#include "daemon/settings_service.h"

static gboolean load_settings(struct settings *s, const char *file_name)
{
	struct finding_list findings;
	gboolean is_good;

	finding_list_init(&findings);
	is_good = settings_load(s, file_name, &findings);
	finding_list_print(&findings);
	finding_list_clear(&findings);
	return is_good;
}

static int run(const struct daemon_spec *spec, struct settings *s)
{
	struct kernel *k = kernel_new(s->drain_timeout_ms);
	struct log_line line;

	log_open(s->node, (enum log_level)s->log_level);
	process_limits_apply(&s->limits);
	kernel_register(k, settings_service_new(s));
	kernel_register(k, http_service_new());
	kernel_register(k, heap_service_new());
	for (const service_new_fn *fn = spec->services; *fn; fn++)
		kernel_register(k, (*fn)());
	log_begin(&line, LOG_LEVEL_INFO, "start");
	log_str(&line, "program", spec->name);
	log_end(&line);
	return program_run(k);
}

int daemon_main(const struct daemon_spec *spec, int argc, char **argv)
{
	const struct program_spec program = {
		.name = spec->name,
		.summary = spec->summary,
	};
	struct program_options o = { 0 };
	struct settings s = { 0 };
	int code;

	if (!program_options_parse(&o, &program, argc, argv, &code))
		goto out;
	code = EXIT_FAILURE;
	if (!load_settings(&s, o.settings_file))
		goto out;
	code = o.check_only ? EXIT_SUCCESS : run(spec, &s);
out:
	settings_clear(&s);
	program_options_clear(&o);
	return code;
}
