#include "sched/run_set.h"

void run_set_clear(struct run_set *s)
{
	g_clear_pointer(&s->runs, g_array_unref);
	s->unlisted = 0;
}

static guint listed_count(const struct run_set *s)
{
	return s->runs ? s->runs->len : 0;
}

guint run_set_count(const struct run_set *s)
{
	return listed_count(s) + s->unlisted;
}

gboolean run_set_add(struct run_set *s, int64_t run)
{
	for (guint i = 0; i < listed_count(s); i++) {
		if (g_array_index(s->runs, int64_t, i) == run)
			return FALSE;
	}
	if (!s->runs)
		s->runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
	g_array_append_val(s->runs, run);
	return TRUE;
}

static gint compare_runs(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	if (*x == *y)
		return 0;
	return *x < *y ? -1 : 1;
}

json_object *run_set_encode(const struct run_set *s, guint most)
{
	json_object *list = json_object_new_array();
	guint count = listed_count(s);

	if (count > most)
		g_array_sort(s->runs, compare_runs);
	for (guint i = count - MIN(count, most); i < count; i++)
		json_object_array_add(list, json_object_new_int64(g_array_index(
						    s->runs, int64_t, i)));
	return list;
}

void run_set_raise_count(struct run_set *s, guint count)
{
	if (count > run_set_count(s))
		s->unlisted = count - listed_count(s);
}

gboolean run_set_merge(struct run_set *s, json_object *list)
{
	size_t listed = 0;

	if (json_object_is_type(list, json_type_array))
		listed = json_object_array_length(list);
	for (size_t i = 0; i < listed; i++)
		run_set_add(s, json_object_get_int64(
				       json_object_array_get_idx(list, i)));
	return run_set_count(s) > listed;
}
