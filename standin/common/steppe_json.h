/**
 * @file
 * JSON helpers for the stand-in for the Steppe Kite platform.
 */
#ifndef STANDIN_COMMON_STEPPE_JSON_H
#define STANDIN_COMMON_STEPPE_JSON_H

#include <json-c/json.h>
#include <stdint.h>

/** Returns a string member, "" if it is missing; owned by the object. */
const char *steppe_text(json_object *object, const char *name);

void steppe_add_int(json_object *object, const char *name, int64_t value);
void steppe_add_text(json_object *object, const char *name, const char *value);

#endif
