#include "config/config_head.h"

#define NAME_MAX_BYTES 256

#define CHANGE_FIELDS(type_)                                               \
	{ .name = "version",                                               \
	  .type = FIELD_INT,                                               \
	  .is_required = TRUE,                                             \
	  .offset = offsetof(type_, version),                              \
	  .min = 1,                                                        \
	  .max = INT64_MAX },                                              \
		{ .name = "operator",                                      \
		  .type = FIELD_STRING,                                    \
		  .is_required = TRUE,                                     \
		  .offset = offsetof(type_, operator_name),                \
		  .max = NAME_MAX_BYTES },                                 \
	{                                                                  \
		.name = "commit_id", .type = FIELD_STRING,                 \
		.is_required = TRUE, .offset = offsetof(type_, commit_id), \
		.min = 1, .max = NAME_MAX_BYTES                            \
	}

static const struct field_spec change_fields[] = {
	CHANGE_FIELDS(struct config_change),
	SCHEMA_UNKNOWN_MEMBERS_FIELD(struct config_change, rest),
	{ 0 },
};

static const struct schema change_schema = { sizeof(struct config_change),
					     change_fields };

static const struct field_spec head_fields[] = {
	CHANGE_FIELDS(struct config_head),
	{ .name = "object",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_head, object),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	{ .name = "recent",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct config_head, recent),
	  .max = CONFIG_HEAD_MAX_RECENT,
	  .schema = &change_schema },
	SCHEMA_UNKNOWN_MEMBERS_FIELD(struct config_head, rest),
	{ 0 },
};

const struct schema config_head_schema = { sizeof(struct config_head),
					   head_fields };

void config_head_clear(struct config_head *h)
{
	schema_clear(&config_head_schema, h);
}

const struct config_change *config_head_find(const struct config_head *h,
					     int64_t version)
{
	for (guint i = 0; h->recent && i < h->recent->len; i++) {
		const struct config_change *c =
			&g_array_index(h->recent, struct config_change, i);

		if (c->version == version)
			return c;
	}
	return NULL;
}

static void add_change(GArray *list, int64_t version, const char *operator_name,
		       const char *commit_id, json_object *rest)
{
	struct config_change c = {
		.version = version,
		.operator_name = g_strdup(operator_name),
		.commit_id = g_strdup(commit_id),
		.rest = json_object_get(rest),
	};

	g_array_append_val(list, c);
}

void config_head_make_next(const struct config_head *previous,
			   const char *operator_name, const char *commit_id,
			   struct config_head *out)
{
	guint count = previous->recent ? previous->recent->len : 0;
	guint first = count >= CONFIG_HEAD_MAX_RECENT
			      ? count - CONFIG_HEAD_MAX_RECENT + 1
			      : 0;

	out->version = previous->version + 1;
	out->operator_name = g_strdup(operator_name);
	out->commit_id = g_strdup(commit_id);
	out->object = g_strdup_printf("config-%" G_GINT64_FORMAT "-%s",
				      out->version, commit_id);
	out->recent = g_array_new(FALSE, TRUE, sizeof(struct config_change));
	for (guint i = first; i < count; i++) {
		const struct config_change *c = &g_array_index(
			previous->recent, struct config_change, i);

		add_change(out->recent, c->version, c->operator_name,
			   c->commit_id, c->rest);
	}
	add_change(out->recent, out->version, operator_name, commit_id, NULL);
	out->rest = json_object_get(previous->rest);
}
