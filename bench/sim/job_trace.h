/**
 * @file
 * Seeded workloads for bench_jobs: pools in the sizes that users have or plan,
 * their guarantees and their arriving jobs.
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

/** A pool and the distribution of its jobs. */
struct workload {
	const char *name;
	guint accelerator_workers; /**< workers with 8 accelerators each */
	guint cpu_workers;	   /**< workers without accelerators */
	int64_t cores;		   /**< per worker */
	int64_t memory_mb;	   /**< per worker */
	guint accounts;
	guint seeds;		/**< number of traces */
	guint guarantee_copies; /**< guarantees per account for each shape */
	guint jobs;
	double load; /**< offered work / capacity of the scarcer resource */
	double median_run_ms;
	gboolean has_cpu_gangs; /**< planned job mix, else that of today */
	gboolean has_rack_loss;
	gboolean has_cancel_waves;
	gboolean has_bad_workers;
	double small_burst_share; /**< share of small jobs that arrive in bursts
				   */
	double large_burst_share; /**< share of large jobs that arrive in bursts
				   */
};

struct trace_job {
	struct pool_job job; /**< owns its strings */
	int64_t arrival_ms;
	int64_t run_ms;		       /**< actual run time */
	gboolean fails;		       /**< on any worker */
	gboolean in_cancel_wave;       /**< cancelled by a cancel wave */
	gboolean has_guaranteed_shape; /**< of a guarantee of its account */
};

struct trace {
	const struct workload *workload;
	struct config_doc doc;
	GArray *jobs;	    /**< of struct trace_job, ordered by arrival */
	int64_t horizon_ms; /**< period in which the jobs arrive */
};

/** Generates the trace of a workload, which depends only on the seed. */
void trace_init(struct trace *t, const struct workload *w, guint seed);
void trace_clear(struct trace *t);

#endif
