/**
 * @file
 * The heartbeat message: the sender's own state, the members that it hears, and
 * the member records that changed since its last heartbeat on the same link.
 */
#ifndef SHARED_HEARTBEAT_H
#define SHARED_HEARTBEAT_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"
#include "shared/member_record.h"

/** A member from which the sender receives heartbeats. */
struct heard_member {
	char *node;
	int64_t generation;
	int64_t age_ms; /**< time since its last heartbeat */
};

/** The sender's knowledge of a pool's lease. */
struct heartbeat_pool {
	char *pool;
	int64_t epoch;
	int64_t is_holder; /**< the sender holds the lease */
};

struct heartbeat {
	int64_t generation;
	int64_t state; /**< enum member_state */
	int64_t state_version;
	int64_t config_version;
	int64_t status_version;
	int64_t view; /**< digest of the sender's members, see
			    shared/member_view.h */
	int64_t base; /**< the receiver's last view if it differs from @view
			    and the sender still knows it; else 0 */
	/**
	 * Upper bound for the time since the last heartbeat from each live
	 * member of the sender's domain in @base, or in @view if @base is 0,
	 * except for those in @silent.
	 */
	int64_t heard_age_ms;
	GPtrArray *silent; /**< of char *, nodes not covered by
				@heard_age_ms; may be NULL */
	GArray *pools;	   /**< of struct heartbeat_pool */
	GArray *heard;	   /**< of struct heard_member, listed by name */
	GArray *records;   /**< of struct member_record, those changed */
};

extern const struct schema heartbeat_schema;

/**
 * Encodes a heartbeat; empty lists and zeros are omitted. The caller releases
 * the result with json_object_put().
 */
json_object *heartbeat_encode(const struct heartbeat *h);

#endif
