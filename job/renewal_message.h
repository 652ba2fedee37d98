/**
 * @file
 * What a pool's holder and its delegates tell each other. A delegate renews
 * the leases of a share of the workers under the holder's epoch; it decides
 * nothing and sends no command.
 */
#ifndef JOB_RENEWAL_MESSAGE_H
#define JOB_RENEWAL_MESSAGE_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

/** From one report of a delegate to the next. */
#define RENEWAL_REPORT_MS INT64_C(1000)
/** Life of a grant, from when the report was sent that it answers. */
#define RENEWAL_GRANT_MS INT64_C(3000)
/** Silence after which a delegate's share is taken back. */
#define RENEWAL_SILENCE_MS INT64_C(3000)
/** In which a delegate calls all workers that are new in its share. */
#define RENEWAL_SPREAD_MS INT64_C(3000)
/** For which the holder keeps a worker that a delegate could not reach. */
#define RENEWAL_KEEP_MS INT64_C(10000)

/** A worker that reports other tasks than the holder has seen. */
struct renewal_change {
	char *worker;
	int64_t digest; /**< by worker_report_digest() */
};

/** From a delegate: what the holder has to look at itself. */
struct renewal_report {
	char *pool;
	int64_t epoch;
	int64_t sequence;
	int64_t version;   /**< of the share that the delegate has */
	GPtrArray *failed; /**< of char *, workers that did not answer */
	GArray *changes;   /**< of struct renewal_change */
};

struct renewal_worker {
	char *worker;
	char *address;
	int64_t digest; /**< of the report that the holder has */
};

/** From the holder, in answer to a report: the delegate's share. */
struct renewal_grant {
	char *pool;
	int64_t epoch;
	int64_t sequence; /**< of the report */
	int64_t life_ms;
	int64_t lease_ms;  /**< to give the tasks */
	int64_t period_ms; /**< from one renewal to the next */
	int64_t version;
	int64_t has_workers; /**< else the share is as the delegate has it */
	GArray *workers;     /**< of struct renewal_worker */
};

extern const struct schema renewal_report_schema;
extern const struct schema renewal_grant_schema;

/** Prepares a zeroed struct to be filled. */
void renewal_report_init(struct renewal_report *r);
void renewal_report_clear(struct renewal_report *r);
void renewal_grant_init(struct renewal_grant *g);
void renewal_grant_clear(struct renewal_grant *g);

/** Takes the workers out of a grant that the delegate has already. */
void renewal_grant_forget_workers(struct renewal_grant *g);

#endif
