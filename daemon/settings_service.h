/**
 * @file
 * The service "settings": the settings of this process and its incarnation.
 */
#ifndef DAEMON_SETTINGS_SERVICE_H
#define DAEMON_SETTINGS_SERVICE_H

#include "base/kernel.h"
#include "config/settings.h"

#define SETTINGS_SERVICE "settings"

/** @param settings	not owned, outlives the service */
struct service *settings_service_new(const struct settings *settings);

/** Returns the settings of the process. */
const struct settings *settings_of(const struct kernel *k);

/** Returns the random id that this process drew when it started. */
const char *incarnation_of(const struct kernel *k);

#endif
