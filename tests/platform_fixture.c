#include "tests/platform_fixture.h"

void platform_fixture_set_up(struct platform_fixture *f, gconstpointer data)
{
	struct cluster_process *p;
	struct platform_spec spec = {
		.kind = "http",
		.failure_domain = "tov-a",
		.timeout_ms = PLATFORM_FIXTURE_TIMEOUT_MS,
		.counters = &f->counters,
	};

	f->cluster = cluster_new();
	p = cluster_spawn(f->cluster, "cs-standin-platform", "platform", NULL);
	f->address = cluster_listen_address(p, 0);
	counters_init(&f->counters);
	spec.address = f->address;
	f->platform = platform_new(&spec);
	g_assert_nonnull(f->platform);
}

void platform_fixture_tear_down(struct platform_fixture *f, gconstpointer data)
{
	platform_free(f->platform);
	counters_clear(&f->counters);
	g_free(f->address);
	cluster_free(f->cluster);
}
