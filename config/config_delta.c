#include "config/config_delta.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define DIGEST_BYTES 64
#define MAX_REMOVED 20000
/** Lists of a delta, those of later versions included. */
#define MAX_LISTS 64
#define NAME_MEMBER "name"
#define FORMAT_MEMBER "format"

static const char *const list_names[] = { "services", "client_accounts",
					  "jobs" };

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
	  .min = DIGEST_BYTES,
	  .max = DIGEST_BYTES },
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

static const char *name_of(json_object *entity)
{
	const char *name = json_object_get_string(
		json_object_object_get(entity, NAME_MEMBER));

	return name ? name : "";
}

static size_t length_of(json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

/* Returns name to entity; neither is owned. */
static GHashTable *index_list(json_object *list)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (size_t i = 0; i < length_of(list); i++) {
		json_object *entity = json_object_array_get_idx(list, i);

		g_hash_table_insert(index, (gpointer)name_of(entity), entity);
	}
	return index;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void digest_list(GChecksum *checksum, json_object *list)
{
	GHashTable *index = index_list(list);
	GList *names = g_hash_table_get_keys(index);

	names = g_list_sort(names, compare_names);
	for (GList *n = names; n; n = n->next) {
		json_object *entity = g_hash_table_lookup(index, n->data);
		const char *text = json_object_to_json_string_ext(
			entity, JSON_C_TO_STRING_PLAIN);

		g_checksum_update(checksum, (const guchar *)text,
				  (gssize)strlen(text) + 1);
	}
	g_list_free(names);
	g_hash_table_unref(index);
}

static gboolean is_known(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(list_names); i++) {
		if (g_str_equal(list_names[i], name))
			return TRUE;
	}
	return g_str_equal(name, FORMAT_MEMBER);
}

/*
 * Members of a later version, which a delta of this one leaves out: the digest
 * then differs and the body is asked for whole. Without any the digest is that
 * of the lists alone.
 */
static void digest_unknown(GChecksum *checksum, json_object *body)
{
	GList *names = NULL;

	json_object_object_foreach(body, key, value)
	{
		(void)value;
		if (!is_known(key))
			names = g_list_insert_sorted(names, key, compare_names);
	}
	for (GList *n = names; n; n = n->next) {
		const char *text = json_object_to_json_string_ext(
			json_object_object_get(body, n->data),
			JSON_C_TO_STRING_PLAIN);

		g_checksum_update(checksum, n->data,
				  (gssize)strlen(n->data) + 1);
		g_checksum_update(checksum, (const guchar *)text,
				  (gssize)strlen(text) + 1);
	}
	g_list_free(names);
}

char *config_digest(json_object *body)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *digest;

	for (guint i = 0; i < G_N_ELEMENTS(list_names); i++) {
		const char *name = list_names[i];

		g_checksum_update(checksum, (const guchar *)name,
				  (gssize)strlen(name) + 1);
		digest_list(checksum, json_object_object_get(body, name));
	}
	digest_unknown(checksum, body);
	digest = g_strdup(g_checksum_get_string(checksum));
	g_checksum_free(checksum);
	return digest;
}

static void compare_lists(json_object *base, json_object *list,
			  struct config_list_delta *out)
{
	GHashTable *old = index_list(base);
	GHashTable *new = index_list(list);

	for (size_t i = 0; i < length_of(list); i++) {
		json_object *entity = json_object_array_get_idx(list, i);
		json_object *before = g_hash_table_lookup(old, name_of(entity));

		if (!before || !json_object_equal(before, entity))
			json_object_array_add(out->set,
					      json_object_get(entity));
	}
	for (size_t i = 0; i < length_of(base); i++) {
		const char *name = name_of(json_object_array_get_idx(base, i));

		if (!g_hash_table_contains(new, name))
			g_ptr_array_add(out->removed, g_strdup(name));
	}
	g_hash_table_unref(old);
	g_hash_table_unref(new);
}

void config_delta_make(json_object *base, int64_t base_version,
		       json_object *body, int64_t version,
		       struct config_delta *out)
{
	out->base_version = base_version;
	out->version = version;
	out->format = json_object_get_int64(
		json_object_object_get(body, FORMAT_MEMBER));
	out->digest = config_digest(body);
	out->lists = g_array_new(FALSE, TRUE, sizeof(struct config_list_delta));
	for (guint i = 0; i < G_N_ELEMENTS(list_names); i++) {
		struct config_list_delta list = {
			.list = g_strdup(list_names[i]),
			.set = json_object_new_array(),
			.removed = g_ptr_array_new_with_free_func(g_free),
		};

		compare_lists(json_object_object_get(base, list_names[i]),
			      json_object_object_get(body, list_names[i]),
			      &list);
		g_array_append_val(out->lists, list);
	}
}

static gboolean is_removed(const struct config_list_delta *d, const char *name)
{
	return g_ptr_array_find_with_equal_func(d->removed, name, g_str_equal,
						NULL);
}

/* Keeps the base's order; new entities come last. */
static json_object *apply_list(const struct config_list_delta *d,
			       json_object *base)
{
	json_object *out = json_object_new_array();
	GHashTable *set = index_list(d->set);
	GHashTable *old = index_list(base);

	for (size_t i = 0; i < length_of(base); i++) {
		json_object *entity = json_object_array_get_idx(base, i);
		json_object *after = g_hash_table_lookup(set, name_of(entity));

		if (after)
			entity = after;
		else if (is_removed(d, name_of(entity)))
			continue;
		json_object_array_add(out, json_object_get(entity));
	}
	for (size_t i = 0; i < length_of(d->set); i++) {
		json_object *entity = json_object_array_get_idx(d->set, i);

		if (!g_hash_table_contains(old, name_of(entity)))
			json_object_array_add(out, json_object_get(entity));
	}
	g_hash_table_unref(set);
	g_hash_table_unref(old);
	return out;
}

enum status config_delta_apply(const struct config_delta *d, json_object *base,
			       json_object **out)
{
	json_object *body = json_object_new_object();
	enum status status = STATUS_OK;
	char *digest;

	json_object_object_add(body, FORMAT_MEMBER,
			       json_object_new_int64(d->format));
	for (guint i = 0; i < d->lists->len; i++) {
		const struct config_list_delta *list =
			&g_array_index(d->lists, struct config_list_delta, i);

		if (list->set &&
		    !json_object_is_type(list->set, json_type_array))
			continue;
		json_object_object_add(
			body, list->list,
			apply_list(list,
				   json_object_object_get(base, list->list)));
	}
	digest = config_digest(body);
	if (g_str_equal(digest, d->digest))
		*out = body;
	else
		status = status_fail(STATUS_CONFLICT, "digest differs");
	if (status != STATUS_OK)
		json_object_put(body);
	g_free(digest);
	return status;
}
