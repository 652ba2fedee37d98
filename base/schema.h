/**
 * @file
 * Decodes JSON objects into structs, and encodes them, from tables of fields.
 *
 * A struct that a schema describes holds only these member types: char * for
 * FIELD_STRING, int64_t for FIELD_INT, FIELD_BOOL and FIELD_ENUM, double for
 * FIELD_REAL, an embedded struct for FIELD_OBJECT, GArray * of structs for
 * FIELD_ARRAY, GPtrArray * of char * for FIELD_STRINGS and json_object * for
 * FIELD_JSON and FIELD_UNKNOWN_MEMBERS.
 */
#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"

enum field_type {
	FIELD_STRING,  /**< min and max are its length in bytes */
	FIELD_INT,     /**< min and max are its range */
	FIELD_BOOL,    /**< stored as 0 or 1 */
	FIELD_REAL,    /**< min and max are its range */
	FIELD_ENUM,    /**< stored as the index into names */
	FIELD_OBJECT,  /**< an embedded struct of another schema */
	FIELD_ARRAY,   /**< min and max are its number of elements */
	FIELD_STRINGS, /**< min and max are its number of elements */
	FIELD_JSON,    /**< any value, stored undecoded */
	/**
	 * The unknown members of the object and of its embedded objects, NULL
	 * if there are none. Encoding writes them back.
	 */
	FIELD_UNKNOWN_MEMBERS,
};

struct schema;

struct field_spec {
	const char *name;
	enum field_type type;
	gboolean is_required;
	size_t offset; /**< of the struct member, by offsetof */
	int64_t min;
	int64_t max;
	int64_t fallback;	  /**< value of an absent int, bool or enum */
	const char *const *names; /**< of an enum, NULL-terminated */
	const struct schema *schema; /**< of an object or array element */
};

struct schema {
	size_t size;			 /**< of the struct, by sizeof */
	const struct field_spec *fields; /**< terminated by a NULL name */
};

/**
 * Field of a stored row that a later version may have written: unknown members
 * are not findings, and are preserved when this process writes the row.
 */
#define SCHEMA_UNKNOWN_MEMBERS_FIELD(type_, member)        \
	{                                                  \
		.name = "", .type = FIELD_UNKNOWN_MEMBERS, \
		.offset = offsetof(type_, member)          \
	}

/* Fields of a struct that is only encoded; each has the name of its member. */
#define SCHEMA_OUT_FIELD(type_, member, field_type)                 \
	{                                                           \
		.name = #member, .type = (field_type),              \
		.offset = offsetof(type_, member), .max = INT64_MAX \
	}
#define SCHEMA_OUT_STRING(type_, member) \
	SCHEMA_OUT_FIELD(type_, member, FIELD_STRING)
#define SCHEMA_OUT_INT(type_, member) SCHEMA_OUT_FIELD(type_, member, FIELD_INT)
#define SCHEMA_OUT_STRINGS(type_, member) \
	SCHEMA_OUT_FIELD(type_, member, FIELD_STRINGS)

/** Returns the place of a path in a source text, for findings. */
typedef char *(*schema_place_fn)(const char *path, const void *data);

struct schema_source {
	schema_place_fn place; /**< result is freed by the caller */
	const void *data;
};

/**
 * Decodes an object. All problems are added to @findings: unknown members,
 * missing members, wrong types and values out of range.
 *
 * @param out		a zeroed struct; call schema_clear() in any case
 * @param path		the path of @json, "" for a whole body
 * @param source	may be NULL: findings then have the path as place
 * @return		TRUE if there are no findings
 */
gboolean schema_decode(const struct schema *schema, json_object *json,
		       void *out, const char *path,
		       const struct schema_source *source,
		       struct finding_list *findings);

/**
 * Decodes an object from an external system or from a process of a possibly
 * later version: unknown members are counted and ignored.
 */
gboolean schema_decode_lenient(const struct schema *schema, json_object *json,
			       void *out, const char *path,
			       struct finding_list *findings);

/** Encodes a struct in table order; json_object_put() the result. */
json_object *schema_encode(const struct schema *schema, const void *in);

/** Frees the members of the struct and zeroes it. */
void schema_clear(const struct schema *schema, void *data);

#endif
