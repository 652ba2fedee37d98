/**
 * @file
 * Tells operators what a new configuration changes, one line an entry.
 */
#ifndef CLIENT_CONFIG_DIFF_H
#define CLIENT_CONFIG_DIFF_H

#include <json-c/json.h>

/**
 * Compares two configurations by the names of their entries.
 *
 * @param before	may be NULL: everything is new
 * @return		lines that start with "+", "-" or "~"; free it
 */
char *config_diff_text(json_object *before, json_object *after);

#endif
