/**
 * @file
 * Runs the acceptance of one configuration: makes its calls to the platform.
 */
#ifndef CONFIG_CONFIG_WRITER_H
#define CONFIG_CONFIG_WRITER_H

#include <json-c/json.h>

#include "config/config_acceptance.h"
#include "store/platform.h"

/**
 * Called once with the outcome, which may be ACCEPTANCE_UNKNOWN. The result is
 * freed and the body released afterwards.
 */
typedef void (*config_writer_fn)(const struct config_acceptance *result,
				 json_object *body, void *data);

/**
 * Starts an acceptance.
 *
 * @param body	a valid configuration, not taken over
 */
void config_writer_start(struct platform *p, int64_t base_version,
			 const char *operator_name, json_object *body,
			 gboolean is_dry_run, config_writer_fn fn, void *data);

#endif
