#include "daemon/platform_service.h"

#include "base/util.h"
#include "daemon/settings_service.h"

struct platform_service {
	struct service base;
	struct platform *platform;
	struct vm_reader *vms;
	guint vm_timer;
};

static gboolean on_vm_timer(gpointer data)
{
	struct platform_service *s = data;

	vm_reader_step(s->vms, util_monotonic_ms());
	return G_SOURCE_CONTINUE;
}

static void start_reader(struct platform_service *s, struct kernel *k)
{
	struct vm_reader_spec spec = {
		.platform = s->platform,
		.failure_domain = settings_of(k)->failure_domain,
		.counters = kernel_counters(k),
		.seed = g_random_int(),
	};

	s->vms = vm_reader_new(&spec);
	s->vm_timer = g_timeout_add(VM_READER_STEP_MS, on_vm_timer, s);
	on_vm_timer(s);
}

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
	if (!s->platform)
		return STATUS_INVALID;
	start_reader(s, k);
	return STATUS_OK;
}

static void platform_service_free(struct service *base)
{
	struct platform_service *s = (struct platform_service *)base;

	if (s->vm_timer)
		g_source_remove(s->vm_timer);
	if (s->vms)
		vm_reader_free(s->vms);
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

static struct platform_service *service_of(const struct kernel *k)
{
	return (struct platform_service *)kernel_find(k, PLATFORM_SERVICE);
}

struct platform *platform_of(const struct kernel *k)
{
	return service_of(k)->platform;
}

struct vm_reader *vm_reader_of(const struct kernel *k)
{
	return service_of(k)->vms;
}
