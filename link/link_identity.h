/**
 * @file
 * Who a process of the system is, and the handshake that proves it: the
 * accepting side sends a nonce, the opening side answers with its identity, a
 * nonce of its own and a MAC over both, and is answered likewise.
 */
#ifndef LINK_LINK_IDENTITY_H
#define LINK_LINK_IDENTITY_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

/** The programs whose processes talk to each other. */
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

/** The versions of the protocol that a process speaks. */
struct link_versions {
	int64_t oldest;
	int64_t newest; /**< 0 in a hello of version 1, which has neither */
};

/** Unknown members are refused. */
#define LINK_VERSION_STRICT 1
/** Unknown members and types of messages are passed over. */
#define LINK_VERSION_TOLERANT 2

/** What this program speaks. */
extern const struct link_versions link_versions_own;

/** Body of the frames hello and welcome. */
struct link_hello {
	struct link_identity identity;
	struct link_versions versions;
	char *nonce; /**< to be covered by the answer's MAC */
	char *mac;
};

/** Body of the frame refusal, in answer to a hello that is genuine. */
struct link_refusal {
	struct link_versions versions; /**< of the refusing side */
	char *reason;
};

/** Body of the frame challenge. */
struct link_challenge {
	char *nonce;
};

extern const struct schema link_hello_schema;
extern const struct schema link_challenge_schema;
extern const struct schema link_refusal_schema;

void link_identity_copy(struct link_identity *to,
			const struct link_identity *from);
void link_identity_clear(struct link_identity *i);

/** Returns the highest version that both sides speak, 0 without one. */
int64_t link_versions_common(const struct link_versions *own,
			     const struct link_versions *other);

/**
 * Returns the MAC of a hello's identity and versions, for the nonce of the
 * other side.
 *
 * @param side	"open" or "accept", so that neither side's MAC serves the other
 */
char *link_hello_mac(const struct link_hello *h, const char *secret,
		     const char *side, const char *nonce);

/** Encodes a hello, without versions when it has none; free with put. */
json_object *link_hello_encode(const struct link_hello *h);

/** Tells whether a hello's MAC is right. */
gboolean link_hello_is_genuine(const struct link_hello *h, const char *secret,
			       const char *side, const char *nonce);

#endif
