/**
 * @file
 * Simulation of membership for tests/explorer.h: members of one failure domain
 * exchange heartbeats, with pauses, restarts and cut, lossy and slow links.
 */
#ifndef TESTS_MEMBER_WORLD_H
#define TESTS_MEMBER_WORLD_H

#include "shared/member_table.h"
#include "tests/explorer.h"

/** Defects to inject into the exchange of member records. */
struct member_defects {
	struct member_rules rules;
	gboolean ignore_views; /**< lost changes are not detected */
};

extern const struct explorer_world member_world;

#endif
