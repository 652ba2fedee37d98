/*
 * Compatibility between running processes of this version and a peer of another
 * one, which this test implements: the peer supports other protocol versions
 * and sends unknown members and message types.
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
#define HEARTBEAT_INTERVAL_MS 250
#define SECRET "shared"
#define UNKNOWN_MEMBER "\"later\":{\"a\":[1,null]}"
/** Unknown message types within and beyond the table of message types. */
#define UNKNOWN_TYPE 63
#define UNKNOWN_HIGH_TYPE 200
#define MAX_PEERS 2

/** A process of another version. */
struct foreign_peer {
	struct link_identity identity;
	struct link_versions versions;
	gboolean is_strict; /* rejects unknown members, as version 1 does */
	struct link_poll *poll;
	struct link_traffic traffic;
	GSocketService *listener;
	GPtrArray *inbound;	   /* of struct link_inbound */
	GPtrArray *strict_inbound; /* of struct strict_inbound */
	struct link_peer *peers[MAX_PEERS];
	guint heartbeats;	/* received */
	int64_t config_version; /* of the last delta received */
	guint timer;
};

/** Accepting side of a link as in version 1. */
struct strict_inbound {
	struct foreign_peer *peer;
	struct link_connection *connection;
	gboolean is_authenticated;
};

static void on_frame(const struct link_identity *from, uint8_t type,
		     json_object *body, void *data)
{
	struct foreign_peer *p = data;

	if (type == MESSAGE_HEARTBEAT)
		p->heartbeats++;
	if (type == MESSAGE_CONFIG_DELTA)
		p->config_version = json_object_get_int64(
			json_object_object_get(body, "version"));
}

static void on_ended(struct link_inbound *i, void *data)
{
	struct foreign_peer *p = data;

	g_ptr_array_remove(p->inbound, i);
}

static void strict_inbound_on_closed(void *data)
{
	struct strict_inbound *s = data;

	s->connection = NULL;
}

static void strict_inbound_free(gpointer data)
{
	struct strict_inbound *s = data;

	g_clear_pointer(&s->connection, link_connection_close);
	g_free(s);
}

static void strict_inbound_welcome(struct strict_inbound *s, json_object *hello)
{
	struct link_hello welcome = { .nonce = util_random_id() };
	json_object *json;

	link_identity_copy(&welcome.identity, &s->peer->identity);
	welcome.mac = link_hello_mac(
		&welcome, SECRET, "accept",
		json_object_get_string(json_object_object_get(hello, "nonce")));
	json = link_hello_encode(&welcome);
	link_connection_send(s->connection, MESSAGE_WELCOME, json);
	json_object_put(json);
	schema_clear(&link_hello_schema, &welcome);
}

static void strict_inbound_on_frame(uint8_t type, json_object *body, void *data)
{
	struct strict_inbound *s = data;

	if (s->is_authenticated) {
		on_frame(NULL, type, body, s->peer);
	} else if (json_object_object_length(body) == 3) {
		/* A hello of version 1: identity, nonce and MAC. */
		s->is_authenticated = TRUE;
		strict_inbound_welcome(s, body);
	} else {
		g_clear_pointer(&s->connection, link_connection_close);
	}
}

static void strict_inbound_open(struct foreign_peer *p,
				GSocketConnection *stream)
{
	struct strict_inbound *s = g_new0(struct strict_inbound, 1);
	json_object *json =
		json_tokener_parse("{\"nonce\":\"0123456789abcdef\"}");

	s->peer = p;
	s->connection = link_connection_new(stream, p->poll, &p->traffic,
					    strict_inbound_on_frame,
					    strict_inbound_on_closed, s);
	link_connection_send(s->connection, MESSAGE_CHALLENGE, json);
	json_object_put(json);
	g_ptr_array_add(p->strict_inbound, s);
}

static gboolean on_incoming(GSocketService *listener, GSocketConnection *stream,
			    GObject *source, gpointer data)
{
	struct foreign_peer *p = data;
	struct link_inbound_spec spec = {
		.identity = &p->identity,
		.versions = &p->versions,
		.secret = SECRET,
		.poll = p->poll,
		.traffic = &p->traffic,
		.on_frame = on_frame,
		.on_ended = on_ended,
		.data = p,
	};

	if (p->is_strict)
		strict_inbound_open(p, stream);
	else
		g_ptr_array_add(p->inbound, link_inbound_new(&spec, stream));
	return TRUE;
}

static void listen_on(struct foreign_peer *p, const char *address)
{
	GSocketAddress *inet;
	char *host = NULL;
	uint16_t port;

	p->listener = g_socket_service_new();
	g_assert_true(util_parse_endpoint(address, &host, &port));
	inet = g_inet_socket_address_new_from_string(host, port);
	g_assert_true(g_socket_listener_add_address(
		G_SOCKET_LISTENER(p->listener), inet, G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL));
	g_signal_connect(p->listener, "incoming", G_CALLBACK(on_incoming), p);
	g_object_unref(inet);
	g_free(host);
}

static void foreign_peer_send(struct foreign_peer *p, uint8_t type,
			      const char *text)
{
	json_object *body = json_tokener_parse(text);

	g_assert_nonnull(body);
	for (guint i = 0; i < MAX_PEERS && p->peers[i]; i++)
		link_peer_send(p->peers[i], type, body);
	json_object_put(body);
}

static gboolean on_heartbeat_timer(gpointer data)
{
	struct foreign_peer *p = data;

	foreign_peer_send(
		p, MESSAGE_HEARTBEAT,
		"{\"generation\":1,\"state\":\"alive\"," UNKNOWN_MEMBER "}");
	foreign_peer_send(p, UNKNOWN_TYPE, "{" UNKNOWN_MEMBER "}");
	foreign_peer_send(p, UNKNOWN_HIGH_TYPE, "[]");
	for (guint i = 0; i < MAX_PEERS && p->peers[i]; i++)
		link_peer_tick(p->peers[i]);
	return G_SOURCE_CONTINUE;
}

static void on_up(struct link_peer *peer, void *data)
{
}

static struct link_peer *open_peer(struct foreign_peer *p, const char *address)
{
	struct link_peer_spec spec = {
		.address = address,
		.identity = &p->identity,
		.versions = &p->versions,
		.secret = SECRET,
		.poll = p->poll,
		.traffic = &p->traffic,
		.on_up = on_up,
		.data = p,
	};

	return link_peer_new(&spec);
}

/* Starts the peer in place of a fleet node, with links to the other two. */
static struct foreign_peer *
foreign_peer_new(struct fleet *f, guint node,
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
	struct foreign_peer *p = g_new0(struct foreign_peer, 1);

	link_identity_copy(&p->identity, &identity);
	p->versions = *versions;
	p->poll = link_poll_new();
	p->inbound = g_ptr_array_new_with_free_func(
		(GDestroyNotify)link_inbound_free);
	p->strict_inbound = g_ptr_array_new_with_free_func(strict_inbound_free);
	listen_on(p, n->link);
	for (guint i = 0; i < MAX_PEERS; i++)
		p->peers[i] = open_peer(p, f->nodes[i].link_public);
	p->timer = g_timeout_add(HEARTBEAT_INTERVAL_MS, on_heartbeat_timer, p);
	return p;
}

static void foreign_peer_free(struct foreign_peer *p)
{
	g_source_remove(p->timer);
	g_socket_service_stop(p->listener);
	g_socket_listener_close(G_SOCKET_LISTENER(p->listener));
	for (guint i = 0; i < MAX_PEERS; i++)
		link_peer_free(p->peers[i]);
	g_ptr_array_unref(p->inbound);
	g_ptr_array_unref(p->strict_inbound);
	g_object_unref(p->listener);
	cluster_sleep(HEARTBEAT_INTERVAL_MS);
	link_poll_free(p->poll);
	link_identity_clear(&p->identity);
	g_free(p);
}

/*
 * Returns the protocol version of the link to another node as a node's status
 * reports it, -1 if that node isn't listed.
 */
static int64_t read_link_version(struct fleet *f, guint node, guint other)
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

static int64_t read_counter(struct fleet *f, guint node, const char *name)
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

	cluster_sleep(HEARTBEAT_INTERVAL_MS);
	return read_link_version(w->fleet, 0, 2) == w->version &&
	       read_link_version(w->fleet, 1, 2) == w->version;
}

static gboolean has_heartbeats(void *data)
{
	const struct foreign_peer *p = data;

	return p->heartbeats >= 4;
}

static gboolean has_first_config(void *data)
{
	const struct foreign_peer *p = data;

	return p->config_version == 1;
}

static struct fleet *start_two_nodes(void)
{
	struct fleet *f = fleet_new(3, 0);

	f->nodes[1].program = "csgated";
	fleet_start(f, 0);
	fleet_start(f, 1);
	g_assert_true(fleet_wait_state(f, 0, 1, "alive", TIMEOUT_MS));
	g_assert_true(fleet_wait_state(f, 1, 0, "alive", TIMEOUT_MS));
	return f;
}

static void check_connected(struct fleet *f, struct foreign_peer *p,
			    int64_t version)
{
	struct version_wait w = { f, version };

	g_assert_true(fleet_wait_state(f, 0, 2, "alive", TIMEOUT_MS));
	g_assert_true(fleet_wait_state(f, 1, 2, "alive", TIMEOUT_MS));
	g_assert_true(cluster_wait(has_link_version, &w, TIMEOUT_MS));
	g_assert_true(cluster_wait(has_heartbeats, p, TIMEOUT_MS));
}

static void post_first_config(struct fleet *f)
{
	struct cluster_reply r = fleet_post_config(f, 0, 0, "a");

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
}

#define CONFIG_WITH_UNKNOWN                                                   \
	"{\"version\":2,\"config\":{\"format\":1,\"services\":[{\"name\":"    \
	"\"salkhi\",\"failure_domains\":[\"tov-a\",\"tov-b\"]}],"             \
	"\"client_accounts\":[{\"name\":\"b\",\"service\":"                   \
	"\"salkhi\"," UNKNOWN_MEMBER "}]," UNKNOWN_MEMBER "}," UNKNOWN_MEMBER \
	"}"

static void check_configs(struct fleet *f, struct foreign_peer *p)
{
	post_first_config(f);
	g_assert_true(fleet_wait_config(f, 1, TIMEOUT_MS));
	g_assert_true(cluster_wait(has_first_config, p, TIMEOUT_MS));
	foreign_peer_send(p, MESSAGE_CONFIG_BODY, CONFIG_WITH_UNKNOWN);
	g_assert_true(fleet_wait_config(f, 2, TIMEOUT_MS));
	g_assert_cmpuint(
		cluster_count_lines(f->nodes[1].process, "passed_over=2"), ==,
		1);
}

/* Heartbeats and configurations are exchanged in both directions. */
static void test_later(void)
{
	const struct link_versions versions = { 1, 3 };
	struct fleet *f = start_two_nodes();
	struct foreign_peer *p = foreign_peer_new(f, 2, &versions);

	check_connected(f, p, 2);
	g_assert_cmpint(read_counter(f, 0, "cs_link_unknown_frames"), >, 0);
	g_assert_cmpuint(
		cluster_count_lines(f->nodes[0].process, "link_unknown_type"),
		==, 2);
	check_configs(f, p);
	foreign_peer_free(p);
	fleet_free(f);
}

/* A strict peer receives only messages and members of version 1. */
static void test_strict(void)
{
	const struct link_versions versions = { 1, 1 };
	struct fleet *f = start_two_nodes();
	struct foreign_peer *p = foreign_peer_new(f, 2, &versions);

	p->is_strict = TRUE;
	check_connected(f, p, 1);
	post_first_config(f);
	g_assert_true(cluster_wait(has_first_config, p, TIMEOUT_MS));
	foreign_peer_free(p);
	fleet_free(f);
}

static guint count_refusals(struct fleet *f, guint node)
{
	return cluster_count_lines(f->nodes[node].process, "link_refused");
}

/*
 * Returns TRUE if both nodes have refused several links, opened by either side,
 * and have logged it.
 */
static gboolean is_refused(void *data)
{
	struct fleet *f = data;

	cluster_sleep(HEARTBEAT_INTERVAL_MS);
	for (guint i = 0; i < 2; i++) {
		if (read_counter(f, i, "cs_link_refused") <= 4 ||
		    !count_refusals(f, i))
			return FALSE;
	}
	return TRUE;
}

/* A link without a common version is refused; this is logged only once. */
static void test_none_common(void)
{
	const struct link_versions versions = { 8, 9 };
	struct fleet *f = start_two_nodes();
	struct foreign_peer *p = foreign_peer_new(f, 2, &versions);

	g_assert_true(cluster_wait(is_refused, f, TIMEOUT_MS));
	for (guint i = 0; i < 2; i++) {
		g_assert_cmpuint(count_refusals(f, i), ==, 1);
		g_assert_cmpint(read_link_version(f, i, 2), <=, 0);
		g_assert_true(
			fleet_wait_state(f, i, 1 - i, "alive", TIMEOUT_MS));
	}
	g_assert_cmpuint(p->heartbeats, ==, 0);
	foreign_peer_free(p);
	fleet_free(f);
}

#define JOB_WITH_UNKNOWN                                                     \
	"{\"writes\":[{\"table\":\"jobs\",\"key\":\"" GANG_POOL "/later\","  \
	"\"expected_version\":0,\"value\":{\"id\":\"later\",\"pool\":"       \
	"\"" GANG_POOL "\",\"client_account\":\"a\",\"class\":\"normal\","   \
	"\"shape\":{\"members\":3,\"accelerators\":8,\"cores\":1,"           \
	"\"memory_mb\":1,\"adjacency\":\"none\",\"links\":4},\"run_ms\":300" \
	",\"expected_run_ms\":300," UNKNOWN_MEMBER "}}]}"

/* A job written by a later version runs and keeps its unknown members. */
static void test_job_row(void)
{
	struct gang_cluster *g = gang_cluster_open(1);
	struct cluster_reply r =
		cluster_call(g->cluster, "POST", g->platform, "/commit",
			     JOB_WITH_UNKNOWN, NULL, TIMEOUT_MS);
	char *later;
	char *shape;

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
	g_assert_true(gang_cluster_wait_state(g, "later", "done", TIMEOUT_MS));
	later = gang_cluster_row_member(g, "later", "later");
	shape = gang_cluster_row_member(g, "later", "shape");
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
