#include "base/json_text.h"

#include <string.h>

/* What json-c allocates on 64-bit machines, with the allocator's overhead. */
#define OBJECT_BYTES 800  /* an object and its table of 16 entries */
#define ARRAY_BYTES 120	  /* an array; its list is cut to its elements */
#define MEMBER_BYTES 220  /* a key, its share of a table, a scalar */
#define ELEMENT_BYTES 112 /* a scalar and its place in a list */

/*
 * Walks through a valid JSON text. It keeps the path of the current value and
 * the keys of the objects around it, so that its memory doesn't grow with the
 * number of values. It either reports duplicate keys or looks for the line of
 * a path.
 */
struct scanner {
	const struct json_text *text;
	struct finding_list
		*findings;  /* of duplicate keys, NULL for a search */
	const char *target; /* the path sought, or NULL */
	guint target_line;  /* of the target or its nearest parent so far */
	GString *path;
	const char *at;
	const char *end;
	guint line;
	gboolean has_duplicate;
};

static void scan_value(struct scanner *s);

static void skip_comment(struct scanner *s)
{
	gboolean is_block = s->at + 1 < s->end && s->at[1] == '*';

	s->at += 2;
	while (s->at < s->end) {
		if (*s->at == '\n' && !is_block)
			return;
		if (*s->at == '\n')
			s->line++;
		if (is_block && s->at + 1 < s->end && s->at[0] == '*' &&
		    s->at[1] == '/') {
			s->at += 2;
			return;
		}
		s->at++;
	}
}

static void skip_blanks(struct scanner *s)
{
	while (s->at < s->end) {
		if (*s->at == '/') {
			skip_comment(s);
			continue;
		}
		if (!g_ascii_isspace(*s->at))
			return;
		if (*s->at == '\n')
			s->line++;
		s->at++;
	}
}

static char *scan_string(struct scanner *s)
{
	const char *start = ++s->at;
	char *text;

	while (s->at < s->end && *s->at != '"')
		s->at += *s->at == '\\' ? 2 : 1;
	s->at = MIN(s->at, s->end);
	text = g_strndup(start, s->at - start);
	s->at = MIN(s->at + 1, s->end);
	return text;
}

static char *format_place(const struct json_text *t, const char *path,
			  guint line)
{
	return g_strdup_printf("%s:%u: %s", t->name, line, path);
}

/* Returns TRUE if a path is the other one or the path of a value around it. */
static gboolean is_path_around(const GString *path, const char *inner)
{
	return strncmp(inner, path->str, path->len) == 0 &&
	       strchr(".[", inner[path->len]);
}

static void visit_path(struct scanner *s)
{
	if (s->target && is_path_around(s->path, s->target))
		s->target_line = s->line;
}

static void record_key(struct scanner *s, GHashTable *keys, char *key)
{
	char *place;

	if (g_hash_table_add(keys, key))
		return;
	place = format_place(s->text, s->path->str, s->line);
	finding_list_add(s->findings, place, "each key once", "duplicate key");
	g_free(place);
	s->has_duplicate = TRUE;
}

static void scan_member(struct scanner *s, GHashTable *keys)
{
	gsize parent_len = s->path->len;
	char *key = scan_string(s);

	if (parent_len)
		g_string_append_c(s->path, '.');
	g_string_append(s->path, key);
	visit_path(s);
	if (keys)
		record_key(s, keys, key);
	else
		g_free(key);
	skip_blanks(s);
	s->at++; /* the colon */
	scan_value(s);
	g_string_truncate(s->path, parent_len);
}

static void scan_object(struct scanner *s)
{
	GHashTable *keys = NULL;

	if (s->findings)
		keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     NULL);
	s->at++;
	for (skip_blanks(s); s->at < s->end && *s->at == '"'; skip_blanks(s)) {
		scan_member(s, keys);
		skip_blanks(s);
		if (s->at < s->end && *s->at == ',')
			s->at++;
	}
	s->at++;
	g_clear_pointer(&keys, g_hash_table_unref);
}

static void scan_array(struct scanner *s)
{
	gsize parent_len = s->path->len;
	guint index = 0;

	s->at++;
	for (skip_blanks(s); s->at < s->end && *s->at != ']'; skip_blanks(s)) {
		g_string_append_printf(s->path, "[%u]", index++);
		visit_path(s);
		scan_value(s);
		g_string_truncate(s->path, parent_len);
		skip_blanks(s);
		if (s->at < s->end && *s->at == ',')
			s->at++;
	}
	s->at++;
}

static void scan_value(struct scanner *s)
{
	skip_blanks(s);
	if (s->at >= s->end)
		return;
	if (*s->at == '{') {
		scan_object(s);
	} else if (*s->at == '[') {
		scan_array(s);
	} else if (*s->at == '"') {
		g_free(scan_string(s));
	} else {
		while (s->at < s->end && !strchr(",]}/ \t\r\n", *s->at))
			s->at++;
	}
}

static void scan(struct scanner *s, const char *text, gsize len)
{
	s->at = text;
	s->end = text + len;
	s->line = 1;
	s->path = g_string_new(NULL);
	scan_value(s);
	g_string_free(s->path, TRUE);
}

static guint line_at(const char *text, gsize offset)
{
	guint line = 1;

	for (gsize i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

static gboolean only_blanks(const char *text, gsize from, gsize len)
{
	struct scanner s = { .at = text + from, .end = text + len };

	skip_blanks(&s);
	return s.at >= s.end;
}

static gboolean parse(struct json_text *t, const char *text, gsize len,
		      enum json_dialect dialect, struct finding_list *findings)
{
	struct json_tokener *tokener = json_tokener_new_ex(JSON_MAX_DEPTH);
	enum json_tokener_error error;
	const char *problem = NULL;
	gsize end;

	if (dialect == JSON_STRICT)
		json_tokener_set_flags(
			tokener, JSON_TOKENER_STRICT |
					 JSON_TOKENER_VALIDATE_UTF8 |
					 JSON_TOKENER_ALLOW_TRAILING_CHARS);
	t->root = json_tokener_parse_ex(tokener, text, (int)len);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	json_tokener_free(tokener);
	if (error != json_tokener_success)
		problem = error == json_tokener_continue
				  ? "text ends early"
				  : json_tokener_error_desc(error);
	else if (!only_blanks(text, end, len))
		problem = "text after the value";
	else if (!t->root)
		problem = "null is not allowed here";
	if (problem) {
		char *place = format_place(t, "", line_at(text, MIN(end, len)));

		finding_list_add(findings, place, "one JSON value", "%s",
				 problem);
		g_free(place);
	}
	return !problem;
}

gboolean json_text_parse(struct json_text *t, const char *name,
			 const char *text, gsize len, enum json_dialect dialect,
			 struct finding_list *findings)
{
	struct scanner s = { .text = t, .findings = findings };

	memset(t, 0, sizeof(*t));
	t->name = g_strdup(name);
	if (len > G_MAXINT || !parse(t, text, len, dialect, findings))
		return FALSE;
	t->source = text;
	t->source_bytes = len;
	scan(&s, text, len);
	return !s.has_duplicate;
}

gsize json_text_parsed_bytes(const char *text, gsize len)
{
	gboolean is_string = FALSE;
	gsize bytes = len;

	for (gsize i = 0; i < len; i++) {
		if (is_string && text[i] == '\\')
			i++;
		else if (text[i] == '"')
			is_string = !is_string;
		else if (is_string)
			continue;
		else if (text[i] == '{')
			bytes += OBJECT_BYTES;
		else if (text[i] == '[')
			bytes += ARRAY_BYTES;
		else if (text[i] == ':')
			bytes += MEMBER_BYTES;
		else if (text[i] == ',')
			bytes += ELEMENT_BYTES;
	}
	return bytes;
}

json_object *json_text_parse_value(const char *text, gsize len)
{
	struct json_text t = { .name = "body" };
	struct finding_list findings;

	if (len > G_MAXINT)
		return NULL;
	finding_list_init(&findings);
	if (!parse(&t, text, len, JSON_STRICT, &findings))
		g_clear_pointer(&t.root, json_object_put);
	finding_list_clear(&findings);
	return t.root;
}

gboolean json_text_load(struct json_text *t, const char *file_name,
			enum json_dialect dialect,
			struct finding_list *findings)
{
	GError *error = NULL;
	char *text = NULL;
	gboolean is_good;
	gsize len = 0;

	memset(t, 0, sizeof(*t));
	if (!g_file_get_contents(file_name, &text, &len, &error)) {
		finding_list_add(findings, file_name, "a readable file", "%s",
				 error->message);
		g_error_free(error);
		return FALSE;
	}
	is_good = json_text_parse(t, file_name, text, len, dialect, findings);
	t->loaded = text;
	return is_good;
}

void json_text_clear(struct json_text *t)
{
	g_clear_pointer(&t->name, g_free);
	g_clear_pointer(&t->loaded, g_free);
	t->source = NULL;
	g_clear_pointer(&t->root, json_object_put);
}

/* A missing member is reported at the line of its nearest parent. */
static char *source_place(const char *path, const void *data)
{
	const struct json_text *t = data;
	struct scanner s = { .text = t, .target = path, .target_line = 1 };

	if (t->source)
		scan(&s, t->source, t->source_bytes);
	return format_place(t, path, s.target_line);
}

struct schema_source json_text_source(const struct json_text *t)
{
	struct schema_source source = { .place = source_place, .data = t };

	return source;
}

gboolean json_text_decode_file(const char *file_name,
			       const struct schema *schema, void *out,
			       struct finding_list *findings)
{
	struct schema_source source;
	gboolean is_good;
	struct json_text t;

	is_good = json_text_load(&t, file_name, JSON_WITH_COMMENTS, findings);
	if (t.root) {
		source = json_text_source(&t);
		is_good &= schema_decode(schema, t.root, out, "", &source,
					 findings);
	}
	json_text_clear(&t);
	return is_good;
}
