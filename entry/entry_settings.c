#include "entry/entry_settings.h"

#include "base/json_text.h"
#include "base/util.h"

#define NAME_MAX_BYTES 200
/* Upper limits of durations in the settings. */
#define MAX_MS 600000
#define MAX_S 86400
/* A holder with half a core sends some 250 orders per second itself, as many as
 * this number of workers with short tasks needs (docs/CAPACITY.md). */
#define DEFAULT_DELEGATE_MIN_WORKERS 120
#define DEFAULT_ROW_BYTES 65536
#define MIN_ROW_BYTES 1024

#define REQUIRED_FIELD(type_, member_, field_type_, min_, max_)               \
	{                                                                     \
		.name = #member_, .type = (field_type_), .is_required = TRUE, \
		.offset = offsetof(struct type_, member_), .min = (min_),     \
		.max = (max_),                                                \
	}

static const struct field_spec store_fields[] = {
	REQUIRED_FIELD(entry_store_settings, address, FIELD_STRING, 1,
		       NAME_MAX_BYTES),
	REQUIRED_FIELD(entry_store_settings, writes_per_s, FIELD_REAL, 1,
		       1000000),
	REQUIRED_FIELD(entry_store_settings, reads_per_s, FIELD_REAL, 1,
		       1000000),
	{ .name = "row_bytes",
	  .type = FIELD_INT,
	  .offset = offsetof(struct entry_store_settings, row_bytes),
	  .min = MIN_ROW_BYTES,
	  .max = INT32_MAX,
	  .fallback = DEFAULT_ROW_BYTES },
	{ 0 },
};

static const struct schema store_schema = { sizeof(struct entry_store_settings),
					    store_fields };

static const struct field_spec bound_fields[] = {
	REQUIRED_FIELD(entry_bound_settings, lease_ms, FIELD_INT, 100, MAX_MS),
	REQUIRED_FIELD(entry_bound_settings, grace_s, FIELD_REAL, 0, MAX_S),
	REQUIRED_FIELD(entry_bound_settings, status_s, FIELD_REAL, 0, MAX_S),
	{ 0 },
};

static const struct schema bound_schema = { sizeof(struct entry_bound_settings),
					    bound_fields };

static const struct field_spec entry_fields[] = {
	REQUIRED_FIELD(entry_settings, node, FIELD_STRING, 1, NAME_MAX_BYTES),
	REQUIRED_FIELD(entry_settings, failure_domain, FIELD_STRING, 1,
		       NAME_MAX_BYTES),
	REQUIRED_FIELD(entry_settings, frontend, FIELD_STRING, 1,
		       NAME_MAX_BYTES),
	REQUIRED_FIELD(entry_settings, readiness, FIELD_STRING, 1,
		       NAME_MAX_BYTES),
	{ .name = "internal",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct entry_settings, internal),
	  .max = NAME_MAX_BYTES },
	{ .name = "forward",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct entry_settings, forward),
	  .max = NAME_MAX_BYTES },
	{ .name = "delegate_min_workers",
	  .type = FIELD_INT,
	  .offset = offsetof(struct entry_settings, delegate_min_workers),
	  .min = 1,
	  .max = INT32_MAX,
	  .fallback = DEFAULT_DELEGATE_MIN_WORKERS },
	REQUIRED_FIELD(entry_settings, cpu_share, FIELD_REAL, 0, 1024),
	PROCESS_LIMIT_FIELDS(entry_settings),
	{ .name = "store",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct entry_settings, store),
	  .schema = &store_schema },
	{ .name = "bounds",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct entry_settings, bounds),
	  .schema = &bound_schema },
	{ 0 },
};

static const struct schema entry_schema = { sizeof(struct entry_settings),
					    entry_fields };

static void check_address(const char *file_name, const char *member,
			  const char *address, struct finding_list *findings)
{
	char *host = NULL;
	char *place;
	uint16_t port;

	if (!address || util_parse_endpoint(address, &host, &port)) {
		g_free(host);
		return;
	}
	place = g_strdup_printf("%s: %s", file_name, member);
	finding_list_add(findings, place, "IP:PORT", "bad address %s", address);
	g_free(place);
}

gboolean entry_settings_load(struct entry_settings *s, const char *file_name,
			     struct finding_list *findings)
{
	json_text_decode_file(file_name, &entry_schema, s, findings);
	check_address(file_name, "frontend", s->frontend, findings);
	check_address(file_name, "readiness", s->readiness, findings);
	check_address(file_name, "internal", s->internal, findings);
	check_address(file_name, "forward", s->forward, findings);
	check_address(file_name, "store.address", s->store.address, findings);
	return finding_list_count(findings) == 0;
}

void entry_settings_clear(struct entry_settings *s)
{
	schema_clear(&entry_schema, s);
}
