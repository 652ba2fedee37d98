/**
 * @file
 * The part of a process that renews a share of a pool's workers for the
 * holder. Pure: reports are taken from it and sent, grants, answers of
 * workers and the time are handed in.
 *
 * A grant's life counts from when the report was sent that it answers, so that
 * a grant which was long under way is over on arrival. The delegate calls no
 * worker after that, nor once it has met a newer epoch.
 */
#ifndef JOB_RENEWAL_DELEGATE_H
#define JOB_RENEWAL_DELEGATE_H

#include <glib.h>
#include <stdint.h>

#include "job/renewal_message.h"
#include "job/scheduler.h"

/** Reports in flight whose answers are still taken. */
#define RENEWAL_REPORTS_KEPT 4

struct delegated_worker {
	char *name;
	char *address;
	int64_t digest; /**< that the holder has */
	int64_t seen_digest;
	char *worker_digest; /**< the worker's own of what was seen, or NULL */
	gboolean is_seen;    /**< answered since the holder told its digest */
	gboolean has_failed;
	gboolean is_in_flight;
	int64_t call_id;
	int64_t next_call_ms;
};

struct renewal_delegate {
	char *pool;
	char *holder;	  /**< node, NULL when none is known */
	int64_t epoch;	  /**< highest known, of the holder if there is one */
	int64_t sequence; /**< of the last report */
	int64_t granted;  /**< the report that was answered last */
	int64_t sent_ms[RENEWAL_REPORTS_KEPT]; /**< of the last reports */
	int64_t next_report_ms;
	int64_t valid_until_ms; /**< of the grant */
	int64_t lease_ms;
	int64_t period_ms;
	int64_t version;
	int64_t calls;
	GHashTable *workers; /**< name to struct delegated_worker */
};

struct renewal_delegate *renewal_delegate_new(const char *pool);
void renewal_delegate_free(struct renewal_delegate *d);

/** Takes note of a pool's holder; one of an older epoch is ignored. */
void renewal_delegate_on_holder(struct renewal_delegate *d, const char *node,
				int64_t epoch);

/** Gives up the share and its holder: a newer epoch was met or is ours. */
void renewal_delegate_drop(struct renewal_delegate *d);

/**
 * Fills the report that is due.
 *
 * @param report	initialised
 * @return		FALSE when none is due
 */
gboolean renewal_delegate_report(struct renewal_delegate *d, int64_t now_ms,
				 struct renewal_report *report);

/** Takes the holder's answer to a report. */
void renewal_delegate_on_grant(struct renewal_delegate *d, const char *from,
			       const struct renewal_grant *g, int64_t now_ms);

/** Returns a worker to call now, marked as called, or NULL. */
const struct delegated_worker *renewal_delegate_next(struct renewal_delegate *d,
						     int64_t now_ms);

/** Returns when the next call or report is due. */
int64_t renewal_delegate_due_ms(const struct renewal_delegate *d);

/** Takes a worker's answer, with its report when it answered. */
void renewal_delegate_on_answer(struct renewal_delegate *d, const char *worker,
				int64_t call_id, enum worker_answer answer,
				const struct worker_report *report,
				int64_t now_ms);

#endif
