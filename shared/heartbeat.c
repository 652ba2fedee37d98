#include "shared/heartbeat.h"

#define NAME_MAX_BYTES 64
#define POOL_MAX_BYTES 130
#define MAX_POOLS 256
#define MAX_HEARD 1024
#define MAX_RECORDS 4096

#define INT_FIELD(type_, member)                                    \
	{                                                           \
		.name = #member, .type = FIELD_INT,                 \
		.offset = offsetof(type_, member), .max = INT64_MAX \
	}
#define NAME_FIELD(type_, member, max_)                                     \
	{                                                                   \
		.name = #member, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(type_, member), .min = 1, .max = (max_)  \
	}
#define ARRAY_FIELD(member, schema_, max_)                                   \
	{                                                                    \
		.name = #member, .type = FIELD_ARRAY,                        \
		.offset = offsetof(struct heartbeat, member), .max = (max_), \
		.schema = &(schema_)                                         \
	}

static const struct field_spec heard_fields[] = {
	NAME_FIELD(struct heard_member, node, NAME_MAX_BYTES),
	INT_FIELD(struct heard_member, generation),
	INT_FIELD(struct heard_member, age_ms),
	{ 0 },
};

static const struct schema heard_schema = { sizeof(struct heard_member),
					    heard_fields };

static const struct field_spec pool_fields[] = {
	NAME_FIELD(struct heartbeat_pool, pool, POOL_MAX_BYTES),
	INT_FIELD(struct heartbeat_pool, epoch),
	{ .name = "is_holder",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct heartbeat_pool, is_holder) },
	{ 0 },
};

static const struct schema pool_schema = { sizeof(struct heartbeat_pool),
					   pool_fields };

static const struct field_spec heartbeat_fields[] = {
	INT_FIELD(struct heartbeat, generation),
	{ .name = "state",
	  .type = FIELD_ENUM,
	  .offset = offsetof(struct heartbeat, state),
	  .names = member_state_names },
	INT_FIELD(struct heartbeat, state_version),
	INT_FIELD(struct heartbeat, config_version),
	INT_FIELD(struct heartbeat, status_version),
	INT_FIELD(struct heartbeat, view),
	INT_FIELD(struct heartbeat, base),
	INT_FIELD(struct heartbeat, heard_age_ms),
	{ .name = "silent",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct heartbeat, silent),
	  .max = MAX_HEARD },
	ARRAY_FIELD(pools, pool_schema, MAX_POOLS),
	ARRAY_FIELD(heard, heard_schema, MAX_HEARD),
	ARRAY_FIELD(records, member_record_schema, MAX_RECORDS),
	{ 0 },
};

const struct schema heartbeat_schema = { sizeof(struct heartbeat),
					 heartbeat_fields };

/* Returns TRUE if decoding yields the same value without the field. */
static gboolean is_default_value(json_object *value)
{
	if (json_object_is_type(value, json_type_array))
		return json_object_array_length(value) == 0;
	return json_object_is_type(value, json_type_int) &&
	       json_object_get_int64(value) == 0;
}

json_object *heartbeat_encode(const struct heartbeat *h)
{
	json_object *json = schema_encode(&heartbeat_schema, h);

	for (const struct field_spec *f = heartbeat_fields; f->name; f++) {
		if (is_default_value(json_object_object_get(json, f->name)))
			json_object_object_del(json, f->name);
	}
	return json;
}
