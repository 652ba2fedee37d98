#include "store/platform.h"

#include "platform/steppe_store.h"
#include "store/http_platform.h"

typedef struct platform *(*platform_new_fn)(const struct platform_spec *spec);

/* All kinds of platform. */
static const struct {
	const char *kind;
	platform_new_fn create;
} kinds[] = {
	{ "http", http_platform_new },
	{ "steppe", steppe_store_new },
};

struct platform *platform_new(const struct platform_spec *spec)
{
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (g_str_equal(kinds[i].kind, spec->kind))
			return kinds[i].create(spec);
	}
	status_fail(STATUS_INVALID,
		    "unknown platform kind %s, expected http or steppe",
		    spec->kind);
	return NULL;
}

void platform_free(struct platform *p)
{
	p->class->free(p);
}

void platform_read(struct platform *p, const char *table, const char *key,
		   platform_fn fn, void *data)
{
	p->class->read(p, table, key, fn, data);
}

void platform_read_part(struct platform *p, const char *table, const char *part,
			const char *key, platform_fn fn, void *data)
{
	p->class->read_part(p, table, part, key, fn, data);
}

void platform_scan(struct platform *p, const char *table, const char *prefix,
		   platform_fn fn, void *data)
{
	p->class->scan(p, table, prefix, fn, data);
}

void platform_commit(struct platform *p, const struct table_write *writes,
		     guint count, platform_fn fn, void *data)
{
	p->class->commit(p, writes, count, fn, data);
}

void platform_object_get(struct platform *p, const char *name, platform_fn fn,
			 void *data)
{
	p->class->object_get(p, name, fn, data);
}

void platform_object_put(struct platform *p, const char *name,
			 json_object *object, platform_fn fn, void *data)
{
	p->class->object_put(p, name, object, fn, data);
}

void platform_vm_list(struct platform *p, const struct vm_list_query *query,
		      platform_fn fn, void *data)
{
	p->class->vm_list(p, query, fn, data);
}

void platform_page(struct platform *p, const struct table_page_query *query,
		   platform_fn fn, void *data)
{
	p->class->page(p, query, fn, data);
}

void platform_watch(struct platform *p, const struct table_watch_query *query,
		    platform_fn fn, void *data)
{
	p->class->watch(p, query, fn, data);
}

char *platform_key_after(const char *key)
{
	return g_strconcat(key, "!", NULL);
}

char *platform_next_page_key(const struct platform_result *result)
{
	if (!result->has_more || !result->row_count)
		return NULL;
	return platform_key_after(result->rows[result->row_count - 1].key);
}

void platform_forget(struct platform *p, const void *data)
{
	p->class->forget(p, data);
}
