/**
 * @file
 * Candidates for one lease, a table and two workers, among faults.
 */
#ifndef TESTS_LEASE_WORLD_H
#define TESTS_LEASE_WORLD_H

#include "shared/lease_protocol.h"
#include "tests/explorer.h"

/** A fault planted into the protocol or the worker. */
struct lease_plant {
	struct lease_rules rules;
	gboolean workers_ignore_epochs;
};

extern const struct explorer_world lease_world;

#endif
