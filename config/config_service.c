#include "config/config_service.h"

#include "base/json_text.h"
#include "base/log.h"
#include "base/util.h"
#include "config/config_head.h"
#include "config/config_routes.h"
#include "config/config_sync.h"
#include "config/config_version.h"
#include "daemon/platform_service.h"
#include "store/table_row.h"

/**
 * Interval of head reads by the pollers, and by processes that have no links or
 * are behind the head.
 */
#define POLL_MS 500
/** Interval of head reads by all others, in case no push reaches them. */
#define SLOW_POLL_MS INT64_C(20000)
/** Time that pushes have to deliver a change before the whole body is read. */
#define PUSH_WAIT_MS INT64_C(400)

struct subscriber {
	config_changed_fn fn;
	void *data;
};

struct config_service {
	struct service base;
	struct kernel *kernel;
	struct config_routes *routes;
	struct config_sync *sync; /**< NULL without links */
	struct config_version current;
	GArray *subscribers;	  /**< of struct subscriber */
	int64_t fetching_version; /**< 0 when no body is being read */
	int64_t head_read_ms;	  /**< start of the last read of the head */
	int64_t behind_since_ms;  /**< when behind_version was last set */
	/** Version in force while the head is newer, else -1. */
	int64_t behind_version;
	gboolean is_reading_head;
	guint timer;
};

static const char *const origin_names[] = { "store", "near", "far" };

static void log_apply_result(enum status status, int64_t version,
			     enum config_origin origin,
			     const struct finding_list *findings)
{
	struct log_line line;

	if (status == STATUS_CONFLICT)
		return;
	log_begin(&line, status == STATUS_OK ? LOG_LEVEL_INFO : LOG_LEVEL_ERROR,
		  status == STATUS_OK ? "config_in_force" : "config_unsound");
	log_int(&line, "config_version", version);
	log_str(&line, "origin", origin_names[origin]);
	log_int(&line, "findings", finding_list_count(findings));
	log_int(&line, "passed_over", findings->ignored_members);
	log_end(&line);
}

static void notify_subscribers(struct config_service *s)
{
	for (guint i = 0; i < s->subscribers->len; i++) {
		const struct subscriber *sub =
			&g_array_index(s->subscribers, struct subscriber, i);

		sub->fn(&s->current.doc, s->current.version, sub->data);
	}
}

enum status config_service_apply(struct config_service *s, int64_t version,
				 json_object *body, enum config_origin origin)
{
	struct config_body *base = config_body_ref(s->current.body);
	int64_t base_version = s->current.version;
	struct finding_list findings;
	enum status status;

	finding_list_init(&findings);
	status = config_version_apply(&s->current, version, body, &findings);
	log_apply_result(status, version, origin, &findings);
	if (status != STATUS_OK)
		goto out;
	notify_subscribers(s);
	if (s->sync)
		config_sync_push_since(s->sync, origin, base, base_version);
out:
	config_body_unref(base);
	finding_list_clear(&findings);
	return status;
}

enum status config_service_apply_delta(struct config_service *s,
				       const struct config_delta *d,
				       json_object *json,
				       enum config_origin origin)
{
	struct finding_list findings;
	enum status status;

	finding_list_init(&findings);
	status = config_version_apply_delta(&s->current, d, &findings);
	log_apply_result(status, d->version, origin, &findings);
	if (status != STATUS_OK)
		goto out;
	notify_subscribers(s);
	if (s->sync)
		config_sync_push_delta(s->sync, origin, d, json);
out:
	finding_list_clear(&findings);
	return status;
}

static void on_body(const struct platform_result *result, void *data)
{
	struct config_service *s = data;
	int64_t version = s->fetching_version;

	s->fetching_version = 0;
	if (result->status == STATUS_OK && result->object)
		config_service_apply(s, version, result->object,
				     CONFIG_FROM_STORE);
}

/*
 * Returns TRUE if the whole body of the head must be read. A push carries only
 * the changed entities, so a process that sees a newer head first waits for
 * pushes for PUSH_WAIT_MS, and again each time that its version increases.
 */
static gboolean should_fetch_body(struct config_service *s,
				  int64_t head_version)
{
	int64_t now_ms = util_monotonic_ms();

	if (head_version <= s->current.version) {
		s->behind_version = -1;
		return FALSE;
	}
	if (!s->sync || !s->current.version)
		return TRUE;
	if (s->behind_version != s->current.version) {
		s->behind_version = s->current.version;
		s->behind_since_ms = now_ms;
	}
	return now_ms - s->behind_since_ms >= PUSH_WAIT_MS;
}

static void on_head(const struct platform_result *result, void *data)
{
	struct config_service *s = data;
	struct config_head head = { 0 };

	s->is_reading_head = FALSE;
	if (table_row_decode(result, &config_head_schema, &head) == STATUS_OK &&
	    should_fetch_body(s, head.version) && !s->fetching_version) {
		s->fetching_version = head.version;
		platform_object_get(platform_of(s->kernel), head.object,
				    on_body, s);
	}
	config_head_clear(&head);
}

static gboolean is_poll_due(const struct config_service *s, int64_t now_ms)
{
	if (s->is_reading_head || s->fetching_version)
		return FALSE;
	return !s->sync || config_sync_is_poller(s->sync) ||
	       s->behind_version >= 0 ||
	       now_ms - s->head_read_ms >= SLOW_POLL_MS;
}

static gboolean on_poll(gpointer data)
{
	struct config_service *s = data;
	int64_t now_ms = util_monotonic_ms();

	if (!is_poll_due(s, now_ms))
		return G_SOURCE_CONTINUE;
	s->is_reading_head = TRUE;
	s->head_read_ms = now_ms;
	platform_read(platform_of(s->kernel), CONFIG_TABLE, CONFIG_HEAD_KEY,
		      on_head, s);
	return G_SOURCE_CONTINUE;
}

static enum status config_service_start(struct service *base, struct kernel *k)
{
	struct config_service *s = (struct config_service *)base;

	s->kernel = k;
	s->routes = config_routes_new(k, s);
	s->sync = config_sync_new(k, s);
	s->timer = g_timeout_add(POLL_MS, on_poll, s);
	on_poll(s);
	return STATUS_OK;
}

static void config_service_free(struct service *base)
{
	struct config_service *s = (struct config_service *)base;

	if (s->timer)
		g_source_remove(s->timer);
	if (s->kernel)
		platform_forget(platform_of(s->kernel), s);
	g_clear_pointer(&s->routes, config_routes_free);
	g_clear_pointer(&s->sync, config_sync_free);
	config_version_clear(&s->current);
	g_array_unref(s->subscribers);
	g_free(s);
}

static const struct service_class config_service_class = {
	.name = CONFIG_SERVICE,
	.start = config_service_start,
	.free = config_service_free,
};

struct service *config_service_new(void)
{
	struct config_service *s = g_new0(struct config_service, 1);

	s->base.class = &config_service_class;
	s->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	config_version_init(&s->current);
	s->behind_version = -1;
	return &s->base;
}

const struct config_doc *config_service_doc(const struct config_service *s)
{
	return s->current.version > 0 ? &s->current.doc : NULL;
}

int64_t config_service_version(const struct config_service *s)
{
	return s->current.version;
}

const struct config_body *config_service_body(const struct config_service *s)
{
	return s->current.body;
}

void config_service_subscribe(struct config_service *s, config_changed_fn fn,
			      void *data)
{
	struct subscriber sub = { fn, data };

	g_array_append_val(s->subscribers, sub);
}
