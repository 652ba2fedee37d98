/**
 * @file
 * The message by which a process tells that it lives, whom it hears, and what
 * has changed among the members since its last message on the same link.
 */
#ifndef SHARED_HEARTBEAT_H
#define SHARED_HEARTBEAT_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"
#include "shared/member_record.h"

/** A member that the sender hears itself, told by its name. */
struct heard_member {
	char *node;
	int64_t generation;
	int64_t age_ms; /**< since its last heartbeat */
};

/** The sender's part in the lease of a pool. */
struct heartbeat_pool {
	char *pool;
	int64_t epoch;
	int64_t is_holder;
};

struct heartbeat {
	int64_t generation;
	int64_t state; /**< enum member_state */
	int64_t state_version;
	int64_t config_version;
	int64_t status_version;
	int64_t view; /**< digest of whom the sender takes for living */
	int64_t base; /**< the receiver's, when it differs and is known */
	/**
	 * The sender hears all living members of its domain under the base, or
	 * else the view, except the silent ones: each of them within this time.
	 */
	int64_t heard_age_ms;
	GPtrArray *silent; /**< of char *; may be NULL */
	GArray *pools;	   /**< of struct heartbeat_pool */
	GArray *heard;	   /**< of struct heard_member */
	GArray *records;   /**< of struct member_record */
};

extern const struct schema heartbeat_schema;

/** Encodes a heartbeat without empty lists and zeros; free with put. */
json_object *heartbeat_encode(const struct heartbeat *h);

#endif
