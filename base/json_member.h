/**
 * @file
 * Reads members of JSON values of unknown type; a value that is not an object
 * has no members.
 */
#ifndef BASE_JSON_MEMBER_H
#define BASE_JSON_MEMBER_H

#include <json-c/json.h>
#include <stdint.h>

/** Returns the member, borrowed, or NULL. */
json_object *json_member(json_object *object, const char *name);

/** Returns an integer member, 0 if absent. */
int64_t json_member_int(json_object *object, const char *name);

/** Returns a string member, NULL if absent or of another type. */
const char *json_member_text(json_object *object, const char *name);

#endif
