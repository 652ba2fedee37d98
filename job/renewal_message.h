/**
 * @file
 * Messages between a pool's holder and its delegates. A delegate renews the
 * leases of a share of the workers under the holder's epoch; it makes no
 * decisions and sends no commands.
 */
#ifndef JOB_RENEWAL_MESSAGE_H
#define JOB_RENEWAL_MESSAGE_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

/** Period of a delegate's reports. */
#define RENEWAL_REPORT_MS INT64_C(1000)
/** Lifetime of a grant, counted from the sending of the report it answers. */
#define RENEWAL_GRANT_MS INT64_C(3000)
/** Time without a report after which a delegate's share is revoked. */
#define RENEWAL_DELEGATE_TIMEOUT_MS INT64_C(3000)
/** Time over which a delegate spreads the first calls to new workers. */
#define RENEWAL_SPREAD_MS INT64_C(3000)
/** How long the holder renews a worker that its delegate couldn't reach. */
#define RENEWAL_RESHARE_DELAY_MS INT64_C(10000)

/** A worker whose report differs from the one that the holder has. */
struct renewal_change {
	char *worker;
	int64_t digest; /**< worker_report_digest() of the new report */
};

/** From a delegate: workers that the holder must call itself. */
struct renewal_report {
	char *pool;
	int64_t epoch;
	int64_t sequence;
	int64_t version;   /**< version of the delegate's current share */
	GPtrArray *failed; /**< of char *, workers whose last call failed */
	GArray *changes;   /**< of struct renewal_change */
};

struct renewal_worker {
	char *worker;
	char *address;
	int64_t digest; /**< digest of the report that the holder has */
};

/** From the holder, in answer to a report: the delegate's share. */
struct renewal_grant {
	char *pool;
	int64_t epoch;
	int64_t sequence;    /**< number of the answered report */
	int64_t life_ms;     /**< lifetime of the grant */
	int64_t lease_ms;    /**< lease for renewed tasks */
	int64_t period_ms;   /**< between two renewals of a worker */
	int64_t version;     /**< version of the share */
	int64_t has_workers; /**< 0: the delegate's share is current */
	GArray *workers;     /**< of struct renewal_worker */
};

extern const struct schema renewal_report_schema;
extern const struct schema renewal_grant_schema;

/** Allocates the arrays of a zeroed struct. */
void renewal_report_init(struct renewal_report *r);
void renewal_report_clear(struct renewal_report *r);
void renewal_grant_init(struct renewal_grant *g);
void renewal_grant_clear(struct renewal_grant *g);

/** Removes the workers from a grant, as the delegate's share is current. */
void renewal_grant_clear_workers(struct renewal_grant *g);

#endif
