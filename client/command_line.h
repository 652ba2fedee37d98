/**
 * @file
 * Command lines with subcommands, shared by the command-line programs: common
 * options, a table of subcommands and their help.
 */
#ifndef CLIENT_COMMAND_LINE_H
#define CLIENT_COMMAND_LINE_H

#include <glib.h>

#include "client/api_client.h"

/** Exit codes, for scripts. */
enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_REFUSED = 1, /**< refused, failed without effect, findings */
	EXIT_CODE_USAGE = 2,
	EXIT_CODE_UNKNOWN = 3, /**< the call may have taken effect */
};

/** Client and common options that a subcommand runs with. */
struct command_context {
	struct api_client *client;
	char **servers;	  /**< "IP:PORT", NULL-terminated */
	gboolean as_json; /**< print JSON instead of text */
};

struct subcommand {
	const char *name;
	const char *arguments;	     /**< usage text, such as "FILE" */
	const char *help;	     /**< one-line summary */
	const char *details;	     /**< end of its --help, or NULL */
	const GOptionEntry *options; /**< may be NULL */
	int min_arguments;
	int max_arguments;
	enum exit_code (*run)(struct command_context *context, int argc,
			      char **argv);
};

struct command_line_spec {
	const char *name;
	const char *summary;
	const struct subcommand *subcommands; /**< terminated by a NULL name */
};

/** Parses a command line and runs its subcommand; returns the exit code. */
int command_line_main(const struct command_line_spec *spec, int argc,
		      char **argv);

/** Prints a reply's body as indented JSON on standard output. */
void command_print_json(json_object *body);

/**
 * Prints on standard error why a call failed.
 *
 * @return	the exit code for the failure
 */
enum exit_code command_report_failure(const struct api_reply *reply);

/** Returns a string member of an object, or @fallback if it is missing. */
const char *command_json_string(json_object *object, const char *name,
				const char *fallback);

/** Returns an integer member of an object, or 0 if it is missing. */
int64_t command_json_int(json_object *object, const char *name);

#endif
