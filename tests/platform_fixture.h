/**
 * @file
 * Test fixture: the real platform client connected to a platform stand-in.
 */
#ifndef TESTS_PLATFORM_FIXTURE_H
#define TESTS_PLATFORM_FIXTURE_H

#include "store/platform.h"
#include "tests/cluster.h"

/** Timeout of each call; short, so that tests of slow answers end soon. */
#define PLATFORM_FIXTURE_TIMEOUT_MS INT64_C(300)

struct platform_fixture {
	struct cluster *cluster;
	char *address;
	struct counters counters;
	struct platform *platform;
};

/** Signatures of GLib's fixture functions; @data is unused. */
void platform_fixture_set_up(struct platform_fixture *f, gconstpointer data);
void platform_fixture_tear_down(struct platform_fixture *f, gconstpointer data);

#endif
