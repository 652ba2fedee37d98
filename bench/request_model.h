/**
 * @file
 * What the bench of requests is made of: scenarios, callers' wishes, entry
 * processes, runners and the queue of events. Included by one program only.
 */
#ifndef BENCH_REQUEST_MODEL_H
#define BENCH_REQUEST_MODEL_H

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "bench/sim/event_queue.h"
#include "request/admission.h"
#include "request/endpoint_table.h"
#include "request/outlier.h"
#include "request/retry_budget.h"
#include "request/routing/routing.h"

#define US_PER_S INT64_C(1000000)
#define US_PER_MILLI INT64_C(1000)
#define SEED 20
#define ACCOUNTS 4
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
#define MAX_BUCKETS 120
#define MAX_OUT 2

struct scenario {
	const char *name;
	const char *policy;
	gboolean has_no_limits;
	guint gateways;
	guint runners;
	guint slow_runners;
	double load;	   /* of all slots */
	double bulk_load;  /* part of the load that is bulk */
	double burst_load; /* between the two times */
	int64_t burst_from_s;
	int64_t burst_to_s;
	int64_t length_s;
	double large_account; /* load of account 0 over that of the others */
	double lost_answers;  /* share of runs whose answer never comes */
	gboolean has_no_ejection;
	gboolean callers_retry;
};

struct outcome {
	double spot_p50_ms, spot_p99_ms, spot_p999_ms;
	double spot_in_time; /* share of those offered */
	double bulk_done;    /* share of those offered */
	double goodput;	     /* in-time slot time over all slot time */
	double refused;
	double unknown;
	double retried;	      /* sends beyond the first, over first sends */
	double busy;	      /* sends that met no free slot, over all sends */
	double jain;	      /* over the accounts' shares in time */
	double least_account; /* lowest share in time of the small accounts */
	int64_t doubled;
	int64_t lost;
	uint32_t most_connections; /* at one endpoint */
	int64_t recovery_s;	   /* -1 when there was no burst */
	double bulk_goodput;
	double inspections; /* per choice */
};

struct sim;

struct gateway {
	struct sim *sim;
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

struct event {
	struct queued_event base; /* time in us */
	enum event_kind kind;
	struct sim_request *request;
	struct gateway *gateway;
	guint flight;
	gboolean is_busy;
	uint32_t slots_busy;
	struct endpoint *endpoint;
};

struct sim {
	const struct scenario *s;
	struct event_queue events;
	int64_t now_us;
	struct gateway *gateways;
	struct runner *runners;
	gsl_rng *rng;
	GRand *rand;
	GArray *spot_ms;
	/* Counts of wishes that started in the measured time. */
	int64_t offered[REQUEST_CLASS_COUNT];
	int64_t in_time[REQUEST_CLASS_COUNT];
	int64_t account_offered[ACCOUNTS];
	int64_t account_in_time[ACCOUNTS];
	int64_t refused, unknown, answered, started, sends, busy, resends,
		doubled;
	uint64_t choices;
	double in_time_us, bulk_in_time_us;
	double bucket_us[MAX_BUCKETS]; /* in-time slot time by second */
	uint32_t most_connections;
};

static int64_t now_ms(const struct sim *m)
{
	return m->now_us / US_PER_MILLI;
}

static struct event *push(struct sim *m, int64_t delay_us, enum event_kind kind,
			  struct sim_request *r)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->request = r;
	if (r) {
		r->refs++;
		e->flight = r->flight;
	}
	event_queue_add(&m->events, &e->base, m->now_us + delay_us);
	return e;
}

static void wish_unref(struct wish *w)
{
	if (--w->refs == 0)
		g_free(w);
}

static void request_unref(struct sim_request *r)
{
	if (--r->refs > 0)
		return;
	wish_unref(r->wish);
	g_free(r);
}

#endif
