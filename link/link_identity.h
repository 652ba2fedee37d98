/**
 * @file
 * Identity of a process of the system, and the messages of the handshake that
 * authenticates it: the accepting side sends a nonce (challenge); the opening
 * side answers with its identity, a MAC over that nonce and the identity, and a
 * nonce of its own (hello); the accepting side answers likewise (welcome) or
 * with a refusal.
 */
#ifndef LINK_LINK_IDENTITY_H
#define LINK_LINK_IDENTITY_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

/** Programs whose processes exchange frames. */
enum link_role {
	LINK_ROLE_GATEWAY,
	LINK_ROLE_SCHEDULER,
	LINK_ROLE_COUNT,
};

extern const char *const link_role_names[];

struct link_identity {
	char *node;
	char *incarnation;
	char *vm;
	char *failure_domain;
	char *http;   /**< "IP:PORT" */
	char *link;   /**< "IP:PORT" */
	int64_t role; /**< enum link_role */
};

extern const struct schema link_identity_schema;

/** Range of protocol versions that a process supports. */
struct link_versions {
	int64_t oldest;
	int64_t newest; /**< 0 if absent, as in a hello of version 1 */
};

/** Protocol version that rejects unknown members and message types. */
#define LINK_VERSION_STRICT 1
/** Protocol version that ignores unknown members and message types. */
#define LINK_VERSION_TOLERANT 2

/** Versions that this program supports. */
extern const struct link_versions link_versions_own;

/** Body of the frames hello and welcome. */
struct link_hello {
	struct link_identity identity;
	struct link_versions versions;
	char *nonce; /**< input of the other side's MAC */
	char *mac;   /**< see link_hello_mac() */
};

/** Body of the frame refusal, the answer to a hello with a valid MAC. */
struct link_refusal {
	struct link_versions versions; /**< supported by the refusing side */
	char *reason;
};

/** Body of the frame challenge. */
struct link_challenge {
	char *nonce;
};

extern const struct schema link_hello_schema;
extern const struct schema link_challenge_schema;
extern const struct schema link_refusal_schema;

/** Replaces the content of @to, which must be initialized. */
void link_identity_copy(struct link_identity *to,
			const struct link_identity *from);
void link_identity_clear(struct link_identity *i);

/**
 * Returns the highest version that both sides support, 0 if there is none.
 *
 * @param other	if absent, the other side supports LINK_VERSION_STRICT only
 */
int64_t link_versions_common(const struct link_versions *own,
			     const struct link_versions *other);

/**
 * Returns the MAC (HMAC-SHA256 in hex) over a hello's identity and versions and
 * over @nonce; free with g_free().
 *
 * @param side	of the hello's sender, "open" or "accept"; keeps either side
 *		from sending back the MAC of the other as its own
 * @param nonce	that the sender has received from the other side
 */
char *link_hello_mac(const struct link_hello *h, const char *secret,
		     const char *side, const char *nonce);

/**
 * Encodes a hello, without the members of the versions if it has none; free
 * with json_object_put().
 */
json_object *link_hello_encode(const struct link_hello *h);

/** Returns TRUE if a hello's MAC is valid; compares in constant time. */
gboolean link_hello_has_valid_mac(const struct link_hello *h,
				  const char *secret, const char *side,
				  const char *nonce);

#endif
