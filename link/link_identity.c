#include "link/link_identity.h"

#include <string.h>

#define NAME_MAX_BYTES 64
#define NONCE_MIN_BYTES 16
#define NONCE_MAX_BYTES 64
#define MAC_BYTES 64
#define REASON_MAX_BYTES 128
#define OLDEST_MEMBER "oldest_version"
#define NEWEST_MEMBER "newest_version"

const struct link_versions link_versions_own = { LINK_VERSION_STRICT,
						 LINK_VERSION_TOLERANT };

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

#define VERSION_FIELDS(type_)                                                \
	{ .name = OLDEST_MEMBER,                                             \
	  .type = FIELD_INT,                                                 \
	  .offset = offsetof(type_, versions.oldest),                        \
	  .max = INT32_MAX },                                                \
	{                                                                    \
		.name = NEWEST_MEMBER, .type = FIELD_INT,                    \
		.offset = offsetof(type_, versions.newest), .max = INT32_MAX \
	}

static const struct field_spec hello_fields[] = {
	{ .name = "identity",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct link_hello, identity),
	  .schema = &link_identity_schema },
	VERSION_FIELDS(struct link_hello),
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

static const struct field_spec refusal_fields[] = {
	VERSION_FIELDS(struct link_refusal),
	TEXT_FIELD(struct link_refusal, reason, 1, REASON_MAX_BYTES),
	{ 0 },
};

const struct schema link_refusal_schema = { sizeof(struct link_refusal),
					    refusal_fields };

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

static gboolean has_versions(const struct link_versions *v)
{
	return v->newest > 0;
}

int64_t link_versions_common(const struct link_versions *own,
			     const struct link_versions *other)
{
	static const struct link_versions strict = { LINK_VERSION_STRICT,
						     LINK_VERSION_STRICT };
	int64_t newest;

	if (!has_versions(other))
		other = &strict;
	newest = MIN(own->newest, other->newest);
	return newest >= MAX(own->oldest, other->oldest) ? newest : 0;
}

static void mac_update_part(GHmac *hmac, const char *part)
{
	/* The terminating NUL is included: it separates the parts. */
	g_hmac_update(hmac, (const guchar *)part, (gssize)strlen(part) + 1);
}

static void mac_update_versions(GHmac *hmac, const struct link_versions *v)
{
	char *text = g_strdup_printf("%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT,
				     v->oldest, v->newest);

	mac_update_part(hmac, text);
	g_free(text);
}

char *link_hello_mac(const struct link_hello *h, const char *secret,
		     const char *side, const char *nonce)
{
	const struct link_identity *i = &h->identity;
	const char *parts[] = {
		side,		nonce,	 i->node,
		i->incarnation, i->vm,	 i->failure_domain,
		i->http,	i->link, link_role_names[i->role]
	};
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret,
				 strlen(secret));
	char *mac;

	for (guint n = 0; n < G_N_ELEMENTS(parts); n++)
		mac_update_part(hmac, parts[n]);
	if (has_versions(&h->versions))
		mac_update_versions(hmac, &h->versions);
	mac = g_strdup(g_hmac_get_string(hmac));
	g_hmac_unref(hmac);
	return mac;
}

json_object *link_hello_encode(const struct link_hello *h)
{
	json_object *json = schema_encode(&link_hello_schema, h);

	if (!has_versions(&h->versions)) {
		json_object_object_del(json, OLDEST_MEMBER);
		json_object_object_del(json, NEWEST_MEMBER);
	}
	return json;
}

gboolean link_hello_has_valid_mac(const struct link_hello *h,
				  const char *secret, const char *side,
				  const char *nonce)
{
	char *mac = link_hello_mac(h, secret, side, nonce);
	unsigned char differences = 0;

	for (size_t n = 0; n < MAC_BYTES; n++)
		differences |= (unsigned char)(mac[n] ^ h->mac[n]);
	g_free(mac);
	return differences == 0;
}
