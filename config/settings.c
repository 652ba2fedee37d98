#include "config/settings.h"

#include "base/json_text.h"
#include "base/util.h"

#define NAME_MAX_BYTES 64
#define ADDRESS_MAX_BYTES 21
#define SECRET_MAX_BYTES 256
#define MAX_SEEDS 64
#define DEFAULT_DRAIN_TIMEOUT_MS 30000
#define MAX_DRAIN_TIMEOUT_MS 600000
#define DEFAULT_PLATFORM_TIMEOUT_MS 1000
#define MAX_PLATFORM_TIMEOUT_MS 60000
#define DEFAULT_IMPOSSIBLE_GRACE_MS 600000
#define MAX_IMPOSSIBLE_GRACE_MS 86400000
#define DEFAULT_LOG_LEVEL 1

static const char *const log_level_names[] = { "debug", "info", "warn", "error",
					       NULL };

#define STRING_FIELD(member, required_, max_)                          \
	{                                                              \
		.name = #member, .type = FIELD_STRING,                 \
		.is_required = (required_),                            \
		.offset = offsetof(struct settings, member), .min = 1, \
		.max = (max_)                                          \
	}

static const struct field_spec settings_fields[] = {
	STRING_FIELD(node, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(vm, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(failure_domain, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(region, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(service, TRUE, NAME_MAX_BYTES),
	STRING_FIELD(http, TRUE, ADDRESS_MAX_BYTES),
	STRING_FIELD(link, TRUE, ADDRESS_MAX_BYTES),
	STRING_FIELD(link_public, FALSE, ADDRESS_MAX_BYTES),
	STRING_FIELD(platform, TRUE, ADDRESS_MAX_BYTES),
	STRING_FIELD(operator_token, FALSE, SECRET_MAX_BYTES),
	STRING_FIELD(link_secret, FALSE, SECRET_MAX_BYTES),
	{ .name = "seeds",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct settings, seeds),
	  .max = MAX_SEEDS },
	{ .name = "log_level",
	  .type = FIELD_ENUM,
	  .offset = offsetof(struct settings, log_level),
	  .names = log_level_names,
	  .fallback = DEFAULT_LOG_LEVEL },
	{ .name = "drain_timeout_ms",
	  .type = FIELD_INT,
	  .offset = offsetof(struct settings, drain_timeout_ms),
	  .min = 0,
	  .max = MAX_DRAIN_TIMEOUT_MS,
	  .fallback = DEFAULT_DRAIN_TIMEOUT_MS },
	{ .name = "platform_timeout_ms",
	  .type = FIELD_INT,
	  .offset = offsetof(struct settings, platform_timeout_ms),
	  .min = 10,
	  .max = MAX_PLATFORM_TIMEOUT_MS,
	  .fallback = DEFAULT_PLATFORM_TIMEOUT_MS },
	{ .name = "impossible_grace_ms",
	  .type = FIELD_INT,
	  .offset = offsetof(struct settings, impossible_grace_ms),
	  .min = 1000,
	  .max = MAX_IMPOSSIBLE_GRACE_MS,
	  .fallback = DEFAULT_IMPOSSIBLE_GRACE_MS },
	PROCESS_LIMIT_FIELDS(settings),
	{ 0 },
};

const struct schema settings_schema = { sizeof(struct settings),
					settings_fields };

static void check_address(const char *file_name, const char *path,
			  const char *address, struct finding_list *findings)
{
	char *host = NULL;
	uint16_t port;
	char *place;

	if (!address)
		return;
	if (!util_parse_endpoint(address, &host, &port)) {
		place = g_strdup_printf("%s: %s", file_name, path);
		finding_list_add(findings, place, "IP:PORT", "bad address");
		g_free(place);
	}
	g_free(host);
}

gboolean settings_load(struct settings *s, const char *file_name,
		       struct finding_list *findings)
{
	guint before = finding_list_count(findings);

	json_text_decode_file(file_name, &settings_schema, s, findings);
	check_address(file_name, "http", s->http, findings);
	check_address(file_name, "link", s->link, findings);
	check_address(file_name, "link_public", s->link_public, findings);
	check_address(file_name, "platform", s->platform, findings);
	for (guint i = 0; s->seeds && i < s->seeds->len; i++)
		check_address(file_name, "seeds", s->seeds->pdata[i], findings);
	return finding_list_count(findings) == before;
}

void settings_clear(struct settings *s)
{
	schema_clear(&settings_schema, s);
}
