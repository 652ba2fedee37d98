/**
 * @file
 * Reads members of JSON objects of which nothing is known: a value that is not
 * an object has none.
 */
#ifndef BASE_JSON_MEMBER_H
#define BASE_JSON_MEMBER_H

#include <json-c/json.h>
#include <stdint.h>

/** Returns the member, not owned, or NULL. */
json_object *json_member(json_object *object, const char *name);

/** Returns a number, 0 when there is none. */
int64_t json_member_int(json_object *object, const char *name);

/** Returns a string, NULL when there is none or it is of another type. */
const char *json_member_text(json_object *object, const char *name);

#endif
