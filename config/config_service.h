/**
 * @file
 * The service "config": keeps the configuration in force in this process up to
 * date. Its version never decreases.
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

/** Where a configuration came from, which decides where it is pushed. */
enum config_origin {
	CONFIG_FROM_STORE,	  /**< read or written here: push to all */
	CONFIG_FROM_SAME_DOMAIN,  /**< push to other failure domains */
	CONFIG_FROM_OTHER_DOMAIN, /**< push in this failure domain */
};

/** Called with the configuration that has come into force. */
typedef void (*config_changed_fn)(const struct config_doc *doc, int64_t version,
				  void *data);

struct service *config_service_new(void);

/**
 * Returns the configuration in force, or NULL before there is one. It has no
 * jobs; config_doc_decode_job() decodes them from the body.
 */
const struct config_doc *config_service_doc(const struct config_service *s);

/** Returns the version in force, 0 before there is one. */
int64_t config_service_version(const struct config_service *s);

/** Returns the body in force, or NULL before there is one; not owned. */
const struct config_body *config_service_body(const struct config_service *s);

/**
 * Puts an accepted configuration in force, if it is newer, and pushes it on.
 *
 * @param body	not taken over
 * @return	as config_version_apply()
 */
enum status config_service_apply(struct config_service *s, int64_t version,
				 json_object *body, enum config_origin origin);

/**
 * Applies a delta to the configuration in force and pushes it on.
 *
 * @param json	the delta as received
 * @return	as config_version_apply_delta()
 */
enum status config_service_apply_delta(struct config_service *s,
				       const struct config_delta *d,
				       json_object *json,
				       enum config_origin origin);

/** Registers a function to call after each change of the configuration. */
void config_service_subscribe(struct config_service *s, config_changed_fn fn,
			      void *data);

#endif
