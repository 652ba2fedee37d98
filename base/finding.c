#include "base/finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static void finding_free(gpointer data)
{
	struct finding *f = data;

	g_free(f->place);
	g_free(f->problem);
	g_free(f->allowed);
	g_free(f);
}

void finding_list_init(struct finding_list *list)
{
	list->items = g_ptr_array_new_with_free_func(finding_free);
	list->count = 0;
	list->kept_bytes = 0;
	list->ignored_members = 0;
}

void finding_list_clear(struct finding_list *list)
{
	g_clear_pointer(&list->items, g_ptr_array_unref);
}

void finding_list_add(struct finding_list *list, const char *place,
		      const char *allowed, const char *format, ...)
{
	struct finding *f;
	va_list args;

	list->count++;
	if (list->items->len >= FINDING_MAX_KEPT ||
	    list->kept_bytes >= FINDING_MAX_KEPT_BYTES)
		return;
	f = g_new0(struct finding, 1);
	va_start(args, format);
	f->problem = g_strdup_vprintf(format, args);
	va_end(args);
	f->place = g_strdup(place);
	f->allowed = g_strdup(allowed);
	g_ptr_array_add(list->items, f);
	list->kept_bytes +=
		strlen(f->problem) + strlen(f->place) + strlen(f->allowed);
}

guint finding_list_count(const struct finding_list *list)
{
	return list->count;
}

guint finding_list_kept(const struct finding_list *list)
{
	return list->items->len;
}

const struct finding *finding_list_get(const struct finding_list *list,
				       guint index)
{
	return g_ptr_array_index(list->items, index);
}

char *finding_list_text(const struct finding_list *list)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < list->items->len; i++) {
		const struct finding *f = finding_list_get(list, i);

		g_string_append_printf(text, "%s: %s", f->place, f->problem);
		if (f->allowed[0])
			g_string_append_printf(text, " (allowed: %s)",
					       f->allowed);
		g_string_append_c(text, '\n');
	}
	if (list->count > list->items->len)
		g_string_append_printf(text, "and %u more\n",
				       list->count - list->items->len);
	return g_string_free(text, FALSE);
}

void finding_list_print(const struct finding_list *list)
{
	char *text = finding_list_text(list);

	fputs(text, stderr);
	g_free(text);
}
