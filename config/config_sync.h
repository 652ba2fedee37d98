/**
 * @file
 * Distributes configurations over the links: a delta is pushed to the peers in
 * this failure domain and in others. A process that lacks a version asks the
 * peer that announced it.
 */
#ifndef CONFIG_CONFIG_SYNC_H
#define CONFIG_CONFIG_SYNC_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/kernel.h"
#include "config/config_service.h"

struct config_sync;

/** Returns NULL when the process has no links. */
struct config_sync *config_sync_new(struct kernel *k,
				    struct config_service *service);
void config_sync_free(struct config_sync *s);

/**
 * Pushes a delta that was applied, and keeps it for later requests by peers.
 *
 * @param json	the same delta, encoded
 */
void config_sync_push_delta(struct config_sync *s, enum config_origin origin,
			    const struct config_delta *d, json_object *json);

/**
 * Pushes the delta from an earlier body to the one in force.
 *
 * @param base	body that was in force before, NULL for none
 */
void config_sync_push_since(struct config_sync *s, enum config_origin origin,
			    const struct config_body *base,
			    int64_t base_version);

/** Returns TRUE if this process polls the head for its failure domain. */
gboolean config_sync_is_poller(const struct config_sync *s);

#endif
