#include "base/json_elements.h"

#include <string.h>

#include "base/json_text.h"

/** Nesting levels above an element: the top-level object and the array. */
#define OUTER_DEPTH 2

struct walk {
	json_tokener *tokener;
	const char *start;
	const char *at;
	const char *end;
	const char *member;
	gboolean has_member;
	gboolean has_array;
	json_element_fn fn;
	void *data;
};

static void skip_blanks(struct walk *w)
{
	while (w->at < w->end && strchr(" \t\r\n", *w->at) && *w->at)
		w->at++;
}

static gboolean is_next(struct walk *w, char c)
{
	skip_blanks(w);
	return w->at < w->end && *w->at == c;
}

static gboolean skip(struct walk *w, char c)
{
	if (!is_next(w, c))
		return FALSE;
	w->at++;
	return TRUE;
}

/* Parses one value; JSON null counts as a value. */
static gboolean parse_value(struct walk *w, json_object **value)
{
	skip_blanks(w);
	json_tokener_reset(w->tokener);
	*value =
		json_tokener_parse_ex(w->tokener, w->at, (int)(w->end - w->at));
	if (json_tokener_get_error(w->tokener) != json_tokener_success)
		return FALSE;
	w->at += json_tokener_get_parse_end(w->tokener);
	return TRUE;
}

static gboolean walk_array(struct walk *w)
{
	w->has_array = TRUE;
	w->at++;
	if (skip(w, ']'))
		return TRUE;
	do {
		json_object *element = NULL;

		if (!parse_value(w, &element))
			return FALSE;
		w->fn(element, w->data);
		json_object_put(element);
	} while (skip(w, ','));
	return skip(w, ']');
}

static gboolean skip_value(struct walk *w)
{
	json_object *value = NULL;
	gboolean is_valid = parse_value(w, &value);

	json_object_put(value);
	return is_valid;
}

/* Parses a key and the colon; sets @is_wanted if it names the member. */
static gboolean parse_key(struct walk *w, gboolean *is_wanted)
{
	json_object *key = NULL;
	gboolean is_valid =
		is_next(w, '"') && parse_value(w, &key) && skip(w, ':');

	*is_wanted =
		is_valid && g_str_equal(json_object_get_string(key), w->member);
	json_object_put(key);
	return is_valid;
}

static gboolean walk_member(struct walk *w)
{
	gboolean is_wanted;

	if (!parse_key(w, &is_wanted) || (is_wanted && w->has_member))
		return FALSE;
	w->has_member |= is_wanted;
	if (is_wanted && is_next(w, '['))
		return walk_array(w);
	return skip_value(w);
}

static gboolean walk_object(struct walk *w)
{
	w->at++;
	if (skip(w, '}'))
		return TRUE;
	do {
		if (!walk_member(w))
			return FALSE;
	} while (skip(w, ','));
	return skip(w, '}');
}

static gboolean walk_body(struct walk *w)
{
	if (!(is_next(w, '{') ? walk_object(w) : skip_value(w)))
		return FALSE;
	skip_blanks(w);
	return w->at == w->end;
}

static void add_syntax_finding(const struct walk *w,
			       struct finding_list *findings)
{
	char *place = g_strdup_printf("byte %td", w->at - w->start);

	finding_list_add(findings, place, "one JSON value", "invalid JSON");
	g_free(place);
}

gboolean json_elements_each(GBytes *body, const char *member,
			    json_element_fn fn, void *data,
			    struct finding_list *findings)
{
	gsize len = 0;
	const char *text = g_bytes_get_data(body, &len);
	struct walk w = { .member = member, .fn = fn, .data = data };
	gboolean is_valid;

	w.tokener = json_tokener_new_ex(JSON_MAX_DEPTH - OUTER_DEPTH);
	json_tokener_set_flags(
		w.tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8 |
				   JSON_TOKENER_ALLOW_TRAILING_CHARS);
	w.start = text ? text : "";
	w.at = w.start;
	w.end = w.start + MIN(len, (gsize)G_MAXINT);
	is_valid = len <= G_MAXINT && walk_body(&w);
	if (!is_valid)
		add_syntax_finding(&w, findings);
	else if (!w.has_array)
		finding_list_add(findings, member, "an array",
				 "missing or not an array");
	json_tokener_free(w.tokener);
	return is_valid && w.has_array;
}
