/**
 * @file
 * One process's part in the lease of one pool. Pure: the caller makes the
 * table's calls and passes in their results and the time.
 *
 * Assumed of clocks: each process measures durations by its own monotonic
 * clock, whose rate is off by at most LEASE_RATE_MARGIN; clocks are never
 * compared between processes. A process may pause anywhere: it then finds
 * that too much time has passed since its last renewal was sent. What it sent
 * before it could notice is refused by the workers, which obey the highest
 * epoch seen.
 */
#ifndef SHARED_LEASE_PROTOCOL_H
#define SHARED_LEASE_PROTOCOL_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "shared/lease_row.h"
#include "shared/pool_lease.h"

/** Life of a lease without renewal. */
#define LEASE_TTL_MS INT64_C(4000)
/** From one renewal to the next. */
#define LEASE_RENEW_MS INT64_C(1000)
/** From one reading of another's row to the next, for the first candidate. */
#define LEASE_POLL_MS INT64_C(500)
/** The same for the other candidates. */
#define LEASE_POLL_SLOW_MS INT64_C(2000)
/** Further wait of each candidate behind the first. */
#define LEASE_STAGGER_MS INT64_C(1000)
/** One part in this many may differ between the rates of two clocks. */
#define LEASE_RATE_MARGIN 8
/** A holder hands over when another one is its first candidate this long. */
#define LEASE_REBALANCE_MS INT64_C(30000)
/** A holder that was heard of this recently rules out a caretaker. */
#define LEASE_HEARD_MS INT64_C(5000)

enum lease_call {
	LEASE_CALL_NONE,
	LEASE_CALL_READ,   /**< read the pool's row */
	LEASE_CALL_COMMIT, /**< write @writing over @expected_version */
};

/** What the protocol's safety rests on; tests replace parts of it. */
struct lease_rules {
	/** Returns the time from which the life of a renewal counts. */
	int64_t (*valid_from)(int64_t sent_ms, int64_t answered_ms);
	/** Returns when another's lease is over that was first seen then. */
	int64_t (*over_at)(int64_t seen_ms, int64_t ttl_ms);
	/** Returns the epoch of a new holder. */
	int64_t (*next_epoch)(int64_t epoch);
};

extern const struct lease_rules lease_rules_default;

struct lease_protocol {
	const struct lease_rules *rules;
	char *node;
	char *incarnation;
	char *address;

	struct lease_row row;	/**< as last read or written */
	int64_t row_version;	/**< TABLE_ABSENT: no row */
	int64_t seen_ms;	/**< when this version was first seen */
	int64_t table_ms;	/**< when the table last answered */
	gboolean is_known;	/**< the row was read at least once */
	gboolean needs_read;	/**< the row may differ from @row */
	gboolean is_unresolved; /**< an answer to a commit was lost */
	int64_t unresolved_ms;	/**< when the first such commit was sent */

	enum lease_call call; /**< in flight */
	int64_t sent_ms;
	int64_t next_ms; /**< no call before */
	struct lease_row writing;
	int64_t expected_version;
	int64_t commits;

	int64_t valid_until_ms; /**< end of our own lease */
	guint rank;		/**< place among the candidates */
	int64_t rank_ms;	/**< since when */
	int64_t heard_ms;	/**< when a holder was last heard of */
	int64_t heard_epoch;
	gboolean is_draining;
	guint failed_releases;
};

void lease_protocol_init(struct lease_protocol *p, const char *node,
			 const char *incarnation, const char *address,
			 int64_t now_ms);
void lease_protocol_clear(struct lease_protocol *p);

/**
 * Returns the call to make now. It is in flight until its result is handed
 * in by lease_protocol_on_read() or lease_protocol_on_commit().
 */
enum lease_call lease_protocol_step(struct lease_protocol *p, int64_t now_ms);

/** @param row	NULL when there is none */
void lease_protocol_on_read(struct lease_protocol *p, int64_t now_ms,
			    enum status status, int64_t version,
			    const struct lease_row *row);
void lease_protocol_on_commit(struct lease_protocol *p, int64_t now_ms,
			      enum status status, int64_t version);

/** Sets this process's place among the live candidates, 0 for the first. */
void lease_protocol_set_rank(struct lease_protocol *p, int64_t now_ms,
			     guint rank);

/** Takes note of what a peer says of the pool's lease. */
void lease_protocol_heard(struct lease_protocol *p, int64_t now_ms,
			  int64_t epoch, gboolean is_holder);

/** Ends our own lease at once; it is released by the next calls. */
void lease_protocol_drain(struct lease_protocol *p);

/** Tells whether nothing is left to release. */
gboolean lease_protocol_is_released(const struct lease_protocol *p);

/**
 * Returns the earliest time at which lease_protocol_step() has a call or the
 * role changes, unless an event comes before; WAKE_NEVER for none. Takes care
 * of a rank that falls while there is no table to ask.
 */
int64_t lease_protocol_due_ms(const struct lease_protocol *p, int64_t now_ms);

/** Returns the role now; sets the epoch that it goes with. */
enum pool_role lease_protocol_role(const struct lease_protocol *p,
				   int64_t now_ms, int64_t *epoch);

#endif
