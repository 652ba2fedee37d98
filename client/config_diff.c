#include "client/config_diff.h"

#include <glib.h>

static const char *const lists[] = { "services", "client_accounts", "jobs",
				     NULL };

static const char *name_of(json_object *entry)
{
	json_object *name = NULL;

	json_object_object_get_ex(entry, "name", &name);
	return name ? json_object_get_string(name) : "";
}

static json_object *find(json_object *list, const char *name)
{
	size_t count = list ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(list, i);

		if (g_str_equal(name_of(entry), name))
			return entry;
	}
	return NULL;
}

static json_object *list_of(json_object *config, const char *name)
{
	json_object *list = NULL;

	if (config)
		json_object_object_get_ex(config, name, &list);
	return list;
}

static void append_new(GString *text, const char *list_name,
		       json_object *before, json_object *after)
{
	size_t count = after ? json_object_array_length(after) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(after, i);
		json_object *old = find(before, name_of(entry));

		if (!old)
			g_string_append_printf(text, "+ %s %s\n", list_name,
					       name_of(entry));
		else if (!json_object_equal(old, entry))
			g_string_append_printf(text, "~ %s %s\n", list_name,
					       name_of(entry));
	}
}

static void append_gone(GString *text, const char *list_name,
			json_object *before, json_object *after)
{
	size_t count = before ? json_object_array_length(before) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(before, i);

		if (!find(after, name_of(entry)))
			g_string_append_printf(text, "- %s %s\n", list_name,
					       name_of(entry));
	}
}

char *config_diff_text(json_object *before, json_object *after)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; lists[i]; i++) {
		json_object *old = list_of(before, lists[i]);
		json_object *new = list_of(after, lists[i]);

		append_new(text, lists[i], old, new);
		append_gone(text, lists[i], old, new);
	}
	return g_string_free(text, FALSE);
}
