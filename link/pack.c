#include "link/pack.h"

#include <msgpack.h>
#include <stdint.h>
#include <string.h>

#include "base/json_text.h"
#include "link/pack_check.h"

static int append_bytes(void *data, const char *bytes, size_t len)
{
	g_byte_array_append(data, (const guint8 *)bytes, (guint)len);
	return 0;
}

static void encode(msgpack_packer *p, json_object *json);

static void encode_text(msgpack_packer *p, const char *text, size_t len)
{
	msgpack_pack_str(p, len);
	msgpack_pack_str_body(p, text, len);
}

static void encode_array(msgpack_packer *p, json_object *json)
{
	size_t count = json_object_array_length(json);

	msgpack_pack_array(p, count);
	for (size_t i = 0; i < count; i++)
		encode(p, json_object_array_get_idx(json, i));
}

static void encode_map(msgpack_packer *p, json_object *json)
{
	msgpack_pack_map(p, json_object_object_length(json));
	json_object_object_foreach(json, key, value)
	{
		encode_text(p, key, strlen(key));
		encode(p, value);
	}
}

static void encode(msgpack_packer *p, json_object *json)
{
	switch (json_object_get_type(json)) {
	case json_type_null:
		msgpack_pack_nil(p);
		break;
	case json_type_boolean:
		if (json_object_get_boolean(json))
			msgpack_pack_true(p);
		else
			msgpack_pack_false(p);
		break;
	case json_type_double:
		msgpack_pack_double(p, json_object_get_double(json));
		break;
	case json_type_int:
		msgpack_pack_int64(p, json_object_get_int64(json));
		break;
	case json_type_string:
		encode_text(p, json_object_get_string(json),
			    (size_t)json_object_get_string_len(json));
		break;
	case json_type_array:
		encode_array(p, json);
		break;
	case json_type_object:
		encode_map(p, json);
		break;
	}
}

GByteArray *pack_encode(json_object *json)
{
	GByteArray *out = g_byte_array_new();
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, append_bytes);
	encode(&packer, json);
	return out;
}

static gboolean decode(const msgpack_object *o, guint depth, json_object **out);

static gboolean decode_array(const msgpack_object_array *array, guint depth,
			     json_object **out)
{
	*out = json_object_new_array();
	for (uint32_t i = 0; i < array->size; i++) {
		json_object *item = NULL;

		if (!decode(&array->ptr[i], depth + 1, &item)) {
			json_object_put(item);
			return FALSE;
		}
		json_object_array_add(*out, item);
	}
	return TRUE;
}

static gboolean decode_map(const msgpack_object_map *map, guint depth,
			   json_object **out)
{
	*out = json_object_new_object();
	for (uint32_t i = 0; i < map->size; i++) {
		const msgpack_object_kv *kv = &map->ptr[i];
		json_object *item = NULL;
		char *key;

		if (kv->key.type != MSGPACK_OBJECT_STR ||
		    !g_utf8_validate(kv->key.via.str.ptr, kv->key.via.str.size,
				     NULL) ||
		    !decode(&kv->val, depth + 1, &item)) {
			json_object_put(item);
			return FALSE;
		}
		key = g_strndup(kv->key.via.str.ptr, kv->key.via.str.size);
		json_object_object_add(*out, key, item);
		g_free(key);
	}
	return TRUE;
}

static gboolean decode_text(const msgpack_object_str *str, json_object **out)
{
	if (!g_utf8_validate(str->ptr, str->size, NULL))
		return FALSE;
	*out = json_object_new_string_len(str->ptr, (int)str->size);
	return TRUE;
}

static gboolean decode(const msgpack_object *o, guint depth, json_object **out)
{
	if (depth > JSON_MAX_DEPTH)
		return FALSE;
	switch (o->type) {
	case MSGPACK_OBJECT_NIL:
		return TRUE;
	case MSGPACK_OBJECT_BOOLEAN:
		*out = json_object_new_boolean(o->via.boolean);
		return TRUE;
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
		if (o->via.u64 > INT64_MAX)
			return FALSE;
		*out = json_object_new_int64((int64_t)o->via.u64);
		return TRUE;
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		*out = json_object_new_int64(o->via.i64);
		return TRUE;
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		*out = json_object_new_double(o->via.f64);
		return TRUE;
	case MSGPACK_OBJECT_STR:
		return decode_text(&o->via.str, out);
	case MSGPACK_OBJECT_ARRAY:
		return decode_array(&o->via.array, depth, out);
	case MSGPACK_OBJECT_MAP:
		return decode_map(&o->via.map, depth, out);
	default:
		return FALSE;
	}
}

json_object *pack_decode(const void *data, gsize bytes)
{
	msgpack_unpacked unpacked;
	json_object *out = NULL;
	size_t used = 0;

	if (!pack_check(data, bytes))
		return NULL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, bytes, &used) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    used != bytes || !decode(&unpacked.data, 0, &out))
		g_clear_pointer(&out, json_object_put);
	msgpack_unpacked_destroy(&unpacked);
	return out;
}
