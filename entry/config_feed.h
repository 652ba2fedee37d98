/**
 * @file
 * The service "config_feed": the configuration of the queues that is in force
 * in this process. Its version only rises.
 */
#ifndef ENTRY_CONFIG_FEED_H
#define ENTRY_CONFIG_FEED_H

#include "base/kernel.h"
#include "sched/fleet_config.h"

#define CONFIG_FEED_SERVICE "config_feed"

struct service *config_feed_new(void);

/** Returns the configuration in force, NULL before there is one. */
const struct fleet_config *config_feed_config(const struct kernel *k);

/** Returns the store's steady clock, 0 before its first answer. */
int64_t config_feed_store_ms(const struct kernel *k);

/** Tells whether the store has answered lately. */
gboolean config_feed_has_contact(const struct kernel *k);

#endif
