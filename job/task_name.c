#include "job/task_name.h"

#include <string.h>

#define MEMBERS_SEPARATOR "of"
#define DECIMAL 10

char *task_name_format(const char *job, int64_t member, int64_t members,
		       int64_t attempt)
{
	return g_strdup_printf("%s/%" G_GINT64_FORMAT MEMBERS_SEPARATOR
			       "%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT,
			       job, member, members, attempt);
}

/* Parses a number followed by @after; returns the rest, NULL on a mismatch. */
static const char *read_number(const char *text, int64_t *value,
			       const char *after)
{
	char *end;

	if (!g_ascii_isdigit(text[0]))
		return NULL;
	*value = g_ascii_strtoll(text, &end, DECIMAL);
	if (!g_str_has_prefix(end, after))
		return NULL;
	return end + strlen(after);
}

gboolean task_name_parse(const char *text, struct task_name *name)
{
	const char *slash = strchr(text, '/');
	const char *at;

	if (!slash || slash == text)
		return FALSE;
	at = read_number(slash + 1, &name->member, MEMBERS_SEPARATOR);
	if (at)
		at = read_number(at, &name->members, "/");
	if (at)
		at = read_number(at, &name->attempt, "");
	if (!at || at[0] || name->member >= name->members)
		return FALSE;
	name->job = g_strndup(text, (gsize)(slash - text));
	return TRUE;
}

void task_name_clear(struct task_name *name)
{
	g_clear_pointer(&name->job, g_free);
}
