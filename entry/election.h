/**
 * @file
 * The service "election": takes and keeps the lease on the pool; see
 * sched/leadership.h.
 */
#ifndef ENTRY_ELECTION_H
#define ENTRY_ELECTION_H

#include "base/kernel.h"

#define ELECTION_SERVICE "election"

struct election_listener {
	/**
	 * The lease is ours from now on.
	 *
	 * @param rival_ms	how long the holder before may still act
	 * @param term_version	of the row that only a takeover writes
	 */
	void (*on_gained)(void *data, int64_t epoch, int64_t rival_ms,
			  int64_t term_version);
	void (*on_lost)(void *data);
	void *data;
};

struct service *election_new(void);

/** Sets who is told; before the services start. */
void election_listen(const struct kernel *k,
		     const struct election_listener *listener);

/** Tells whether orders may be given now. */
gboolean election_may_act(const struct kernel *k);

/** A worker has seen a higher epoch than ours. */
void election_fenced(const struct kernel *k);

#endif
