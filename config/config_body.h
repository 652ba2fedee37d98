/**
 * @file
 * The body of a configuration as accepted: its entities as compact text, each
 * with its digest, in the order of the lists. Bodies never change; one that
 * follows another by a change shares the entities that stay.
 */
#ifndef CONFIG_CONFIG_BODY_H
#define CONFIG_CONFIG_BODY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** Lists of named entities. */
enum config_list {
	CONFIG_LIST_SERVICES,
	CONFIG_LIST_ACCOUNTS,
	CONFIG_LIST_JOBS,
	CONFIG_LIST_COUNT,
};

extern const char *const config_list_names[CONFIG_LIST_COUNT];

struct config_body;

/** One entity. */
struct config_entity {
	gint references;
	uint8_t digest[32];
	const char *name; /**< within text, behind the entity */
	char text[];	  /**< plain JSON */
};

/** Returns the index of a list's name, or -1. */
int config_list_index(const char *name);

/** Returns the name of an entity, "" without one. */
const char *config_entity_name(json_object *entity);

/**
 * Returns a new body of a sound configuration; config_body_unref() it.
 *
 * @param json	not taken over
 */
struct config_body *config_body_new(json_object *json);
/** Returns a new body without entities. */
struct config_body *config_body_new_empty(int64_t format);

/** Takes a reference; @b may be NULL. */
struct config_body *config_body_ref(struct config_body *b);
void config_body_unref(struct config_body *b);

/** Encodes the whole of it; free with json_object_put(). */
json_object *config_body_encode(const struct config_body *b);

int64_t config_body_format(const struct config_body *b);

/**
 * Returns a digest, in hexadecimal, that does not depend on the order of the
 * entities; free it.
 */
char *config_body_digest(const struct config_body *b);

/** Returns the number of a list's entities; 0 for a body of NULL. */
guint config_body_count(const struct config_body *b, guint list);
const struct config_entity *config_body_get(const struct config_body *b,
					    guint list, guint index);
/** Returns an entity by its name, or NULL; @b may be NULL. */
const struct config_entity *config_body_find(const struct config_body *b,
					     guint list, const char *name);

/**
 * Adds an entity while a body is being made; one of that name must not be in
 * it yet.
 */
void config_body_add(struct config_body *b, guint list, json_object *entity);
/** The same with an entity of another body, which is shared. */
void config_body_share(struct config_body *b, guint list,
		       const struct config_entity *e);

#endif
