/**
 * @file
 * Who schedules a pool: one row of the platform's table names the holder and
 * its epoch. Pure: rows and times go in, writes to try come out.
 *
 * A worker obeys only the highest epoch that it has seen, so a successor may
 * act at once. What it can't know is what a holder that isn't dead may still
 * order at workers that the successor doesn't reach; so a holder acts only for
 * a bounded time after its last confirmed renewal.
 */
#ifndef SCHED_LEADERSHIP_H
#define SCHED_LEADERSHIP_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#define LEADERSHIP_TABLE "leases"
#define LEADERSHIP_KEY "pool"
/**
 * Written with each takeover only. A holder's writes are under the condition
 * that this row has the version of its own takeover.
 */
#define LEADERSHIP_TERM_KEY "term"

struct leadership {
	char *self;	      /**< this incarnation of this process */
	char *holder;	      /**< in the row, NULL or "" for none */
	int64_t epoch;	      /**< in the row */
	int64_t version;      /**< of the row, 0 when it isn't there */
	int64_t term_version; /**< of the term's row, by our takeover */
	gboolean is_known;    /**< the row, or its absence, has been read */
	int64_t changed_ms;   /**< when the row was last seen to change */
	gboolean is_holder;
	int64_t renewed_ms;    /**< when the last confirmed renewal was sent */
	int64_t sent_ms;       /**< when the write in flight was sent, or 0 */
	int64_t sent_epoch;    /**< that it writes */
	int64_t jitter_ms;     /**< added before a takeover */
	gboolean is_barred;    /**< draining: takes no lease */
	gboolean was_released; /**< by the holder before this one */
};

enum leadership_step {
	LEADERSHIP_NONE,
	LEADERSHIP_RENEW,
	LEADERSHIP_ACQUIRE,
};

/** Times by the clock that counts suspension, in milliseconds. */
void leadership_init(struct leadership *l, const char *self, int64_t jitter_ms);
void leadership_clear(struct leadership *l);

/** Takes the row as it was read; NULL when there is none. */
void leadership_row(struct leadership *l, json_object *row, int64_t version,
		    int64_t now_ms);

/** The store did not answer: silence of the holder says nothing. */
void leadership_no_contact(struct leadership *l, int64_t now_ms);

/** Returns what to write now; the caller then calls leadership_sent(). */
enum leadership_step leadership_next(const struct leadership *l,
				     int64_t now_ms);

/** Returns the row to write for a step; free with put. */
json_object *leadership_encode(const struct leadership *l,
			       enum leadership_step step);

/** Returns the row that gives the lease back; free with put. */
json_object *leadership_encode_release(const struct leadership *l);

void leadership_sent(struct leadership *l, enum leadership_step step,
		     int64_t now_ms);

/**
 * The write took effect with a version.
 *
 * @return	TRUE when the lease is new, and ours
 */
gboolean leadership_written(struct leadership *l, enum leadership_step step,
			    int64_t version, int64_t now_ms);

/** The write had no effect, or its outcome is not known. */
void leadership_failed(struct leadership *l);

/** Tells whether orders may be given now. */
gboolean leadership_may_act(const struct leadership *l, int64_t now_ms);

/** Returns how long the holder before may have acted after @now_ms. */
int64_t leadership_rival_ms(const struct leadership *l);

#endif
