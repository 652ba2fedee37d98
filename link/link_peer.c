#include "link/link_peer.h"

#include "base/log.h"
#include "base/util.h"
#include "link/message.h"

#define MIN_DELAY_MS 100
#define MAX_DELAY_MS 3000
#define HANDSHAKE_TIMEOUT_MS 2000
/** A link without acknowledgements for this time is opened anew. */
#define ACK_TIMEOUT_MS 3000

struct link_peer {
	struct link_peer_spec spec;
	char *address;
	GSocketClient *client;
	GCancellable *connecting; /**< NULL when no attempt is under way */
	struct link_connection *connection;
	struct link_identity identity; /**< valid while @is_up */
	int64_t version;	       /**< agreed on, valid while @is_up */
	char *nonce;
	gboolean is_up;
	/** The hello goes without versions: the last one was not answered. */
	gboolean is_plain;
	gboolean is_refused; /**< said in the log; until the link is up */
	gboolean has_sent;   /**< since the last tick: needs no ping */
	gint delay_ms;
	int64_t started_ms; /**< of the attempt under way */
	int64_t acked_ms;
	guint retry_timer;
};

static void start(struct link_peer *p);

static gboolean on_retry(gpointer data)
{
	struct link_peer *p = data;

	p->retry_timer = 0;
	start(p);
	return G_SOURCE_REMOVE;
}

static void drop(struct link_peer *p)
{
	if (p->is_up)
		p->is_plain = FALSE;
	p->is_up = FALSE;
	link_identity_clear(&p->identity);
	if (p->connecting)
		g_cancellable_cancel(p->connecting);
	g_clear_object(&p->connecting);
	g_clear_pointer(&p->connection, link_connection_close);
	g_clear_pointer(&p->nonce, g_free);
}

static void retry_later(struct link_peer *p)
{
	drop(p);
	if (p->retry_timer)
		return;
	p->retry_timer = g_timeout_add(
		(guint)g_random_int_range(p->delay_ms / 2, p->delay_ms + 1),
		on_retry, p);
	p->delay_ms = MIN(p->delay_ms * 2, MAX_DELAY_MS);
}

/*
 * A process of version 1 ends the link on a hello with versions, as on any
 * member that it does not know; so the next hello goes without, and so on in
 * turn.
 */
static void choose_hello(struct link_peer *p)
{
	if (!p->is_up && p->nonce &&
	    p->spec.versions->oldest <= LINK_VERSION_STRICT)
		p->is_plain = !p->is_plain;
}

static void on_closed(void *data)
{
	struct link_peer *p = data;

	p->connection = NULL;
	choose_hello(p);
	retry_later(p);
}

static void answer_challenge(struct link_peer *p, json_object *body)
{
	struct link_hello hello = { 0 };
	struct link_challenge challenge = { 0 };
	struct finding_list findings;
	json_object *json;

	finding_list_init(&findings);
	if (!schema_decode_open(&link_challenge_schema, body, &challenge, "",
				&findings))
		goto out;
	p->nonce = util_random_id();
	link_identity_copy(&hello.identity, p->spec.identity);
	if (!p->is_plain)
		hello.versions = *p->spec.versions;
	hello.nonce = g_strdup(p->nonce);
	hello.mac =
		link_hello_mac(&hello, p->spec.secret, "open", challenge.nonce);
	json = link_hello_encode(&hello);
	link_connection_send(p->connection, MESSAGE_HELLO, json);
	json_object_put(json);
out:
	schema_clear(&link_challenge_schema, &challenge);
	schema_clear(&link_hello_schema, &hello);
	finding_list_clear(&findings);
}

static void take_welcome(struct link_peer *p, json_object *body)
{
	struct link_hello hello = { 0 };
	struct finding_list findings;
	gboolean is_good;

	finding_list_init(&findings);
	is_good = p->nonce && schema_decode_open(&link_hello_schema, body,
						 &hello, "", &findings);
	is_good = is_good && link_hello_is_genuine(&hello, p->spec.secret,
						   "accept", p->nonce);
	if (is_good)
		p->version =
			link_versions_common(p->spec.versions, &hello.versions);
	if (is_good && p->version > 0) {
		link_identity_copy(&p->identity, &hello.identity);
		p->is_up = TRUE;
		p->is_refused = FALSE;
		p->acked_ms = util_monotonic_ms();
		p->delay_ms = MIN_DELAY_MS;
		p->spec.on_up(p, p->spec.data);
	} else {
		retry_later(p);
	}
	schema_clear(&link_hello_schema, &hello);
	finding_list_clear(&findings);
}

static void log_refusal(struct link_peer *p, const struct link_refusal *r)
{
	struct log_line line;

	if (p->is_refused)
		return;
	p->is_refused = TRUE;
	log_begin(&line, LOG_LEVEL_ERROR, "link_refused");
	log_str(&line, "address", p->address);
	log_str(&line, "reason", r->reason);
	log_int(&line, "own_oldest", p->spec.versions->oldest);
	log_int(&line, "own_newest", p->spec.versions->newest);
	log_int(&line, "peer_oldest", r->versions.oldest);
	log_int(&line, "peer_newest", r->versions.newest);
	log_end(&line);
}

static void take_refusal(struct link_peer *p, json_object *body)
{
	struct link_refusal refusal = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (schema_decode_open(&link_refusal_schema, body, &refusal, "",
			       &findings))
		log_refusal(p, &refusal);
	p->spec.traffic->refused_links++;
	schema_clear(&link_refusal_schema, &refusal);
	finding_list_clear(&findings);
	retry_later(p);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	struct link_peer *p = data;

	if (type == MESSAGE_ACK)
		p->acked_ms = util_monotonic_ms();
	else if (type == MESSAGE_CHALLENGE && !p->nonce)
		answer_challenge(p, body);
	else if (type == MESSAGE_WELCOME && !p->is_up)
		take_welcome(p, body);
	else if (type == MESSAGE_REFUSAL && !p->is_up)
		take_refusal(p, body);
	else if (p->is_up && type > MESSAGE_REFUSAL)
		p->spec.traffic->unknown_frames++;
	else
		retry_later(p);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	GError *error = NULL;
	GSocketConnection *stream = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(source), result, &error);
	struct link_peer *p = data;

	if (!stream) {
		/* A cancelled attempt has no peer to come back to. */
		if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
			g_clear_object(&p->connecting);
			retry_later(p);
		}
		g_error_free(error);
		return;
	}
	g_clear_object(&p->connecting);
	p->connection = link_connection_new(
		stream, p->spec.poll, p->spec.traffic, on_frame, on_closed, p);
	g_object_unref(stream);
}

static void start(struct link_peer *p)
{
	p->started_ms = util_monotonic_ms();
	p->connecting = g_cancellable_new();
	g_socket_client_connect_to_host_async(p->client, p->address, 0,
					      p->connecting, on_connected, p);
}

static void ping(struct link_peer *p)
{
	json_object *empty = json_object_new_object();

	link_connection_send(p->connection, MESSAGE_PING, empty);
	json_object_put(empty);
}

void link_peer_tick(struct link_peer *p)
{
	int64_t now_ms = util_monotonic_ms();
	int64_t alive_ms = p->is_up ? p->acked_ms : p->started_ms;
	int64_t timeout_ms = p->is_up ? ACK_TIMEOUT_MS : HANDSHAKE_TIMEOUT_MS;

	if (p->retry_timer)
		return;
	if (now_ms - alive_ms >= timeout_ms)
		retry_later(p);
	else if (p->is_up && !p->has_sent)
		ping(p);
	p->has_sent = FALSE;
}

struct link_peer *link_peer_new(const struct link_peer_spec *spec)
{
	struct link_peer *p = g_new0(struct link_peer, 1);

	p->spec = *spec;
	p->address = g_strdup(spec->address);
	p->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(p->client, FALSE);
	p->delay_ms = MIN_DELAY_MS;
	start(p);
	return p;
}

void link_peer_free(struct link_peer *p)
{
	if (p->retry_timer)
		g_source_remove(p->retry_timer);
	drop(p);
	g_object_unref(p->client);
	g_free(p->address);
	g_free(p);
}

const char *link_peer_address(const struct link_peer *p)
{
	return p->address;
}

const struct link_identity *link_peer_identity(const struct link_peer *p)
{
	return p->is_up ? &p->identity : NULL;
}

int64_t link_peer_version(const struct link_peer *p)
{
	return p->is_up ? p->version : 0;
}

enum status link_peer_send(struct link_peer *p, uint8_t type, json_object *body)
{
	if (!p->is_up)
		return status_fail(STATUS_UNAVAILABLE, "no link to %s",
				   p->address);
	p->has_sent = TRUE;
	return link_connection_send(p->connection, type, body);
}
