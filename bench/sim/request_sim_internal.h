/**
 * @file
 * Internal interface between the source files of request_sim: calls, gateways,
 * runners and events. A caller makes a call and sends it as one or more
 * requests; a gateway sends each request to endpoints in one or more attempts.
 */
#ifndef BENCH_SIM_REQUEST_SIM_INTERNAL_H
#define BENCH_SIM_REQUEST_SIM_INTERNAL_H

#include "bench/sim/request_sim.h"
#include "request/admission.h"
#include "request/endpoint_table.h"
#include "request/outlier.h"
#include "request/retry_budget.h"
#include "request/routing/routing.h"

#define US_PER_S INT64_C(1000000)
#define US_PER_MILLI INT64_C(1000)
#define WARM_UP_US (5 * US_PER_S)
#define TICK_US (20 * US_PER_MILLI)
/* Ticks from one refresh of a gateway's endpoint table to the next. */
#define REFRESH_TICKS 10
/* One-way latencies from caller to entry VM and from entry VM to endpoint. */
#define CALLER_LATENCY_US (3 * US_PER_MILLI)
#define ENDPOINT_LATENCY_US INT64_C(200)
#define SPOT_MEAN_RUN_MS 100.0
#define BULK_MEAN_RUN_MS 2000.0
/* Sigma of the log-normal distribution of run times. */
#define RUN_SIGMA 0.5
#define SPOT_DEADLINE_US US_PER_S
#define BULK_DEADLINE_US (60 * US_PER_S)
#define QUEUED_REQUESTS 200 /* queue limit per account */
#define CALLER_RETRIES 2
#define CALLER_BACKOFF_US (200 * US_PER_MILLI)
#define SLOW_FACTOR 10 /* run time on a slow runner / nominal run time */
#define MAX_CONCURRENT_ATTEMPTS 2

struct gateway {
	struct request_sim *sim;
	struct endpoint_table *table;
	struct routing_policy *policy;
	struct admission *admission;
	struct outlier_policy outlier;
	struct retry_budget budget;
	guint ticks;
};

struct runner {
	uint32_t busy;
	uint32_t connections;
	gboolean is_slow;
};

/* A logical request of a caller; all its retries share it. */
struct sim_call {
	guint refs;
	guint account;
	guint runs; /* starts at any runner */
	gboolean is_repeatable;
	gboolean is_done;     /* answered in time */
	gboolean is_measured; /* started after the warm-up */
};

/* A request sent to an endpoint. */
struct sim_attempt {
	struct endpoint *endpoint; /* NULL if the entry is unused */
	guint number;		   /* from 1, within its request */
	int64_t sent_us;
	gboolean is_overdue; /* hedged or timed out: counts as failed */
};

/* One send of a call from its caller to a gateway. */
struct sim_request {
	struct admission_item item; /* must be first */
	struct gateway *gateway;
	struct sim_call *call;
	guint refs;
	guint retries;	    /* sends of the call before this one */
	uint32_t attempts;  /* except those that met no free slot */
	guint last_attempt; /* number of the latest attempt */
	struct sim_attempt in_flight[MAX_CONCURRENT_ATTEMPTS];
	gboolean is_admitted; /* counted in flight by admission */
	gboolean is_answered;
	int64_t start_us; /* sent by the caller */
	int64_t run_us;	  /* nominal run time */
	struct routing_query query;
};

enum event_kind {
	EVENT_GENERATE,
	EVENT_ARRIVE,
	EVENT_AT_RUNNER, /* an attempt reaches its runner */
	EVENT_RUN_END,
	EVENT_REPLY,
	EVENT_TIMEOUT,
	EVENT_HEDGE, /* no answer yet: send a further attempt */
	EVENT_TICK,
};

struct request_event {
	struct queued_event base; /* time in us */
	enum event_kind kind;
	struct sim_request *request;
	struct gateway *gateway;
	guint attempt_number;
	gboolean is_busy;    /* refused: no free slot */
	uint32_t slots_busy; /* as reported by the runner */
	struct endpoint *endpoint;
};

int64_t request_sim_now_ms(const struct request_sim *m);

/**
 * Schedules an event and returns it. The event holds a reference to the
 * request, if any.
 */
struct request_event *request_sim_schedule(struct request_sim *m,
					   int64_t delay_us,
					   enum event_kind kind,
					   struct sim_request *r);
void sim_request_unref(struct sim_request *r);

/* Callers. */

/**
 * Sends a call to a random gateway.
 *
 * @param retries	sends of the call before this one
 */
void request_sim_send_from_caller(struct request_sim *m, struct sim_call *c,
				  enum request_class class, int64_t run_us,
				  guint retries, int64_t delay_us);

/** Makes a new call and schedules the next one until the scenario ends. */
void request_sim_generate(struct request_sim *m);

/** Counts a successful answer, if it reaches its caller in time. */
void request_sim_record_done(struct request_sim *m, struct sim_request *r);

/* Gateways. */

/** Returns the number of attempts in flight. */
guint sim_request_count_in_flight(const struct sim_request *r);

/**
 * Returns the attempt in flight with a number, or an unused entry if the number
 * is 0; NULL if there is none.
 */
struct sim_attempt *sim_request_find_attempt(struct sim_request *r,
					     guint number);

/** Reports an ended attempt to outlier detection and frees its entry. */
void request_sim_end_attempt(struct request_sim *m, struct sim_request *r,
			     struct sim_attempt *a, enum outlier_event event);

/**
 * Answers the caller, who may send the call again, and drops the gateway's
 * reference to the request.
 */
void request_sim_answer(struct request_sim *m, struct sim_request *r,
			enum answer_kind kind);

/** Answers expired requests as not run and empties the list. */
void request_sim_answer_expired(struct request_sim *m, GPtrArray *expired);

/** Sends an attempt; returns FALSE if no endpoint is available. */
gboolean request_sim_try_send(struct request_sim *m, struct sim_request *r);

/** Sends queued requests while endpoints have free slots. */
void request_sim_dispatch_queued(struct request_sim *m, struct gateway *g);

/** Handles an event. */
void request_sim_handle(struct request_sim *m, const struct request_event *e);

#endif
