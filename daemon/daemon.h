/**
 * @file
 * Startup code shared by all daemons: command line, settings, log, kernel. Each
 * daemon is defined by the table of services that it runs.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "base/kernel.h"

#define DAEMON_VERSION "0.1.0"

/** Returns a new service, owned by the kernel that it is registered with. */
typedef struct service *(*service_new_fn)(void);

struct daemon_spec {
	const char *name;    /**< program name */
	const char *summary; /**< one line for --help */
	/**
	 * NULL-terminated; started in this order, after the settings, HTTP and
	 * heap services.
	 */
	const service_new_fn *services;
};

/** Runs a daemon until it is stopped; returns the exit code. */
int daemon_main(const struct daemon_spec *spec, int argc, char **argv);

#endif
