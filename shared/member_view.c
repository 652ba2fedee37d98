#include "shared/member_view.h"

#include <string.h>

/** 64-bit FNV-1a. */
#define HASH_START UINT64_C(14695981039346656037)
#define HASH_PRIME UINT64_C(1099511628211)

static uint64_t hash(uint64_t value, const void *data, size_t bytes)
{
	const uint8_t *byte = data;

	for (size_t i = 0; i < bytes; i++)
		value = (value ^ byte[i]) * HASH_PRIME;
	return value;
}

int64_t member_view_add(int64_t digest, const struct member_record *record)
{
	const char *node = record->identity.node;
	const char *incarnation = record->identity.incarnation;
	int64_t parts[] = {
		record->generation,
		record->state_version,
		record->state == MEMBER_LEAVING,
	};
	uint64_t value = HASH_START;

	value = hash(value, &digest, sizeof(digest));
	value = hash(value, node, strlen(node) + 1);
	value = hash(value, incarnation, strlen(incarnation) + 1);
	value = hash(value, parts, sizeof(parts));
	value &= INT64_MAX;
	return value == MEMBER_VIEW_NONE ? 1 : (int64_t)value;
}

void member_view_record(struct member_view *v, int64_t digest, int64_t change)
{
	if (v->count == 0 || v->entries[0].digest != digest) {
		memmove(v->entries + 1, v->entries,
			sizeof(v->entries) - sizeof(v->entries[0]));
		v->count = MIN(v->count + 1, MEMBER_VIEW_HISTORY);
		v->entries[0].digest = digest;
	}
	v->entries[0].change = change;
}

int64_t member_view_digest(const struct member_view *v)
{
	return v->count ? v->entries[0].digest : MEMBER_VIEW_NONE;
}

int64_t member_view_find(const struct member_view *v, int64_t digest)
{
	for (guint i = 0; i < v->count; i++) {
		if (v->entries[i].digest == digest)
			return v->entries[i].change;
	}
	return -1;
}
