/**
 * @file
 * The real client of a platform and the platform's stand-in, for a test.
 */
#ifndef TESTS_PLATFORM_FIXTURE_H
#define TESTS_PLATFORM_FIXTURE_H

#include "store/platform.h"
#include "tests/cluster.h"

/** Of each call, so that slow answers end soon. */
#define PLATFORM_FIXTURE_TIMEOUT_MS INT64_C(300)

struct platform_fixture {
	struct cluster *cluster;
	char *address;
	struct counters counters;
	struct platform *platform;
};

/** As GLib's tests call them; @data is not used. */
void platform_fixture_set_up(struct platform_fixture *f, gconstpointer data);
void platform_fixture_tear_down(struct platform_fixture *f, gconstpointer data);

#endif
