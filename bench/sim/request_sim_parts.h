/**
 * @file
 * What the parts of request_sim know of each other: callers' wishes, entry
 * processes, runners and events.
 */
#ifndef BENCH_SIM_REQUEST_SIM_PARTS_H
#define BENCH_SIM_REQUEST_SIM_PARTS_H

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
#define REFRESH_TICKS 10
/* One way between caller and entry VM, and entry VM and endpoint. */
#define CALLER_US (3 * US_PER_MILLI)
#define ENDPOINT_US INT64_C(200)
#define SPOT_RUN_MS 100.0
#define BULK_RUN_MS 2000.0
#define RUN_SIGMA 0.5
#define SPOT_DEADLINE_US US_PER_S
#define BULK_DEADLINE_US (60 * US_PER_S)
#define QUEUED_REQUESTS 200
#define CALLER_RETRIES 2
#define CALLER_BACKOFF_US (200 * US_PER_MILLI)
#define SLOW_FACTOR 10
#define MAX_OUT 2

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

/* What a caller wants once, however often it sends it. */
struct wish {
	guint refs;
	guint account;
	guint runs;
	gboolean is_repeatable;
	gboolean is_done;
	gboolean is_measured;
};

/* One that is sent and not answered. */
struct attempt {
	struct endpoint *endpoint; /* NULL when it is over */
	guint flight;
	int64_t sent_us;
	gboolean is_overdue;
};

struct sim_request {
	struct admission_item item; /* first */
	struct gateway *gateway;
	struct wish *wish;
	guint refs;
	guint tries; /* of the caller */
	uint32_t attempts;
	guint flight; /* number of the last attempt */
	struct attempt out[MAX_OUT];
	gboolean is_counted;
	gboolean is_answered;
	int64_t start_us; /* when the caller sent it */
	int64_t run_us;
	struct routing_query query;
};

enum event_kind {
	EVENT_GENERATE,
	EVENT_ARRIVE,
	EVENT_AT_RUNNER,
	EVENT_RUN_END,
	EVENT_REPLY,
	EVENT_TIMEOUT,
	EVENT_NO_PROGRESS,
	EVENT_TICK,
};

struct request_event {
	struct queued_event base; /* time in us */
	enum event_kind kind;
	struct sim_request *request;
	struct gateway *gateway;
	guint flight;
	gboolean is_busy;
	uint32_t slots_busy;
	struct endpoint *endpoint;
};

int64_t request_sim_now_ms(const struct request_sim *m);

/** Adds an event; the request, if any, is referenced until it has happened. */
struct request_event *request_sim_push(struct request_sim *m, int64_t delay_us,
				       enum event_kind kind,
				       struct sim_request *r);
void sim_request_unref(struct sim_request *r);

/* Callers. */

/** Sends a wish to an entry process, as its try of a number. */
void request_sim_send_from_caller(struct request_sim *m, struct wish *w,
				  enum request_class class, int64_t run_us,
				  guint tries, int64_t delay_us);

/** Starts a wish and, while the scenario lasts, the next one after it. */
void request_sim_generate(struct request_sim *m);

/** Counts an answer that came to its caller. */
void request_sim_record_done(struct request_sim *m, struct sim_request *r);

/* Entry processes. */

/** Returns the number of attempts under way. */
guint sim_request_count_out(const struct sim_request *r);

/** Returns the place of an attempt, or of a free one for flight 0. */
struct attempt *sim_request_find_out(struct sim_request *r, guint flight);
void request_sim_end_attempt(struct request_sim *m, struct sim_request *r,
			     struct attempt *a, enum outlier_event event);
void request_sim_answer(struct request_sim *m, struct sim_request *r,
			enum answer_kind kind);

/** Answers requests that were late, and empties the list. */
void request_sim_answer_late(struct request_sim *m, GPtrArray *late);

/** Sends an attempt; FALSE when no endpoint may be chosen. */
gboolean request_sim_try_send(struct request_sim *m, struct sim_request *r);

/** Sends what waits while endpoints are open. */
void request_sim_pump(struct request_sim *m, struct gateway *g);

/** Lets an event happen. */
void request_sim_handle(struct request_sim *m, const struct request_event *e);

#endif
