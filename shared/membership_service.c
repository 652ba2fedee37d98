#include "shared/membership_service.h"

#include "base/log.h"
#include "base/util.h"
#include "config/config_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "link/link_service.h"
#include "shared/member_heartbeat.h"
#include "shared/pool_lease.h"
#include "shared/vm_list.h"

/** Maximum time between two steps; a much longer gap shows that this process
 *  was paused, see member_table_step(). */
#define STEP_MS INT64_C(500)
/** Heartbeat rounds within the domain per round to other domains. */
#define BRIDGE_HEARTBEAT_EVERY 2
/** Interval at which the last VM list is applied again. */
#define VM_LIST_MS 10000

struct subscriber {
	membership_fn fn;
	void *data;
};

struct membership_service {
	struct service base;
	struct kernel *kernel;
	struct link_service *link;
	struct member_table table;
	GHashTable *sent;    /**< node to last change sent on its link */
	GHashTable *states;  /**< node to state last logged */
	GArray *subscribers; /**< of struct subscriber */
	int64_t heartbeat_rounds;
	int64_t next_heartbeat_ms; /**< when the next round is due */
	int64_t logged_changes;	   /**< table.changes when last logged */
	int64_t target_changes;	   /**< table.changes when links were set */
	guint step_timer;
	guint list_timer;
};

static void on_link_up(const struct link_identity *to, void *data)
{
	struct membership_service *s = data;

	g_hash_table_remove(s->sent, to->node);
}

static void log_states(struct membership_service *s)
{
	if (s->logged_changes == s->table.changes)
		return;
	s->logged_changes = s->table.changes;
	for (guint i = 0; i < s->table.members->len; i++) {
		const struct member *m = g_ptr_array_index(s->table.members, i);
		const char *state = member_state_names[m->record.state];
		const char *node = m->record.identity.node;
		struct log_line line;

		if (g_strcmp0(g_hash_table_lookup(s->states, node), state) == 0)
			continue;
		g_hash_table_replace(s->states, g_strdup(node),
				     (gpointer)state);
		log_begin(&line, LOG_LEVEL_INFO, "member");
		log_str(&line, "member", node);
		log_str(&line, "state", state);
		log_str(&line, "incarnation", m->record.identity.incarnation);
		log_int(&line, "generation", m->record.generation);
		log_end(&line);
	}
}

static void on_heartbeat(const struct link_identity *from, json_object *body,
			 void *data)
{
	struct membership_service *s = data;
	struct heartbeat h = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (!schema_decode_lenient(&heartbeat_schema, body, &h, "", &findings))
		goto out;
	member_table_on_heartbeat(&s->table, util_monotonic_ms(), from, &h);
	log_states(s);
	for (guint i = 0; i < s->subscribers->len; i++) {
		const struct subscriber *sub =
			&g_array_index(s->subscribers, struct subscriber, i);

		sub->fn(from, &h, sub->data);
	}
out:
	schema_clear(&heartbeat_schema, &h);
	finding_list_clear(&findings);
}

static void record_sent(struct membership_service *s, const char *node,
			gboolean is_full)
{
	int64_t *sent = g_new(int64_t, 1);

	*sent = s->table.changes;
	g_hash_table_replace(s->sent, g_strdup(node), sent);
	if (is_full)
		member_heartbeat_record_full(&s->table, node);
}

/* Builds and encodes the heartbeat to one process. */
static json_object *encode_heartbeat(struct membership_service *s,
				     const struct link_identity *to,
				     gboolean is_same_domain, gboolean is_full)
{
	struct pool_lease_service *leases =
		(struct pool_lease_service *)kernel_find(s->kernel,
							 POOL_LEASE_SERVICE);
	const int64_t *sent = g_hash_table_lookup(s->sent, to->node);
	struct heartbeat h = { 0 };
	json_object *body;

	member_heartbeat_fill(&s->table, util_monotonic_ms(),
			      sent && !is_full ? *sent : 0, to, &h);
	if (leases && is_same_domain)
		pool_lease_fill_heartbeat(leases, h.pools);
	body = heartbeat_encode(&h);
	schema_clear(&heartbeat_schema, &h);
	return body;
}

static void send_heartbeat(struct membership_service *s,
			   const struct link_identity *to,
			   gboolean is_same_domain)
{
	gboolean is_full = member_heartbeat_needs_full(&s->table, to->node);
	json_object *body = encode_heartbeat(s, to, is_same_domain, is_full);

	if (link_service_send(s->link, to->node, MESSAGE_HEARTBEAT, body) ==
	    STATUS_OK)
		record_sent(s, to->node, is_full);
	json_object_put(body);
}

static void send_heartbeats(struct membership_service *s, gboolean to_bridges)
{
	GPtrArray *peers = link_service_peers(s->link);
	const char *own = link_service_self(s->link)->failure_domain;

	for (guint i = 0; i < peers->len; i++) {
		const struct link_identity *to = g_ptr_array_index(peers, i);
		gboolean is_same_domain = g_str_equal(to->failure_domain, own);

		if (is_same_domain || to_bridges)
			send_heartbeat(s, to, is_same_domain);
	}
	g_ptr_array_unref(peers);
}

static gboolean is_known_link(const struct member_table *t, const char *address)
{
	for (guint i = 0; i < t->members->len; i++) {
		const struct member *m = g_ptr_array_index(t->members, i);

		if (g_str_equal(m->record.identity.link, address))
			return TRUE;
	}
	return FALSE;
}

/* Sets the links to members, and to seeds that aren't members yet. */
static void update_targets(struct membership_service *s)
{
	const GPtrArray *seeds = settings_of(s->kernel)->seeds;
	GPtrArray *targets;

	if (s->target_changes == s->table.changes)
		return;
	s->target_changes = s->table.changes;
	targets = member_table_targets(&s->table);
	for (guint i = 0; seeds && i < seeds->len; i++) {
		if (!is_known_link(&s->table, seeds->pdata[i]))
			g_ptr_array_add(targets, g_strdup(seeds->pdata[i]));
	}
	link_service_set_targets(s->link, targets);
	g_ptr_array_unref(targets);
}

static int64_t config_version(const struct membership_service *s)
{
	const struct config_service *config;

	config = (const struct config_service *)kernel_find(s->kernel,
							    CONFIG_SERVICE);
	return config ? config_service_version(config) : 0;
}

static void update_traffic_gauges(struct membership_service *s)
{
	struct counters *c = kernel_counters(s->kernel);
	const struct link_traffic *t = link_service_traffic(s->link);

	counter_set(counters_gauge(c, "cs_link_sent_bytes", "sent on links"),
		    t->sent_bytes);
	counter_set(counters_gauge(c, "cs_link_received_bytes",
				   "received on links"),
		    t->received_bytes);
	counter_set(counters_gauge(c, "cs_link_sent_frames", "sent on links"),
		    t->sent_frames);
	counter_set(counters_gauge(c, "cs_link_received_frames",
				   "received on links"),
		    t->received_frames);
	counter_set(counters_gauge(c, "cs_link_unknown_frames",
				   "of types not known here"),
		    t->unknown_frames);
	counter_set(counters_gauge(c, "cs_link_refused",
				   "links refused for their versions"),
		    t->refused_links);
	counter_set(counters_gauge(c, "cs_link_limited",
				   "links closed or refused: too many"),
		    t->limited_links);
	counter_set(counters_gauge(c, "cs_link_refused_frames",
				   "frames refused: too long or not valid"),
		    t->refused_frames);
}

static void run_heartbeat_round(struct membership_service *s, int64_t now_ms)
{
	update_targets(s);
	send_heartbeats(s, s->heartbeat_rounds % BRIDGE_HEARTBEAT_EVERY == 0);
	update_traffic_gauges(s);
	s->heartbeat_rounds++;
	s->next_heartbeat_ms += MEMBER_HEARTBEAT_MS;
	if (s->next_heartbeat_ms <= now_ms)
		s->next_heartbeat_ms = now_ms + MEMBER_HEARTBEAT_MS;
}

static gboolean on_step(gpointer data);

/* Sets the timer to the next heartbeat round or end of a silence timeout. */
static void arm_step(struct membership_service *s, int64_t now_ms)
{
	int64_t at_ms =
		MIN(s->next_heartbeat_ms, member_table_due_ms(&s->table));
	int64_t delay_ms = CLAMP(at_ms - now_ms, 1, STEP_MS);

	s->step_timer = g_timeout_add((guint)delay_ms, on_step, s);
}

static gboolean on_step(gpointer data)
{
	struct membership_service *s = data;
	int64_t now_ms = util_monotonic_ms();

	member_table_set_status(&s->table, config_version(s));
	member_table_step(&s->table, now_ms);
	log_states(s);
	if (now_ms >= s->next_heartbeat_ms)
		run_heartbeat_round(s, now_ms);
	arm_step(s, now_ms);
	return G_SOURCE_REMOVE;
}

static void on_vm_list(const struct vm_list *list, void *data)
{
	struct membership_service *s = data;

	vm_list_apply_hints(list, link_service_self(s->link)->failure_domain,
			    &s->table);
}

/* Applies the last VM list to members added since it was read. */
static gboolean on_list_timer(gpointer data)
{
	struct membership_service *s = data;
	const struct vm_list *list = vm_reader_list(vm_reader_of(s->kernel));

	if (list)
		on_vm_list(list, s);
	return G_SOURCE_CONTINUE;
}

static enum status membership_service_start(struct service *base,
					    struct kernel *k)
{
	struct membership_service *s = (struct membership_service *)base;

	s->kernel = k;
	s->link = (struct link_service *)kernel_find(k, LINK_SERVICE);
	member_table_init(&s->table, link_service_self(s->link), util_wall_ms(),
			  util_monotonic_ms());
	link_service_set_handler(s->link, MESSAGE_HEARTBEAT, on_heartbeat, s);
	link_service_subscribe_up(s->link, on_link_up, s);
	s->list_timer = g_timeout_add(VM_LIST_MS, on_list_timer, s);
	s->next_heartbeat_ms = util_monotonic_ms();
	on_step(s);
	vm_reader_subscribe(vm_reader_of(k), on_vm_list, s);
	return STATUS_OK;
}

static void membership_service_drain(struct service *base)
{
	struct membership_service *s = (struct membership_service *)base;

	member_table_leave(&s->table);
	send_heartbeats(s, TRUE);
}

static void membership_service_free(struct service *base)
{
	struct membership_service *s = (struct membership_service *)base;

	if (s->step_timer)
		g_source_remove(s->step_timer);
	if (s->list_timer)
		g_source_remove(s->list_timer);
	member_table_clear(&s->table);
	g_hash_table_unref(s->sent);
	g_hash_table_unref(s->states);
	g_array_unref(s->subscribers);
	g_free(s);
}

static const struct service_class membership_service_class = {
	.name = MEMBERSHIP_SERVICE,
	.start = membership_service_start,
	.drain = membership_service_drain,
	.free = membership_service_free,
};

struct service *membership_service_new(void)
{
	struct membership_service *s = g_new0(struct membership_service, 1);

	s->base.class = &membership_service_class;
	s->sent =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	return &s->base;
}

struct membership_service *membership_of(const struct kernel *k)
{
	return (struct membership_service *)kernel_find(k, MEMBERSHIP_SERVICE);
}

const struct member_table *
membership_service_table(const struct membership_service *s)
{
	return &s->table;
}

guint membership_service_count_live(const struct membership_service *s,
				    enum link_role role,
				    const char *failure_domain)
{
	GPtrArray *live = member_table_live(&s->table, role, failure_domain);
	guint count = MAX(live->len, 1);

	g_ptr_array_unref(live);
	return count;
}

void membership_service_announce(struct membership_service *s)
{
	send_heartbeats(s, FALSE);
}

void membership_service_subscribe(struct membership_service *s,
				  membership_fn fn, void *data)
{
	struct subscriber sub = { fn, data };

	g_array_append_val(s->subscribers, sub);
}
