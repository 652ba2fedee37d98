/**
 * @file
 * HTTP routes of /v1/config, by which operators read and apply configurations.
 */
#ifndef CONFIG_CONFIG_ROUTES_H
#define CONFIG_CONFIG_ROUTES_H

#include "base/kernel.h"
#include "config/config_service.h"

struct config_routes;

/** Adds the routes to the process's HTTP server. */
struct config_routes *config_routes_new(struct kernel *k,
					struct config_service *service);
void config_routes_free(struct config_routes *r);

#endif
