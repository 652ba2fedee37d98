#include "daemon/platform_service.h"

#include "daemon/settings_service.h"

struct platform_service {
	struct service base;
	struct platform *platform;
};

static enum status platform_service_start(struct service *base,
					  struct kernel *k)
{
	struct platform_service *s = (struct platform_service *)base;
	const struct settings *settings = settings_of(k);
	struct platform_spec spec = {
		.kind = "http",
		.address = settings->platform,
		.failure_domain = settings->failure_domain,
		.timeout_ms = settings->platform_timeout_ms,
		.counters = kernel_counters(k),
	};

	s->platform = platform_new(&spec);
	return s->platform ? STATUS_OK : STATUS_INVALID;
}

static void platform_service_free(struct service *base)
{
	struct platform_service *s = (struct platform_service *)base;

	if (s->platform)
		platform_free(s->platform);
	g_free(s);
}

static const struct service_class platform_service_class = {
	.name = PLATFORM_SERVICE,
	.start = platform_service_start,
	.free = platform_service_free,
};

struct service *platform_service_new(void)
{
	struct platform_service *s = g_new0(struct platform_service, 1);

	s->base.class = &platform_service_class;
	return &s->base;
}

struct platform *platform_of(const struct kernel *k)
{
	return ((struct platform_service *)kernel_find(k, PLATFORM_SERVICE))
		->platform;
}
