#include "link/link_peer.h"

#include "base/log.h"
#include "base/util.h"
#include "link/message.h"

#define MIN_RETRY_DELAY_MS 100
#define MAX_RETRY_DELAY_MS 3000
#define HANDSHAKE_TIMEOUT_MS 2000
/** A link that receives no acknowledgement for this long is reopened. */
#define ACK_TIMEOUT_MS 3000

struct link_peer {
	struct link_peer_spec spec;
	char *address;
	GSocketClient *client;
	GCancellable *connecting; /**< NULL unless connecting */
	struct link_connection *connection;
	struct link_identity identity; /**< valid while @is_up */
	int64_t version;	       /**< negotiated, valid while @is_up */
	char *nonce;		       /**< sent in the hello, NULL before it */
	gboolean is_up;
	/** The next hello has no versions; see toggle_hello_form(). */
	gboolean omits_versions;
	gboolean is_refusal_logged; /**< since the link was last up */
	gboolean has_sent;	    /**< a frame since the last tick */
	gint retry_delay_ms;
	int64_t connect_started_ms; /**< of the last attempt */
	int64_t ack_received_ms;    /**< time of the last one */
	guint retry_timer;
};

static void start_connect(struct link_peer *p);

static gboolean on_retry(gpointer data)
{
	struct link_peer *p = data;

	p->retry_timer = 0;
	start_connect(p);
	return G_SOURCE_REMOVE;
}

/* Closes the connection or cancels the connect, and clears the handshake. */
static void reset_link(struct link_peer *p)
{
	if (p->is_up)
		p->omits_versions = FALSE;
	p->is_up = FALSE;
	link_identity_clear(&p->identity);
	if (p->connecting)
		g_cancellable_cancel(p->connecting);
	g_clear_object(&p->connecting);
	g_clear_pointer(&p->connection, link_connection_close);
	g_clear_pointer(&p->nonce, g_free);
}

static void schedule_reconnect(struct link_peer *p)
{
	reset_link(p);
	if (p->retry_timer)
		return;
	p->retry_timer =
		g_timeout_add((guint)g_random_int_range(p->retry_delay_ms / 2,
							p->retry_delay_ms + 1),
			      on_retry, p);
	p->retry_delay_ms = MIN(p->retry_delay_ms * 2, MAX_RETRY_DELAY_MS);
}

/*
 * A process of version 1 closes the link on any unknown member, and thus on a
 * hello with versions. If a hello remains unanswered, the next one is therefore
 * sent in the other form: hellos with and without versions alternate.
 */
static void toggle_hello_form(struct link_peer *p)
{
	if (!p->is_up && p->nonce &&
	    p->spec.versions->oldest <= LINK_VERSION_STRICT)
		p->omits_versions = !p->omits_versions;
}

static void on_closed(void *data)
{
	struct link_peer *p = data;

	p->connection = NULL;
	toggle_hello_form(p);
	schedule_reconnect(p);
}

static void answer_challenge(struct link_peer *p, json_object *body)
{
	struct link_hello hello = { 0 };
	struct link_challenge challenge = { 0 };
	struct finding_list findings;
	json_object *json;

	finding_list_init(&findings);
	if (!schema_decode_lenient(&link_challenge_schema, body, &challenge, "",
				   &findings))
		goto out;
	p->nonce = util_random_id();
	link_identity_copy(&hello.identity, p->spec.identity);
	if (!p->omits_versions)
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

static void handle_welcome(struct link_peer *p, json_object *body)
{
	struct link_hello hello = { 0 };
	struct finding_list findings;
	gboolean is_authentic;

	finding_list_init(&findings);
	is_authentic =
		p->nonce && schema_decode_lenient(&link_hello_schema, body,
						  &hello, "", &findings);
	is_authentic =
		is_authentic && link_hello_has_valid_mac(&hello, p->spec.secret,
							 "accept", p->nonce);
	if (is_authentic)
		p->version =
			link_versions_common(p->spec.versions, &hello.versions);
	if (is_authentic && p->version > 0) {
		link_identity_copy(&p->identity, &hello.identity);
		p->is_up = TRUE;
		p->is_refusal_logged = FALSE;
		p->ack_received_ms = util_monotonic_ms();
		p->retry_delay_ms = MIN_RETRY_DELAY_MS;
		p->spec.on_up(p, p->spec.data);
	} else {
		schedule_reconnect(p);
	}
	schema_clear(&link_hello_schema, &hello);
	finding_list_clear(&findings);
}

static void log_refusal(struct link_peer *p, const struct link_refusal *r)
{
	struct log_line line;

	if (p->is_refusal_logged)
		return;
	p->is_refusal_logged = TRUE;
	log_begin(&line, LOG_LEVEL_ERROR, "link_refused");
	log_str(&line, "address", p->address);
	log_str(&line, "reason", r->reason);
	log_int(&line, "own_oldest", p->spec.versions->oldest);
	log_int(&line, "own_newest", p->spec.versions->newest);
	log_int(&line, "peer_oldest", r->versions.oldest);
	log_int(&line, "peer_newest", r->versions.newest);
	log_end(&line);
}

static void handle_refusal(struct link_peer *p, json_object *body)
{
	struct link_refusal refusal = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (schema_decode_lenient(&link_refusal_schema, body, &refusal, "",
				  &findings))
		log_refusal(p, &refusal);
	p->spec.traffic->refused_links++;
	schema_clear(&link_refusal_schema, &refusal);
	finding_list_clear(&findings);
	schedule_reconnect(p);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	struct link_peer *p = data;

	if (type == MESSAGE_ACK)
		p->ack_received_ms = util_monotonic_ms();
	else if (type == MESSAGE_CHALLENGE && !p->nonce)
		answer_challenge(p, body);
	else if (type == MESSAGE_WELCOME && !p->is_up)
		handle_welcome(p, body);
	else if (type == MESSAGE_REFUSAL && !p->is_up)
		handle_refusal(p, body);
	else if (p->is_up && type > MESSAGE_REFUSAL)
		p->spec.traffic->unknown_frames++;
	else
		schedule_reconnect(p);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	GError *error = NULL;
	GSocketConnection *stream = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(source), result, &error);
	struct link_peer *p = data;

	if (!stream) {
		/* If cancelled by reset_link(), @p may be freed already. */
		if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
			g_clear_object(&p->connecting);
			schedule_reconnect(p);
		}
		g_error_free(error);
		return;
	}
	g_clear_object(&p->connecting);
	p->connection = link_connection_new(
		stream, p->spec.poll, p->spec.traffic, on_frame, on_closed, p);
	g_object_unref(stream);
}

static void start_connect(struct link_peer *p)
{
	p->connect_started_ms = util_monotonic_ms();
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
	int64_t last_activity_ms =
		p->is_up ? p->ack_received_ms : p->connect_started_ms;
	int64_t timeout_ms = p->is_up ? ACK_TIMEOUT_MS : HANDSHAKE_TIMEOUT_MS;

	if (p->retry_timer)
		return;
	if (now_ms - last_activity_ms >= timeout_ms)
		schedule_reconnect(p);
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
	p->retry_delay_ms = MIN_RETRY_DELAY_MS;
	start_connect(p);
	return p;
}

void link_peer_free(struct link_peer *p)
{
	if (p->retry_timer)
		g_source_remove(p->retry_timer);
	reset_link(p);
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
