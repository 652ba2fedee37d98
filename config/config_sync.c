#include "config/config_sync.h"

#include "base/log.h"
#include "base/util.h"
#include "config/config_delta.h"
#include "link/link_service.h"
#include "shared/membership_service.h"

/** Members of a failure domain that poll the table for the others. */
#define POLLER_COUNT 2
#define POLL_TASK "config-poll"
/** Number of deltas kept for peers that are behind. */
#define MAX_HISTORY 16
/** Minimum interval between requests, also if an answer can't be applied. */
#define REQUEST_INTERVAL_MS INT64_C(500)

struct config_sync {
	struct kernel *kernel;
	struct config_service *service;
	struct link_service *link;
	struct membership_service *membership;
	GPtrArray *history;    /**< of encoded deltas, oldest first */
	GArray *base_versions; /**< of int64_t, one for each delta */
	int64_t last_request_ms;
};

static enum config_origin origin_of(const struct config_sync *s,
				    const struct link_identity *from)
{
	const char *own = link_service_self(s->link)->failure_domain;

	return g_str_equal(from->failure_domain, own)
		       ? CONFIG_FROM_SAME_DOMAIN
		       : CONFIG_FROM_OTHER_DOMAIN;
}

/* Requests newer versions from a peer, at most once in REQUEST_INTERVAL_MS. */
static void send_request(struct config_sync *s, const char *node,
			 gboolean wants_whole)
{
	struct config_request request = {
		.have_version = config_service_version(s->service),
		.wants_whole = wants_whole,
	};
	int64_t now_ms = util_monotonic_ms();
	json_object *body;

	if (now_ms - s->last_request_ms < REQUEST_INTERVAL_MS)
		return;
	s->last_request_ms = now_ms;
	body = schema_encode(&config_request_schema, &request);
	link_service_send(s->link, node, MESSAGE_CONFIG_REQUEST, body);
	json_object_put(body);
}

static void handle_delta(struct config_sync *s,
			 const struct link_identity *from,
			 const struct config_delta *d, json_object *json)
{
	int64_t version = config_service_version(s->service);

	if (d->version <= version)
		return;
	if (d->base_version != version) {
		send_request(s, from->node, FALSE);
		return;
	}
	if (config_service_apply_delta(s->service, d, json,
				       origin_of(s, from)) != STATUS_OK)
		send_request(s, from->node, TRUE);
}

static void on_delta(const struct link_identity *from, json_object *json,
		     void *data)
{
	struct config_delta d = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (schema_decode_lenient(&config_delta_schema, json, &d, "",
				  &findings))
		handle_delta(data, from, &d, json);
	schema_clear(&config_delta_schema, &d);
	finding_list_clear(&findings);
}

static void on_whole(const struct link_identity *from, json_object *json,
		     void *data)
{
	struct config_sync *s = data;
	struct config_whole w = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (schema_decode_lenient(&config_whole_schema, json, &w, "",
				  &findings))
		config_service_apply(s->service, w.version, w.config,
				     origin_of(s, from));
	schema_clear(&config_whole_schema, &w);
	finding_list_clear(&findings);
}

static void send_whole(struct config_sync *s, const char *node)
{
	struct config_whole w = {
		.version = config_service_version(s->service),
		.config = config_body_encode(config_service_body(s->service)),
	};
	json_object *body = schema_encode(&config_whole_schema, &w);

	link_service_send(s->link, node, MESSAGE_CONFIG_BODY, body);
	json_object_put(body);
	json_object_put(w.config);
}

/* Sends the deltas since the peer's version, or the whole configuration. */
static void answer_request(struct config_sync *s, const char *node,
			   const struct config_request *request)
{
	guint first = 0;

	while (first < s->base_versions->len &&
	       g_array_index(s->base_versions, int64_t, first) !=
		       request->have_version)
		first++;
	if (first == s->base_versions->len || request->wants_whole) {
		send_whole(s, node);
		return;
	}
	for (guint i = first; i < s->history->len; i++)
		link_service_send(s->link, node, MESSAGE_CONFIG_DELTA,
				  g_ptr_array_index(s->history, i));
}

static void on_request(const struct link_identity *from, json_object *json,
		       void *data)
{
	struct config_sync *s = data;
	struct config_request request = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (schema_decode_lenient(&config_request_schema, json, &request, "",
				  &findings) &&
	    request.have_version < config_service_version(s->service))
		answer_request(s, from->node, &request);
	finding_list_clear(&findings);
}

static void on_heartbeat(const struct link_identity *from,
			 const struct heartbeat *h, void *data)
{
	struct config_sync *s = data;

	if (h->config_version > config_service_version(s->service))
		send_request(s, from->node, FALSE);
}

static void unref_json(gpointer data)
{
	json_object_put(data);
}

struct config_sync *config_sync_new(struct kernel *k,
				    struct config_service *service)
{
	struct link_service *link =
		(struct link_service *)kernel_find(k, LINK_SERVICE);
	struct config_sync *s;

	if (!link || !membership_of(k))
		return NULL;
	s = g_new0(struct config_sync, 1);
	s->kernel = k;
	s->service = service;
	s->link = link;
	s->membership = membership_of(k);
	s->history = g_ptr_array_new_with_free_func(unref_json);
	s->base_versions = g_array_new(FALSE, FALSE, sizeof(int64_t));
	link_service_set_handler(link, MESSAGE_CONFIG_DELTA, on_delta, s);
	link_service_set_handler(link, MESSAGE_CONFIG_BODY, on_whole, s);
	link_service_set_handler(link, MESSAGE_CONFIG_REQUEST, on_request, s);
	membership_service_subscribe(s->membership, on_heartbeat, s);
	return s;
}

void config_sync_free(struct config_sync *s)
{
	g_ptr_array_unref(s->history);
	g_array_unref(s->base_versions);
	g_free(s);
}

static void clear_history(struct config_sync *s)
{
	g_ptr_array_set_size(s->history, 0);
	g_array_set_size(s->base_versions, 0);
}

/*
 * After a large delta the history starts anew: peers that need that delta get
 * the whole configuration.
 */
static void add_to_history(struct config_sync *s, const struct config_delta *d,
			   json_object *json)
{
	if (config_delta_is_large(d)) {
		clear_history(s);
		return;
	}
	if (s->history->len == MAX_HISTORY) {
		g_ptr_array_remove_index(s->history, 0);
		g_array_remove_index(s->base_versions, 0);
	}
	g_ptr_array_add(s->history, json_object_get(json));
	g_array_append_val(s->base_versions, d->base_version);
}

void config_sync_push_delta(struct config_sync *s, enum config_origin origin,
			    const struct config_delta *d, json_object *json)
{
	add_to_history(s, d, json);
	if (origin != CONFIG_FROM_SAME_DOMAIN)
		link_service_broadcast_own_domain(s->link, MESSAGE_CONFIG_DELTA,
						  json);
	if (origin != CONFIG_FROM_OTHER_DOMAIN)
		link_service_broadcast_other_domains(
			s->link, MESSAGE_CONFIG_DELTA, json);
}

void config_sync_push_since(struct config_sync *s, enum config_origin origin,
			    const struct config_body *base,
			    int64_t base_version)
{
	struct config_delta d = { 0 };
	json_object *json;

	config_delta_make(base, base_version, config_service_body(s->service),
			  config_service_version(s->service), &d);
	json = schema_encode(&config_delta_schema, &d);
	config_sync_push_delta(s, origin, &d, json);
	schema_clear(&config_delta_schema, &d);
	json_object_put(json);
}

gboolean config_sync_is_poller(const struct config_sync *s)
{
	return member_table_is_elected(membership_service_table(s->membership),
				       POLL_TASK, POLLER_COUNT);
}
