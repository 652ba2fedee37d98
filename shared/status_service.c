#include "shared/status_service.h"

#include "base/util.h"
#include "config/config_service.h"
#include "daemon/http_service.h"
#include "daemon/settings_service.h"
#include "link/link_service.h"
#include "shared/membership_service.h"
#include "shared/pool_lease.h"

struct status_service {
	struct service base;
	struct kernel *kernel;
};

/** A member in the answer to GET /v1/status. */
struct member_status {
	char *node;
	char *incarnation;
	char *failure_domain;
	char *http;
	int64_t role;
	int64_t state;
	int64_t config_version;
	int64_t link_version; /**< of the link's protocol, 0 without a link */
};

/** The answer to GET /v1/status. */
struct process_status {
	char *node;
	char *incarnation;
	char *failure_domain;
	int64_t is_draining;
	int64_t config_version;
	GArray *members;       /**< of struct member_status */
	GArray *pools;	       /**< of struct pool_status */
	json_object *services; /**< status of each service */
};

#define TEXT_FIELD(type_, member)                      \
	{                                              \
		.name = #member, .type = FIELD_STRING, \
		.offset = offsetof(type_, member)      \
	}
#define INT_FIELD(type_, member)                    \
	{                                           \
		.name = #member, .type = FIELD_INT, \
		.offset = offsetof(type_, member)   \
	}
#define NAMED_FIELD(type_, member, names_)                           \
	{                                                            \
		.name = #member, .type = FIELD_ENUM,                 \
		.offset = offsetof(type_, member), .names = (names_) \
	}

static const struct field_spec member_fields[] = {
	TEXT_FIELD(struct member_status, node),
	TEXT_FIELD(struct member_status, incarnation),
	TEXT_FIELD(struct member_status, failure_domain),
	TEXT_FIELD(struct member_status, http),
	NAMED_FIELD(struct member_status, role, link_role_names),
	NAMED_FIELD(struct member_status, state, member_state_names),
	INT_FIELD(struct member_status, config_version),
	INT_FIELD(struct member_status, link_version),
	{ 0 },
};

static const struct schema member_schema = { sizeof(struct member_status),
					     member_fields };

static const struct field_spec pool_fields[] = {
	TEXT_FIELD(struct pool_status, pool),
	NAMED_FIELD(struct pool_status, role, pool_role_names),
	INT_FIELD(struct pool_status, epoch),
	TEXT_FIELD(struct pool_status, holder),
	{ 0 },
};

static const struct schema pool_schema = { sizeof(struct pool_status),
					   pool_fields };

static const struct field_spec process_fields[] = {
	TEXT_FIELD(struct process_status, node),
	TEXT_FIELD(struct process_status, incarnation),
	TEXT_FIELD(struct process_status, failure_domain),
	{ .name = "is_draining",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct process_status, is_draining) },
	INT_FIELD(struct process_status, config_version),
	{ .name = "members",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct process_status, members),
	  .schema = &member_schema },
	{ .name = "pools",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct process_status, pools),
	  .schema = &pool_schema },
	{ .name = "services",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct process_status, services) },
	{ 0 },
};

static const struct schema process_schema = { sizeof(struct process_status),
					      process_fields };

static void add_members(const struct kernel *k, const struct member_table *t,
			GArray *out)
{
	const struct link_service *link =
		(const struct link_service *)kernel_find(k, LINK_SERVICE);

	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);
		const struct link_identity *id = &m->record.identity;
		struct member_status status = {
			.node = g_strdup(id->node),
			.incarnation = g_strdup(id->incarnation),
			.failure_domain = g_strdup(id->failure_domain),
			.http = g_strdup(id->http),
			.role = id->role,
			.state = m->record.state,
			.config_version = m->record.config_version,
			.link_version =
				link ? link_service_version(link, id->node) : 0,
		};

		g_array_append_val(out, status);
	}
}

static void fill(const struct kernel *k, struct process_status *out)
{
	const struct settings *settings = settings_of(k);
	const struct config_service *config;
	const struct pool_lease_service *leases;

	out->node = g_strdup(settings->node);
	out->incarnation = g_strdup(incarnation_of(k));
	out->failure_domain = g_strdup(settings->failure_domain);
	out->is_draining = kernel_is_draining(k);
	out->services = kernel_status(k);
	out->members = g_array_new(FALSE, TRUE, sizeof(struct member_status));
	out->pools = g_array_new(FALSE, TRUE, sizeof(struct pool_status));
	config = (const struct config_service *)kernel_find(k, CONFIG_SERVICE);
	if (config)
		out->config_version = config_service_version(config);
	if (membership_of(k))
		add_members(k, membership_service_table(membership_of(k)),
			    out->members);
	leases = (const struct pool_lease_service *)kernel_find(
		k, POOL_LEASE_SERVICE);
	if (leases)
		pool_lease_status(leases, util_monotonic_ms(), out->pools);
}

static void handle_status(struct http_request *r, void *data)
{
	struct status_service *s = data;
	struct process_status status = { 0 };

	if (!http_service_allow_operator(s->kernel, r))
		return;
	fill(s->kernel, &status);
	http_request_reply(r, SOUP_STATUS_OK,
			   schema_encode(&process_schema, &status));
	schema_clear(&process_schema, &status);
}

static enum status status_service_start(struct service *base, struct kernel *k)
{
	struct status_service *s = (struct status_service *)base;

	s->kernel = k;
	http_server_add_route(http_server_of(k), "GET", "/v1/status",
			      handle_status, s);
	return STATUS_OK;
}

static void status_service_free(struct service *base)
{
	g_free(base);
}

static const struct service_class status_service_class = {
	.name = STATUS_SERVICE,
	.start = status_service_start,
	.free = status_service_free,
};

struct service *status_service_new(void)
{
	struct status_service *s = g_new0(struct status_service, 1);

	s->base.class = &status_service_class;
	return &s->base;
}
