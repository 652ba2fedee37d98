/**
 * @file
 * Stand-in for the platform: an in-memory transactional table service, object
 * store and lagging VM list. POST /control sets the VMs and injects faults.
 */
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "standin/common/standin.h"
#include "standin/common/vm_directory.h"

#define MAX_BODY_BYTES ((gsize)64 << 20)
#define KEY_MAX_BYTES 1024
#define MAX_WRITES 10000
#define MAX_VMS 20000
#define MAX_SLOW_MS 600000
#define VERSION_MAX (INT64_C(1) << 52)
#define FAILURE_DOMAIN_HEADER "Cs-Failure-Domain"

enum mode {
	MODE_OK,
	MODE_DOWN, /* connections are closed without a reply */
	MODE_SLOW, /* requests are handled after slow_ms */
};

struct row {
	int64_t version;
	json_object *value;
};

struct store {
	GHashTable *tables;  /* name to GTree of key to struct row */
	GHashTable *objects; /* path to json_object */
	struct vm_directory vms;
	int64_t last_version;
	int64_t commits;
	int64_t reads;
	int64_t mode;
	int64_t slow_ms;
	int64_t lose_answers; /* commits left to apply without a reply */
	int64_t lost_answers; /* commits applied without a reply */
	char *lose_table; /* limits these to commits on a table, unless empty */
	GPtrArray *cut_domains; /* failure domains whose calls are dropped */
};

struct route;

/* A request that is handled after slow_ms. */
struct delayed_request {
	struct store *store;
	struct http_request *request;
	const struct route *route;
};

struct route {
	const char *method;
	const char *prefix;
	void (*handle)(struct store *s, struct http_request *r);
	struct store *store;
};

struct write_body {
	char *table;
	char *key;
	int64_t expected_version;
	json_object *value;
};

struct commit_body {
	GArray *writes;
};

struct control_body {
	int64_t mode;
	int64_t slow_ms;
	int64_t lose_answers;
	char *lose_table;
	int64_t vm_lag_ms;
	int64_t vm_list;
	GPtrArray *cut;
	json_object *raw_vms;
	json_object *add_vms;
	GPtrArray *remove_vms;
};

static const char *const mode_names[] = { "ok", "down", "slow", NULL };

static const struct field_spec write_fields[] = {
	{ .name = "table",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct write_body, table),
	  .min = 1,
	  .max = KEY_MAX_BYTES },
	{ .name = "key",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct write_body, key),
	  .min = 1,
	  .max = KEY_MAX_BYTES },
	{ .name = "expected_version",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct write_body, expected_version),
	  .max = VERSION_MAX },
	{ .name = "value",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct write_body, value) },
	{ 0 },
};

static const struct schema write_schema = { sizeof(struct write_body),
					    write_fields };

static const struct field_spec commit_fields[] = {
	{ .name = "writes",
	  .type = FIELD_ARRAY,
	  .is_required = TRUE,
	  .offset = offsetof(struct commit_body, writes),
	  .min = 1,
	  .max = MAX_WRITES,
	  .schema = &write_schema },
	{ 0 },
};

static const struct schema commit_schema = { sizeof(struct commit_body),
					     commit_fields };

static const struct field_spec control_fields[] = {
	STANDIN_ENUM(mode, mode_names),
	STANDIN_INT(slow_ms, MAX_SLOW_MS),
	STANDIN_INT(lose_answers, INT32_MAX),
	{ .name = "lose_table",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct control_body, lose_table),
	  .max = KEY_MAX_BYTES },
	STANDIN_INT(vm_lag_ms, MAX_SLOW_MS),
	STANDIN_ENUM(vm_list, vm_directory_mode_names),
	{ .name = "raw_vms",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct control_body, raw_vms) },
	{ .name = "cut",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct control_body, cut),
	  .max = MAX_VMS },
	{ .name = "add_vms",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct control_body, add_vms) },
	{ .name = "remove_vms",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct control_body, remove_vms),
	  .max = MAX_VMS },
	{ 0 },
};

static const struct schema control_schema = { sizeof(struct control_body),
					      control_fields };

static void row_free(gpointer data)
{
	struct row *row = data;

	json_object_put(row->value);
	g_free(row);
}

static void object_free(gpointer data)
{
	json_object_put(data);
}

static int compare_keys(const void *a, const void *b, void *data)
{
	return strcmp(a, b);
}

static GTree *table_of(struct store *s, const char *name)
{
	GTree *table = g_hash_table_lookup(s->tables, name);

	if (!table) {
		table = g_tree_new_full(compare_keys, NULL, g_free, row_free);
		g_hash_table_insert(s->tables, g_strdup(name), table);
	}
	return table;
}

static json_object *encode_row(const char *key, int64_t version)
{
	json_object *json = json_object_new_object();

	json_object_object_add(json, "key", json_object_new_string(key));
	json_object_object_add(json, "version", json_object_new_int64(version));
	return json;
}

static json_object *encode_full_row(const char *key, const struct row *row)
{
	json_object *json = encode_row(key, row->version);

	json_object_object_add(json, "value", json_object_get(row->value));
	return json;
}

static void reply_rows(struct http_request *r, json_object *rows)
{
	json_object *body = json_object_new_object();

	json_object_object_add(body, "rows", rows);
	http_request_reply(r, SOUP_STATUS_OK, body);
}

static void reply_not_found(struct http_request *r)
{
	http_request_reply(r, SOUP_STATUS_NOT_FOUND, json_object_new_object());
}

static void scan_table(struct store *s, struct http_request *r,
		       const char *name)
{
	const char *prefix = http_request_query(r, "prefix");
	json_object *rows = json_object_new_array();
	GTreeNode *node =
		g_tree_lower_bound(table_of(s, name), prefix ? prefix : "");

	for (; node; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);

		if (prefix && !g_str_has_prefix(key, prefix))
			break;
		json_object_array_add(
			rows, encode_full_row(key, g_tree_node_value(node)));
	}
	reply_rows(r, rows);
}

static void handle_read(struct store *s, struct http_request *r)
{
	const char *rest = http_request_path_suffix(r);
	const char *slash = strchr(rest, '/');
	struct row *row;
	char *name;

	s->reads++;
	if (!slash) {
		scan_table(s, r, rest);
		return;
	}
	name = g_strndup(rest, slash - rest);
	row = g_tree_lookup(table_of(s, name), slash + 1);
	if (row)
		http_request_reply(r, SOUP_STATUS_OK,
				   encode_full_row(slash + 1, row));
	else
		reply_not_found(r);
	g_free(name);
}

static const struct write_body *
find_conflict(struct store *s, const struct commit_body *body, int64_t *version)
{
	for (guint i = 0; i < body->writes->len; i++) {
		const struct write_body *w =
			&g_array_index(body->writes, struct write_body, i);
		const struct row *row =
			g_tree_lookup(table_of(s, w->table), w->key);

		*version = row ? row->version : 0;
		if (*version != w->expected_version)
			return w;
	}
	return NULL;
}

static json_object *apply_commit(struct store *s,
				 const struct commit_body *body)
{
	json_object *rows = json_object_new_array();

	for (guint i = 0; i < body->writes->len; i++) {
		const struct write_body *w =
			&g_array_index(body->writes, struct write_body, i);
		GTree *table = table_of(s, w->table);
		struct row *row;

		s->last_version++;
		json_object_array_add(rows,
				      encode_row(w->key, s->last_version));
		if (!w->value) {
			g_tree_remove(table, w->key);
			continue;
		}
		row = g_new0(struct row, 1);
		row->version = s->last_version;
		row->value = json_object_get(w->value);
		g_tree_replace(table, g_strdup(w->key), row);
	}
	return rows;
}

/* Returns TRUE if the reply to a commit is dropped, and counts it. */
static gboolean loses_answer(struct store *s, const struct commit_body *body)
{
	gboolean is_affected = !s->lose_table || !s->lose_table[0];

	if (s->lose_answers == 0)
		return FALSE;
	for (guint i = 0; !is_affected && i < body->writes->len; i++) {
		const struct write_body *w =
			&g_array_index(body->writes, struct write_body, i);

		is_affected = g_str_equal(w->table, s->lose_table);
	}
	if (is_affected) {
		s->lose_answers--;
		s->lost_answers++;
	}
	return is_affected;
}

static void handle_commit(struct store *s, struct http_request *r)
{
	struct commit_body body = { 0 };
	const struct write_body *conflict;
	int64_t version = 0;
	json_object *rows;

	s->commits++;
	if (!standin_decode(r, &commit_schema, &body))
		return;
	conflict = find_conflict(s, &body, &version);
	if (conflict) {
		json_object *json = json_object_new_object();

		json_object_object_add(json, "conflict_key",
				       json_object_new_string(conflict->key));
		json_object_object_add(json, "version",
				       json_object_new_int64(version));
		http_request_reply(r, SOUP_STATUS_CONFLICT, json);
		goto out;
	}
	rows = apply_commit(s, &body);
	if (loses_answer(s, &body)) {
		json_object_put(rows);
		http_request_close_connection(r);
	} else {
		reply_rows(r, rows);
	}
out:
	schema_clear(&commit_schema, &body);
}

static void handle_object_get(struct store *s, struct http_request *r)
{
	json_object *object =
		g_hash_table_lookup(s->objects, http_request_path_suffix(r));

	s->reads++;
	if (object)
		http_request_reply(r, SOUP_STATUS_OK, json_object_get(object));
	else
		reply_not_found(r);
}

static void handle_object_put(struct store *s, struct http_request *r)
{
	json_object *object = http_request_json(r);

	if (!object)
		return;
	s->commits++;
	g_hash_table_replace(s->objects, g_strdup(http_request_path_suffix(r)),
			     json_object_get(object));
	standin_reply_ok(r);
}

static void handle_vms(struct store *s, struct http_request *r)
{
	s->reads++;
	vm_directory_reply(&s->vms, r);
}

static void change_vms(struct vm_directory *d, const struct control_body *body)
{
	vm_directory_add(d, body->add_vms);
	for (guint i = 0; i < body->remove_vms->len; i++)
		vm_directory_remove(d, body->remove_vms->pdata[i]);
	if (json_object_is_type(body->raw_vms, json_type_array))
		vm_directory_set_raw(d, body->raw_vms);
}

static void handle_control(struct store *s, struct http_request *r)
{
	struct control_body body = { 0 };
	gboolean has_cut;

	if (!standin_decode(r, &control_schema, &body))
		return;
	has_cut = json_object_object_get_ex(http_request_json(r), "cut", NULL);
	standin_set_if_given(&s->mode, body.mode);
	standin_set_if_given(&s->slow_ms, body.slow_ms);
	standin_set_if_given(&s->lose_answers, body.lose_answers);
	standin_set_if_given(&s->vms.lag_ms, body.vm_lag_ms);
	standin_set_if_given(&s->vms.mode, body.vm_list);
	if (body.lose_table) {
		g_free(s->lose_table);
		s->lose_table = g_strdup(body.lose_table);
	}
	if (has_cut) {
		g_ptr_array_unref(s->cut_domains);
		s->cut_domains = g_ptr_array_ref(body.cut);
	}
	change_vms(&s->vms, &body);
	schema_clear(&control_schema, &body);
	standin_reply_ok(r);
}

static void handle_counts(struct store *s, struct http_request *r)
{
	const struct {
		const char *name;
		int64_t value;
	} counts[] = {
		{ "commits", s->commits },
		{ "reads", s->reads },
		{ "vm_reads", s->vms.reads },
		{ "vm_bodies", s->vms.bodies },
		{ "vm_bytes", s->vms.bytes },
		{ "lost_answers", s->lost_answers },
	};
	json_object *body = json_object_new_object();

	for (guint i = 0; i < G_N_ELEMENTS(counts); i++)
		json_object_object_add(body, counts[i].name,
				       json_object_new_int64(counts[i].value));
	http_request_reply(r, SOUP_STATUS_OK, body);
}

/* Returns TRUE if the platform is down or cut off from the caller's domain. */
static gboolean is_unreachable(const struct store *s, struct http_request *r)
{
	const char *domain = http_request_header(r, FAILURE_DOMAIN_HEADER);

	if (s->mode == MODE_DOWN)
		return TRUE;
	for (guint i = 0; domain && i < s->cut_domains->len; i++) {
		if (g_str_equal(s->cut_domains->pdata[i], domain))
			return TRUE;
	}
	return FALSE;
}

static gboolean on_delay_over(gpointer data)
{
	struct delayed_request *d = data;

	if (is_unreachable(d->store, d->request))
		http_request_close_connection(d->request);
	else
		d->route->handle(d->store, d->request);
	g_free(d);
	return G_SOURCE_REMOVE;
}

static struct delayed_request *delayed_request_new(const struct route *route,
						   struct http_request *r)
{
	struct delayed_request *d = g_new0(struct delayed_request, 1);

	d->store = route->store;
	d->request = r;
	d->route = route;
	return d;
}

/* Handles all client calls. A call that is dropped here has no effect. */
static void on_call(struct http_request *r, void *data)
{
	const struct route *route = data;
	struct store *s = route->store;

	if (is_unreachable(s, r)) {
		http_request_close_connection(r);
		return;
	}
	if (s->mode != MODE_SLOW) {
		route->handle(s, r);
		return;
	}
	g_timeout_add(s->slow_ms, on_delay_over, delayed_request_new(route, r));
}

static void on_control(struct http_request *r, void *data)
{
	const struct route *route = data;

	route->handle(route->store, r);
}

static struct route call_routes[] = {
	{ "GET", "/table/", handle_read, NULL },
	{ "POST", "/commit", handle_commit, NULL },
	{ "GET", "/object/", handle_object_get, NULL },
	{ "PUT", "/object/", handle_object_put, NULL },
	{ "GET", "/vms", handle_vms, NULL },
};

static struct route control_routes[] = {
	{ "POST", "/control", handle_control, NULL },
	{ "GET", "/control/writes", handle_counts, NULL },
};

static void add_routes(struct http_server *server, struct store *s,
		       struct route *routes, guint count, http_handler handler)
{
	for (guint i = 0; i < count; i++) {
		routes[i].store = s;
		http_server_add_route(server, routes[i].method,
				      routes[i].prefix, handler, &routes[i]);
	}
}

int main(int argc, char **argv)
{
	struct standin_options o = { 0 };
	struct standin_vm vm = { 0 };
	struct store s = { 0 };
	struct http_server *server;
	int code = EXIT_FAILURE;

	if (!standin_options_parse(&o, NULL, "Stand-in for the platform.", argc,
				   argv, &code))
		return code;
	s.tables = g_hash_table_new(g_str_hash, g_str_equal);
	s.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  object_free);
	vm_directory_init(&s.vms);
	s.cut_domains = g_ptr_array_new();
	server = http_server_new(MAX_BODY_BYTES);
	add_routes(server, &s, call_routes, G_N_ELEMENTS(call_routes), on_call);
	add_routes(server, &s, control_routes, G_N_ELEMENTS(control_routes),
		   on_control);
	if (!standin_listen(&o, 0, server, &vm))
		return EXIT_FAILURE;
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return EXIT_SUCCESS;
}
