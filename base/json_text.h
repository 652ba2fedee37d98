/**
 * @file
 * Parses JSON with json-c; findings have line numbers and include duplicate
 * keys. Files may contain comments; message bodies may not.
 */
#ifndef BASE_JSON_TEXT_H
#define BASE_JSON_TEXT_H

#include <glib.h>
#include <json-c/json.h>

#include "base/finding.h"
#include "base/schema.h"

#define JSON_MAX_DEPTH 16

enum json_dialect {
	JSON_STRICT,	    /**< HTTP bodies */
	JSON_WITH_COMMENTS, /**< settings and configuration files */
};

struct json_text {
	char *name;	   /**< file name, or "body" */
	json_object *root; /**< NULL if the text could not be parsed */
	/** The parsed text, for the lines of findings; not owned, or NULL. */
	const char *source;
	gsize source_bytes;
	char *loaded; /**< contents of the file, if it is from one */
};

/**
 * Parses a text. Problems are added to @findings with name, line and path.
 *
 * @param text	must stay valid while json_text_source() is used
 * @return	TRUE if the text is valid; call json_text_clear() in any case
 */
gboolean json_text_parse(struct json_text *t, const char *name,
			 const char *text, gsize len, enum json_dialect dialect,
			 struct finding_list *findings);

/**
 * Parses strict JSON without recording lines or checking for duplicate keys;
 * the last duplicate wins. For responses, whose findings nobody reads.
 *
 * @return	the value, owned by the caller, or NULL if the text is invalid
 */
json_object *json_text_parse_value(const char *text, gsize len);

/**
 * Estimates what json-c allocates for a text, from its punctuation: an empty
 * object takes two bytes of text and some 760 of memory.
 *
 * @return	bytes, at least what is allocated for valid JSON
 */
gsize json_text_parsed_bytes(const char *text, gsize len);

/** Reads and parses a file; see json_text_parse(). */
gboolean json_text_load(struct json_text *t, const char *file_name,
			enum json_dialect dialect,
			struct finding_list *findings);

void json_text_clear(struct json_text *t);

/** Returns a source for schema_decode() that adds file name and line. */
struct schema_source json_text_source(const struct json_text *t);

/**
 * Loads a file, decodes it by a schema and collects all findings.
 *
 * @param out	a zeroed struct; call schema_clear() in any case
 * @return	TRUE if there are no findings
 */
gboolean json_text_decode_file(const char *file_name,
			       const struct schema *schema, void *out,
			       struct finding_list *findings);

#endif
