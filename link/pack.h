/**
 * @file
 * Converts message bodies between msgpack and JSON objects, which base/schema
 * decodes and encodes. No I/O.
 */
#ifndef LINK_PACK_H
#define LINK_PACK_H

#include <glib.h>
#include <json-c/json.h>

/** Returns a value encoded in msgpack; free with g_byte_array_unref(). */
GByteArray *pack_encode(json_object *json);

/**
 * Returns the decoded value, or NULL if it is nil or the bytes aren't exactly
 * one valid value of a type that JSON has; free with json_object_put().
 */
json_object *pack_decode(const void *data, gsize bytes);

#endif
