/**
 * @file
 * JSON bodies of the stand-in of the users' platform; a text that is missing is
 * empty.
 */
#ifndef STANDIN_COMMON_STEPPE_JSON_H
#define STANDIN_COMMON_STEPPE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/** Returns a member's text, "" when there is none. */
const char *steppe_text(json_object *object, const char *name);

void steppe_add_int(json_object *object, const char *name, int64_t value);
void steppe_add_text(json_object *object, const char *name, const char *value);

#endif
