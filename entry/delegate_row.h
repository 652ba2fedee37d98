/**
 * @file
 * Row by which an entry VM tells the others how it serves them: calls to
 * workers for the holder of the pool, and requests that they hand over.
 */
#ifndef ENTRY_DELEGATE_ROW_H
#define ENTRY_DELEGATE_ROW_H

#include <glib.h>
#include <json-c/json.h>

/** Table of these rows, keyed by VM name. */
#define DELEGATE_TABLE "delegates"

/** The strings are owned by the row that they were decoded from. */
struct delegate_row {
	const char *failure_domain;
	double cpu_share;    /**< CPU limit in cores, above 0 */
	const char *address; /**< "IP:PORT" for delegated calls, or NULL */
	const char *token;   /**< for delegated calls, or NULL */
	/** "IP:PORT" for requests that are handed over, or NULL. */
	const char *forward;
};

/** Encodes a row; free with put. */
json_object *delegate_row_encode(const struct delegate_row *row);

/**
 * Decodes a row.
 *
 * @param json	NULL for a removed row
 * @return	FALSE if the failure domain or the CPU limit is missing or
 *		invalid
 */
gboolean delegate_row_decode(json_object *json, struct delegate_row *out);

#endif
