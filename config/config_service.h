/**
 * @file
 * The service "config": the configuration in force in this process. Versions
 * only rise.
 */
#ifndef CONFIG_CONFIG_SERVICE_H
#define CONFIG_CONFIG_SERVICE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/kernel.h"
#include "base/status.h"
#include "config/config_body.h"
#include "config/config_delta.h"
#include "config/config_doc.h"

#define CONFIG_SERVICE "config"

struct config_service;

/** How a configuration came to this process. */
enum config_origin {
	CONFIG_FROM_STORE, /**< read or written here: to domain and bridges */
	CONFIG_FROM_NEAR,  /**< from this domain: to the bridges */
	CONFIG_FROM_FAR,   /**< over a bridge: to the domain */
};

typedef void (*config_fn)(const struct config_doc *doc, int64_t version,
			  void *data);

struct service *config_service_new(void);

/**
 * Returns the configuration in force, or NULL before there is one. It is
 * without jobs, which config_doc_named_job() takes from the body.
 */
const struct config_doc *config_service_doc(const struct config_service *s);

/** Returns the version in force, 0 before there is one. */
int64_t config_service_version(const struct config_service *s);

/** Returns the body in force, or NULL; not owned. */
const struct config_body *config_service_body(const struct config_service *s);

/**
 * Puts an accepted configuration in force, if it is newer, and passes it on.
 *
 * @param body		not taken over
 * @param origin	where it came from, which decides where it goes
 */
enum status config_service_offer(struct config_service *s, int64_t version,
				 json_object *body, enum config_origin origin);

/**
 * Puts the change of the version in force into force and passes it on.
 *
 * @param json	the change as it came
 * @return	as config_version_offer_delta()
 */
enum status config_service_offer_delta(struct config_service *s,
				       const struct config_delta *d,
				       json_object *json,
				       enum config_origin origin);

/** Registers a function to be called after each change. */
void config_service_subscribe(struct config_service *s, config_fn fn,
			      void *data);

#endif
