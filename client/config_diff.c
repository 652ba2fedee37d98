#include "client/config_diff.h"

#include <glib.h>

static const char *const list_names[] = { "services", "client_accounts", "jobs",
					  NULL };

static const char *entry_name(json_object *entry)
{
	json_object *name = NULL;

	json_object_object_get_ex(entry, "name", &name);
	return name ? json_object_get_string(name) : "";
}

static json_object *find_entry(json_object *list, const char *name)
{
	size_t count = list ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(list, i);

		if (g_str_equal(entry_name(entry), name))
			return entry;
	}
	return NULL;
}

static json_object *named_list(json_object *config, const char *name)
{
	json_object *list = NULL;

	if (config)
		json_object_object_get_ex(config, name, &list);
	return list;
}

static void append_changes(GString *text, const char *list_name,
			   json_object *before, json_object *after)
{
	size_t count = after ? json_object_array_length(after) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(after, i);
		json_object *old = find_entry(before, entry_name(entry));

		if (!old)
			g_string_append_printf(text, "+ %s %s\n", list_name,
					       entry_name(entry));
		else if (!json_object_equal(old, entry))
			g_string_append_printf(text, "~ %s %s\n", list_name,
					       entry_name(entry));
	}
}

static void append_removed(GString *text, const char *list_name,
			   json_object *before, json_object *after)
{
	size_t count = before ? json_object_array_length(before) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(before, i);

		if (!find_entry(after, entry_name(entry)))
			g_string_append_printf(text, "- %s %s\n", list_name,
					       entry_name(entry));
	}
}

char *config_diff_text(json_object *before, json_object *after)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; list_names[i]; i++) {
		json_object *old = named_list(before, list_names[i]);
		json_object *new = named_list(after, list_names[i]);

		append_changes(text, list_names[i], old, new);
		append_removed(text, list_names[i], old, new);
	}
	return g_string_free(text, FALSE);
}
