/**
 * @file
 * Leader election for a pool: one row of the platform's table names the lease
 * holder and its epoch. This is a pure state machine: its inputs are rows and
 * times, its outputs the writes to attempt.
 *
 * A worker obeys only the highest epoch that it has seen, so a successor may
 * act immediately. A previous holder that is still alive could send orders to
 * workers that the successor doesn't reach; so a holder acts only for a bounded
 * time after its last confirmed renewal.
 */
#ifndef SCHED_LEADERSHIP_H
#define SCHED_LEADERSHIP_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#define LEADERSHIP_TABLE "leases"
#define LEADERSHIP_KEY "pool"
/**
 * Row written only at a takeover. Every other write of a holder is conditional
 * on this row still having the version of that holder's takeover.
 */
#define LEADERSHIP_TERM_KEY "term"

struct leadership {
	char *self;		    /**< id of this process and incarnation */
	char *holder;		    /**< from the row; NULL or "" for none */
	int64_t epoch;		    /**< highest one read or written */
	int64_t version;	    /**< of the row, 0 if it doesn't exist */
	int64_t term_version;	    /**< of the term row, from our takeover */
	gboolean has_read_row;	    /**< the row was read, or found absent */
	int64_t unchanged_since_ms; /**< row's last change or store outage */
	gboolean is_holder;
	int64_t renewed_ms;    /**< when the last confirmed renewal was sent */
	int64_t sent_ms;       /**< when the write in flight was sent, or 0 */
	int64_t sent_epoch;    /**< epoch in the write in flight */
	int64_t quiet_ms;      /**< row unchanged before our takeover, at least
				*/
	int64_t jitter_ms;     /**< delay before a takeover */
	gboolean is_draining;  /**< this process drains: it acquires no lease */
	gboolean was_released; /**< the previous holder released the lease */
};

/** What to write to the row next. */
enum leadership_step {
	LEADERSHIP_NONE,
	LEADERSHIP_RENEW,
	LEADERSHIP_ACQUIRE,
};

/**
 * All times are in milliseconds on CLOCK_BOOTTIME, which includes suspension.
 *
 * @param self	id of this process and incarnation, copied
 */
void leadership_init(struct leadership *l, const char *self, int64_t jitter_ms);
void leadership_clear(struct leadership *l);

/**
 * Records the row as read, NULL if it doesn't exist. A row that isn't newer
 * than the last one is ignored.
 */
void leadership_record_row(struct leadership *l, json_object *row,
			   int64_t version, int64_t now_ms);

/**
 * Records that the store did not answer: an unchanged row is then no sign of a
 * dead holder, so the holder timeout restarts at @now_ms.
 */
void leadership_record_outage(struct leadership *l, int64_t now_ms);

/** Returns the write to send now; the caller then calls leadership_sent(). */
enum leadership_step leadership_next(const struct leadership *l,
				     int64_t now_ms);

/** Encodes the row to write for a step; free with put. */
json_object *leadership_encode(const struct leadership *l,
			       enum leadership_step step);

/** Encodes the row that releases the lease; free with put. */
json_object *leadership_encode_release(const struct leadership *l);

/** Records that the write for a step was sent. */
void leadership_sent(struct leadership *l, enum leadership_step step,
		     int64_t now_ms);

/**
 * Records that the write for a step took effect.
 *
 * @param version	of the written row
 * @return		TRUE if this process has just acquired the lease
 */
gboolean leadership_written(struct leadership *l, enum leadership_step step,
			    int64_t version, int64_t now_ms);

/**
 * Returns TRUE if a renewal has had no answer for so long that it is to be sent
 * again. The caller ignores the earlier one's answer and calls
 * leadership_write_failed(); if the earlier one takes effect, the row tells.
 */
gboolean leadership_is_overdue(const struct leadership *l, int64_t now_ms);

/** Records that the write failed or that its outcome is unknown. */
void leadership_write_failed(struct leadership *l);

/** Returns TRUE if this process may send orders to workers now. */
gboolean leadership_may_act(const struct leadership *l, int64_t now_ms);

/** Returns how long this process may send orders to workers, 0 if not now. */
int64_t leadership_act_left_ms(const struct leadership *l, int64_t now_ms);

/**
 * Returns how long after our takeover the previous holder may still have sent
 * orders, in milliseconds; 0 if it released the lease or there was none.
 */
int64_t leadership_previous_holder_ms(const struct leadership *l);

#endif
