/**
 * @file
 * Spreads configurations over the links: a change is pushed to the domain and
 * over the bridges; who lacks one asks the peer that told of it.
 */
#ifndef CONFIG_CONFIG_SPREAD_H
#define CONFIG_CONFIG_SPREAD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/kernel.h"
#include "config/config_service.h"

struct config_spread;

/** Returns NULL when the process has no links. */
struct config_spread *config_spread_new(struct kernel *k,
					struct config_service *service);
void config_spread_free(struct config_spread *s);

/**
 * Pushes a change.
 *
 * @param json	the same change, encoded
 */
void config_spread_push(struct config_spread *s, enum config_origin origin,
			const struct config_delta *d, json_object *json);

/**
 * Pushes the change from a body to the one in force.
 *
 * @param base	body that was in force before, NULL for none
 */
void config_spread_push_whole(struct config_spread *s,
			      enum config_origin origin,
			      const struct config_body *base,
			      int64_t base_version);

/** Tells whether this process is one of those that poll the table. */
gboolean config_spread_is_poller(const struct config_spread *s);

#endif
