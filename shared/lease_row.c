#include "shared/lease_row.h"

#define TEXT_MAX_BYTES 128
#define MAX_TTL_MS INT64_C(3600000)

#define TEXT_FIELD(member)                                                  \
	{                                                                   \
		.name = #member, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(struct lease_row, member),               \
		.max = TEXT_MAX_BYTES                                       \
	}

static const struct field_spec lease_row_fields[] = {
	TEXT_FIELD(holder),
	TEXT_FIELD(incarnation),
	TEXT_FIELD(address),
	{ .name = "epoch",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct lease_row, epoch),
	  .max = INT64_MAX },
	{ .name = "ttl_ms",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct lease_row, ttl_ms),
	  .max = MAX_TTL_MS },
	TEXT_FIELD(commit_id),
	{ 0 },
};

const struct schema lease_row_schema = { sizeof(struct lease_row),
					 lease_row_fields };

void lease_row_clear(struct lease_row *r)
{
	schema_clear(&lease_row_schema, r);
}

void lease_row_copy(struct lease_row *to, const struct lease_row *from)
{
	lease_row_clear(to);
	to->holder = g_strdup(from->holder);
	to->incarnation = g_strdup(from->incarnation);
	to->address = g_strdup(from->address);
	to->epoch = from->epoch;
	to->ttl_ms = from->ttl_ms;
	to->commit_id = g_strdup(from->commit_id);
}

gboolean lease_row_is_released(const struct lease_row *r)
{
	return !r->holder || r->holder[0] == '\0';
}
