#include "config/config_doc_change.h"

#include <string.h>

/*
 * Lists of a configuration. The struct of each element begins with its name,
 * see name_at(). There are thousands of jobs and each is needed only when it is
 * submitted, so they are checked but not kept.
 */
static const struct {
	size_t offset; /**< of the GArray in struct config_doc */
	const struct schema *schema;
	gboolean keeps_elements;
} list_specs[CONFIG_LIST_COUNT] = {
	{ offsetof(struct config_doc, services), &service_spec_schema, TRUE },
	{ offsetof(struct config_doc, client_accounts), &client_account_schema,
	  TRUE },
	{ offsetof(struct config_doc, jobs), &job_spec_schema, FALSE },
};

/** Update of one list; elements are moved between the arrays as bytes. */
struct list_update {
	const struct schema *schema;
	GArray **current; /**< member of the configuration in force */
	GArray *updated;  /**< all elements of the result */
	GArray *decoded;  /**< elements added or replaced */
	GArray *obsolete; /**< elements replaced or removed */
};

static gpointer element(const GArray *array, const struct schema *schema,
			guint index)
{
	return array->data + index * schema->size;
}

static const char *name_at(const GArray *array, const struct schema *schema,
			   guint index)
{
	return *(char **)element(array, schema, index);
}

static void clear_elements(GArray *array, const struct schema *schema)
{
	for (guint i = 0; i < array->len; i++)
		schema_clear(schema, element(array, schema, i));
}

/* Decodes the entities added or replaced; of equal names only the last. */
static gboolean decode_upserts(struct list_update *l,
			       const struct config_list_edits *c,
			       const char *list_name,
			       struct finding_list *findings)
{
	gboolean is_valid = TRUE;

	for (size_t i = 0; i < config_list_edits_upsert_count(c); i++) {
		json_object *e = json_object_array_get_idx(c->upserts, i);
		const char *name = config_entity_name(e);
		char *path;

		if (g_hash_table_lookup(c->upserts_by_name, name) != e)
			continue;
		path = g_strdup_printf("%s.%s", list_name, name);
		g_array_set_size(l->decoded, l->decoded->len + 1);
		is_valid &= schema_decode_lenient(
			l->schema, e,
			element(l->decoded, l->schema, l->decoded->len - 1),
			path, findings);
		g_free(path);
	}
	return is_valid;
}

/* Maps the name of each decoded element to its index plus one. */
static GHashTable *index_decoded(const struct list_update *l)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < l->decoded->len; i++)
		g_hash_table_insert(index,
				    (gpointer)name_at(l->decoded, l->schema, i),
				    GUINT_TO_POINTER(i + 1));
	return index;
}

/* Keeps the order of the list in force and appends new elements. */
static void merge_list(struct list_update *l, const struct config_list_edits *c)
{
	GHashTable *by_name = index_decoded(l);
	const GArray *old = *l->current;

	for (guint i = 0; old && i < old->len; i++) {
		gpointer e = element(old, l->schema, i);
		const char *name = name_at(old, l->schema, i);
		guint position =
			GPOINTER_TO_UINT(g_hash_table_lookup(by_name, name));

		if (!position &&
		    !g_hash_table_contains(c->removed_names, name)) {
			g_array_append_vals(l->updated, e, 1);
			continue;
		}
		g_array_append_vals(l->obsolete, e, 1);
		if (!position)
			continue;
		g_array_append_vals(
			l->updated,
			element(l->decoded, l->schema, position - 1), 1);
		g_hash_table_remove(by_name, name);
	}
	for (guint i = 0; i < l->decoded->len; i++) {
		if (g_hash_table_contains(by_name,
					  name_at(l->decoded, l->schema, i)))
			g_array_append_vals(l->updated,
					    element(l->decoded, l->schema, i),
					    1);
	}
	g_hash_table_unref(by_name);
}

static gboolean list_update_init(struct list_update *l, struct config_doc *doc,
				 const struct config_delta *d, guint list,
				 struct finding_list *findings)
{
	const struct schema *schema = list_specs[list].schema;
	struct config_list_edits c;
	gboolean is_valid;

	l->schema = schema;
	l->current = (GArray **)((char *)doc + list_specs[list].offset);
	config_list_edits_init(&c, d, list);
	l->updated = g_array_sized_new(
		FALSE, TRUE, schema->size,
		(guint)config_list_edits_upsert_count(&c) +
			(*l->current ? (*l->current)->len : 0));
	l->decoded = g_array_new(FALSE, TRUE, schema->size);
	l->obsolete = g_array_new(FALSE, TRUE, schema->size);
	is_valid = decode_upserts(l, &c, config_list_names[list], findings);
	if (is_valid)
		merge_list(l, &c);
	config_list_edits_clear(&c);
	return is_valid;
}

static void commit_list(struct list_update *l, gboolean keeps_elements)
{
	clear_elements(l->obsolete, l->schema);
	if (!keeps_elements) {
		clear_elements(l->updated, l->schema);
		g_array_set_size(l->updated, 0);
	}
	if (*l->current)
		g_array_unref(*l->current);
	*l->current = g_array_ref(l->updated);
}

static void list_update_clear(struct list_update *l)
{
	g_array_unref(l->updated);
	g_array_unref(l->decoded);
	g_array_unref(l->obsolete);
}

gboolean config_doc_apply_delta(struct config_doc *doc,
				const struct config_delta *d,
				struct finding_list *findings)
{
	struct list_update updates[CONFIG_LIST_COUNT];
	struct config_doc next = { .format = d->format };
	gboolean is_valid = d->format == CONFIG_FORMAT;

	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		is_valid &= list_update_init(&updates[i], doc, d, i, findings);
		*(GArray **)((char *)&next + list_specs[i].offset) =
			updates[i].updated;
	}
	is_valid = is_valid && config_doc_check(&next, NULL, findings);
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		if (is_valid)
			commit_list(&updates[i], list_specs[i].keeps_elements);
		else
			clear_elements(updates[i].decoded, updates[i].schema);
		list_update_clear(&updates[i]);
	}
	if (is_valid)
		doc->format = d->format;
	return is_valid;
}

void config_doc_drop_jobs(struct config_doc *doc)
{
	clear_elements(doc->jobs, &job_spec_schema);
	g_array_unref(doc->jobs);
	doc->jobs = g_array_new(FALSE, TRUE, sizeof(struct job_spec));
}

gboolean config_doc_decode_job(const struct config_body *b, const char *name,
			       struct job_spec *out)
{
	const struct config_entity *e =
		config_body_find(b, CONFIG_LIST_JOBS, name);
	struct finding_list findings;
	json_object *json;
	gboolean is_valid;

	if (!e)
		return FALSE;
	finding_list_init(&findings);
	json = json_tokener_parse(e->text);
	is_valid = schema_decode_lenient(&job_spec_schema, json, out, "",
					 &findings);
	json_object_put(json);
	finding_list_clear(&findings);
	return is_valid;
}
