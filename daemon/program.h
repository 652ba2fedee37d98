/**
 * @file
 * What programs with a settings file share: their command line, and the end of
 * a run. It needs no service.
 */
#ifndef DAEMON_PROGRAM_H
#define DAEMON_PROGRAM_H

#include "base/kernel.h"

struct program_options {
	char *settings_file;
	gboolean check_only; /**< the settings are checked, nothing runs */
};

struct program_spec {
	const char *name;
	const char *summary; /**< one line for --help */
	/** Environment variable that may name the settings file, or NULL. */
	const char *settings_variable;
};

/**
 * Parses a command line. Help and the version are printed here.
 *
 * @param o	zeroed; program_options_clear() it in any case
 * @param code	set to the exit code when there is nothing to run
 * @return	TRUE when the settings are to be loaded
 */
gboolean program_options_parse(struct program_options *o,
			       const struct program_spec *spec, int argc,
			       char **argv, int *code);

void program_options_clear(struct program_options *o);

/** Runs a kernel, logs its end, frees it; returns the exit code. */
int program_run(struct kernel *k);

#endif
