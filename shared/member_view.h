/**
 * @file
 * A digest of whom a process takes for living, and its last few values: two
 * processes with the same digest name the same members in the same lives, so
 * that one needn't name them to the other. Pure.
 */
#ifndef SHARED_MEMBER_VIEW_H
#define SHARED_MEMBER_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "shared/member_record.h"

/** Digests that are remembered: a peer lags behind by a heartbeat or two. */
#define MEMBER_VIEW_HISTORY 8
/** What stands for no digest. */
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
 * Adds a record to a digest, in the order of the nodes. The status is left
 * out: it is told by the member itself. Suspicion is left out too: each
 * process ends it by itself.
 */
int64_t member_view_add(int64_t digest, const struct member_record *record);

/** Notes the digest that is in force since a change of the table. */
void member_view_note(struct member_view *v, int64_t digest, int64_t change);

int64_t member_view_digest(const struct member_view *v);

/** Returns the last change under a digest, or -1 when it isn't remembered. */
int64_t member_view_find(const struct member_view *v, int64_t digest);

#endif
