/**
 * @file
 * Simulation of configuration changes for tests/explorer.h: operators post
 * conflicting changes through one store, processes poll it and receive pushes,
 * and messages and store calls are lost, delayed and duplicated.
 */
#ifndef TESTS_CONFIG_WORLD_H
#define TESTS_CONFIG_WORLD_H

#include "config/config_acceptance.h"
#include "tests/explorer.h"

/** Defects to inject into the protocol, which the explorer must find. */
struct config_defects {
	gboolean ignore_versions; /**< processes apply older versions too */
	gboolean ignore_base;	  /**< head written without compare-and-set */
};

extern const struct explorer_world config_world;

#endif
