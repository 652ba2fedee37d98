/**
 * @file
 * Shared by the programs that have a settings file: the command line, and
 * running a kernel to its end. Uses no service.
 */
#ifndef DAEMON_PROGRAM_H
#define DAEMON_PROGRAM_H

#include "base/kernel.h"

struct program_options {
	char *settings_file;
	gboolean check_only; /**< check the settings and exit */
};

struct program_spec {
	const char *name;
	const char *summary; /**< one line for --help */
	/** Environment variable with the default settings file, or NULL. */
	const char *settings_variable;
};

/**
 * Parses a command line. Help and the version are printed here.
 *
 * @param o	zeroed; program_options_clear() it in any case
 * @param code	set to the exit code if FALSE is returned
 * @return	TRUE if the program is to load the settings and go on
 */
gboolean program_options_parse(struct program_options *o,
			       const struct program_spec *spec, int argc,
			       char **argv, int *code);

void program_options_clear(struct program_options *o);

/** Runs a kernel, logs its final status and frees it; returns the exit code. */
int program_run(struct kernel *k);

#endif
