/**
 * @file
 * Seeded workloads for bench_jobs: pools in the sizes that users have or plan,
 * their guarantees and the jobs that arrive.
 */
#ifndef BENCH_SIM_JOB_TRACE_H
#define BENCH_SIM_JOB_TRACE_H

#include <glib.h>
#include <stdint.h>

#include "config/config_doc.h"
#include "job/pool.h"

#define TRACE_POOL "salkhi.tov-a"
#define MINUTE_MS (INT64_C(60) * 1000)
#define HOUR_MS (60 * MINUTE_MS)

/** A pool and what arrives in it. */
struct workload {
	const char *name;
	guint accelerator_workers; /**< with 8 accelerators each */
	guint plain_workers;	   /**< without */
	int64_t cores;		   /**< of each worker */
	int64_t memory_mb;	   /**< of each worker */
	guint accounts;
	guint seeds;
	guint copies; /**< of each account's guaranteed shapes */
	guint jobs;
	double load; /**< offered work by capacity of the scarcer resource */
	double median_run_ms;
	gboolean is_letter; /**< the letter's mix of shapes, else the brief's */
	gboolean has_rack_loss;
	gboolean has_cancel_waves;
	gboolean has_bad_workers;
	double burst_small; /**< part of the small jobs that come in bursts */
	double burst_large; /**< part of the large jobs that come in bursts */
};

struct trace_job {
	struct pool_job job; /**< strings owned */
	int64_t arrival_ms;
	int64_t run_ms;	       /**< true run time */
	gboolean fails;	       /**< wherever it runs */
	gboolean is_wave;      /**< cancelled in a wave */
	gboolean is_guarantee; /**< has exactly a guaranteed shape */
};

struct trace {
	const struct workload *workload;
	struct config_doc doc;
	GArray *jobs;	    /**< of struct trace_job, by arrival */
	int64_t horizon_ms; /**< of arrivals */
};

/** Makes the trace of a workload that follows from a seed. */
void trace_init(struct trace *t, const struct workload *w, guint seed);
void trace_clear(struct trace *t);

#endif
