#include "daemon/settings_service.h"

#include "base/util.h"

struct settings_service {
	struct service base;
	const struct settings *settings;
	char *incarnation;
};

static void settings_service_free(struct service *base)
{
	struct settings_service *s = (struct settings_service *)base;

	g_free(s->incarnation);
	g_free(s);
}

static const struct service_class settings_service_class = {
	.name = SETTINGS_SERVICE,
	.free = settings_service_free,
};

struct service *settings_service_new(const struct settings *settings)
{
	struct settings_service *s = g_new0(struct settings_service, 1);

	s->base.class = &settings_service_class;
	s->settings = settings;
	s->incarnation = util_random_id();
	return &s->base;
}

static const struct settings_service *find(const struct kernel *k)
{
	return (struct settings_service *)kernel_find(k, SETTINGS_SERVICE);
}

const struct settings *settings_of(const struct kernel *k)
{
	return find(k)->settings;
}

const char *incarnation_of(const struct kernel *k)
{
	return find(k)->incarnation;
}
