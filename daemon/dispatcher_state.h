/**
 * @file
 * The state of a dispatcher, shared by the files that make it up only:
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
	GHashTable *flights; /**< set of struct flight */
	GQueue ready;	     /**< of struct flight */
	uint32_t claiming;
	uint32_t gateways;
	int64_t config_version;
	gboolean is_pumping;
	struct wake_timer *timer;
	int64_t next_refresh_ms;
	struct counter *answers[3];
	struct counter *retries;
	struct counter *ejections;
	struct counter *spills;
	struct histogram *latency;
};

/** Tells whether there is an endpoint that does not leave. */
gboolean dispatcher_has_endpoints(const struct dispatcher *d);

/** Tells admission what slots there are. */
void dispatcher_set_capacity(struct dispatcher *d);

/** Looks again at endpoints whose room depends on the time. */
void dispatcher_refresh(struct dispatcher *d, int64_t now_ms);

#endif
