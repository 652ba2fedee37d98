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
#include "config/config_body.h"

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

/** What a change does to one list, by names; all belongs to the delta. */
struct config_list_change {
	json_object *entities; /**< array of those added or replaced, or NULL */
	GHashTable *set;       /**< the same by name */
	GHashTable *removed;   /**< set of names */
};

void config_list_change_init(struct config_list_change *c,
			     const struct config_delta *d, guint list);
void config_list_change_clear(struct config_list_change *c);
size_t config_list_change_count(const struct config_list_change *c);

/**
 * Fills a zeroed delta; schema_clear() it.
 *
 * @param base	may be NULL
 */
void config_delta_make(const struct config_body *base, int64_t base_version,
		       const struct config_body *body, int64_t version,
		       struct config_delta *out);

/**
 * Applies a delta to the body of its base version, which may be NULL.
 *
 * @param out	set to a new body on STATUS_OK
 * @return	STATUS_OK, or STATUS_CONFLICT when the result has another digest
 */
enum status config_delta_apply(const struct config_delta *d,
			       const struct config_body *base,
			       struct config_body **out);

/** Tells whether a delta has so many entities that it is not kept for peers. */
gboolean config_delta_is_large(const struct config_delta *d);

/** Returns the digest of the body that a delta leads to; free it. */
char *config_delta_digest(const struct config_delta *d,
			  const struct config_body *base);

#endif
