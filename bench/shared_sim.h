/**
 * @file
 * Simulates the processes of several failure domains in virtual time. Links and
 * elected pollers come from the real membership code, message sizes from the
 * real codecs.
 */
#ifndef BENCH_SHARED_SIM_H
#define BENCH_SHARED_SIM_H

#include <glib.h>
#include <stdint.h>

#include "config/config_delta.h"
#include "link/frame.h"
#include "link/pack.h"
#include "shared/member_heartbeat.h"

#define SIM_MAX_NODES 80
/** Required one-way latencies, within a failure domain and between two. */
#define SIM_INTRA_DOMAIN_MS 0.5
#define SIM_INTER_DOMAIN_MS 1.4
/** Latency of a call to the platform. */
#define SIM_PLATFORM_CALL_MS 5.0
/** Poll interval of elected pollers. */
#define SIM_POLL_MS 500.0
/** Time to apply a received change and to forward it. */
#define SIM_APPLY_MS 5.0
/** Poll rate of processes that aren't elected. */
#define SIM_UNELECTED_POLLS_PER_S (1.0 / 20)
#define SIM_BRIDGE_HEARTBEATS_PER_S 0.5
/** Size of a frame with an empty map: a ping or an acknowledgement. */
#define SIM_EMPTY_FRAME_BYTES (FRAME_HEADER_BYTES + 1)

struct shared_sim {
	guint nodes;
	guint domain_size;
	struct member_table tables[SIM_MAX_NODES];    /**< by node */
	gboolean links[SIM_MAX_NODES][SIM_MAX_NODES]; /**< from, to */
	gboolean is_poller[SIM_MAX_NODES]; /**< elected to poll the config */
};

/** Rates per node, sent and received together. */
struct shared_traffic {
	double mean_messages_per_s;
	double worst_messages_per_s;
	double mean_bytes_per_s;
	double worst_bytes_per_s;
	double table_reads_per_s; /**< by all nodes together */
};

/** Updates made on either side of partitions and lost in the merge. */
struct shared_merge_losses {
	guint updates;
	guint lost;
};

static gboolean sim_is_same_domain(const struct shared_sim *s, guint a, guint b)
{
	return a / s->domain_size == b / s->domain_size;
}

static void sim_fill_table(struct shared_sim *s, guint node)
{
	for (guint i = 0; i < s->nodes; i++) {
		char *name =
			g_strdup_printf("region-%u-g%u", i / s->domain_size, i);
		char *domain = g_strdup_printf("region-%u", i / s->domain_size);
		char *link = g_strdup_printf("10.0.0.%u:7000", i);
		struct member_record record = {
			.identity = { .node = name,
				      .incarnation = (char *)"0123456789abcdef0"
							     "123456789abcdef",
				      .vm = name,
				      .failure_domain = domain,
				      .http = link,
				      .link = link,
				      .role = LINK_ROLE_SCHEDULER },
			.generation = INT64_C(1800000000000),
		};

		if (i == node)
			member_table_init(&s->tables[node], &record.identity,
					  record.generation, 0);
		g_free(name);
		g_free(domain);
		g_free(link);
	}
	for (guint i = 0; i < s->nodes; i++) {
		if (i != node && s->tables[i].self)
			member_table_merge(&s->tables[node], 0,
					   &s->tables[i].self->record);
	}
}

/* Marks every member as heard at time 0 and as reporting this view. */
static void sim_mark_all_heard(struct member_table *t)
{
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = t->members->pdata[i];

		m->heard_ms = 0;
		m->reported_view = member_view_digest(&t->view);
	}
}

static void shared_sim_init(struct shared_sim *s, guint nodes,
			    guint domain_size)
{
	*s = (struct shared_sim){ .nodes = nodes, .domain_size = domain_size };
	for (guint i = 0; i < nodes; i++)
		sim_fill_table(s, i);
	for (guint i = 0; i < nodes; i++) {
		for (guint j = i + 1; j < nodes; j++)
			member_table_merge(&s->tables[i], 0,
					   &s->tables[j].self->record);
	}
	for (guint i = 0; i < nodes; i++)
		sim_mark_all_heard(&s->tables[i]);
	for (guint i = 0; i < nodes; i++) {
		GPtrArray *targets = member_table_targets(&s->tables[i]);

		for (guint j = 0; j < nodes; j++)
			s->links[i][j] = g_ptr_array_find_with_equal_func(
				targets,
				s->tables[j].self->record.identity.link,
				g_str_equal, NULL);
		s->is_poller[i] = member_table_is_elected(&s->tables[i],
							  "config-poll", 2);
		g_ptr_array_unref(targets);
	}
}

static void shared_sim_clear(struct shared_sim *s)
{
	for (guint i = 0; i < s->nodes; i++)
		member_table_clear(&s->tables[i]);
}

/*
 * Propagates one change from its commit on and sets the times in ms at which
 * each node has applied it. The process that accepted it has died, so that only
 * polling finds it. With is_partitioned, the pollers of the first failure
 * domain can't reach the platform.
 */
static void shared_sim_propagate(const struct shared_sim *s, GRand *rand,
				 gboolean is_partitioned, double *times)
{
	gboolean is_changed = TRUE;
	gboolean came_over_bridge[SIM_MAX_NODES] = { FALSE };
	gboolean is_polled[SIM_MAX_NODES] = { FALSE };

	for (guint i = 0; i < s->nodes; i++) {
		times[i] = G_MAXDOUBLE;
		if (!s->is_poller[i] || (is_partitioned && i < s->domain_size))
			continue;
		is_polled[i] = TRUE;
		/* One poll sees the new version. The change is read one
		 * poll later, to leave time for pushes. */
		times[i] = g_rand_double_range(rand, 0, SIM_POLL_MS) +
			   SIM_POLL_MS + 2 * SIM_PLATFORM_CALL_MS +
			   SIM_APPLY_MS;
	}
	while (is_changed) {
		is_changed = FALSE;
		for (guint i = 0; i < s->nodes * s->nodes; i++) {
			guint from = i / s->nodes;
			guint to = i % s->nodes;
			gboolean is_same_domain =
				sim_is_same_domain(s, from, to);
			double at = times[from] + SIM_APPLY_MS +
				    (is_same_domain ? SIM_INTRA_DOMAIN_MS
						    : SIM_INTER_DOMAIN_MS);

			/* A change received within the domain is forwarded
			 * over bridges only, one received over a bridge only
			 * within the domain. */
			if (!s->links[from][to] || at >= times[to] ||
			    (!is_polled[from] &&
			     came_over_bridge[from] != is_same_domain))
				continue;
			times[to] = at;
			came_over_bridge[to] = !is_same_domain;
			is_polled[to] = FALSE;
			is_changed = TRUE;
		}
	}
}

static double sim_heartbeat_bytes(const struct shared_sim *s, guint node,
				  guint to)
{
	const struct member_table *t = &s->tables[node];
	struct heartbeat_pool pool = {
		.pool = g_strdup("salkhi.region-0"),
		.epoch = 1000,
	};
	struct heartbeat h = { 0 };
	GByteArray *bytes;
	json_object *json;
	double size;

	member_heartbeat_fill(t, 500, t->changes,
			      &s->tables[to].self->record.identity, &h);
	g_array_append_val(h.pools, pool);
	json = heartbeat_encode(&h);
	bytes = pack_encode(json);
	size = bytes->len + FRAME_HEADER_BYTES;
	g_byte_array_unref(bytes);
	json_object_put(json);
	schema_clear(&heartbeat_schema, &h);
	return size;
}

/* Returns the frame size of a delta that changes one client account. */
static double sim_delta_bytes(void)
{
	json_object *before =
		json_tokener_parse("{\"format\":1,\"client_accounts\":[]}");
	json_object *after = json_tokener_parse(
		"{\"format\":1,\"client_accounts\":[{\"name\":\"team-042\","
		"\"service\":\"salkhi\",\"share\":2,\"requests_per_s\":500,"
		"\"queued_requests\":200,\"guaranteed_shapes\":[{\"name\":"
		"\"gust-map\",\"pool\":\"salkhi.region-0\",\"shape\":{"
		"\"members\":2,\"accelerators\":8,\"cores\":8,\"memory_mb\":"
		"4096,\"adjacency\":\"rack\"}}]}]}");
	struct config_body *base = config_body_new(before);
	struct config_body *body = config_body_new(after);
	struct config_delta d = { 0 };
	GByteArray *bytes;
	json_object *json;
	double size;

	config_delta_make(base, 1, body, 2, &d);
	json = schema_encode(&config_delta_schema, &d);
	bytes = pack_encode(json);
	size = bytes->len + FRAME_HEADER_BYTES;
	g_byte_array_unref(bytes);
	json_object_put(json);
	json_object_put(before);
	json_object_put(after);
	config_body_unref(base);
	config_body_unref(body);
	schema_clear(&config_delta_schema, &d);
	return size;
}

static gboolean sim_has_bridge(const struct shared_sim *s, guint node)
{
	for (guint j = 0; j < s->nodes; j++) {
		if (s->links[node][j] && !sim_is_same_domain(s, node, j))
			return TRUE;
	}
	return FALSE;
}

/*
 * Computes an upper bound of the traffic: every poller and every bridge node
 * pushes every change over all its links within the domain, and every bridge
 * node also over its links to other domains.
 */
static void shared_sim_traffic(const struct shared_sim *s, double changes_per_s,
			       struct shared_traffic *out)
{
	double messages[SIM_MAX_NODES] = { 0 };
	double bytes[SIM_MAX_NODES] = { 0 };
	double delta = sim_delta_bytes();
	double count = MAX(s->nodes, 1);

	*out = (struct shared_traffic){ 0 };
	for (guint i = 0; i < s->nodes * s->nodes; i++) {
		guint from = i / MAX(s->nodes, 1);
		guint to = i % MAX(s->nodes, 1);
		gboolean is_same_domain = sim_is_same_domain(s, from, to);
		double beats = is_same_domain ? 1 : SIM_BRIDGE_HEARTBEATS_PER_S;
		double pushes = changes_per_s;
		double sum;

		if (!s->links[from][to])
			continue;
		if (is_same_domain && !s->is_poller[from] &&
		    !sim_has_bridge(s, from))
			pushes = 0;
		/* Per second: a heartbeat or a ping in its place, and an
		 * acknowledgement. */
		sum = beats * sim_heartbeat_bytes(s, from, to) +
		      pushes * delta + (1 - beats + 1) * SIM_EMPTY_FRAME_BYTES;
		bytes[from] += sum;
		bytes[to] += sum;
		messages[from] += pushes + 2;
		messages[to] += pushes + 2;
	}
	for (guint i = 0; i < s->nodes; i++) {
		out->mean_messages_per_s += messages[i] / count;
		out->mean_bytes_per_s += bytes[i] / count;
		out->worst_messages_per_s =
			MAX(out->worst_messages_per_s, messages[i]);
		out->worst_bytes_per_s = MAX(out->worst_bytes_per_s, bytes[i]);
		out->table_reads_per_s += s->is_poller[i]
						  ? 1000 / SIM_POLL_MS
						  : SIM_UNELECTED_POLLS_PER_S;
	}
}

/*
 * Merges one member's record after a partition. On one side the member itself
 * changed its status; on the other side, members that missed its heartbeats
 * changed its state. Counts the updates that are lost with one version per row
 * and with one version per part of the record.
 */
static void shared_sim_merge(GRand *rand, struct shared_merge_losses *by_row,
			     struct shared_merge_losses *by_part)
{
	gint statuses = g_rand_int_range(rand, 0, 4);
	gint states = g_rand_int_range(rand, 0, 3);
	struct member_record own = { .config_version = statuses,
				     .status_version = statuses };
	struct member_record seen = { .state = states };
	guint updates = (statuses > 0) + (states > 0);

	by_row->updates += updates;
	by_part->updates += updates;
	/* One version per row: each change raises it, the higher one wins. */
	if (statuses >= states)
		by_row->lost += states > 0;
	else
		by_row->lost += statuses > 0;
	member_record_merge(&own, &seen, &member_rules_default);
	by_part->lost += own.state != states;
	by_part->lost += own.config_version != statuses;
}

#endif
