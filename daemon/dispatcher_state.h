/**
 * @file
 * The state of a dispatcher. Private to the files that implement it:
 * dispatcher.c, flight*.c and attempt.c.
 */
#ifndef DAEMON_DISPATCHER_STATE_H
#define DAEMON_DISPATCHER_STATE_H

#include "base/wake_timer.h"
#include "daemon/claims.h"
#include "daemon/dispatcher.h"
#include "daemon/flight.h"
#include "request/admission.h"
#include "request/outlier.h"
#include "request/retry_budget.h"
#include "request/routing/routing.h"

struct dispatcher {
	struct kernel *kernel;
	struct endpoint_table *endpoints;
	struct routing_policy *policy;
	struct outlier_policy outlier;
	struct retry_budget budget;
	struct admission *admission;
	struct claims *claims;
	struct decision_log *decisions;
	GRand *rand;
	GHashTable *flights; /**< set of struct flight, owned */
	GQueue ready;	     /**< of struct flight, in FLIGHT_READY */
	uint32_t claiming;   /**< flights in FLIGHT_WRITING_CLAIM */
	uint32_t gateways;   /**< that share rate limits, at least 1 */
	int64_t config_version;
	gboolean is_pumping; /**< dispatcher_pump() is running */
	struct wake_timer *timer;
	int64_t next_refresh_ms;
	struct counter *answers[3]; /**< by enum answer_kind */
	struct counter *retries;
	struct counter *ejections;
	struct counter *spills;	   /**< to other failure domains */
	struct histogram *latency; /**< from arrival to answer */
};

/** Returns TRUE if an endpoint in any failure domain is not leaving. */
gboolean dispatcher_has_endpoints(const struct dispatcher *d);

/** Passes the number and the occupancy of the slots to admission. */
void dispatcher_set_capacity(struct dispatcher *d);

/** Ends back-offs and ejections whose time is over, and updates the room of
 *  all endpoints at intervals, as their reports become stale. */
void dispatcher_refresh(struct dispatcher *d, int64_t now_ms);

#endif
