/**
 * @file
 * Delta from one version of the configuration to a later one: entities added,
 * replaced and removed, with a digest of the resulting body. Performs no I/O.
 */
#ifndef CONFIG_CONFIG_DELTA_H
#define CONFIG_CONFIG_DELTA_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/schema.h"
#include "base/status.h"
#include "config/config_body.h"

/** Difference in one list of named entities, as sent to other processes. */
struct config_list_delta {
	char *list;	    /**< name of the list in the configuration */
	json_object *set;   /**< array of the entities added or replaced */
	GPtrArray *removed; /**< of char *, names of the entities removed */
};

/** Body of the frame MESSAGE_CONFIG_DELTA. */
struct config_delta {
	int64_t base_version; /**< to which the delta applies, 0 for none */
	int64_t version;      /**< of the result */
	int64_t format;	      /**< of the resulting configuration */
	char *digest;  /**< of the resulting body, see config_body_digest() */
	GArray *lists; /**< of struct config_list_delta */
};

/** Body of the frame MESSAGE_CONFIG_BODY: a whole configuration. */
struct config_whole {
	int64_t version;
	json_object *config;
};

/** Body of the frame MESSAGE_CONFIG_REQUEST: asks a peer for newer versions. */
struct config_request {
	int64_t have_version; /**< in force at the sender, 0 for none */
	int64_t wants_whole;  /**< boolean: a delta failed to apply */
};

extern const struct schema config_delta_schema;
extern const struct schema config_whole_schema;
extern const struct schema config_request_schema;

/** Changes of one list, indexed by name; the delta owns entities and names. */
struct config_list_edits {
	/** Array of the entities added or replaced, or NULL. */
	json_object *upserts;
	/** Name to entity, the last one of equal names. */
	GHashTable *upserts_by_name;
	/** Set of the names removed. */
	GHashTable *removed_names;
};

/** Indexes what a delta changes in a list (enum config_list). */
void config_list_edits_init(struct config_list_edits *c,
			    const struct config_delta *d, guint list);
void config_list_edits_clear(struct config_list_edits *c);
/** Returns the number of elements of the array of upserts. */
size_t config_list_edits_upsert_count(const struct config_list_edits *c);

/**
 * Computes the delta between two bodies.
 *
 * @param base	may be NULL for an empty one
 * @param out	a zeroed struct; schema_clear() it by config_delta_schema
 */
void config_delta_make(const struct config_body *base, int64_t base_version,
		       const struct config_body *body, int64_t version,
		       struct config_delta *out);

/**
 * Applies a delta to a body.
 *
 * @param base	body of the delta's base version, NULL for an empty one
 * @param out	set to a new body on STATUS_OK
 * @return	STATUS_OK, or STATUS_CONFLICT when the digest of the result does
 *		not match
 */
enum status config_delta_apply(const struct config_delta *d,
			       const struct config_body *base,
			       struct config_body **out);

/**
 * Returns TRUE if a delta changes so many entities that it isn't kept for
 * peers, which get the whole configuration instead.
 */
gboolean config_delta_is_large(const struct config_delta *d);

/**
 * Returns the digest of the body that results from a delta; free it with
 * g_free(). @base may be NULL.
 */
char *config_delta_digest(const struct config_delta *d,
			  const struct config_body *base);

#endif
