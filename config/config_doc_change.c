#include "config/config_doc_change.h"

#include <string.h>

/*
 * Each element's struct begins with its name. Jobs are thousands and each is
 * needed when it is submitted only: they are checked and not kept.
 */
static const struct {
	size_t offset; /**< of the GArray in struct config_doc */
	const struct schema *schema;
	gboolean is_kept;
} lists[CONFIG_LIST_COUNT] = {
	{ offsetof(struct config_doc, services), &service_spec_schema, TRUE },
	{ offsetof(struct config_doc, client_accounts), &client_account_schema,
	  TRUE },
	{ offsetof(struct config_doc, jobs), &job_spec_schema, FALSE },
};

/** One list while it is being changed; elements are moved as bytes. */
struct list_change {
	const struct schema *schema;
	GArray **place; /**< of the list in force */
	GArray *next;
	GArray *fresh;	 /**< those decoded here */
	GArray *dropped; /**< those replaced or removed */
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

static void clear_all(GArray *array, const struct schema *schema)
{
	for (guint i = 0; i < array->len; i++)
		schema_clear(schema, element(array, schema, i));
}

/* Decodes what is added or replaced; of two with one name, the last. */
static gboolean decode_fresh(struct list_change *l,
			     const struct config_list_change *c,
			     const char *list_name,
			     struct finding_list *findings)
{
	gboolean is_good = TRUE;

	for (size_t i = 0; i < config_list_change_count(c); i++) {
		json_object *e = json_object_array_get_idx(c->entities, i);
		const char *name = config_entity_name(e);
		char *path;

		if (g_hash_table_lookup(c->set, name) != e)
			continue;
		path = g_strdup_printf("%s.%s", list_name, name);
		g_array_set_size(l->fresh, l->fresh->len + 1);
		is_good &= schema_decode_open(
			l->schema, e,
			element(l->fresh, l->schema, l->fresh->len - 1), path,
			findings);
		g_free(path);
	}
	return is_good;
}

/* Returns name to index in the fresh elements, plus one. */
static GHashTable *index_fresh(const struct list_change *l)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < l->fresh->len; i++)
		g_hash_table_insert(index,
				    (gpointer)name_at(l->fresh, l->schema, i),
				    GUINT_TO_POINTER(i + 1));
	return index;
}

/* Keeps the order of those in force; new ones come last. */
static void merge(struct list_change *l, const struct config_list_change *c)
{
	GHashTable *fresh = index_fresh(l);
	const GArray *old = *l->place;

	for (guint i = 0; old && i < old->len; i++) {
		gpointer e = element(old, l->schema, i);
		const char *name = name_at(old, l->schema, i);
		guint found =
			GPOINTER_TO_UINT(g_hash_table_lookup(fresh, name));

		if (!found && !g_hash_table_contains(c->removed, name)) {
			g_array_append_vals(l->next, e, 1);
			continue;
		}
		g_array_append_vals(l->dropped, e, 1);
		if (!found)
			continue;
		g_array_append_vals(l->next,
				    element(l->fresh, l->schema, found - 1), 1);
		g_hash_table_remove(fresh, name);
	}
	for (guint i = 0; i < l->fresh->len; i++) {
		if (g_hash_table_contains(fresh,
					  name_at(l->fresh, l->schema, i)))
			g_array_append_vals(l->next,
					    element(l->fresh, l->schema, i), 1);
	}
	g_hash_table_unref(fresh);
}

static gboolean list_change_init(struct list_change *l, struct config_doc *doc,
				 const struct config_delta *d, guint list,
				 struct finding_list *findings)
{
	const struct schema *schema = lists[list].schema;
	struct config_list_change c;
	gboolean is_good;

	l->schema = schema;
	l->place = (GArray **)((char *)doc + lists[list].offset);
	config_list_change_init(&c, d, list);
	l->next = g_array_sized_new(FALSE, TRUE, schema->size,
				    (guint)config_list_change_count(&c) +
					    (*l->place ? (*l->place)->len : 0));
	l->fresh = g_array_new(FALSE, TRUE, schema->size);
	l->dropped = g_array_new(FALSE, TRUE, schema->size);
	is_good = decode_fresh(l, &c, config_list_names[list], findings);
	if (is_good)
		merge(l, &c);
	config_list_change_clear(&c);
	return is_good;
}

static void put_in_force(struct list_change *l, gboolean is_kept)
{
	clear_all(l->dropped, l->schema);
	if (!is_kept) {
		clear_all(l->next, l->schema);
		g_array_set_size(l->next, 0);
	}
	if (*l->place)
		g_array_unref(*l->place);
	*l->place = g_array_ref(l->next);
}

static void list_change_clear(struct list_change *l)
{
	g_array_unref(l->next);
	g_array_unref(l->fresh);
	g_array_unref(l->dropped);
}

gboolean config_doc_change(struct config_doc *doc, const struct config_delta *d,
			   struct finding_list *findings)
{
	struct list_change changes[CONFIG_LIST_COUNT];
	struct config_doc next = { .format = d->format };
	gboolean is_good = d->format == CONFIG_FORMAT;

	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		is_good &= list_change_init(&changes[i], doc, d, i, findings);
		*(GArray **)((char *)&next + lists[i].offset) = changes[i].next;
	}
	is_good = is_good && config_doc_check(&next, NULL, findings);
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		if (is_good)
			put_in_force(&changes[i], lists[i].is_kept);
		else
			clear_all(changes[i].fresh, changes[i].schema);
		list_change_clear(&changes[i]);
	}
	if (is_good)
		doc->format = d->format;
	return is_good;
}

void config_doc_drop_jobs(struct config_doc *doc)
{
	clear_all(doc->jobs, &job_spec_schema);
	g_array_unref(doc->jobs);
	doc->jobs = g_array_new(FALSE, TRUE, sizeof(struct job_spec));
}

gboolean config_doc_named_job(const struct config_body *b, const char *name,
			      struct job_spec *out)
{
	const struct config_entity *e =
		config_body_find(b, CONFIG_LIST_JOBS, name);
	struct finding_list findings;
	json_object *json;
	gboolean is_good;

	if (!e)
		return FALSE;
	finding_list_init(&findings);
	json = json_tokener_parse(e->text);
	is_good =
		schema_decode_open(&job_spec_schema, json, out, "", &findings);
	json_object_put(json);
	finding_list_clear(&findings);
	return is_good;
}
