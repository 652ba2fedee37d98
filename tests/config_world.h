/**
 * @file
 * Operators who race, a store, and processes that poll and push to each other,
 * among faults.
 */
#ifndef TESTS_CONFIG_WORLD_H
#define TESTS_CONFIG_WORLD_H

#include "config/config_acceptance.h"
#include "tests/explorer.h"

/** A fault planted into the protocol. */
struct config_plant {
	gboolean ignore_versions; /**< any offered version is taken */
	gboolean ignore_base;	  /**< the head is written whatever it is */
};

extern const struct explorer_world config_world;

#endif
