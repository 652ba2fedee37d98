/**
 * @file
 * The service "election": acquires, renews and releases the lease on the
 * pool; see sched/leadership.h.
 */
#ifndef ENTRY_ELECTION_H
#define ENTRY_ELECTION_H

#include "base/kernel.h"

#define ELECTION_SERVICE "election"

struct election_listener {
	/**
	 * This process has acquired the lease.
	 *
	 * @param previous_holder_ms	how long the previous holder may still
	 *				act
	 * @param term_version	version of LEADERSHIP_TERM_KEY's row, which only
	 *			a takeover writes
	 */
	void (*on_gained)(void *data, int64_t epoch, int64_t previous_holder_ms,
			  int64_t term_version);
	/** This process no longer holds the lease. */
	void (*on_lost)(void *data);
	void *data;
};

struct service *election_new(void);

/** Sets the listener; call it before the main loop runs. */
void election_set_listener(const struct kernel *k,
			   const struct election_listener *listener);

/** Returns TRUE if this process may send orders to workers now. */
gboolean election_may_act(const struct kernel *k);

/** Returns how long this process may send orders to workers, 0 if not now. */
int64_t election_act_left_ms(const struct kernel *k);

/**
 * Returns TRUE if the store has answered this process lately. It usually does
 * several times a second, as each renewal of the lease changes its row.
 */
gboolean election_hears_store(const struct kernel *k);

/**
 * Stops acting as the holder, without a release of the lease: a worker has seen
 * a higher epoch than ours.
 */
void election_step_down(const struct kernel *k);

#endif
