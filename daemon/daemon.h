/**
 * @file
 * What the system's daemons share: command line, settings, logs, kernel. A
 * daemon is a table of the services that it runs.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "base/kernel.h"

#define DAEMON_VERSION "0.1.0"

/** Makes one service of a daemon. */
typedef struct service *(*service_new_fn)(void);

struct daemon_spec {
	const char *name;    /**< of the program */
	const char *summary; /**< one line for --help */
	/** Started in this order, after settings and http; ends with NULL. */
	const service_new_fn *services;
};

/** Runs a daemon until it is told to stop; returns its exit code. */
int daemon_main(const struct daemon_spec *spec, int argc, char **argv);

#endif
