/**
 * @file
 * Members of one failure domain that send each other heartbeats, among faults.
 */
#ifndef TESTS_MEMBER_WORLD_H
#define TESTS_MEMBER_WORLD_H

#include "shared/member_table.h"
#include "tests/explorer.h"

/** A fault planted into what members tell each other. */
struct member_plant {
	struct member_rules rules;
	gboolean ignore_views; /**< lost changes are not looked for */
};

extern const struct explorer_world member_world;

#endif
