/**
 * @file
 * What a process tells another one in a heartbeat, from its members. Pure.
 */
#ifndef SHARED_MEMBER_HEARTBEAT_H
#define SHARED_MEMBER_HEARTBEAT_H

#include "shared/member_table.h"

/**
 * Fills a heartbeat to a process. Whom this process hears is named only when
 * the other one hasn't told the same view, or as far as it isn't what the view
 * says; processes of other domains aren't told it.
 *
 * @param since		number of the last change already sent on the link
 */
void member_heartbeat_fill(const struct member_table *t, int64_t now_ms,
			   int64_t since, const struct link_identity *to,
			   struct heartbeat *out);

/**
 * Tells whether a member has had another view for so long that a change must
 * have been lost, so that it is to be told all.
 */
gboolean member_heartbeat_owes_all(const struct member_table *t,
				   const char *node);
/** Notes that all was sent; the next time is after twice as long. */
void member_heartbeat_told_all(struct member_table *t, const char *node);

#endif
