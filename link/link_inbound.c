#include "link/link_inbound.h"

#include "base/util.h"
#include "link/frame.h"
#include "link/message.h"

#define HANDSHAKE_TIMEOUT_MS 2000
/** Frames received sooner after an acknowledgement aren't acknowledged. */
#define MIN_ACK_INTERVAL_MS 500

struct link_inbound {
	struct link_inbound_spec spec;
	struct link_connection *connection;
	struct link_identity identity;
	char *nonce; /**< sent in the challenge */
	gboolean is_authenticated;
	int64_t accepted_ms;
	int64_t ack_sent_ms;
	guint handshake_timer;
};

/* Reports the end of the link; @i is freed on return. */
static void notify_ended(struct link_inbound *i)
{
	i->spec.on_ended(i, i->spec.data);
}

static void on_closed(void *data)
{
	struct link_inbound *i = data;

	i->connection = NULL;
	notify_ended(i);
}

static gboolean on_handshake_timeout(gpointer data)
{
	struct link_inbound *i = data;

	i->handshake_timer = 0;
	if (!i->is_authenticated)
		notify_ended(i);
	return G_SOURCE_REMOVE;
}

/* The versions are omitted if the hello, being of version 1, has none. */
static void send_welcome(struct link_inbound *i, const struct link_hello *hello)
{
	struct link_hello welcome = { 0 };
	json_object *json;

	link_identity_copy(&welcome.identity, i->spec.identity);
	if (hello->versions.newest > 0)
		welcome.versions = *i->spec.versions;
	welcome.nonce = util_random_id();
	welcome.mac = link_hello_mac(&welcome, i->spec.secret, "accept",
				     hello->nonce);
	json = link_hello_encode(&welcome);
	link_connection_send(i->connection, MESSAGE_WELCOME, json);
	json_object_put(json);
	schema_clear(&link_hello_schema, &welcome);
}

static void send_refusal(struct link_inbound *i)
{
	struct link_refusal refusal = { *i->spec.versions,
					(char *)"no common version" };
	json_object *json = schema_encode(&link_refusal_schema, &refusal);

	i->spec.traffic->refused_links++;
	link_connection_send(i->connection, MESSAGE_REFUSAL, json);
	json_object_put(json);
}

static void answer_hello(struct link_inbound *i, const struct link_hello *hello)
{
	if (link_versions_common(i->spec.versions, &hello->versions) == 0) {
		send_refusal(i);
		return;
	}
	i->is_authenticated = TRUE;
	link_connection_limit_frames(i->connection, FRAME_MAX_BODY_BYTES);
	link_identity_copy(&i->identity, &hello->identity);
	send_welcome(i, hello);
}

static void handle_hello(struct link_inbound *i, uint8_t type,
			 json_object *body)
{
	struct link_hello hello = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	if (type == MESSAGE_HELLO &&
	    schema_decode_lenient(&link_hello_schema, body, &hello, "",
				  &findings) &&
	    link_hello_has_valid_mac(&hello, i->spec.secret, "open", i->nonce))
		answer_hello(i, &hello);
	schema_clear(&link_hello_schema, &hello);
	finding_list_clear(&findings);
	if (!i->is_authenticated)
		notify_ended(i);
}

static void send_ack_if_due(struct link_inbound *i)
{
	int64_t now_ms = util_monotonic_ms();
	json_object *empty;

	if (now_ms - i->ack_sent_ms < MIN_ACK_INTERVAL_MS)
		return;
	i->ack_sent_ms = now_ms;
	empty = json_object_new_object();
	link_connection_send(i->connection, MESSAGE_ACK, empty);
	json_object_put(empty);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	struct link_inbound *i = data;

	if (!i->is_authenticated) {
		handle_hello(i, type, body);
		return;
	}
	send_ack_if_due(i);
	i->spec.on_frame(&i->identity, type, body, i->spec.data);
}

static void send_challenge(struct link_inbound *i)
{
	struct link_challenge challenge = { i->nonce };
	json_object *json = schema_encode(&link_challenge_schema, &challenge);

	link_connection_send(i->connection, MESSAGE_CHALLENGE, json);
	json_object_put(json);
}

struct link_inbound *link_inbound_new(const struct link_inbound_spec *spec,
				      GSocketConnection *stream)
{
	struct link_inbound *i = g_new0(struct link_inbound, 1);

	i->spec = *spec;
	i->nonce = util_random_id();
	i->accepted_ms = util_monotonic_ms();
	i->handshake_timer =
		g_timeout_add(HANDSHAKE_TIMEOUT_MS, on_handshake_timeout, i);
	i->connection = link_connection_new(stream, spec->poll, spec->traffic,
					    on_frame, on_closed, i);
	link_connection_limit_frames(i->connection,
				     LINK_HANDSHAKE_MAX_BODY_BYTES);
	send_challenge(i);
	return i;
}

gboolean link_inbound_is_authenticated(const struct link_inbound *i)
{
	return i->is_authenticated;
}

int64_t link_inbound_accepted_ms(const struct link_inbound *i)
{
	return i->accepted_ms;
}

void link_inbound_free(struct link_inbound *i)
{
	if (i->handshake_timer)
		g_source_remove(i->handshake_timer);
	g_clear_pointer(&i->connection, link_connection_close);
	link_identity_clear(&i->identity);
	g_free(i->nonce);
	g_free(i);
}
