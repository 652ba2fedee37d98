/**
 * @file
 * Converts message bodies between JSON objects, which the tables of base/schema
 * decode and encode, and msgpack. Pure.
 */
#ifndef LINK_PACK_H
#define LINK_PACK_H

#include <glib.h>
#include <json-c/json.h>

/** Returns a value in msgpack; free with g_byte_array_unref(). */
GByteArray *pack_encode(json_object *json);

/** Returns a decoded value, or NULL when the bytes are no sound value. */
json_object *pack_decode(const void *data, gsize bytes);

#endif
