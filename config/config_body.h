/**
 * @file
 * Body of an accepted configuration: its entities as compact JSON text, each
 * with a digest, in the order of the lists. Bodies are immutable; a body made
 * by applying a delta shares the unchanged entities with its base.
 */
#ifndef CONFIG_CONFIG_BODY_H
#define CONFIG_CONFIG_BODY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** Lists of named entities in a configuration. */
enum config_list {
	CONFIG_LIST_SERVICES,
	CONFIG_LIST_ACCOUNTS,
	CONFIG_LIST_JOBS,
	CONFIG_LIST_COUNT,
};

/** Names of the lists in the JSON form. */
extern const char *const config_list_names[CONFIG_LIST_COUNT];

struct config_body;

/** One entity, shared by all bodies that contain it. */
struct config_entity {
	gint ref_count;
	uint8_t digest[32];
	const char *name; /**< in the same buffer as text, after it */
	char text[];	  /**< compact JSON, NUL-terminated */
};

/** Returns the enum config_list value of a list's name, or -1. */
int config_list_index(const char *name);

/** Returns the name of an entity, or "" if it has none. */
const char *config_entity_name(json_object *entity);

/**
 * Returns a new body; release it by config_body_unref().
 *
 * @param json	a valid configuration, not taken over
 */
struct config_body *config_body_new(json_object *json);
/** Returns a new body without entities. */
struct config_body *config_body_new_empty(int64_t format);

/** Adds a reference and returns the body; @b may be NULL. */
struct config_body *config_body_ref(struct config_body *b);
/** Releases a reference; @b may be NULL. */
void config_body_unref(struct config_body *b);

/** Encodes the whole configuration; free with json_object_put(). */
json_object *config_body_encode(const struct config_body *b);

/** Returns the format number of the configuration. */
int64_t config_body_format(const struct config_body *b);

/**
 * Returns a digest of the body in hexadecimal, independent of the order of the
 * entities; free it with g_free().
 */
char *config_body_digest(const struct config_body *b);

/** Returns the number of entities in a list; 0 if @b is NULL. */
guint config_body_count(const struct config_body *b, guint list);
const struct config_entity *config_body_get(const struct config_body *b,
					    guint list, guint index);
/** Returns the entity with a name, or NULL; @b may be NULL. */
const struct config_entity *config_body_find(const struct config_body *b,
					     guint list, const char *name);

/**
 * Adds an entity to a body under construction, which must not have one of that
 * name yet.
 *
 * @param entity	not taken over
 */
void config_body_add(struct config_body *b, guint list, json_object *entity);
/** As config_body_add(), with an entity shared with another body. */
void config_body_add_shared(struct config_body *b, guint list,
			    const struct config_entity *e);

#endif
