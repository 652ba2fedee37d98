#include "sched/fleet_config.h"

#include <string.h>

static void clear_routes(GArray *routes)
{
	for (guint i = 0; routes && i < routes->len; i++) {
		struct queue_route *r =
			&g_array_index(routes, struct queue_route, i);

		g_free(r->name);
		g_free(r->host);
		g_free(r->path_prefix);
		g_free(r->service);
	}
	g_clear_pointer(&routes, g_array_unref);
}

static void clear_services(GArray *services)
{
	for (guint i = 0; services && i < services->len; i++) {
		struct service_config *s =
			&g_array_index(services, struct service_config, i);

		g_free(s->name);
		g_free(s->health_path);
	}
	g_clear_pointer(&services, g_array_unref);
}

static void clear_accounts(GArray *accounts)
{
	for (guint i = 0; accounts && i < accounts->len; i++) {
		struct account_config *a =
			&g_array_index(accounts, struct account_config, i);

		g_free(a->name);
		g_clear_pointer(&a->keys, g_ptr_array_unref);
	}
	g_clear_pointer(&accounts, g_array_unref);
}

void fleet_config_clear(struct fleet_config *c)
{
	clear_routes(c->routes);
	clear_services(c->services);
	clear_accounts(c->accounts);
	*c = (struct fleet_config){ 0 };
}

const struct queue_route *fleet_config_match(const struct fleet_config *c,
					     const char *host, const char *path)
{
	const struct queue_route *best = NULL;

	for (guint i = 0; c->routes && i < c->routes->len; i++) {
		const struct queue_route *r =
			&g_array_index(c->routes, struct queue_route, i);

		if (g_ascii_strcasecmp(r->host, host) != 0 ||
		    !g_str_has_prefix(path, r->path_prefix))
			continue;
		if (!best || strlen(r->path_prefix) > strlen(best->path_prefix))
			best = r;
	}
	return best;
}

const struct queue_route *fleet_config_route(const struct fleet_config *c,
					     const char *name)
{
	for (guint i = 0; c->routes && i < c->routes->len; i++) {
		const struct queue_route *r =
			&g_array_index(c->routes, struct queue_route, i);

		if (g_str_equal(r->name, name))
			return r;
	}
	return NULL;
}

const struct account_config *
fleet_config_account_by_key(const struct fleet_config *c, const char *key)
{
	for (guint i = 0; key && c->accounts && i < c->accounts->len; i++) {
		const struct account_config *a =
			&g_array_index(c->accounts, struct account_config, i);

		for (guint k = 0; a->keys && k < a->keys->len; k++) {
			if (g_str_equal(a->keys->pdata[k], key))
				return a;
		}
	}
	return NULL;
}

int64_t fleet_config_guaranteed(const struct fleet_config *c,
				const char *account)
{
	for (guint i = 0; account && c->accounts && i < c->accounts->len; i++) {
		const struct account_config *a =
			&g_array_index(c->accounts, struct account_config, i);

		if (g_str_equal(a->name, account))
			return a->guaranteed_accelerators;
	}
	return 0;
}
