#include "job/renewal_message.h"

#define NAME_MAX_BYTES 256
#define MAX_WORKERS 65536

#define INT_FIELD(type_, member)                                    \
	{                                                           \
		.name = #member, .type = FIELD_INT,                 \
		.offset = offsetof(type_, member), .max = INT64_MAX \
	}
#define NAME_FIELD(type_, member)                                           \
	{                                                                   \
		.name = #member, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(type_, member), .min = 1,                \
		.max = NAME_MAX_BYTES                                       \
	}
#define ARRAY_FIELD(type_, member, schema_)                            \
	{                                                              \
		.name = #member, .type = FIELD_ARRAY,                  \
		.offset = offsetof(type_, member), .max = MAX_WORKERS, \
		.schema = &(schema_),                                  \
	}

static const struct field_spec change_fields[] = {
	NAME_FIELD(struct renewal_change, worker),
	INT_FIELD(struct renewal_change, digest),
	{ 0 },
};

static const struct schema change_schema = { sizeof(struct renewal_change),
					     change_fields };

static const struct field_spec report_fields[] = {
	NAME_FIELD(struct renewal_report, pool),
	INT_FIELD(struct renewal_report, epoch),
	INT_FIELD(struct renewal_report, sequence),
	INT_FIELD(struct renewal_report, version),
	{ .name = "failed",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct renewal_report, failed),
	  .max = MAX_WORKERS },
	ARRAY_FIELD(struct renewal_report, changes, change_schema),
	{ 0 },
};

const struct schema renewal_report_schema = { sizeof(struct renewal_report),
					      report_fields };

static const struct field_spec worker_fields[] = {
	NAME_FIELD(struct renewal_worker, worker),
	NAME_FIELD(struct renewal_worker, address),
	INT_FIELD(struct renewal_worker, digest),
	{ 0 },
};

static const struct schema worker_schema = { sizeof(struct renewal_worker),
					     worker_fields };

static const struct field_spec grant_fields[] = {
	NAME_FIELD(struct renewal_grant, pool),
	INT_FIELD(struct renewal_grant, epoch),
	INT_FIELD(struct renewal_grant, sequence),
	INT_FIELD(struct renewal_grant, life_ms),
	INT_FIELD(struct renewal_grant, lease_ms),
	INT_FIELD(struct renewal_grant, period_ms),
	INT_FIELD(struct renewal_grant, version),
	{ .name = "has_workers",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct renewal_grant, has_workers) },
	ARRAY_FIELD(struct renewal_grant, workers, worker_schema),
	{ 0 },
};

const struct schema renewal_grant_schema = { sizeof(struct renewal_grant),
					     grant_fields };

void renewal_report_init(struct renewal_report *r)
{
	r->failed = g_ptr_array_new_with_free_func(g_free);
	r->changes = g_array_new(FALSE, TRUE, sizeof(struct renewal_change));
}

void renewal_report_clear(struct renewal_report *r)
{
	schema_clear(&renewal_report_schema, r);
}

void renewal_grant_init(struct renewal_grant *g)
{
	g->workers = g_array_new(FALSE, TRUE, sizeof(struct renewal_worker));
}

void renewal_grant_clear_workers(struct renewal_grant *g)
{
	for (guint i = 0; i < g->workers->len; i++)
		schema_clear(
			&worker_schema,
			&g_array_index(g->workers, struct renewal_worker, i));
	g_array_set_size(g->workers, 0);
}

void renewal_grant_clear(struct renewal_grant *g)
{
	schema_clear(&renewal_grant_schema, g);
}
