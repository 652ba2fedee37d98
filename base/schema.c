#include "base/schema.h"

#include <string.h>

struct decoder {
	const struct schema_source *source;
	struct finding_list *findings;
	gboolean allows_unknown; /* unknown members are ignored, not findings */
};

static gboolean decode_object(struct decoder *d, const struct schema *schema,
			      json_object *json, void *out, const char *path);

static void add_finding(struct decoder *d, const char *path,
			const char *allowed, const char *problem)
{
	char *place;

	if (d->source)
		place = d->source->place(path, d->source->data);
	else
		place = g_strdup(path[0] ? path : "body");
	finding_list_add(d->findings, place, allowed, "%s", problem);
	g_free(place);
}

static char *join_path(const char *path, const char *name)
{
	if (!path[0])
		return g_strdup(name);
	return g_strdup_printf("%s.%s", path, name);
}

static gboolean check_range(struct decoder *d, const struct field_spec *f,
			    const char *path, double value, const char *problem)
{
	char *allowed;

	if (value >= (double)f->min && value <= (double)f->max)
		return TRUE;
	allowed = g_strdup_printf("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
				  f->min, f->max);
	add_finding(d, path, allowed, problem);
	g_free(allowed);
	return FALSE;
}

static gboolean check_type(struct decoder *d, json_object *json,
			   enum json_type type, const char *path,
			   const char *allowed)
{
	if (json_object_is_type(json, type))
		return TRUE;
	add_finding(d, path, allowed, "wrong type");
	return FALSE;
}

static gboolean decode_string(struct decoder *d, const struct field_spec *f,
			      json_object *json, void *member, const char *path)
{
	const char *text;
	size_t len;

	if (!check_type(d, json, json_type_string, path, "a string"))
		return FALSE;
	text = json_object_get_string(json);
	len = json_object_get_string_len(json);
	if (strlen(text) != len || !g_utf8_validate(text, -1, NULL)) {
		add_finding(d, path, "UTF-8 without NUL",
			    "invalid UTF-8 or embedded NUL");
		return FALSE;
	}
	if (!check_range(d, f, path, (double)len,
			 "length in bytes out of range"))
		return FALSE;
	*(char **)member = g_strdup(text);
	return TRUE;
}

static gboolean decode_int(struct decoder *d, const struct field_spec *f,
			   json_object *json, void *member, const char *path)
{
	if (!check_type(d, json, json_type_int, path, "an integer"))
		return FALSE;
	*(int64_t *)member = json_object_get_int64(json);
	return check_range(d, f, path, (double)json_object_get_int64(json),
			   "value out of range");
}

static gboolean decode_bool(struct decoder *d, const struct field_spec *f,
			    json_object *json, void *member, const char *path)
{
	if (!check_type(d, json, json_type_boolean, path, "true or false"))
		return FALSE;
	*(int64_t *)member = json_object_get_boolean(json) ? 1 : 0;
	return TRUE;
}

static gboolean decode_real(struct decoder *d, const struct field_spec *f,
			    json_object *json, void *member, const char *path)
{
	if (!json_object_is_type(json, json_type_double) &&
	    !check_type(d, json, json_type_int, path, "a number"))
		return FALSE;
	*(double *)member = json_object_get_double(json);
	return check_range(d, f, path, *(double *)member, "value out of range");
}

static gboolean decode_enum(struct decoder *d, const struct field_spec *f,
			    json_object *json, void *member, const char *path)
{
	char *allowed;

	if (!check_type(d, json, json_type_string, path, "a string"))
		return FALSE;
	for (int64_t i = 0; f->names[i]; i++) {
		if (g_str_equal(f->names[i], json_object_get_string(json))) {
			*(int64_t *)member = i;
			return TRUE;
		}
	}
	allowed = g_strjoinv(", ", (char **)f->names);
	add_finding(d, path, allowed, "unknown value");
	g_free(allowed);
	return FALSE;
}

static gboolean decode_member_object(struct decoder *d,
				     const struct field_spec *f,
				     json_object *json, void *member,
				     const char *path)
{
	return decode_object(d, f->schema, json, member, path);
}

static gboolean decode_array(struct decoder *d, const struct field_spec *f,
			     json_object *json, void *member, const char *path)
{
	GArray *array;
	gboolean is_good = TRUE;
	size_t count;

	if (!check_type(d, json, json_type_array, path, "an array"))
		return FALSE;
	count = json_object_array_length(json);
	if (!check_range(d, f, path, (double)count,
			 "number of elements out of range"))
		return FALSE;
	array = g_array_sized_new(FALSE, TRUE, f->schema->size, count);
	g_array_set_size(array, count);
	*(GArray **)member = array;
	for (size_t i = 0; i < count; i++) {
		char *at = g_strdup_printf("%s[%zu]", path, i);

		is_good &= decode_object(d, f->schema,
					 json_object_array_get_idx(json, i),
					 array->data + i * f->schema->size, at);
		g_free(at);
	}
	return is_good;
}

static gboolean decode_strings(struct decoder *d, const struct field_spec *f,
			       json_object *json, void *member,
			       const char *path)
{
	GPtrArray *array;
	size_t count;

	if (!check_type(d, json, json_type_array, path, "an array of strings"))
		return FALSE;
	count = json_object_array_length(json);
	if (!check_range(d, f, path, (double)count,
			 "number of elements out of range"))
		return FALSE;
	array = g_ptr_array_new_with_free_func(g_free);
	*(GPtrArray **)member = array;
	for (size_t i = 0; i < count; i++) {
		json_object *item = json_object_array_get_idx(json, i);

		if (!check_type(d, item, json_type_string, path,
				"an array of strings"))
			return FALSE;
		g_ptr_array_add(array, g_strdup(json_object_get_string(item)));
	}
	return TRUE;
}

static const struct field_spec *find_field(const struct schema *schema,
					   const char *name)
{
	for (const struct field_spec *f = schema->fields; f->name; f++) {
		if (f->type != FIELD_UNKNOWN_MEMBERS &&
		    g_str_equal(f->name, name))
			return f;
	}
	return NULL;
}

/* Returns the members without a field, also of embedded objects, or NULL. */
static json_object *unknown_members(const struct schema *schema,
				    json_object *json)
{
	json_object *rest = NULL;

	json_object_object_foreach(json, key, value)
	{
		const struct field_spec *f = find_field(schema, key);
		json_object *kept = NULL;

		if (f && (f->type != FIELD_OBJECT ||
			  !json_object_is_type(value, json_type_object)))
			continue;
		if (f)
			kept = unknown_members(f->schema, value);
		else
			kept = json_object_get(value);
		if (f && !kept)
			continue;
		if (!rest)
			rest = json_object_new_object();
		json_object_object_add(rest, key, kept);
	}
	return rest;
}

static gboolean keeps_unknown(const struct schema *schema)
{
	for (const struct field_spec *f = schema->fields; f->name; f++) {
		if (f->type == FIELD_UNKNOWN_MEMBERS)
			return TRUE;
	}
	return FALSE;
}

static gboolean decode_json(struct decoder *d, const struct field_spec *f,
			    json_object *json, void *member, const char *path)
{
	*(json_object **)member = json_object_get(json);
	return TRUE;
}

typedef gboolean (*decode_fn)(struct decoder *d, const struct field_spec *f,
			      json_object *json, void *member,
			      const char *path);

static const decode_fn decoders[] = {
	[FIELD_STRING] = decode_string, [FIELD_INT] = decode_int,
	[FIELD_BOOL] = decode_bool,	[FIELD_REAL] = decode_real,
	[FIELD_ENUM] = decode_enum,	[FIELD_OBJECT] = decode_member_object,
	[FIELD_ARRAY] = decode_array,	[FIELD_STRINGS] = decode_strings,
	[FIELD_JSON] = decode_json,
};

static void set_fallback(const struct field_spec *f, void *member)
{
	switch (f->type) {
	case FIELD_INT:
	case FIELD_BOOL:
	case FIELD_ENUM:
		*(int64_t *)member = f->fallback;
		break;
	case FIELD_ARRAY:
		*(GArray **)member = g_array_new(FALSE, TRUE, f->schema->size);
		break;
	case FIELD_STRINGS:
		*(GPtrArray **)member = g_ptr_array_new_with_free_func(g_free);
		break;
	default:
		break;
	}
}

static gboolean decode_field(struct decoder *d, const struct field_spec *f,
			     json_object *json, void *out, const char *path)
{
	void *member = (char *)out + f->offset;
	json_object *value = NULL;
	gboolean is_good;
	char *at;

	at = join_path(path, f->name);
	if (json_object_object_get_ex(json, f->name, &value)) {
		is_good = decoders[f->type](d, f, value, member, at);
	} else {
		set_fallback(f, member);
		is_good = !f->is_required;
		if (!is_good)
			add_finding(d, at, "", "missing");
	}
	g_free(at);
	return is_good;
}

static char *field_names(const struct schema *schema)
{
	GString *text = g_string_new(NULL);

	for (const struct field_spec *f = schema->fields; f->name; f++)
		g_string_append_printf(text, "%s%s", text->len ? ", " : "",
				       f->name);
	return g_string_free(text, FALSE);
}

/* Decodes an object whose schema has a FIELD_UNKNOWN_MEMBERS for unknown
 * members. */
static gboolean decode_keeping_unknown(struct decoder *d,
				       const struct schema *schema,
				       json_object *json, void *out,
				       const char *path)
{
	gboolean allowed_before = d->allows_unknown;
	gboolean is_good = TRUE;

	d->allows_unknown = TRUE;
	for (const struct field_spec *f = schema->fields; f->name; f++) {
		if (f->type == FIELD_UNKNOWN_MEMBERS)
			*(json_object **)((char *)out + f->offset) =
				unknown_members(schema, json);
		else
			is_good &= decode_field(d, f, json, out, path);
	}
	d->allows_unknown = allowed_before;
	return is_good;
}

static gboolean decode_object(struct decoder *d, const struct schema *schema,
			      json_object *json, void *out, const char *path)
{
	gboolean is_good = TRUE;

	if (!check_type(d, json, json_type_object, path, "an object"))
		return FALSE;
	if (keeps_unknown(schema))
		return decode_keeping_unknown(d, schema, json, out, path);
	json_object_object_foreach(json, key, value)
	{
		char *allowed;
		char *at;

		(void)value;
		if (find_field(schema, key))
			continue;
		if (d->allows_unknown) {
			d->findings->ignored_members++;
			continue;
		}
		allowed = field_names(schema);
		at = join_path(path, key);
		add_finding(d, at, allowed, "unknown member");
		g_free(at);
		g_free(allowed);
		is_good = FALSE;
	}
	for (const struct field_spec *f = schema->fields; f->name; f++)
		is_good &= decode_field(d, f, json, out, path);
	return is_good;
}

gboolean schema_decode(const struct schema *schema, json_object *json,
		       void *out, const char *path,
		       const struct schema_source *source,
		       struct finding_list *findings)
{
	struct decoder d = { .source = source, .findings = findings };

	return decode_object(&d, schema, json, out, path);
}

gboolean schema_decode_lenient(const struct schema *schema, json_object *json,
			       void *out, const char *path,
			       struct finding_list *findings)
{
	struct decoder d = { .findings = findings, .allows_unknown = TRUE };

	return decode_object(&d, schema, json, out, path);
}

static json_object *encode_array(const struct schema *schema, GArray *array)
{
	json_object *json = json_object_new_array();

	for (guint i = 0; array && i < array->len; i++)
		json_object_array_add(
			json,
			schema_encode(schema, array->data + i * schema->size));
	return json;
}

static json_object *encode_strings(GPtrArray *array)
{
	json_object *json = json_object_new_array();

	for (guint i = 0; array && i < array->len; i++)
		json_object_array_add(json,
				      json_object_new_string(array->pdata[i]));
	return json;
}

static json_object *encode_field(const struct field_spec *f, const void *member)
{
	const char *text;

	switch (f->type) {
	case FIELD_STRING:
		text = *(char *const *)member;
		return text ? json_object_new_string(text) : NULL;
	case FIELD_INT:
		return json_object_new_int64(*(const int64_t *)member);
	case FIELD_BOOL:
		return json_object_new_boolean(*(const int64_t *)member != 0);
	case FIELD_REAL:
		return json_object_new_double(*(const double *)member);
	case FIELD_ENUM:
		return json_object_new_string(
			f->names[*(const int64_t *)member]);
	case FIELD_OBJECT:
		return schema_encode(f->schema, member);
	case FIELD_ARRAY:
		return encode_array(f->schema, *(GArray *const *)member);
	case FIELD_STRINGS:
		return encode_strings(*(GPtrArray *const *)member);
	case FIELD_JSON:
		return json_object_get(*(json_object *const *)member);
	case FIELD_UNKNOWN_MEMBERS:
		break;
	}
	return NULL;
}

static void merge_unknown(json_object *json, json_object *rest)
{
	if (!rest)
		return;
	json_object_object_foreach(rest, key, value)
	{
		json_object *known = json_object_object_get(json, key);

		if (known)
			merge_unknown(known, value);
		else
			json_object_object_add(json, key,
					       json_object_get(value));
	}
}

json_object *schema_encode(const struct schema *schema, const void *in)
{
	json_object *json = json_object_new_object();

	for (const struct field_spec *f = schema->fields; f->name; f++) {
		const void *member = (const char *)in + f->offset;
		json_object *value = encode_field(f, member);

		if (f->type == FIELD_UNKNOWN_MEMBERS)
			merge_unknown(json, *(json_object *const *)member);
		else if (value)
			json_object_object_add(json, f->name, value);
	}
	return json;
}

static void clear_array(const struct schema *schema, GArray *array)
{
	if (!array)
		return;
	for (guint i = 0; i < array->len; i++)
		schema_clear(schema, array->data + i * schema->size);
	g_array_free(array, TRUE);
}

void schema_clear(const struct schema *schema, void *data)
{
	for (const struct field_spec *f = schema->fields; f->name; f++) {
		void *member = (char *)data + f->offset;

		if (f->type == FIELD_STRING)
			g_free(*(char **)member);
		else if (f->type == FIELD_OBJECT)
			schema_clear(f->schema, member);
		else if (f->type == FIELD_ARRAY)
			clear_array(f->schema, *(GArray **)member);
		else if (f->type == FIELD_STRINGS && *(GPtrArray **)member)
			g_ptr_array_unref(*(GPtrArray **)member);
		else if (f->type == FIELD_JSON ||
			 f->type == FIELD_UNKNOWN_MEMBERS)
			json_object_put(*(json_object **)member);
	}
	memset(data, 0, schema->size);
}
