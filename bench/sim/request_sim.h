/**
 * @file
 * Simulates requests in seeded virtual time with the real modules for routing,
 * admission, outlier detection and retries.
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
#define MAX_MEASURED_SECONDS 120

struct scenario {
	const char *name;
	const char *policy;
	gboolean has_no_limits; /* plain FIFO: no timeouts, no hedging, no
				   limits of admission */
	guint gateways;
	guint runners;
	guint slow_runners;
	double load;	   /* offered load / capacity of all slots */
	double bulk_load;  /* share of bulk requests in the load */
	double burst_load; /* load from burst_from_s to burst_to_s */
	int64_t burst_from_s;
	int64_t burst_to_s; /* 0 if there is no burst */
	int64_t length_s;
	double large_account_ratio; /* load of account 0 / another's; 0 means 1
				     */
	double lost_answer_share;   /* share of runs whose answer is lost */
	gboolean has_no_ejection;
	gboolean callers_retry;
};

/** Figures of a simulated scenario. */
struct request_outcome {
	double spot_p50_ms, spot_p99_ms, spot_p999_ms;
	double spot_in_time; /* spot calls answered in time / offered */
	double bulk_done;    /* bulk calls answered in time / offered */
	double goodput;	     /* run time of in-time requests / slot time */
	double refused;	     /* requests answered as not run / all requests */
	double unknown;	     /* calls with unknown outcome / calls offered */
	double retried;	     /* further attempts / first attempts */
	double busy;	     /* attempts that met no free slot / all attempts */
	double jain_index;   /* Jain's index of the accounts' in-time shares */
	double min_account_in_time; /* lowest in-time share of accounts 1 and up
				     */
	int64_t duplicate_runs; /* repeated runs of calls that aren't repeatable
				 */
	int64_t unanswered;	/* requests without an answer */
	uint32_t max_connections; /* at one endpoint */
	int64_t recovery_s;	  /* -1 if there was no burst */
	double bulk_goodput; /* run time of in-time bulk requests / slot time */
	double inspections;  /* of endpoints, per routing choice */
};

struct gateway;
struct runner;

struct request_sim {
	const struct scenario *scenario;
	struct event_queue events;
	int64_t now_us;
	struct gateway *gateways;
	struct runner *runners;
	gsl_rng *rng; /* for the workload */
	GRand *rand;  /* for routing */
	GArray *spot_latencies_ms;
	/* Numbers of calls that started after the warm-up. */
	int64_t offered[REQUEST_CLASS_COUNT];
	int64_t in_time[REQUEST_CLASS_COUNT];
	int64_t account_offered[ACCOUNTS];
	int64_t account_in_time[ACCOUNTS];
	/* Of these, only refused and unknown are limited to such calls. */
	int64_t refused, unknown, answered, started, sends, busy, resends,
		duplicate_runs;
	uint64_t choices; /* of an endpoint */
	/* Run time of requests that were answered in time. */
	double in_time_run_us, bulk_in_time_run_us;
	double run_us_by_second[MAX_MEASURED_SECONDS];
	uint32_t max_connections;
};

/** Prepares a simulation of a scenario, which must outlive it. */
void request_sim_init(struct request_sim *m, const struct scenario *s);
void request_sim_clear(struct request_sim *m);

/** Lists runners 0 to @count - 1 in a table, with their numbers as names. */
void request_sim_list_runners(struct endpoint_table *t, guint count);

/** Runs the simulation until no events are left. */
void request_sim_run(struct request_sim *m);

/** Computes the figures of a finished simulation. */
void request_sim_measure(const struct request_sim *m,
			 struct request_outcome *o);

#endif
