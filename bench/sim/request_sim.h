/**
 * @file
 * Plays a scenario in seeded virtual time against the real decision modules of
 * requests.
 */
#ifndef BENCH_SIM_REQUEST_SIM_H
#define BENCH_SIM_REQUEST_SIM_H

#include <glib.h>
#include <gsl/gsl_rng.h>

#include "bench/sim/event_queue.h"
#include "request/endpoint_table.h"
#include "request/request.h"

#define SEED 20
#define ACCOUNTS 4
#define MAX_BUCKETS 120

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

struct request_outcome {
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

struct gateway;
struct runner;

struct request_sim {
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

void request_sim_init(struct request_sim *m, const struct scenario *s);
void request_sim_clear(struct request_sim *m);

/** Lists runners in a table, named by their number. */
void request_sim_list_runners(struct endpoint_table *t, guint count);

/** Plays all events. */
void request_sim_run(struct request_sim *m);

/** Sums up a scenario that has been played. */
void request_sim_measure(const struct request_sim *m,
			 struct request_outcome *o);

#endif
