#include "store/http_platform.h"

#include "store/platform_answer.h"
#include "store/remote_platform.h"
#include "store/store_budget.h"

static char *escape(const char *text)
{
	return g_uri_escape_string(text, NULL, TRUE);
}

static void http_platform_read(struct platform *base, const char *table,
			       const char *key, platform_fn fn, void *data)
{
	char *escaped = escape(key);
	struct platform_call_spec spec = {
		.method = "GET",
		.path = g_strdup_printf("/table/%s/%s", table, escaped),
		.priority = store_budget_priority(table),
		.decode_answer = platform_answer_row,
		.fn = fn,
		.data = data,
	};

	remote_platform_send(base, &spec);
	g_free(escaped);
}

static void http_platform_scan(struct platform *base, const char *table,
			       const char *prefix, platform_fn fn, void *data)
{
	char *escaped = escape(prefix);
	struct platform_call_spec spec = {
		.method = "GET",
		.path = g_strdup_printf("/table/%s?prefix=%s", table, escaped),
		.priority = store_budget_priority(table),
		.decode_answer = platform_answer_rows,
		.fn = fn,
		.data = data,
	};

	remote_platform_send(base, &spec);
	g_free(escaped);
}

static json_object *encode_writes(const struct table_write *writes, guint count)
{
	json_object *body = json_object_new_object();
	json_object *items = json_object_new_array();

	for (guint i = 0; i < count; i++) {
		const struct table_write *w = &writes[i];
		json_object *item = json_object_new_object();

		json_object_object_add(item, "table",
				       json_object_new_string(w->table));
		json_object_object_add(item, "key",
				       json_object_new_string(w->key));
		json_object_object_add(
			item, "expected_version",
			json_object_new_int64(w->expected_version));
		json_object_object_add(item, "value",
				       json_object_get(w->value));
		json_object_array_add(items, item);
	}
	json_object_object_add(body, "writes", items);
	return body;
}

/* A commit is as urgent as the most urgent table that it writes. */
static enum store_priority commit_priority(const struct table_write *writes,
					   guint count)
{
	enum store_priority priority = STORE_PRIORITY_NORMAL;

	for (guint i = 0; i < count; i++)
		priority =
			MIN(priority, store_budget_priority(writes[i].table));
	return priority;
}

static void http_platform_commit(struct platform *base,
				 const struct table_write *writes, guint count,
				 platform_fn fn, void *data)
{
	struct platform_call_spec spec = {
		.method = "POST",
		.path = g_strdup("/commit"),
		.body = encode_writes(writes, count),
		.decode_answer = platform_answer_rows,
		.fn = fn,
		.data = data,
		.kind = STORE_CALL_WRITE,
		.priority = commit_priority(writes, count),
		.write_count = count,
	};

	remote_platform_send(base, &spec);
}

static void http_platform_object_get(struct platform *base, const char *name,
				     platform_fn fn, void *data)
{
	char *escaped = escape(name);
	struct platform_call_spec spec = {
		.method = "GET",
		.path = g_strdup_printf("/object/%s", escaped),
		.priority = STORE_PRIORITY_NORMAL,
		.decode_answer = platform_answer_object,
		.fn = fn,
		.data = data,
	};

	remote_platform_send(base, &spec);
	g_free(escaped);
}

static void http_platform_object_put(struct platform *base, const char *name,
				     json_object *object, platform_fn fn,
				     void *data)
{
	char *escaped = escape(name);
	struct platform_call_spec spec = {
		.method = "PUT",
		.path = g_strdup_printf("/object/%s", escaped),
		.priority = STORE_PRIORITY_NORMAL,
		.body = json_object_get(object),
		.decode_answer = platform_answer_empty,
		.fn = fn,
		.data = data,
		.kind = STORE_CALL_WRITE,
	};

	remote_platform_send(base, &spec);
	g_free(escaped);
}

static char *vm_list_path(const char *failure_domain)
{
	char *escaped;
	char *path;

	if (!failure_domain)
		return g_strdup("/vms");
	escaped = escape(failure_domain);
	path = g_strdup_printf("/vms?failure_domain=%s", escaped);
	g_free(escaped);
	return path;
}

static void http_platform_vm_list(struct platform *base,
				  const struct vm_list_query *query,
				  platform_fn fn, void *data)
{
	struct platform_call_spec spec = {
		.method = "GET",
		.path = vm_list_path(query->failure_domain),
		.etag = query->etag,
		.priority = STORE_PRIORITY_NORMAL,
		.decode_answer = platform_answer_vm_list,
		.fn = fn,
		.data = data,
	};

	remote_platform_send(base, &spec);
}

static const struct platform_class http_platform_class = {
	.name = "http",
	.read = http_platform_read,
	.scan = http_platform_scan,
	.commit = http_platform_commit,
	.object_get = http_platform_object_get,
	.object_put = http_platform_object_put,
	.vm_list = http_platform_vm_list,
	.forget = remote_platform_forget,
	.free = remote_platform_free,
};

struct platform *http_platform_new(const struct platform_spec *spec)
{
	return remote_platform_new(&http_platform_class, spec);
}
