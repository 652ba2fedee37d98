/**
 * @file
 * The service "config_feed": follows the queue configuration in the store and
 * keeps the newest valid version. The version in force never decreases.
 */
#ifndef ENTRY_CONFIG_FEED_H
#define ENTRY_CONFIG_FEED_H

#include "base/kernel.h"
#include "sched/fleet_config.h"

#define CONFIG_FEED_SERVICE "config_feed"

struct service *config_feed_new(void);

/** Returns the configuration in force, NULL until one has been read. */
const struct fleet_config *config_feed_config(const struct kernel *k);

/** Returns the store's steady clock now, 0 before the first answer. */
int64_t config_feed_store_clock_ms(const struct kernel *k);

/** Returns TRUE if the store has answered a recent call of the feed. */
gboolean config_feed_is_store_reachable(const struct kernel *k);

#endif
