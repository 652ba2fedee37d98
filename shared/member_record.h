/**
 * @file
 * What the processes tell each other of one of them. Its parts are changed at
 * different times by different processes, so each part has a version of its
 * own: the identity by the process itself at its start, the state also by
 * those that miss its heartbeats, the status by the process itself as it runs.
 */
#ifndef SHARED_MEMBER_RECORD_H
#define SHARED_MEMBER_RECORD_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"
#include "link/link_identity.h"

/** Later states win over earlier ones of the same version. */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< not heard of, neither directly nor by others */
	MEMBER_DEAD,	/**< suspect for too long: lost */
	MEMBER_LEAVING, /**< drains by its own word */
	MEMBER_LEFT,	/**< was leaving and is silent now */
	MEMBER_STATE_COUNT,
};

extern const char *const member_state_names[];

struct member_record {
	struct link_identity identity;
	int64_t generation;	/**< rises with each incarnation of the node */
	int64_t state;		/**< enum member_state */
	int64_t state_version;	/**< raised by the member itself only */
	int64_t config_version; /**< in force there: the status */
	int64_t status_version;
};

extern const struct schema member_record_schema;

/** How parts of two records of the same node are ordered. */
struct member_rules {
	/** Tells whether @a replaces @b in the state. */
	gboolean (*is_newer_state)(const struct member_record *a,
				   const struct member_record *b);
	/** Tells whether @a replaces @b in the status. */
	gboolean (*is_newer_status)(const struct member_record *a,
				    const struct member_record *b);
};

extern const struct member_rules member_rules_default;

void member_record_copy(struct member_record *to,
			const struct member_record *from);
void member_record_clear(struct member_record *r);

/**
 * Takes the newer parts of another record of the same node.
 *
 * @return	TRUE when the identity or the state has changed
 */
gboolean member_record_merge(struct member_record *to,
			     const struct member_record *from,
			     const struct member_rules *rules);

#endif
