/**
 * @file
 * The change from one version of the configuration to the next, entity by
 * entity, with a digest of the result. Pure.
 */
#ifndef CONFIG_CONFIG_DELTA_H
#define CONFIG_CONFIG_DELTA_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/schema.h"
#include "base/status.h"

/** What differs in one list of named entities. */
struct config_list_delta {
	char *list;	    /**< member of the configuration */
	json_object *set;   /**< array of entities, added or replaced */
	GPtrArray *removed; /**< of char *, names */
};

/** Body of the frame that spreads a change. */
struct config_delta {
	int64_t base_version;
	int64_t version;
	int64_t format; /**< of the configuration after the change */
	char *digest;	/**< of the body after the change */
	GArray *lists;	/**< of struct config_list_delta */
};

/** Body of the frame that spreads a whole configuration. */
struct config_whole {
	int64_t version;
	json_object *config;
};

/** Body of the frame by which a process asks for what it lacks. */
struct config_request {
	int64_t have_version;
	int64_t wants_whole; /**< changes did not lead there */
};

extern const struct schema config_delta_schema;
extern const struct schema config_whole_schema;
extern const struct schema config_request_schema;

/** Returns a digest of a body that does not depend on the entities' order. */
char *config_digest(json_object *body);

/** Fills a zeroed delta; schema_clear() it. */
void config_delta_make(json_object *base, int64_t base_version,
		       json_object *body, int64_t version,
		       struct config_delta *out);

/**
 * Applies a delta to the body of its base version.
 *
 * @param out	set to a new body on STATUS_OK
 * @return	STATUS_OK, or STATUS_CONFLICT when the result has another digest
 */
enum status config_delta_apply(const struct config_delta *d, json_object *base,
			       json_object **out);

#endif
