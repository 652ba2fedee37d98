#include "config/config_body.h"

#include <string.h>

#define DIGEST_BYTES sizeof(((struct config_entity *)NULL)->digest)
#define DIGEST_WORDS (DIGEST_BYTES / sizeof(uint64_t))
#define NAME_MEMBER "name"
#define FORMAT_MEMBER "format"

const char *const config_list_names[CONFIG_LIST_COUNT] = {
	[CONFIG_LIST_SERVICES] = "services",
	[CONFIG_LIST_ACCOUNTS] = "client_accounts",
	[CONFIG_LIST_JOBS] = "jobs",
};

struct entity_list {
	GPtrArray *entities; /**< of struct config_entity, in order; owned */
	GHashTable *by_name; /**< name to entity */
};

struct config_body {
	gint ref_count;
	int64_t format;
	/** Word-wise sum of the digests of all entities and unknown members. */
	uint64_t digest[DIGEST_WORDS];
	json_object *rest; /**< unknown members, or NULL */
	struct entity_list lists[CONFIG_LIST_COUNT];
};

static void entity_unref(gpointer data)
{
	struct config_entity *e = data;

	if (--e->ref_count == 0)
		g_free(e);
}

const char *config_entity_name(json_object *entity)
{
	const char *name = json_object_get_string(
		json_object_object_get(entity, NAME_MEMBER));

	return name ? name : "";
}

/* Includes the list, so that equal entities of two lists differ in digest. */
static void digest_entity(struct config_entity *e, guint list)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = DIGEST_BYTES;
	const char *list_name = config_list_names[list];

	g_checksum_update(checksum, (const guchar *)list_name,
			  (gssize)strlen(list_name) + 1);
	g_checksum_update(checksum, (const guchar *)e->text,
			  (gssize)strlen(e->text));
	g_checksum_get_digest(checksum, e->digest, &len);
	g_checksum_free(checksum);
}

static struct config_entity *entity_new(json_object *json, guint list)
{
	const char *text =
		json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
	const char *name = config_entity_name(json);
	size_t text_bytes = strlen(text) + 1;
	size_t name_bytes = strlen(name) + 1;
	struct config_entity *e =
		g_malloc0(sizeof(*e) + text_bytes + name_bytes);

	e->ref_count = 1;
	memcpy(e->text, text, text_bytes);
	memcpy(e->text + text_bytes, name, name_bytes);
	e->name = e->text + text_bytes;
	digest_entity(e, list);
	return e;
}

int config_list_index(const char *name)
{
	for (int i = 0; i < CONFIG_LIST_COUNT; i++) {
		if (g_str_equal(config_list_names[i], name))
			return i;
	}
	return -1;
}

struct config_body *config_body_new_empty(int64_t format)
{
	struct config_body *b = g_new0(struct config_body, 1);

	b->ref_count = 1;
	b->format = format;
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		b->lists[i].entities =
			g_ptr_array_new_with_free_func(entity_unref);
		b->lists[i].by_name = g_hash_table_new(g_str_hash, g_str_equal);
	}
	return b;
}

static void add_digest(struct config_body *b, const guint8 *digest)
{
	for (guint i = 0; i < DIGEST_WORDS; i++) {
		uint64_t word;

		memcpy(&word, digest + i * sizeof(word), sizeof(word));
		b->digest[i] += GUINT64_FROM_LE(word);
	}
}

static void add_unknown_member(struct config_body *b, const char *name,
			       json_object *value)
{
	const char *text =
		json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[DIGEST_BYTES];
	gsize len = DIGEST_BYTES;

	g_checksum_update(checksum, (const guchar *)name,
			  (gssize)strlen(name) + 1);
	g_checksum_update(checksum, (const guchar *)text, (gssize)strlen(text));
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	add_digest(b, digest);
	if (!b->rest)
		b->rest = json_object_new_object();
	json_object_object_add(b->rest, name, json_object_get(value));
}

/*
 * Keeps unknown members, which a process of a later version may have written.
 * A delta can't carry them: its digest then doesn't match, and the receiver
 * requests the whole body.
 */
static void add_unknown_members(struct config_body *b, json_object *json)
{
	json_object_object_foreach(json, key, value)
	{
		if (config_list_index(key) < 0 &&
		    !g_str_equal(key, FORMAT_MEMBER))
			add_unknown_member(b, key, value);
	}
}

struct config_body *config_body_new(json_object *json)
{
	struct config_body *b = config_body_new_empty(json_object_get_int64(
		json_object_object_get(json, FORMAT_MEMBER)));

	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		json_object *list =
			json_object_object_get(json, config_list_names[i]);
		size_t count = list ? json_object_array_length(list) : 0;

		for (size_t j = 0; j < count; j++)
			config_body_add(b, i,
					json_object_array_get_idx(list, j));
	}
	add_unknown_members(b, json);
	return b;
}

struct config_body *config_body_ref(struct config_body *b)
{
	if (b)
		b->ref_count++;
	return b;
}

void config_body_unref(struct config_body *b)
{
	if (!b || --b->ref_count > 0)
		return;
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++) {
		g_hash_table_unref(b->lists[i].by_name);
		g_ptr_array_unref(b->lists[i].entities);
	}
	json_object_put(b->rest);
	g_free(b);
}

static json_object *encode_list(const struct entity_list *list)
{
	json_object *out = json_object_new_array_ext((int)list->entities->len);

	for (guint i = 0; i < list->entities->len; i++) {
		const struct config_entity *e = list->entities->pdata[i];

		json_object_array_add(out, json_tokener_parse(e->text));
	}
	return out;
}

json_object *config_body_encode(const struct config_body *b)
{
	json_object *out = json_object_new_object();

	json_object_object_add(out, FORMAT_MEMBER,
			       json_object_new_int64(b->format));
	for (guint i = 0; i < CONFIG_LIST_COUNT; i++)
		json_object_object_add(out, config_list_names[i],
				       encode_list(&b->lists[i]));
	if (!b->rest)
		return out;
	json_object_object_foreach(b->rest, key, value)
	{
		json_object_object_add(out, key, json_object_get(value));
	}
	return out;
}

int64_t config_body_format(const struct config_body *b)
{
	return b->format;
}

char *config_body_digest(const struct config_body *b)
{
	GString *hex = g_string_new(NULL);

	for (guint i = 0; i < DIGEST_WORDS; i++)
		g_string_append_printf(hex, "%016" G_GINT64_MODIFIER "x",
				       b->digest[i]);
	return g_string_free(hex, FALSE);
}

guint config_body_count(const struct config_body *b, guint list)
{
	return b ? b->lists[list].entities->len : 0;
}

const struct config_entity *config_body_get(const struct config_body *b,
					    guint list, guint index)
{
	return b->lists[list].entities->pdata[index];
}

const struct config_entity *config_body_find(const struct config_body *b,
					     guint list, const char *name)
{
	return b ? g_hash_table_lookup(b->lists[list].by_name, name) : NULL;
}

/* Takes over the caller's reference. */
static void insert_entity(struct config_body *b, guint list,
			  struct config_entity *e)
{
	add_digest(b, e->digest);
	g_ptr_array_add(b->lists[list].entities, e);
	g_hash_table_insert(b->lists[list].by_name, (gpointer)e->name, e);
}

void config_body_add(struct config_body *b, guint list, json_object *entity)
{
	insert_entity(b, list, entity_new(entity, list));
}

void config_body_add_shared(struct config_body *b, guint list,
			    const struct config_entity *e)
{
	struct config_entity *shared = (struct config_entity *)e;

	shared->ref_count++;
	insert_entity(b, list, shared);
}
