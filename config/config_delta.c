#include "config/config_delta.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define DIGEST_HEX_BYTES 64
#define MAX_REMOVED 20000
/** Includes lists that only a later program version knows. */
#define MAX_LISTS 64
/** A delta that changes at least this many entities isn't kept for peers. */
#define LARGE_DELTA_ENTITIES 200

static const struct field_spec list_fields[] = {
	{ .name = "list",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_list_delta, list),
	  .min = 1,
	  .max = NAME_MAX_BYTES },
	{ .name = "set",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct config_list_delta, set) },
	{ .name = "removed",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct config_list_delta, removed),
	  .max = MAX_REMOVED },
	{ 0 },
};

static const struct schema list_schema = { sizeof(struct config_list_delta),
					   list_fields };

#define VERSION_FIELD(type_, member, min_)                               \
	{                                                                \
		.name = #member, .type = FIELD_INT, .is_required = TRUE, \
		.offset = offsetof(type_, member), .min = (min_),        \
		.max = INT64_MAX                                         \
	}

static const struct field_spec delta_fields[] = {
	VERSION_FIELD(struct config_delta, base_version, 0),
	VERSION_FIELD(struct config_delta, version, 1),
	VERSION_FIELD(struct config_delta, format, 1),
	{ .name = "digest",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_delta, digest),
	  .min = DIGEST_HEX_BYTES,
	  .max = DIGEST_HEX_BYTES },
	{ .name = "lists",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct config_delta, lists),
	  .max = MAX_LISTS,
	  .schema = &list_schema },
	{ 0 },
};

static const struct field_spec whole_fields[] = {
	VERSION_FIELD(struct config_whole, version, 1),
	{ .name = "config",
	  .type = FIELD_JSON,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_whole, config) },
	{ 0 },
};

static const struct field_spec request_fields[] = {
	VERSION_FIELD(struct config_request, have_version, 0),
	{ .name = "wants_whole",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct config_request, wants_whole) },
	{ 0 },
};

const struct schema config_delta_schema = { sizeof(struct config_delta),
					    delta_fields };
const struct schema config_whole_schema = { sizeof(struct config_whole),
					    whole_fields };
const struct schema config_request_schema = { sizeof(struct config_request),
					      request_fields };

static gboolean is_unchanged(const struct config_body *base, guint list,
			     const struct config_entity *e)
{
	const struct config_entity *before =
		config_body_find(base, list, e->name);

	return before &&
	       memcmp(before->digest, e->digest, sizeof(e->digest)) == 0;
}

static void diff_list(const struct config_body *base,
		      const struct config_body *body, guint list,
		      struct config_list_delta *out)
{
	for (guint i = 0; i < config_body_count(body, list); i++) {
		const struct config_entity *e = config_body_get(body, list, i);

		if (!is_unchanged(base, list, e))
			json_object_array_add(out->set,
					      json_tokener_parse(e->text));
	}
	for (guint i = 0; i < config_body_count(base, list); i++) {
		const struct config_entity *e = config_body_get(base, list, i);

		if (!config_body_find(body, list, e->name))
			g_ptr_array_add(out->removed, g_strdup(e->name));
	}
}

void config_delta_make(const struct config_body *base, int64_t base_version,
		       const struct config_body *body, int64_t version,
		       struct config_delta *out)
{
	out->base_version = base_version;
	out->version = version;
	out->format = config_body_format(body);
	out->digest = config_body_digest(body);
	out->lists = g_array_new(FALSE, TRUE, sizeof(struct config_list_delta));
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		struct config_list_delta list = {
			.list = g_strdup(config_list_names[i]),
			.set = json_object_new_array(),
			.removed = g_ptr_array_new_with_free_func(g_free),
		};

		diff_list(base, body, i, &list);
		g_array_append_val(out->lists, list);
	}
}

void config_list_edits_init(struct config_list_edits *c,
			    const struct config_delta *d, guint list)
{
	*c = (struct config_list_edits){
		.upserts_by_name = g_hash_table_new(g_str_hash, g_str_equal),
		.removed_names = g_hash_table_new(g_str_hash, g_str_equal),
	};
	for (guint i = 0; i < d->lists->len; i++) {
		const struct config_list_delta *l =
			&g_array_index(d->lists, struct config_list_delta, i);

		if (config_list_index(l->list) != (int)list)
			continue;
		if (json_object_is_type(l->set, json_type_array))
			c->upserts = l->set;
		for (guint j = 0; l->removed && j < l->removed->len; j++)
			g_hash_table_add(c->removed_names,
					 l->removed->pdata[j]);
	}
	for (size_t i = 0; i < config_list_edits_upsert_count(c); i++) {
		json_object *e = json_object_array_get_idx(c->upserts, i);

		g_hash_table_insert(c->upserts_by_name,
				    (gpointer)config_entity_name(e), e);
	}
}

void config_list_edits_clear(struct config_list_edits *c)
{
	g_hash_table_unref(c->upserts_by_name);
	g_hash_table_unref(c->removed_names);
}

size_t config_list_edits_upsert_count(const struct config_list_edits *c)
{
	return c->upserts ? json_object_array_length(c->upserts) : 0;
}

/* Keeps the order of the base and appends new entities. */
static void apply_list(const struct config_list_edits *c, guint list,
		       const struct config_body *base, struct config_body *out)
{
	for (guint i = 0; i < config_body_count(base, list); i++) {
		const struct config_entity *e = config_body_get(base, list, i);
		json_object *after =
			g_hash_table_lookup(c->upserts_by_name, e->name);

		if (after)
			config_body_add(out, list, after);
		else if (!g_hash_table_contains(c->removed_names, e->name))
			config_body_add_shared(out, list, e);
	}
	for (size_t i = 0; i < config_list_edits_upsert_count(c); i++) {
		json_object *e = json_object_array_get_idx(c->upserts, i);

		if (!config_body_find(out, list, config_entity_name(e)))
			config_body_add(out, list, e);
	}
}

static struct config_body *build_result(const struct config_delta *d,
					const struct config_body *base)
{
	struct config_body *body = config_body_new_empty(d->format);

	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		struct config_list_edits c;

		config_list_edits_init(&c, d, i);
		apply_list(&c, i, base, body);
		config_list_edits_clear(&c);
	}
	return body;
}

char *config_delta_digest(const struct config_delta *d,
			  const struct config_body *base)
{
	struct config_body *body = build_result(d, base);
	char *digest = config_body_digest(body);

	config_body_unref(body);
	return digest;
}

enum status config_delta_apply(const struct config_delta *d,
			       const struct config_body *base,
			       struct config_body **out)
{
	struct config_body *body = build_result(d, base);
	enum status status = STATUS_OK;
	char *digest = config_body_digest(body);

	if (g_str_equal(digest, d->digest))
		*out = config_body_ref(body);
	else
		status = status_fail(
			STATUS_CONFLICT,
			"digest of the configuration does not match the delta");
	config_body_unref(body);
	g_free(digest);
	return status;
}

gboolean config_delta_is_large(const struct config_delta *d)
{
	size_t count = 0;

	for (guint i = 0; i < d->lists->len; i++) {
		const struct config_list_delta *l =
			&g_array_index(d->lists, struct config_list_delta, i);

		count += l->set ? json_object_array_length(l->set) : 0;
		count += l->removed ? l->removed->len : 0;
	}
	return count >= LARGE_DELTA_ENTITIES;
}
