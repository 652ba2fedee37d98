/**
 * @file
 * Decodes JSON objects into structs, and encodes them, from tables of fields.
 *
 * A struct that a schema describes holds only these member types: char * for
 * FIELD_STRING, int64_t for FIELD_INT, FIELD_BOOL and FIELD_ENUM, double for
 * FIELD_REAL, an embedded struct for FIELD_OBJECT, GArray * of structs for
 * FIELD_ARRAY, GPtrArray * of char * for FIELD_STRINGS and json_object * for
 * FIELD_JSON and FIELD_REST.
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
	FIELD_ENUM,    /**< stored as the index in names */
	FIELD_OBJECT,  /**< an embedded struct of another schema */
	FIELD_ARRAY,   /**< min and max are its count of elements */
	FIELD_STRINGS, /**< min and max are its count of elements */
	FIELD_JSON,    /**< any value, kept as it is */
	/**
	 * The unknown members of the object and of those embedded in it; NULL
	 * without any. They are encoded again.
	 */
	FIELD_REST,
};

struct schema;

struct field_spec {
	const char *name;
	enum field_type type;
	gboolean is_required;
	size_t offset; /**< of the member, by offsetof */
	int64_t min;
	int64_t max;
	int64_t fallback;	     /**< of an absent int, bool or enum */
	const char *const *names;    /**< of an enum, ends with NULL */
	const struct schema *schema; /**< of an object or array element */
};

struct schema {
	size_t size;			 /**< of the struct, by sizeof */
	const struct field_spec *fields; /**< ends with a NULL name */
};

/**
 * Field of a row that a process of a later version may have written: unknown
 * members are no findings, and outlive a write by this process.
 */
#define SCHEMA_REST_FIELD(type_, member)          \
	{                                         \
		.name = "", .type = FIELD_REST,   \
		.offset = offsetof(type_, member) \
	}

/* Fields of a struct that is only encoded, named as its members. */
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

/** Looks up the place of a path in a source text, for findings. */
typedef char *(*schema_place_fn)(const char *path, const void *data);

struct schema_source {
	schema_place_fn place; /**< returns a new string */
	const void *data;
};

/**
 * Decodes an object. All problems are added to @findings: unknown members,
 * missing members, wrong types and values out of range.
 *
 * @param out		a zeroed struct; schema_clear() it in any case
 * @param path		the path of @json, "" for a whole body
 * @param source	may be NULL: places are then paths
 * @return		TRUE when nothing was found
 */
gboolean schema_decode(const struct schema *schema, json_object *json,
		       void *out, const char *path,
		       const struct schema_source *source,
		       struct finding_list *findings);

/**
 * Decodes an object of an outside system, or of a process that may be of a
 * later version: unknown members are passed over.
 */
gboolean schema_decode_open(const struct schema *schema, json_object *json,
			    void *out, const char *path,
			    struct finding_list *findings);

/** Encodes a struct, members in the order of the table; free with put. */
json_object *schema_encode(const struct schema *schema, const void *in);

/** Frees what the struct holds and zeroes it. */
void schema_clear(const struct schema *schema, void *data);

#endif
