#include "config/config_doc.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define POOL_MAX_BYTES 130
#define SHA256_HEX_BYTES 64
#define MAX_SERVICES 64
#define MAX_FAILURE_DOMAINS 64
#define MAX_ACCOUNTS 1000
#define MAX_JOBS 20000
#define MAX_GUARANTEED_SHAPES 64
#define MAX_ACCELERATORS 64
#define MAX_CORES 1024
#define MAX_MEMORY_MB (INT64_C(4) * 1024 * 1024)
#define MAX_SHARE 1000
#define MAX_REQUESTS_PER_S 1000000
#define MAX_QUEUED_REQUESTS 100000
#define MAX_RUN_MS (INT64_C(30) * 24 * 3600 * 1000)

const char *const adjacency_names[] = { "none", "rack", "worker", NULL };
const char *const job_class_names[] = { "urgent", "normal", "bulk", NULL };

#define NAME_FIELD(type_, member)                                           \
	{                                                                   \
		.name = #member, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(type_, member), .min = 1,                \
		.max = NAME_MAX_BYTES                                       \
	}
#define POOL_FIELD(type_)                                                  \
	{                                                                  \
		.name = "pool", .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(type_, pool), .min = 3,                 \
		.max = POOL_MAX_BYTES                                      \
	}
#define INT_FIELD(type_, member, min_, max_, fallback_)           \
	{                                                         \
		.name = #member, .type = FIELD_INT,               \
		.offset = offsetof(type_, member), .min = (min_), \
		.max = (max_), .fallback = (fallback_)            \
	}
#define ARRAY_FIELD(type_, member, schema_, max_)                 \
	{                                                         \
		.name = #member, .type = FIELD_ARRAY,             \
		.offset = offsetof(type_, member), .max = (max_), \
		.schema = &(schema_)                              \
	}

static const struct field_spec shape_fields[] = {
	INT_FIELD(struct shape, members, 1, GANG_MAX_MEMBERS, 1),
	INT_FIELD(struct shape, accelerators, 0, MAX_ACCELERATORS, 0),
	INT_FIELD(struct shape, cores, 1, MAX_CORES, 1),
	INT_FIELD(struct shape, memory_mb, 1, MAX_MEMORY_MB, 1024),
	{ .name = "adjacency",
	  .type = FIELD_ENUM,
	  .offset = offsetof(struct shape, adjacency),
	  .names = adjacency_names },
	{ 0 },
};

const struct schema shape_schema = { sizeof(struct shape), shape_fields };

static const struct field_spec guaranteed_shape_fields[] = {
	NAME_FIELD(struct guaranteed_shape, name),
	POOL_FIELD(struct guaranteed_shape),
	{ .name = "shape",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct guaranteed_shape, shape),
	  .schema = &shape_schema },
	{ 0 },
};

static const struct schema guaranteed_shape_schema = {
	sizeof(struct guaranteed_shape), guaranteed_shape_fields
};

static const struct field_spec client_account_fields[] = {
	NAME_FIELD(struct client_account, name),
	NAME_FIELD(struct client_account, service),
	INT_FIELD(struct client_account, share, 1, MAX_SHARE, 1),
	INT_FIELD(struct client_account, requests_per_s, 1, MAX_REQUESTS_PER_S,
		  1000),
	INT_FIELD(struct client_account, queued_requests, 1,
		  MAX_QUEUED_REQUESTS, 1000),
	{ .name = "token_sha256",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct client_account, token_sha256),
	  .min = SHA256_HEX_BYTES,
	  .max = SHA256_HEX_BYTES },
	ARRAY_FIELD(struct client_account, guaranteed_shapes,
		    guaranteed_shape_schema, MAX_GUARANTEED_SHAPES),
	{ 0 },
};

const struct schema client_account_schema = { sizeof(struct client_account),
					      client_account_fields };

static const struct field_spec job_spec_fields[] = {
	NAME_FIELD(struct job_spec, name),
	NAME_FIELD(struct job_spec, client_account),
	POOL_FIELD(struct job_spec),
	{ .name = "class",
	  .type = FIELD_ENUM,
	  .offset = offsetof(struct job_spec, class),
	  .names = job_class_names,
	  .fallback = JOB_CLASS_NORMAL },
	{ .name = "shape",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct job_spec, shape),
	  .schema = &shape_schema },
	INT_FIELD(struct job_spec, expected_run_ms, 1, MAX_RUN_MS, 3600000),
	{ .name = "is_checkpointable",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct job_spec, is_checkpointable),
	  .fallback = 1 },
	{ 0 },
};

const struct schema job_spec_schema = { sizeof(struct job_spec),
					job_spec_fields };

static const struct field_spec service_spec_fields[] = {
	NAME_FIELD(struct service_spec, name),
	{ .name = "failure_domains",
	  .type = FIELD_STRINGS,
	  .is_required = TRUE,
	  .offset = offsetof(struct service_spec, failure_domains),
	  .min = 1,
	  .max = MAX_FAILURE_DOMAINS },
	{ 0 },
};

const struct schema service_spec_schema = { sizeof(struct service_spec),
					    service_spec_fields };

static const struct field_spec config_doc_fields[] = {
	{ .name = "format",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct config_doc, format),
	  .min = CONFIG_FORMAT,
	  .max = CONFIG_FORMAT },
	ARRAY_FIELD(struct config_doc, services, service_spec_schema,
		    MAX_SERVICES),
	ARRAY_FIELD(struct config_doc, client_accounts, client_account_schema,
		    MAX_ACCOUNTS),
	ARRAY_FIELD(struct config_doc, jobs, job_spec_schema, MAX_JOBS),
	{ 0 },
};

const struct schema config_doc_schema = { sizeof(struct config_doc),
					  config_doc_fields };

/** State of config_doc_check(): the names seen so far, as sets. */
struct checker {
	const struct schema_source *source;
	struct finding_list *findings;
	GHashTable *services;
	GHashTable *accounts;
	GHashTable *jobs;
	GHashTable *pools; /**< of SERVICE.FAILURE_DOMAIN */
};

/* Adds a finding at a path in the configuration. */
static void report(struct checker *c, const char *allowed, const char *problem,
		   const char *path_format, ...) G_GNUC_PRINTF(4, 5);

static void report(struct checker *c, const char *allowed, const char *problem,
		   const char *path_format, ...)
{
	va_list args;
	char *place;
	char *path;

	va_start(args, path_format);
	path = g_strdup_vprintf(path_format, args);
	va_end(args);
	place = c->source ? c->source->place(path, c->source->data)
			  : g_strdup(path);
	finding_list_add(c->findings, place, allowed, "%s", problem);
	g_free(place);
	g_free(path);
}

static gboolean is_valid_name(const char *name)
{
	for (const char *s = name; *s; s++) {
		if (!g_ascii_isalnum(*s) && *s != '-' && *s != '_')
			return FALSE;
	}
	return name[0] != '\0';
}

static void check_name(struct checker *c, GHashTable *seen, const char *list,
		       guint index, const char *name)
{
	if (!is_valid_name(name))
		report(c, "letters, digits, - and _", "bad name", "%s[%u].name",
		       list, index);
	if (!g_hash_table_add(seen, (gpointer)name))
		report(c, "unique names", "duplicate name", "%s[%u].name", list,
		       index);
}

static const struct service_spec *find_service(const struct config_doc *doc,
					       const char *name)
{
	for (guint i = 0; i < doc->services->len; i++) {
		const struct service_spec *s =
			&g_array_index(doc->services, struct service_spec, i);

		if (g_str_equal(s->name, name))
			return s;
	}
	return NULL;
}

static gboolean fits_adjacency(const struct shape *s)
{
	return s->adjacency != ADJACENCY_WORKER ||
	       shape_accelerators(s) <= MAX_ACCELERATORS;
}

static void report_adjacency(struct checker *c, const char *path)
{
	report(c, "at most 64 accelerators on one worker",
	       "shape is too large for its adjacency", "%s.adjacency", path);
}

static void check_guaranteed_shape(struct checker *c, GHashTable *seen,
				   const struct guaranteed_shape *g,
				   const char *path)
{
	if (!g_hash_table_add(seen, g->name))
		report(c, "unique names", "duplicate name", "%s.name", path);
	if (!g_hash_table_contains(c->pools, g->pool))
		report(c, "SERVICE.FAILURE_DOMAIN of services", "unknown pool",
		       "%s.pool", path);
	if (!fits_adjacency(&g->shape))
		report_adjacency(c, path);
}

static void check_account(struct checker *c, const struct client_account *a,
			  guint index)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	check_name(c, c->accounts, "client_accounts", index, a->name);
	if (!g_hash_table_contains(c->services, a->service))
		report(c, "a name listed in services", "unknown service",
		       "client_accounts[%u].service", index);
	for (guint i = 0; i < a->guaranteed_shapes->len; i++) {
		char *path = g_strdup_printf(
			"client_accounts[%u].guaranteed_shapes[%u]", index, i);

		check_guaranteed_shape(c, seen,
				       &g_array_index(a->guaranteed_shapes,
						      struct guaranteed_shape,
						      i),
				       path);
		g_free(path);
	}
	g_hash_table_unref(seen);
}

static void check_job(struct checker *c, const struct job_spec *j, guint index)
{
	check_name(c, c->jobs, "jobs", index, j->name);
	if (!g_hash_table_contains(c->accounts, j->client_account))
		report(c, "a name listed in client_accounts",
		       "unknown client account", "jobs[%u].client_account",
		       index);
	if (!g_hash_table_contains(c->pools, j->pool))
		report(c, "SERVICE.FAILURE_DOMAIN of services", "unknown pool",
		       "jobs[%u].pool", index);
	if (!fits_adjacency(&j->shape)) {
		char *path = g_strdup_printf("jobs[%u]", index);

		report_adjacency(c, path);
		g_free(path);
	}
}

static void check_service(struct checker *c, const struct service_spec *s,
			  guint index)
{
	check_name(c, c->services, "services", index, s->name);
	for (guint i = 0; i < s->failure_domains->len; i++)
		g_hash_table_add(c->pools,
				 g_strconcat(s->name, ".",
					     s->failure_domains->pdata[i],
					     NULL));
}

static GHashTable *new_name_set(void)
{
	return g_hash_table_new(g_str_hash, g_str_equal);
}

gboolean config_doc_check(const struct config_doc *doc,
			  const struct schema_source *source,
			  struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	struct checker c = {
		.source = source,
		.findings = findings,
		.services = new_name_set(),
		.accounts = new_name_set(),
		.jobs = new_name_set(),
		.pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL),
	};

	for (guint i = 0; i < doc->services->len; i++)
		check_service(
			&c,
			&g_array_index(doc->services, struct service_spec, i),
			i);
	for (guint i = 0; i < doc->client_accounts->len; i++)
		check_account(&c,
			      &g_array_index(doc->client_accounts,
					     struct client_account, i),
			      i);
	for (guint i = 0; i < doc->jobs->len; i++)
		check_job(&c, &g_array_index(doc->jobs, struct job_spec, i), i);
	g_hash_table_unref(c.services);
	g_hash_table_unref(c.accounts);
	g_hash_table_unref(c.jobs);
	g_hash_table_unref(c.pools);
	return finding_list_count(findings) == before;
}

gboolean config_doc_decode(json_object *json, struct config_doc *doc,
			   const struct schema_source *source,
			   struct finding_list *findings)
{
	if (!schema_decode(&config_doc_schema, json, doc, "", source, findings))
		return FALSE;
	return config_doc_check(doc, source, findings);
}

gboolean config_doc_decode_accepted(json_object *json, struct config_doc *doc,
				    struct finding_list *findings)
{
	if (!schema_decode_lenient(&config_doc_schema, json, doc, "", findings))
		return FALSE;
	return config_doc_check(doc, NULL, findings);
}

void config_doc_clear(struct config_doc *doc)
{
	schema_clear(&config_doc_schema, doc);
}

json_object *config_doc_encode(const struct config_doc *doc)
{
	return schema_encode(&config_doc_schema, doc);
}

const struct client_account *
config_doc_find_account(const struct config_doc *doc, const char *name)
{
	for (guint i = 0; i < doc->client_accounts->len; i++) {
		const struct client_account *a = &g_array_index(
			doc->client_accounts, struct client_account, i);

		if (g_str_equal(a->name, name))
			return a;
	}
	return NULL;
}

gboolean config_doc_has_pool(const struct config_doc *doc, const char *pool)
{
	const char *dot = strchr(pool, '.');
	const struct service_spec *s;
	char *service;

	if (!dot)
		return FALSE;
	service = g_strndup(pool, dot - pool);
	s = find_service(doc, service);
	g_free(service);
	for (guint i = 0; s && i < s->failure_domains->len; i++) {
		if (g_str_equal(s->failure_domains->pdata[i], dot + 1))
			return TRUE;
	}
	return FALSE;
}

int64_t shape_accelerators(const struct shape *s)
{
	return s->members * s->accelerators;
}
