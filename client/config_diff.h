/**
 * @file
 * Lists the changes between two configurations, one line per entry.
 */
#ifndef CLIENT_CONFIG_DIFF_H
#define CLIENT_CONFIG_DIFF_H

#include <json-c/json.h>

/**
 * Compares two configurations, matching their entries by name.
 *
 * @param before	NULL if there is none: all entries are then added
 * @return		a line "+", "-" or "~", list and name for each entry
 *			added, removed or changed; free with g_free()
 */
char *config_diff_text(json_object *before, json_object *after);

#endif
