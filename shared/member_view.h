/**
 * @file
 * A digest of the members that are neither dead nor have left, and its recent
 * values. Two processes with the same digest have the same members in the same
 * incarnations, so heartbeats between them needn't list them. Performs no I/O
 * and reads no clock.
 */
#ifndef SHARED_MEMBER_VIEW_H
#define SHARED_MEMBER_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "shared/member_record.h"

/** Digests kept; a peer's view lags behind by a heartbeat or two. */
#define MEMBER_VIEW_HISTORY 8
/** No digest. */
#define MEMBER_VIEW_NONE 0

struct member_view_entry {
	int64_t digest;
	int64_t change; /**< number of the last change under this digest */
};

/** The newest entry is the first one. */
struct member_view {
	struct member_view_entry entries[MEMBER_VIEW_HISTORY];
	guint count;
};

/**
 * Returns the digest extended by a record; records are added in the order of
 * their node names. The status is left out, as the member itself sends it, and
 * so is suspicion, which each process ends by itself.
 */
int64_t member_view_add(int64_t digest, const struct member_record *record);

/** Records the digest that results from a change of the table. */
void member_view_record(struct member_view *v, int64_t digest, int64_t change);

/** Returns the current digest, or MEMBER_VIEW_NONE. */
int64_t member_view_digest(const struct member_view *v);

/** Returns the last change number under a digest, or -1 if it isn't kept. */
int64_t member_view_find(const struct member_view *v, int64_t digest);

#endif
