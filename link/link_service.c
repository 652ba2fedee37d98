#include "link/link_service.h"

#include "base/log.h"
#include "base/process_limits.h"
#include "base/util.h"
#include "daemon/settings_service.h"
#include "link/link_inbound.h"
#include "link/link_listen.h"
#include "link/link_peer.h"
#include "shared/pool_lease.h"

/** Number of values of the type byte of a frame. */
#define FRAME_TYPE_COUNT (UINT8_MAX + 1)
#define TICK_INTERVAL_S 1
/**
 * Main loop iterations at shutdown that let closed connections and cancelled
 * connects finish.
 */
#define CLOSE_ITERATIONS 64

struct handler {
	link_handler fn;
	void *data;
};

struct up_subscriber {
	link_up_fn fn;
	void *data;
};

struct link_service {
	struct service base;
	struct link_identity self;
	const char *secret;
	struct tcp_listener *listener; /* NULL until started */
	struct link_poll *poll;
	guint max_inbound;
	struct log_pace limit_pace;
	guint tick_timer;
	GPtrArray *peers;	/**< of struct link_peer */
	GHashTable *inbound;	/**< set of struct link_inbound */
	GArray *up_subscribers; /**< of struct up_subscriber */
	struct handler handlers[FRAME_TYPE_COUNT];
	struct link_traffic traffic;
	gboolean is_unknown_logged[FRAME_TYPE_COUNT]; /**< by type */
};

/*
 * Ignores a frame of an unknown type, which a process of a later version may
 * send; logged once per type.
 */
static void record_unknown_type(struct link_service *s,
				const struct link_identity *from, uint8_t type)
{
	struct log_line line;

	s->traffic.unknown_frames++;
	if (s->is_unknown_logged[type])
		return;
	s->is_unknown_logged[type] = TRUE;
	log_begin(&line, LOG_LEVEL_INFO, "link_unknown_type");
	log_str(&line, "peer", from->node);
	log_int(&line, "type", type);
	log_end(&line);
}

static void on_frame(const struct link_identity *from, uint8_t type,
		     json_object *body, void *data)
{
	struct link_service *s = data;
	const struct handler *h = &s->handlers[type];

	if (h->fn)
		h->fn(from, body, h->data);
	else if (type != MESSAGE_PING)
		record_unknown_type(s, from, type);
}

static void on_ended(struct link_inbound *i, void *data)
{
	struct link_service *s = data;

	g_hash_table_remove(s->inbound, i);
}

/* Logs how many links were closed or refused at the limit, once in a while. */
static void log_limit(struct link_service *s)
{
	struct log_line line;

	if (!log_pace_is_due(&s->limit_pace, util_monotonic_ms(),
			     LOG_LIMIT_INTERVAL_MS))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "link_limit");
	log_int(&line, "inbound", g_hash_table_size(s->inbound));
	log_int(&line, "limited", s->traffic.limited_links);
	log_int(&line, "refused_frames", s->traffic.refused_frames);
	log_end(&line);
}

/* At the limit, closes the oldest link that is not authenticated yet. */
static gboolean has_room(struct link_service *s)
{
	struct link_inbound *oldest = NULL;
	GHashTableIter iter;
	gpointer item;

	if (g_hash_table_size(s->inbound) < s->max_inbound)
		return TRUE;
	g_hash_table_iter_init(&iter, s->inbound);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		if (!link_inbound_is_authenticated(item) &&
		    (!oldest || link_inbound_accepted_ms(item) <
					link_inbound_accepted_ms(oldest)))
			oldest = item;
	}
	s->traffic.limited_links++;
	log_limit(s);
	return oldest && g_hash_table_remove(s->inbound, oldest);
}

static void on_accept(GSocket *socket, void *data)
{
	struct link_service *s = data;
	struct link_inbound_spec spec = {
		.identity = &s->self,
		.versions = &link_versions_own,
		.secret = s->secret,
		.poll = s->poll,
		.traffic = &s->traffic,
		.on_frame = on_frame,
		.on_ended = on_ended,
		.data = s,
	};
	GSocketConnection *stream;

	if (!has_room(s))
		return;
	stream = g_socket_connection_factory_create_connection(socket);
	g_hash_table_add(s->inbound, link_inbound_new(&spec, stream));
	g_object_unref(stream);
}

static void on_peer_up(struct link_peer *peer, void *data)
{
	struct link_service *s = data;
	const struct link_identity *to = link_peer_identity(peer);
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "link_up");
	log_str(&line, "peer", to->node);
	log_str(&line, "incarnation", to->incarnation);
	log_str(&line, "address", link_peer_address(peer));
	log_int(&line, "version", link_peer_version(peer));
	log_end(&line);
	for (guint i = 0; i < s->up_subscribers->len; i++) {
		const struct up_subscriber *sub = &g_array_index(
			s->up_subscribers, struct up_subscriber, i);

		sub->fn(to, sub->data);
	}
}

static void set_self(struct link_service *s, const struct kernel *k)
{
	const struct settings *settings = settings_of(k);

	s->self.node = g_strdup(settings->node);
	s->self.incarnation = g_strdup(incarnation_of(k));
	s->self.vm = g_strdup(settings->vm);
	s->self.failure_domain = g_strdup(settings->failure_domain);
	s->self.http = g_strdup(settings->http);
	s->self.link = g_strdup(settings->link_public ? settings->link_public
						      : settings->link);
	s->self.role = kernel_find(k, POOL_LEASE_SERVICE) ? LINK_ROLE_SCHEDULER
							  : LINK_ROLE_GATEWAY;
	s->secret = settings->link_secret ? settings->link_secret : "";
}

static gboolean on_tick(gpointer data)
{
	struct link_service *s = data;

	for (guint i = 0; i < s->peers->len; i++)
		link_peer_tick(g_ptr_array_index(s->peers, i));
	return G_SOURCE_CONTINUE;
}

static enum status link_service_start(struct service *base, struct kernel *k)
{
	struct link_service *s = (struct link_service *)base;
	enum status status;

	set_self(s, k);
	s->max_inbound =
		process_limits_links(&settings_of(k)->limits, LINK_MAX_INBOUND);
	status = link_listen(settings_of(k)->link, on_accept, s, &s->listener);
	if (status != STATUS_OK)
		return status;
	s->tick_timer = g_timeout_add_seconds(TICK_INTERVAL_S, on_tick, s);
	return STATUS_OK;
}

static void link_service_free(struct service *base)
{
	struct link_service *s = (struct link_service *)base;

	if (s->tick_timer)
		g_source_remove(s->tick_timer);
	g_clear_pointer(&s->listener, tcp_listener_free);
	g_ptr_array_unref(s->peers);
	g_hash_table_unref(s->inbound);
	for (guint i = 0; i < CLOSE_ITERATIONS; i++)
		g_main_context_iteration(NULL, FALSE);
	link_poll_free(s->poll);
	g_array_unref(s->up_subscribers);
	link_identity_clear(&s->self);
	g_free(s);
}

static const struct service_class link_service_class = {
	.name = LINK_SERVICE,
	.start = link_service_start,
	.free = link_service_free,
};

struct service *link_service_new(void)
{
	struct link_service *s = g_new0(struct link_service, 1);

	s->base.class = &link_service_class;
	s->poll = link_poll_new();
	s->peers =
		g_ptr_array_new_with_free_func((GDestroyNotify)link_peer_free);
	s->inbound = g_hash_table_new_full(
		NULL, NULL, (GDestroyNotify)link_inbound_free, NULL);
	s->up_subscribers =
		g_array_new(FALSE, FALSE, sizeof(struct up_subscriber));
	return &s->base;
}

const struct link_identity *link_service_self(const struct link_service *s)
{
	return &s->self;
}

void link_service_set_handler(struct link_service *s, enum message_type type,
			      link_handler handler, void *data)
{
	s->handlers[type] = (struct handler){ handler, data };
}

void link_service_subscribe_up(struct link_service *s, link_up_fn fn,
			       void *data)
{
	struct up_subscriber sub = { fn, data };

	g_array_append_val(s->up_subscribers, sub);
}

static gboolean has_peer(const struct link_service *s, const char *address)
{
	for (guint i = 0; i < s->peers->len; i++) {
		if (g_str_equal(link_peer_address(s->peers->pdata[i]), address))
			return TRUE;
	}
	return FALSE;
}

static void add_peer(struct link_service *s, const char *address)
{
	struct link_peer_spec spec = {
		.address = address,
		.identity = &s->self,
		.versions = &link_versions_own,
		.secret = s->secret,
		.poll = s->poll,
		.traffic = &s->traffic,
		.on_up = on_peer_up,
		.data = s,
	};

	g_ptr_array_add(s->peers, link_peer_new(&spec));
}

void link_service_set_targets(struct link_service *s,
			      const GPtrArray *addresses)
{
	for (guint i = s->peers->len; i > 0; i--) {
		const char *address = link_peer_address(s->peers->pdata[i - 1]);

		if (!g_ptr_array_find_with_equal_func(
			    (GPtrArray *)addresses, address, g_str_equal, NULL))
			g_ptr_array_remove_index(s->peers, i - 1);
	}
	for (guint i = 0; i < addresses->len; i++) {
		const char *address = addresses->pdata[i];

		if (!g_str_equal(address, s->self.link) &&
		    !has_peer(s, address))
			add_peer(s, address);
	}
}

enum status link_service_send(struct link_service *s, const char *node,
			      enum message_type type, json_object *body)
{
	for (guint i = 0; i < s->peers->len; i++) {
		const struct link_identity *to =
			link_peer_identity(s->peers->pdata[i]);

		if (to && g_str_equal(to->node, node))
			return link_peer_send(s->peers->pdata[i], type, body);
	}
	return status_fail(STATUS_UNAVAILABLE, "no link to %s", node);
}

static void broadcast(struct link_service *s, gboolean is_own_domain,
		      enum message_type type, json_object *body)
{
	for (guint i = 0; i < s->peers->len; i++) {
		const struct link_identity *to =
			link_peer_identity(s->peers->pdata[i]);

		if (to && g_str_equal(to->failure_domain,
				      s->self.failure_domain) == is_own_domain)
			link_peer_send(s->peers->pdata[i], type, body);
	}
}

void link_service_broadcast_own_domain(struct link_service *s,
				       enum message_type type,
				       json_object *body)
{
	broadcast(s, TRUE, type, body);
}

void link_service_broadcast_other_domains(struct link_service *s,
					  enum message_type type,
					  json_object *body)
{
	broadcast(s, FALSE, type, body);
}

GPtrArray *link_service_peers(const struct link_service *s)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < s->peers->len; i++) {
		const struct link_identity *to =
			link_peer_identity(s->peers->pdata[i]);

		if (to)
			g_ptr_array_add(out, (gpointer)to);
	}
	return out;
}

int64_t link_service_version(const struct link_service *s, const char *node)
{
	for (guint i = 0; i < s->peers->len; i++) {
		const struct link_identity *to =
			link_peer_identity(s->peers->pdata[i]);

		if (to && g_str_equal(to->node, node))
			return link_peer_version(s->peers->pdata[i]);
	}
	return 0;
}

const struct link_traffic *link_service_traffic(const struct link_service *s)
{
	return &s->traffic;
}
