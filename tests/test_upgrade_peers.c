/*
 * Processes of the present version beside one of another: a peer in this
 * program that speaks versions of its own, with members and types unknown here.
 */
#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "link/link_inbound.h"
#include "link/link_peer.h"
#include "link/message.h"
#include "link/pack.h"
#include "shared/heartbeat.h"
#include "tests/fleet.h"
#include "tests/gang_cluster.h"

#define TIMEOUT_MS 15000
#define BEAT_MS 250
#define SECRET "shared"
#define LATER "\"later\":{\"a\":[1,null]}"
/** Of types that the present version doesn't know, below and above its table.
 */
#define LATER_TYPE 63
#define LATER_HIGH_TYPE 200
#define MAX_PEERS 2

/** A process of another version. */
struct other {
	struct link_identity identity;
	struct link_versions versions;
	gboolean is_strict; /* as version 1: refuses members unknown to it */
	struct link_poll *poll;
	struct link_traffic traffic;
	GSocketService *listener;
	GPtrArray *inbound; /* of struct link_inbound */
	GPtrArray *strict;  /* of struct strict_end */
	struct link_peer *peers[MAX_PEERS];
	guint heartbeats;	/* that came */
	int64_t config_version; /* of the last change that came */
	guint timer;
};

/** The accepting side of version 1. */
struct strict_end {
	struct other *other;
	struct link_connection *connection;
	gboolean is_proved;
};

static void on_frame(const struct link_identity *from, uint8_t type,
		     json_object *body, void *data)
{
	struct other *o = data;

	if (type == MESSAGE_HEARTBEAT)
		o->heartbeats++;
	if (type == MESSAGE_CONFIG_DELTA)
		o->config_version = json_object_get_int64(
			json_object_object_get(body, "version"));
}

static void on_ended(struct link_inbound *i, void *data)
{
	struct other *o = data;

	g_ptr_array_remove(o->inbound, i);
}

static void strict_closed(void *data)
{
	struct strict_end *e = data;

	e->connection = NULL;
}

static void strict_end_free(gpointer data)
{
	struct strict_end *e = data;

	g_clear_pointer(&e->connection, link_connection_close);
	g_free(e);
}

static void strict_welcome(struct strict_end *e, json_object *hello)
{
	struct link_hello welcome = { .nonce = util_random_id() };
	json_object *json;

	link_identity_copy(&welcome.identity, &e->other->identity);
	welcome.mac = link_hello_mac(
		&welcome, SECRET, "accept",
		json_object_get_string(json_object_object_get(hello, "nonce")));
	json = link_hello_encode(&welcome);
	link_connection_send(e->connection, MESSAGE_WELCOME, json);
	json_object_put(json);
	schema_clear(&link_hello_schema, &welcome);
}

static void strict_frame(uint8_t type, json_object *body, void *data)
{
	struct strict_end *e = data;

	if (e->is_proved) {
		on_frame(NULL, type, body, e->other);
	} else if (json_object_object_length(body) == 3) {
		e->is_proved = TRUE;
		strict_welcome(e, body);
	} else {
		g_clear_pointer(&e->connection, link_connection_close);
	}
}

static void strict_accept(struct other *o, GSocketConnection *stream)
{
	struct strict_end *e = g_new0(struct strict_end, 1);
	json_object *json =
		json_tokener_parse("{\"nonce\":\"0123456789abcdef\"}");

	e->other = o;
	e->connection = link_connection_new(stream, o->poll, &o->traffic,
					    strict_frame, strict_closed, e);
	link_connection_send(e->connection, MESSAGE_CHALLENGE, json);
	json_object_put(json);
	g_ptr_array_add(o->strict, e);
}

static gboolean on_incoming(GSocketService *listener, GSocketConnection *stream,
			    GObject *source, gpointer data)
{
	struct other *o = data;
	struct link_inbound_spec spec = {
		.identity = &o->identity,
		.versions = &o->versions,
		.secret = SECRET,
		.poll = o->poll,
		.traffic = &o->traffic,
		.on_frame = on_frame,
		.on_ended = on_ended,
		.data = o,
	};

	if (o->is_strict)
		strict_accept(o, stream);
	else
		g_ptr_array_add(o->inbound, link_inbound_new(&spec, stream));
	return TRUE;
}

static void listen_on(struct other *o, const char *address)
{
	GSocketAddress *inet;
	char *host = NULL;
	uint16_t port;

	o->listener = g_socket_service_new();
	g_assert_true(util_parse_endpoint(address, &host, &port));
	inet = g_inet_socket_address_new_from_string(host, port);
	g_assert_true(g_socket_listener_add_address(
		G_SOCKET_LISTENER(o->listener), inet, G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
	g_signal_connect(o->listener, "incoming", G_CALLBACK(on_incoming), o);
	g_object_unref(inet);
	g_free(host);
}

static void other_send(struct other *o, uint8_t type, const char *text)
{
	json_object *body = json_tokener_parse(text);

	g_assert_nonnull(body);
	for (guint i = 0; i < MAX_PEERS && o->peers[i]; i++)
		link_peer_send(o->peers[i], type, body);
	json_object_put(body);
}

static gboolean on_beat(gpointer data)
{
	struct other *o = data;

	other_send(o, MESSAGE_HEARTBEAT,
		   "{\"generation\":1,\"state\":\"alive\"," LATER "}");
	other_send(o, LATER_TYPE, "{" LATER "}");
	other_send(o, LATER_HIGH_TYPE, "[]");
	for (guint i = 0; i < MAX_PEERS && o->peers[i]; i++)
		link_peer_tick(o->peers[i]);
	return G_SOURCE_CONTINUE;
}

static void on_up(struct link_peer *peer, void *data)
{
}

static struct link_peer *open_peer(struct other *o, const char *address)
{
	struct link_peer_spec spec = {
		.address = address,
		.identity = &o->identity,
		.versions = &o->versions,
		.secret = SECRET,
		.poll = o->poll,
		.traffic = &o->traffic,
		.on_up = on_up,
		.data = o,
	};

	return link_peer_new(&spec);
}

/* Takes the place of a node of the fleet, with links to the other two. */
static struct other *other_new(struct fleet *f, guint node,
			       const struct link_versions *versions)
{
	const struct fleet_node *n = &f->nodes[node];
	const struct link_identity identity = {
		.node = n->name,
		.incarnation = (char *)"other",
		.vm = n->name,
		.failure_domain = (char *)n->failure_domain,
		.http = n->http,
		.link = n->link_public,
		.role = LINK_ROLE_GATEWAY,
	};
	struct other *o = g_new0(struct other, 1);

	link_identity_copy(&o->identity, &identity);
	o->versions = *versions;
	o->poll = link_poll_new();
	o->inbound = g_ptr_array_new_with_free_func(
		(GDestroyNotify)link_inbound_free);
	o->strict = g_ptr_array_new_with_free_func(strict_end_free);
	listen_on(o, n->link);
	for (guint i = 0; i < MAX_PEERS; i++)
		o->peers[i] = open_peer(o, f->nodes[i].link_public);
	o->timer = g_timeout_add(BEAT_MS, on_beat, o);
	return o;
}

static void other_free(struct other *o)
{
	g_source_remove(o->timer);
	g_socket_service_stop(o->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(o->listener));
	for (guint i = 0; i < MAX_PEERS; i++)
		link_peer_free(o->peers[i]);
	g_ptr_array_unref(o->inbound);
	g_ptr_array_unref(o->strict);
	g_object_unref(o->listener);
	cluster_sleep(BEAT_MS);
	link_poll_free(o->poll);
	link_identity_clear(&o->identity);
	g_free(o);
}

/* Returns what a node says of another in its status, -1 without it. */
static int64_t link_version(struct fleet *f, guint node, guint other)
{
	json_object *status = fleet_status(f, node);
	json_object *members = json_object_object_get(status, "members");
	int64_t version = -1;

	for (size_t i = 0; members && i < json_object_array_length(members);
	     i++) {
		json_object *m = json_object_array_get_idx(members, i);

		if (g_str_equal(json_object_get_string(
					json_object_object_get(m, "node")),
				f->nodes[other].name))
			version = json_object_get_int64(
				json_object_object_get(m, "link_version"));
	}
	json_object_put(status);
	return version;
}

static int64_t counter_of(struct fleet *f, guint node, const char *name)
{
	struct cluster_reply r =
		cluster_call(f->cluster, "GET", f->nodes[node].http,
			     "/v1/counters", NULL, NULL, TIMEOUT_MS);
	char *line = g_strdup_printf("\n%s ", name);
	const char *at = r.text ? strstr(r.text, line) : NULL;
	int64_t value = at ? g_ascii_strtoll(at + strlen(line), NULL, 10) : -1;

	g_free(line);
	cluster_reply_clear(&r);
	return value;
}

struct version_wait {
	struct fleet *fleet;
	int64_t version;
};

static gboolean has_link_version(void *data)
{
	const struct version_wait *w = data;

	cluster_sleep(BEAT_MS);
	return link_version(w->fleet, 0, 2) == w->version &&
	       link_version(w->fleet, 1, 2) == w->version;
}

static gboolean has_heartbeats(void *data)
{
	const struct other *o = data;

	return o->heartbeats >= 4;
}

static gboolean has_first_config(void *data)
{
	const struct other *o = data;

	return o->config_version == 1;
}

static struct fleet *start_two(void)
{
	struct fleet *f = fleet_new(3, 0);

	f->nodes[1].program = "csgated";
	fleet_start(f, 0);
	fleet_start(f, 1);
	g_assert_true(fleet_wait_state(f, 0, 1, "alive", TIMEOUT_MS));
	g_assert_true(fleet_wait_state(f, 1, 0, "alive", TIMEOUT_MS));
	return f;
}

static void check_heard(struct fleet *f, struct other *o, int64_t version)
{
	struct version_wait w = { f, version };

	g_assert_true(fleet_wait_state(f, 0, 2, "alive", TIMEOUT_MS));
	g_assert_true(fleet_wait_state(f, 1, 2, "alive", TIMEOUT_MS));
	g_assert_true(cluster_wait(has_link_version, &w, TIMEOUT_MS));
	g_assert_true(cluster_wait(has_heartbeats, o, TIMEOUT_MS));
}

static void post_first_config(struct fleet *f)
{
	struct cluster_reply r = fleet_post_config(f, 0, 0, "a");

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
}

#define LATER_CONFIG                                                         \
	"{\"version\":2,\"config\":{\"format\":1,\"services\":[{\"name\":"   \
	"\"salkhi\",\"failure_domains\":[\"tov-a\",\"tov-b\"]}],"            \
	"\"client_accounts\":[{\"name\":\"b\",\"service\":\"salkhi\"," LATER \
	"}]," LATER "}," LATER "}"

static void check_configs(struct fleet *f, struct other *o)
{
	post_first_config(f);
	g_assert_true(fleet_wait_config(f, 1, TIMEOUT_MS));
	g_assert_true(cluster_wait(has_first_config, o, TIMEOUT_MS));
	other_send(o, MESSAGE_CONFIG_BODY, LATER_CONFIG);
	g_assert_true(fleet_wait_config(f, 2, TIMEOUT_MS));
	g_assert_cmpuint(cluster_grep(f->nodes[1].process, "passed_over=2"), ==,
			 1);
}

/* They hear each other, and configurations go both ways. */
static void test_later(void)
{
	const struct link_versions versions = { 1, 3 };
	struct fleet *f = start_two();
	struct other *o = other_new(f, 2, &versions);

	check_heard(f, o, 2);
	g_assert_cmpint(counter_of(f, 0, "cs_link_unknown_frames"), >, 0);
	g_assert_cmpuint(cluster_grep(f->nodes[0].process, "link_unknown_type"),
			 ==, 2);
	check_configs(f, o);
	other_free(o);
	fleet_free(f);
}

/* A process that refuses all that it doesn't know is spoken to as before. */
static void test_strict(void)
{
	const struct link_versions versions = { 1, 1 };
	struct fleet *f = start_two();
	struct other *o = other_new(f, 2, &versions);

	o->is_strict = TRUE;
	check_heard(f, o, 1);
	post_first_config(f);
	g_assert_true(cluster_wait(has_first_config, o, TIMEOUT_MS));
	other_free(o);
	fleet_free(f);
}

static guint refusals(struct fleet *f, guint node)
{
	return cluster_grep(f->nodes[node].process, "link_refused");
}

/* The links of both sides, several times. */
static gboolean is_refused(void *data)
{
	struct fleet *f = data;

	cluster_sleep(BEAT_MS);
	for (guint i = 0; i < 2; i++) {
		if (counter_of(f, i, "cs_link_refused") <= 4 || !refusals(f, i))
			return FALSE;
	}
	return TRUE;
}

/* Without a common version the link is refused, and said so once. */
static void test_none_common(void)
{
	const struct link_versions versions = { 8, 9 };
	struct fleet *f = start_two();
	struct other *o = other_new(f, 2, &versions);

	g_assert_true(cluster_wait(is_refused, f, TIMEOUT_MS));
	for (guint i = 0; i < 2; i++) {
		g_assert_cmpuint(refusals(f, i), ==, 1);
		g_assert_cmpint(link_version(f, i, 2), <=, 0);
		g_assert_true(
			fleet_wait_state(f, i, 1 - i, "alive", TIMEOUT_MS));
	}
	g_assert_cmpuint(o->heartbeats, ==, 0);
	other_free(o);
	fleet_free(f);
}

#define LATER_JOB                                                            \
	"{\"writes\":[{\"table\":\"jobs\",\"key\":\"" GANG_POOL "/later\","  \
	"\"expected_version\":0,\"value\":{\"id\":\"later\",\"pool\":"       \
	"\"" GANG_POOL "\",\"client_account\":\"a\",\"class\":\"normal\","   \
	"\"shape\":{\"members\":3,\"accelerators\":8,\"cores\":1,"           \
	"\"memory_mb\":1,\"adjacency\":\"none\",\"links\":4},\"run_ms\":300" \
	",\"expected_run_ms\":300," LATER "}}]}"

/* A row that a later version wrote is run, and keeps what it added. */
static void test_job_row(void)
{
	struct gang_cluster *g = gang_cluster_open(1);
	struct cluster_reply r =
		cluster_call(g->cluster, "POST", g->platform, "/commit",
			     LATER_JOB, NULL, TIMEOUT_MS);
	char *later;
	char *shape;

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
	g_assert_true(gang_cluster_wait_state(g, "later", "done", TIMEOUT_MS));
	later = gang_cluster_row(g, "later", "later");
	shape = gang_cluster_row(g, "later", "shape");
	g_assert_cmpstr(later, ==, "{ \"a\": [ 1, null ] }");
	g_assert_nonnull(strstr(shape, "\"links\": 4"));
	g_free(later);
	g_free(shape);
	gang_cluster_close(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upgrade-peers/later", test_later);
	g_test_add_func("/upgrade-peers/strict", test_strict);
	g_test_add_func("/upgrade-peers/none-common", test_none_common);
	g_test_add_func("/upgrade-peers/job-row", test_job_row);
	return g_test_run();
}
