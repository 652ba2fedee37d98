/**
 * @file
 * Simulation of the lease protocol for tests/explorer.h: three candidates for
 * one lease, the table and two workers, with crashes, pauses, outages and lost,
 * delayed and duplicated messages.
 */
#ifndef TESTS_LEASE_WORLD_H
#define TESTS_LEASE_WORLD_H

#include "shared/lease_protocol.h"
#include "tests/explorer.h"

/** Defects to inject into the protocol or the workers. */
struct lease_defects {
	struct lease_rules rules;
	gboolean workers_ignore_epochs; /**< commands of older epochs obeyed */
};

extern const struct explorer_world lease_world;

#endif
