/**
 * @file
 * Delegate that renews the leases of a share of a pool's workers for the
 * holder. Performs no I/O: the caller sends its reports and passes in grants,
 * workers' answers and the time.
 *
 * The lifetime of a grant is counted from the sending of the report that it
 * answers, so a grant that was delayed for longer has expired on arrival. The
 * delegate calls no worker after the expiry or after it has seen a newer epoch.
 */
#ifndef JOB_RENEWAL_DELEGATE_H
#define JOB_RENEWAL_DELEGATE_H

#include <glib.h>
#include <stdint.h>

#include "job/renewal_message.h"
#include "job/scheduler.h"

/** Number of latest reports whose answers are accepted. */
#define RENEWAL_REPORTS_KEPT 4

struct delegated_worker {
	char *name;
	char *address;
	int64_t holder_digest; /**< digest of the report that the holder has */
	int64_t reported_digest; /**< digest of the worker's latest report */
	char *worker_digest;	 /**< the worker's own digest of it, or NULL */
	gboolean has_reported;	 /**< answered since holder_digest changed */
	gboolean has_failed;	 /**< the last call failed */
	gboolean is_in_flight;
	int64_t call_id;
	int64_t next_call_ms;
};

struct renewal_delegate {
	char *pool;
	char *holder;	  /**< node name, NULL if unknown */
	int64_t epoch;	  /**< highest known; the holder's if there is one */
	int64_t sequence; /**< number of the last report */
	int64_t answered_sequence; /**< latest report with an accepted grant */
	int64_t sent_ms[RENEWAL_REPORTS_KEPT]; /**< of the latest reports */
	int64_t next_report_ms;
	int64_t valid_until_ms; /**< expiry of the grant */
	int64_t lease_ms;	/**< lease that a renewal gives to tasks */
	int64_t period_ms;	/**< between two renewals of a worker */
	int64_t share_version;
	int64_t last_call_id;
	GHashTable *workers; /**< name to struct delegated_worker */
};

struct renewal_delegate *renewal_delegate_new(const char *pool);
void renewal_delegate_free(struct renewal_delegate *d);

/** Records the pool's holder; ignored unless its epoch is newer. */
void renewal_delegate_on_holder(struct renewal_delegate *d, const char *node,
				int64_t epoch);

/** Drops the holder and the share: a newer epoch was seen, or is our own. */
void renewal_delegate_reset(struct renewal_delegate *d);

/**
 * Fills the next report if it is due.
 *
 * @param report	initialised by renewal_report_init()
 * @return		FALSE if no report is due
 */
gboolean renewal_delegate_report(struct renewal_delegate *d, int64_t now_ms,
				 struct renewal_report *report);

/** Applies the holder's answer to a report; ignored if stale or expired. */
void renewal_delegate_on_grant(struct renewal_delegate *d, const char *from,
			       const struct renewal_grant *g, int64_t now_ms);

/** Returns a worker to call now, marked as in flight, or NULL. */
const struct delegated_worker *renewal_delegate_next(struct renewal_delegate *d,
						     int64_t now_ms);

/** Returns when the next call or report is due, INT64_MAX for never. */
int64_t renewal_delegate_due_ms(const struct renewal_delegate *d);

/** Handles a worker's answer; @report is used if it is WORKER_ANSWERED. */
void renewal_delegate_on_answer(struct renewal_delegate *d, const char *worker,
				int64_t call_id, enum worker_answer answer,
				const struct worker_report *report,
				int64_t now_ms);

#endif
