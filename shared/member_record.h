/**
 * @file
 * What the processes know of one member and exchange in heartbeats. The parts
 * of a record change at different times and by different processes, so each has
 * its own version: the member sets its identity at its start and its status
 * while it runs; its state is also set by processes that miss its heartbeats.
 */
#ifndef SHARED_MEMBER_RECORD_H
#define SHARED_MEMBER_RECORD_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"
#include "link/link_identity.h"

/** Of two states with the same version the later enumerator wins. */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< heard neither directly nor by others */
	MEMBER_DEAD,	/**< suspect for too long */
	MEMBER_LEAVING, /**< draining, as the member announced */
	MEMBER_LEFT,	/**< was leaving, then fell silent */
	MEMBER_STATE_COUNT,
};

extern const char *const member_state_names[];

struct member_record {
	struct link_identity identity;
	int64_t generation; /**< increases with each incarnation of the node */
	int64_t state;	    /**< enum member_state */
	int64_t state_version;	/**< raised by the member itself only */
	int64_t config_version; /**< status: configuration that it uses */
	int64_t status_version;
};

extern const struct schema member_record_schema;

/** Order of the parts of two records of the same node and generation. */
struct member_rules {
	/** Returns TRUE if the state of @a replaces that of @b. */
	gboolean (*is_newer_state)(const struct member_record *a,
				   const struct member_record *b);
	/** Returns TRUE if the status of @a replaces that of @b. */
	gboolean (*is_newer_status)(const struct member_record *a,
				    const struct member_record *b);
};

extern const struct member_rules member_rules_default;

void member_record_copy(struct member_record *to,
			const struct member_record *from);
void member_record_clear(struct member_record *r);

/**
 * Merges the newer parts of another record of the same node.
 *
 * @return	TRUE if the identity or the state has changed
 */
gboolean member_record_merge(struct member_record *to,
			     const struct member_record *from,
			     const struct member_rules *rules);

#endif
