#include "link/link_identity.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define NONCE_MIN_BYTES 16
#define NONCE_MAX_BYTES 64
#define MAC_BYTES 64

const char *const link_role_names[] = { "gateway", "scheduler", NULL };

#define TEXT_FIELD(type_, member, min_, max_)                               \
	{                                                                   \
		.name = #member, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(type_, member), .min = (min_),           \
		.max = (max_)                                               \
	}

static const struct field_spec identity_fields[] = {
	TEXT_FIELD(struct link_identity, node, 1, NAME_MAX_BYTES),
	TEXT_FIELD(struct link_identity, incarnation, 1, NAME_MAX_BYTES),
	TEXT_FIELD(struct link_identity, vm, 1, NAME_MAX_BYTES),
	TEXT_FIELD(struct link_identity, failure_domain, 1, NAME_MAX_BYTES),
	TEXT_FIELD(struct link_identity, http, 1, NAME_MAX_BYTES),
	TEXT_FIELD(struct link_identity, link, 1, NAME_MAX_BYTES),
	{ .name = "role",
	  .type = FIELD_ENUM,
	  .is_required = TRUE,
	  .offset = offsetof(struct link_identity, role),
	  .names = link_role_names },
	{ 0 },
};

const struct schema link_identity_schema = { sizeof(struct link_identity),
					     identity_fields };

static const struct field_spec hello_fields[] = {
	{ .name = "identity",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct link_hello, identity),
	  .schema = &link_identity_schema },
	TEXT_FIELD(struct link_hello, nonce, NONCE_MIN_BYTES, NONCE_MAX_BYTES),
	TEXT_FIELD(struct link_hello, mac, MAC_BYTES, MAC_BYTES),
	{ 0 },
};

const struct schema link_hello_schema = { sizeof(struct link_hello),
					  hello_fields };

static const struct field_spec challenge_fields[] = {
	TEXT_FIELD(struct link_challenge, nonce, NONCE_MIN_BYTES,
		   NONCE_MAX_BYTES),
	{ 0 },
};

const struct schema link_challenge_schema = { sizeof(struct link_challenge),
					      challenge_fields };

void link_identity_copy(struct link_identity *to,
			const struct link_identity *from)
{
	link_identity_clear(to);
	to->node = g_strdup(from->node);
	to->incarnation = g_strdup(from->incarnation);
	to->vm = g_strdup(from->vm);
	to->failure_domain = g_strdup(from->failure_domain);
	to->http = g_strdup(from->http);
	to->link = g_strdup(from->link);
	to->role = from->role;
}

void link_identity_clear(struct link_identity *i)
{
	schema_clear(&link_identity_schema, i);
}

char *link_identity_mac(const struct link_identity *i, const char *secret,
			const char *side, const char *nonce)
{
	const char *parts[] = {
		side,		nonce,	 i->node,
		i->incarnation, i->vm,	 i->failure_domain,
		i->http,	i->link, link_role_names[i->role]
	};
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret,
				 strlen(secret));
	char *mac;

	/* The closing NUL of each part keeps the parts apart. */
	for (guint n = 0; n < G_N_ELEMENTS(parts); n++)
		g_hmac_update(hmac, (const guchar *)parts[n],
			      (gssize)strlen(parts[n]) + 1);
	mac = g_strdup(g_hmac_get_string(hmac));
	g_hmac_unref(hmac);
	return mac;
}

gboolean link_hello_is_genuine(const struct link_hello *h, const char *secret,
			       const char *side, const char *nonce)
{
	char *mac = link_identity_mac(&h->identity, secret, side, nonce);
	unsigned char differences = 0;

	for (size_t n = 0; n < MAC_BYTES; n++)
		differences |= (unsigned char)(mac[n] ^ h->mac[n]);
	g_free(mac);
	return differences == 0;
}
