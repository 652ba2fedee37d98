#include "shared/pool_lease.h"

#include <string.h>

#include "base/log.h"
#include "base/util.h"
#include "base/wake_timer.h"
#include "config/config_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "store/table_row.h"
#include "shared/lease_protocol.h"
#include "shared/membership_service.h"
#include "shared/pool_share.h"

/** Shortest time between two calls of on_wake(). */
#define GRID_MS 50

struct subscriber {
	pool_lease_fn fn;
	void *data;
};

struct pool_lease_service {
	struct service base;
	struct kernel *kernel;
	GPtrArray *leases;     /**< of struct pool_lease */
	GPtrArray *pools;      /**< of char *, names owned by @leases, sorted */
	GPtrArray *candidates; /**< of char *, nodes of the live candidates */
	GArray *subscribers;   /**< of struct subscriber */
	struct wake_timer *timer;
};

struct pool_lease {
	struct pool_lease_service *service;
	char *pool;
	struct lease_protocol protocol;
	enum pool_role role; /**< as last passed to subscribers */
	int64_t epoch;	     /**< as last passed to subscribers */
};

const char *const pool_role_names[] = { "none", "holder", "caretaker", NULL };

static struct pool_lease *find_lease(const struct pool_lease_service *s,
				     const char *pool)
{
	for (guint i = 0; i < s->leases->len; i++) {
		struct pool_lease *l = g_ptr_array_index(s->leases, i);

		if (g_str_equal(l->pool, pool))
			return l;
	}
	return NULL;
}

static void pool_lease_free(gpointer data)
{
	struct pool_lease *l = data;

	platform_forget(platform_of(l->service->kernel), l);
	lease_protocol_clear(&l->protocol);
	g_free(l->pool);
	g_free(l);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void add_pool(struct pool_lease_service *s, const char *pool)
{
	const struct settings *settings = settings_of(s->kernel);
	struct pool_lease *l;

	if (find_lease(s, pool))
		return;
	l = g_new0(struct pool_lease, 1);
	l->service = s;
	l->pool = g_strdup(pool);
	lease_protocol_init(&l->protocol, settings->node,
			    incarnation_of(s->kernel), settings->http,
			    util_monotonic_ms());
	if (kernel_is_draining(s->kernel))
		lease_protocol_drain(&l->protocol);
	g_ptr_array_add(s->leases, l);
	g_ptr_array_add(s->pools, l->pool);
	g_ptr_array_sort(s->pools, compare_names);
	wake_timer_add_now(s->timer);
}

static void add_service_pool(struct pool_lease_service *s, const char *service)
{
	char *pool = g_strdup_printf("%s.%s", service,
				     settings_of(s->kernel)->failure_domain);

	add_pool(s, pool);
	g_free(pool);
}

/* Adds the pools of the configured services in this failure domain. */
static void on_config(const struct config_doc *doc, int64_t version, void *data)
{
	struct pool_lease_service *s = data;
	const char *domain = settings_of(s->kernel)->failure_domain;

	for (guint i = 0; i < doc->services->len; i++) {
		const struct service_spec *spec =
			&g_array_index(doc->services, struct service_spec, i);

		if (g_ptr_array_find_with_equal_func(spec->failure_domains,
						     domain, g_str_equal, NULL))
			add_service_pool(s, spec->name);
	}
}

/* Updates the candidates: the live schedulers of this failure domain. */
static void update_candidates(struct pool_lease_service *s)
{
	const struct settings *settings = settings_of(s->kernel);
	const struct membership_service *membership = membership_of(s->kernel);
	GPtrArray *live;

	if (!membership)
		return;
	live = member_table_live(membership_service_table(membership),
				 LINK_ROLE_SCHEDULER, settings->failure_domain);
	g_ptr_array_set_size(s->candidates, 0);
	for (guint i = 0; i < live->len; i++) {
		const struct member *m = g_ptr_array_index(live, i);

		g_ptr_array_add(s->candidates,
				g_strdup(m->record.identity.node));
	}
	g_ptr_array_unref(live);
}

static void update_ranks(struct pool_lease_service *s, int64_t now_ms)
{
	update_candidates(s);
	for (guint i = 0; i < s->leases->len; i++) {
		struct pool_lease *l = g_ptr_array_index(s->leases, i);

		lease_protocol_set_rank(
			&l->protocol, now_ms,
			pool_share_rank(s->pools, s->candidates, l->pool,
					settings_of(s->kernel)->node));
	}
}

static gboolean is_role_published(const struct pool_lease *l, int64_t now_ms)
{
	int64_t epoch;
	enum pool_role role = lease_protocol_role(&l->protocol, now_ms, &epoch);

	return role == l->role && (epoch == l->epoch || role == POOL_ROLE_NONE);
}

/* Sets the timer to the lease's due time, or to now if its role changed. */
static void arm(struct pool_lease *l, int64_t now_ms)
{
	if (!is_role_published(l, now_ms))
		wake_timer_add(l->service->timer, now_ms);
	wake_timer_add(l->service->timer,
		       lease_protocol_due_ms(&l->protocol, now_ms));
}

static void on_read(const struct platform_result *result, void *data)
{
	struct pool_lease *l = data;
	struct lease_row row = { 0 };
	enum status status = table_row_decode(result, &lease_row_schema, &row);
	int64_t version = TABLE_ABSENT;
	int64_t now_ms = util_monotonic_ms();

	if (result->status == STATUS_OK)
		version = result->rows[0].version;
	update_ranks(l->service, now_ms);
	lease_protocol_on_read(&l->protocol, now_ms, status, version,
			       status == STATUS_OK ? &row : NULL);
	arm(l, now_ms);
	lease_row_clear(&row);
}

static void on_commit(const struct platform_result *result, void *data)
{
	struct pool_lease *l = data;
	int64_t now_ms = util_monotonic_ms();
	int64_t version = 0;

	if (result->status == STATUS_OK)
		version = result->rows[0].version;
	update_ranks(l->service, now_ms);
	lease_protocol_on_commit(&l->protocol, now_ms, result->status, version);
	arm(l, now_ms);
}

static void commit_row(struct pool_lease *l)
{
	json_object *value =
		schema_encode(&lease_row_schema, &l->protocol.writing);
	struct table_write write = {
		.table = LEASE_TABLE,
		.key = l->pool,
		.expected_version = l->protocol.expected_version,
		.value = value,
	};

	platform_commit(platform_of(l->service->kernel), &write, 1, on_commit,
			l);
	json_object_put(value);
}

static void publish_role(struct pool_lease *l, int64_t now_ms)
{
	struct pool_lease_service *s = l->service;
	struct log_line line;
	int64_t epoch;
	enum pool_role role = lease_protocol_role(&l->protocol, now_ms, &epoch);

	if (is_role_published(l, now_ms))
		return;
	l->role = role;
	l->epoch = epoch;
	log_begin(&line, LOG_LEVEL_INFO, "lease_role");
	log_str(&line, "pool", l->pool);
	log_str(&line, "role", pool_role_names[role]);
	log_int(&line, "epoch", epoch);
	log_int(&line, "rank", l->protocol.rank);
	log_end(&line);
	for (guint i = 0; i < s->subscribers->len; i++) {
		const struct subscriber *sub =
			&g_array_index(s->subscribers, struct subscriber, i);

		sub->fn(l->pool, role, epoch, sub->data);
	}
	/* Caretakers among the peers step down when they hear of a holder. */
	if (role == POOL_ROLE_HOLDER && membership_of(s->kernel))
		membership_service_announce(membership_of(s->kernel));
}

static void step_lease(struct pool_lease *l, int64_t now_ms)
{
	struct pool_lease_service *s = l->service;

	publish_role(l, now_ms);
	switch (lease_protocol_step(&l->protocol, now_ms)) {
	case LEASE_CALL_READ:
		platform_read(platform_of(s->kernel), LEASE_TABLE, l->pool,
			      on_read, l);
		break;
	case LEASE_CALL_COMMIT:
		commit_row(l);
		break;
	case LEASE_CALL_NONE:
		break;
	}
}

static int64_t on_wake(int64_t now_ms, void *data)
{
	struct pool_lease_service *s = data;
	int64_t due_ms = WAKE_NEVER;

	update_ranks(s, now_ms);
	for (guint i = 0; i < s->leases->len; i++) {
		struct pool_lease *l = g_ptr_array_index(s->leases, i);

		step_lease(l, now_ms);
		due_ms = MIN(due_ms,
			     lease_protocol_due_ms(&l->protocol, now_ms));
	}
	return due_ms;
}

static void on_heartbeat(const struct link_identity *from,
			 const struct heartbeat *h, void *data)
{
	update_ranks(data, util_monotonic_ms());
	for (guint i = 0; i < h->pools->len; i++) {
		const struct heartbeat_pool *p =
			&g_array_index(h->pools, struct heartbeat_pool, i);

		pool_lease_on_heartbeat(data, p->pool, p->epoch,
					p->is_holder != 0);
	}
}

static enum status pool_lease_service_start(struct service *base,
					    struct kernel *k)
{
	struct pool_lease_service *s = (struct pool_lease_service *)base;
	struct config_service *config;
	struct wake_timer_spec spec = {
		.grid_ms = GRID_MS,
		.fn = on_wake,
		.data = s,
		.counters = kernel_counters(k),
	};

	s->kernel = k;
	s->timer = wake_timer_new(&spec);
	g_ptr_array_add(s->candidates, g_strdup(settings_of(k)->node));
	add_service_pool(s, settings_of(k)->service);
	config = (struct config_service *)kernel_find(k, CONFIG_SERVICE);
	if (config)
		config_service_subscribe(config, on_config, s);
	if (membership_of(k))
		membership_service_subscribe(membership_of(k), on_heartbeat, s);
	return STATUS_OK;
}

static void pool_lease_service_drain(struct service *base)
{
	struct pool_lease_service *s = (struct pool_lease_service *)base;

	for (guint i = 0; i < s->leases->len; i++) {
		struct pool_lease *l = g_ptr_array_index(s->leases, i);

		lease_protocol_drain(&l->protocol);
	}
	wake_timer_add(s->timer, on_wake(util_monotonic_ms(), s));
}

static gboolean pool_lease_service_is_idle(const struct service *base)
{
	const struct pool_lease_service *s =
		(const struct pool_lease_service *)base;

	for (guint i = 0; i < s->leases->len; i++) {
		const struct pool_lease *l = g_ptr_array_index(s->leases, i);

		if (!lease_protocol_is_released(&l->protocol))
			return FALSE;
	}
	return TRUE;
}

static void pool_lease_service_free(struct service *base)
{
	struct pool_lease_service *s = (struct pool_lease_service *)base;

	wake_timer_free(s->timer);
	g_ptr_array_unref(s->pools);
	g_ptr_array_unref(s->candidates);
	g_ptr_array_unref(s->leases);
	g_array_unref(s->subscribers);
	g_free(s);
}

static const struct service_class pool_lease_service_class = {
	.name = POOL_LEASE_SERVICE,
	.start = pool_lease_service_start,
	.drain = pool_lease_service_drain,
	.is_idle = pool_lease_service_is_idle,
	.free = pool_lease_service_free,
};

struct service *pool_lease_service_new(void)
{
	struct pool_lease_service *s = g_new0(struct pool_lease_service, 1);

	s->base.class = &pool_lease_service_class;
	s->leases = g_ptr_array_new_with_free_func(pool_lease_free);
	s->pools = g_ptr_array_new();
	s->candidates = g_ptr_array_new_with_free_func(g_free);
	s->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	return &s->base;
}

enum pool_role pool_lease_role(const struct pool_lease_service *s,
			       const char *pool, int64_t now_ms, int64_t *epoch)
{
	const struct pool_lease *l = find_lease(s, pool);

	*epoch = 0;
	if (!l)
		return POOL_ROLE_NONE;
	return lease_protocol_role(&l->protocol, now_ms, epoch);
}

const char *pool_lease_holder_address(const struct pool_lease_service *s,
				      const char *pool)
{
	const struct pool_lease *l = find_lease(s, pool);

	if (!l || lease_row_is_released(&l->protocol.row))
		return NULL;
	return l->protocol.row.address;
}

void pool_lease_on_heartbeat(struct pool_lease_service *s, const char *pool,
			     int64_t epoch, gboolean is_holder)
{
	struct pool_lease *l = find_lease(s, pool);
	int64_t now_ms = util_monotonic_ms();

	if (!l)
		return;
	lease_protocol_on_heartbeat(&l->protocol, now_ms, epoch, is_holder);
	arm(l, now_ms);
}

void pool_lease_fill_heartbeat(const struct pool_lease_service *s, GArray *out)
{
	int64_t now_ms = util_monotonic_ms();

	for (guint i = 0; i < s->leases->len; i++) {
		const struct pool_lease *l = g_ptr_array_index(s->leases, i);
		struct heartbeat_pool *p;
		enum pool_role role;
		int64_t epoch;

		role = lease_protocol_role(&l->protocol, now_ms, &epoch);
		if (epoch == 0)
			continue;
		g_array_set_size(out, out->len + 1);
		p = &g_array_index(out, struct heartbeat_pool, out->len - 1);
		p->pool = g_strdup(l->pool);
		p->epoch = epoch;
		p->is_holder = role == POOL_ROLE_HOLDER;
	}
}

void pool_lease_status(const struct pool_lease_service *s, int64_t now_ms,
		       GArray *out)
{
	for (guint i = 0; i < s->leases->len; i++) {
		const struct pool_lease *l = g_ptr_array_index(s->leases, i);
		struct pool_status *status;

		g_array_set_size(out, out->len + 1);
		status = &g_array_index(out, struct pool_status, out->len - 1);
		status->pool = g_strdup(l->pool);
		status->role = lease_protocol_role(&l->protocol, now_ms,
						   &status->epoch);
		if (!lease_row_is_released(&l->protocol.row))
			status->holder = g_strdup(l->protocol.row.holder);
	}
}

void pool_lease_subscribe(struct pool_lease_service *s, pool_lease_fn fn,
			  void *data)
{
	struct subscriber sub = { fn, data };

	g_array_append_val(s->subscribers, sub);
}
