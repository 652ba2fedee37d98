/**
 * @file
 * Builds the heartbeat to a peer from the member table. Performs no I/O and
 * reads no clock.
 */
#ifndef SHARED_MEMBER_HEARTBEAT_H
#define SHARED_MEMBER_HEARTBEAT_H

#include "shared/member_table.h"

/**
 * Fills a heartbeat to @to. The members that this process hears are listed by
 * name only if the receiver's last view isn't known here; otherwise only the
 * deviations from that view are listed. Receivers in other failure domains get
 * neither.
 *
 * @param since		change number of the last heartbeat sent on the link, 0
 *			to send all records
 * @param out		a zeroed struct; the caller clears it with
 *			schema_clear()
 */
void member_heartbeat_fill(const struct member_table *t, int64_t now_ms,
			   int64_t since, const struct link_identity *to,
			   struct heartbeat *out);

/**
 * Returns TRUE if a member's view has differed for so many heartbeats that a
 * change must have been lost, so that it needs all records.
 */
gboolean member_heartbeat_needs_full(const struct member_table *t,
				     const char *node);

/**
 * Records that all records were sent. The number of mismatches before the next
 * full heartbeat doubles, up to a limit.
 */
void member_heartbeat_record_full(struct member_table *t, const char *node);

#endif
