/**
 * @file
 * Parses JSON texts by json-c, with line numbers and duplicate keys as
 * findings. Files may hold comments; bodies from the wire may not.
 */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <glib.h>
#include <json-c/json.h>

#include "base/finding.h"
#include "base/schema.h"

#define JSON_MAX_DEPTH 16

enum json_dialect {
	JSON_STRICT,	    /**< bodies from the wire */
	JSON_WITH_COMMENTS, /**< settings and configuration files */
};

struct json_text {
	char *name;	   /**< of the file, or "body" */
	json_object *root; /**< NULL when the text could not be parsed */
	GHashTable *lines; /**< path to line number of each member */
};

/**
 * Parses a text. Problems are added to @findings with name, line and path.
 *
 * @return	TRUE when the text is sound; json_text_clear() in any case
 */
gboolean json_text_parse(struct json_text *t, const char *name,
			 const char *text, gsize len, enum json_dialect dialect,
			 struct finding_list *findings);

/**
 * Parses a body strictly without noting lines or duplicate keys, of which the
 * last counts: for answers, which nobody is shown findings of.
 *
 * @return	the value, or NULL when the text is not sound
 */
json_object *json_text_value(const char *text, gsize len);

/** Reads and parses a file; see json_text_parse(). */
gboolean json_text_load(struct json_text *t, const char *file_name,
			enum json_dialect dialect,
			struct finding_list *findings);

void json_text_clear(struct json_text *t);

/** Returns the source of places for schema_decode(). */
struct schema_source json_text_source(const struct json_text *t);

/**
 * Loads a file and decodes it by a schema, all findings together.
 *
 * @param out	a zeroed struct; schema_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean json_text_decode_file(const char *file_name,
			       const struct schema *schema, void *out,
			       struct finding_list *findings);

#endif
