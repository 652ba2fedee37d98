/**
 * @file
 * State machine by which one process acquires, renews and releases the lease of
 * one pool. Pure: the caller performs the table reads and commits and passes in
 * their results and the time.
 *
 * Clock assumptions: each process measures durations by its own monotonic
 * clock, and the rates of two clocks differ by at most 1/LEASE_RATE_MARGIN;
 * clock values of different processes are never compared. A process may pause
 * at any point; it then finds its lease expired, counted from when the last
 * renewal was sent. Workers reject commands that it sent before it noticed,
 * since they obey only the highest epoch seen.
 */
#ifndef SHARED_LEASE_PROTOCOL_H
#define SHARED_LEASE_PROTOCOL_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "shared/lease_row.h"
#include "shared/pool_lease.h"

/** Lifetime of a lease without renewal. */
#define LEASE_TTL_MS INT64_C(4000)
/** Interval between renewals. */
#define LEASE_RENEW_MS INT64_C(1000)
/** Interval at which the first candidate reads another holder's row. */
#define LEASE_POLL_MS INT64_C(500)
/** Interval at which the other candidates read it. */
#define LEASE_POLL_SLOW_MS INT64_C(2000)
/** Additional wait per rank before a candidate acquires an expired or released
 *  lease. */
#define LEASE_STAGGER_MS INT64_C(1000)
/** The rates of two clocks differ by at most 1/LEASE_RATE_MARGIN. */
#define LEASE_RATE_MARGIN 8
/** Time after which a holder that is no longer first candidate hands over. */
#define LEASE_REBALANCE_MS INT64_C(30000)
/** A caretaker acts only if no holder sent a heartbeat for this time. */
#define LEASE_HOLDER_SILENCE_MS INT64_C(5000)

enum lease_call {
	LEASE_CALL_NONE,
	LEASE_CALL_READ,   /**< read the pool's row */
	LEASE_CALL_COMMIT, /**< write @writing over @expected_version */
};

/** Rules that the protocol's safety depends on; tests replace some of them. */
struct lease_rules {
	/** Returns the time at which the TTL of a renewal starts. */
	int64_t (*valid_from)(int64_t sent_ms, int64_t answered_ms);
	/** Returns when another holder's lease expires if its row was first
	 *  seen at @seen_ms. */
	int64_t (*expires_at)(int64_t seen_ms, int64_t ttl_ms);
	/** Returns the epoch of the next holder. */
	int64_t (*next_epoch)(int64_t epoch);
};

extern const struct lease_rules lease_rules_default;

struct lease_protocol {
	const struct lease_rules *rules;
	char *node;
	char *incarnation;
	char *address;

	struct lease_row row;	 /**< as last read or written */
	int64_t row_version;	 /**< TABLE_ABSENT: no row */
	int64_t seen_ms;	 /**< when @row_version was first seen */
	int64_t table_answer_ms; /**< time of the table's last answer */
	gboolean has_read_row;	 /**< row or its absence read at least once */
	gboolean needs_read;	 /**< the stored row may differ from @row */
	gboolean is_unresolved;	 /**< outcome of a commit is unknown */
	int64_t unresolved_ms;	 /**< when the first such commit was sent */

	enum lease_call call;	  /**< call in flight */
	int64_t sent_ms;	  /**< when the last call was sent */
	int64_t next_call_ms;	  /**< earliest time of the next call */
	struct lease_row writing; /**< row of the last commit */
	int64_t expected_version; /**< row version that it replaces */
	int64_t commits;	  /**< commits made, for unique commit ids */

	int64_t valid_until_ms;	 /**< expiry of our own lease; past: none */
	guint rank;		 /**< position among the candidates, 0: first */
	int64_t rank_since_ms;	 /**< when @rank last changed */
	int64_t holder_heard_ms; /**< when a holder last sent a heartbeat */
	int64_t heard_epoch;	 /**< highest epoch in any heartbeat */
	gboolean is_draining;
	guint failed_releases; /**< failed calls while draining */
};

void lease_protocol_init(struct lease_protocol *p, const char *node,
			 const char *incarnation, const char *address,
			 int64_t now_ms);
void lease_protocol_clear(struct lease_protocol *p);

/**
 * Returns the call to make now. It is in flight until its result is passed to
 * lease_protocol_on_read() or lease_protocol_on_commit().
 */
enum lease_call lease_protocol_step(struct lease_protocol *p, int64_t now_ms);

/**
 * Processes the result of a read.
 *
 * @param row	NULL if the table has no row
 */
void lease_protocol_on_read(struct lease_protocol *p, int64_t now_ms,
			    enum status status, int64_t version,
			    const struct lease_row *row);

/**
 * Processes the result of a commit.
 *
 * @param version	of the row as written; valid with STATUS_OK
 */
void lease_protocol_on_commit(struct lease_protocol *p, int64_t now_ms,
			      enum status status, int64_t version);

/** Sets this process's rank among the live candidates, 0 for the first. */
void lease_protocol_set_rank(struct lease_protocol *p, int64_t now_ms,
			     guint rank);

/** Processes what a peer's heartbeat states of the pool's lease; @is_holder is
 *  TRUE if the peer holds it. */
void lease_protocol_on_heartbeat(struct lease_protocol *p, int64_t now_ms,
				 int64_t epoch, gboolean is_holder);

/** Ends our own lease at once; the next calls release its row. */
void lease_protocol_drain(struct lease_protocol *p);

/** Returns TRUE if nothing is left to release, or releasing was given up. */
gboolean lease_protocol_is_released(const struct lease_protocol *p);

/**
 * Returns the earliest time at which lease_protocol_step() has a call or the
 * role changes if no event comes before; WAKE_NEVER for none. The caretaker
 * role counts as a change at any rank, since the rank may drop to 0 while the
 * table is unreachable.
 */
int64_t lease_protocol_due_ms(const struct lease_protocol *p, int64_t now_ms);

/** Returns the role at @now_ms and stores the epoch that it applies to. */
enum pool_role lease_protocol_role(const struct lease_protocol *p,
				   int64_t now_ms, int64_t *epoch);

#endif
