#include "job/job_record.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define POOL_MAX_BYTES 130
#define REASON_MAX_BYTES 1024
#define MAX_COUNT INT32_MAX

const char *const job_state_names[] = { "queued",    "committed", "running",
					"done",	     "failed",	  "refused",
					"cancelled", NULL };

#define STRING_FIELD(member, required_, max_)                  \
	{                                                      \
		.name = #member, .type = FIELD_STRING,         \
		.is_required = (required_),                    \
		.offset = offsetof(struct job_record, member), \
		.min = (required_) ? 1 : 0, .max = (max_)      \
	}
#define INT_FIELD(member, max_)                                          \
	{                                                                \
		.name = #member, .type = FIELD_INT,                      \
		.offset = offsetof(struct job_record, member), .min = 0, \
		.max = (max_)                                            \
	}
#define BOOL_FIELD(member)                                    \
	{                                                     \
		.name = #member, .type = FIELD_BOOL,          \
		.offset = offsetof(struct job_record, member) \
	}
#define ENUM_FIELD(member, names_, fallback_)                  \
	{                                                      \
		.name = #member, .type = FIELD_ENUM,           \
		.offset = offsetof(struct job_record, member), \
		.names = (names_), .fallback = (fallback_)     \
	}

static const struct field_spec job_record_fields[] = {
	STRING_FIELD(id, TRUE, JOB_ID_MAX_BYTES),
	STRING_FIELD(pool, TRUE, POOL_MAX_BYTES),
	STRING_FIELD(client_account, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(family, FALSE, NAME_MAX_BYTES),
	ENUM_FIELD(class, job_class_names, JOB_CLASS_NORMAL),
	{ .name = "shape",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct job_record, shape),
	  .schema = &shape_schema },
	INT_FIELD(run_ms, JOB_MAX_RUN_MS),
	INT_FIELD(expected_run_ms, JOB_MAX_RUN_MS),
	BOOL_FIELD(is_checkpointable),
	BOOL_FIELD(is_cancelled),
	ENUM_FIELD(state, job_state_names, JOB_QUEUED),
	INT_FIELD(attempt, MAX_COUNT),
	INT_FIELD(epoch, INT64_MAX),
	INT_FIELD(failures, MAX_COUNT),
	INT_FIELD(stops, MAX_COUNT),
	INT_FIELD(remaining_ms, JOB_MAX_RUN_MS),
	INT_FIELD(submitted_ms, INT64_MAX),
	INT_FIELD(started_ms, INT64_MAX),
	INT_FIELD(ended_ms, INT64_MAX),
	{ .name = "placement",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct job_record, placement),
	  .max = GANG_MAX_MEMBERS },
	STRING_FIELD(reason, FALSE, REASON_MAX_BYTES),
	STRING_FIELD(commit_id, FALSE, NAME_MAX_BYTES),
	SCHEMA_UNKNOWN_MEMBERS_FIELD(struct job_record, rest),
	{ 0 },
};

const struct schema job_record_schema = { sizeof(struct job_record),
					  job_record_fields };

gboolean job_record_decode(struct job_record *r, json_object *json,
			   struct finding_list *findings)
{
	return schema_decode(&job_record_schema, json, r, "", NULL, findings);
}

json_object *job_record_encode(const struct job_record *r)
{
	return schema_encode(&job_record_schema, r);
}

void job_record_clear(struct job_record *r)
{
	schema_clear(&job_record_schema, r);
}

void job_record_copy(struct job_record *to, const struct job_record *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->pool = g_strdup(from->pool);
	to->client_account = g_strdup(from->client_account);
	to->family = g_strdup(from->family);
	to->reason = g_strdup(from->reason);
	to->commit_id = g_strdup(from->commit_id);
	to->rest = json_object_get(from->rest);
	to->placement = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; from->placement && i < from->placement->len; i++)
		g_ptr_array_add(to->placement,
				g_strdup(from->placement->pdata[i]));
}

void job_record_set_state(struct job_record *r, enum job_state state,
			  const char *reason)
{
	char *copy = g_utf8_make_valid(
		reason, (gssize)MIN(strlen(reason), REASON_MAX_BYTES / 4));

	r->state = state;
	g_free(r->reason);
	r->reason = copy;
}

char *job_record_key(const char *pool, const char *id)
{
	return g_strdup_printf("%s/%s", pool, id);
}

gboolean job_record_is_ended(const struct job_record *r)
{
	return r->state >= JOB_DONE;
}

static gboolean same_shape(const struct shape *a, const struct shape *b)
{
	return a->members == b->members && a->accelerators == b->accelerators &&
	       a->cores == b->cores && a->memory_mb == b->memory_mb &&
	       a->adjacency == b->adjacency;
}

gboolean job_record_same_request(const struct job_record *a,
				 const struct job_record *b)
{
	return g_strcmp0(a->id, b->id) == 0 &&
	       g_strcmp0(a->pool, b->pool) == 0 &&
	       g_strcmp0(a->client_account, b->client_account) == 0 &&
	       g_strcmp0(a->family, b->family) == 0 && a->class == b->class &&
	       same_shape(&a->shape, &b->shape) && a->run_ms == b->run_ms &&
	       a->expected_run_ms == b->expected_run_ms &&
	       a->is_checkpointable == b->is_checkpointable;
}

struct pool_job job_record_pool_job(const struct job_record *r)
{
	return (struct pool_job){
		.family = r->family,
		.id = r->id,
		.client_account = r->client_account,
		.class = r->class,
		.shape = r->shape,
		.expected_run_ms = r->expected_run_ms,
		.is_checkpointable = r->is_checkpointable != 0,
		.stops = r->stops,
	};
}
