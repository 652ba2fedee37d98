/**
 * @file
 * Simulates a job trace in virtual time with the real pool, job queue,
 * placement policy and worker health. Only the workers and the clock are
 * simulated.
 */
#ifndef BENCH_SIM_JOB_SIM_H
#define BENCH_SIM_JOB_SIM_H

#include "bench/sim/event_queue.h"
#include "bench/sim/job_trace.h"
#include "job/job_queue.h"
#include "job/pool_state.h"
#include "job/worker_health.h"

enum sim_state { SIM_NEW, SIM_WAITING, SIM_STARTING, SIM_RUNNING, SIM_ENDED };

struct sim_job {
	const struct trace_job *trace;
	enum sim_state state;
	gboolean is_stopping;
	guint attempt;
	guint stops;	  /* times preempted */
	guint migrations; /* of these, for jobs neither urgent nor guaranteed */
	guint blockers;	  /* preempted jobs that must stop before it starts */
	int64_t remaining_ms;
	int64_t started_ms;
	int64_t first_start_ms;	  /* -1 if not started yet */
	int64_t end_ms;		  /* -1 if not ended successfully */
	gboolean has_start_bound; /* must start within START_BOUND_MS, as its
				     guarantee was idle on arrival */
	gboolean was_disrupted; /* by a worker loss, a failure or a cancellation
				 */
	char *failing_worker;	/* of its last failed attempt; owned */
	GArray *waiters; /* of struct waiter: jobs that start after it stops */
};

struct sim_stats {
	/* Sums over the samples of shares of the usable accelerators. */
	double free_sum;
	double stranded_sum;	 /* free but unable to host waiting jobs */
	double waiting_free_sum; /* free while jobs with accelerators wait */
	double used_sum;
	guint samples;
	int64_t lost_ms; /* accelerator time lost to preemption */
	guint64 preempted;
	guint max_stops;	      /* maximum of sim_job.stops */
	guint max_migrations;	      /* maximum of sim_job.migrations */
	guint64 guarantee_violations; /* bounded starts that were late */
	guint64 invalid_plans;	/* samples with a wrong plan or accounting */
	guint64 bounded_starts; /* first starts of jobs with a start bound */
	guint64 partial_gangs;
	guint64 decisions;
	guint64 visits;	   /* of cells, see pool_visits() */
	int64_t decide_us; /* wall-clock time of all decisions */
	guint refused;	   /* jobs that fit nowhere in the pool */
	guint failed;	   /* jobs given up after failures */
	guint quarantines;
};

struct job_sim {
	const struct trace *trace;
	struct pool *pool;
	struct job_queue *queue;
	struct placement_policy *policy;
	struct worker_health *health;
	struct event_queue events;
	GHashTable *jobs_by_id;	   /* job id to struct sim_job, not owned */
	struct sim_job *sim_jobs;  /* in the order of trace->jobs */
	GHashTable *active_counts; /* active_key() to number of unended jobs */
	gboolean ignores_stops;	   /* the policy sees no earlier stops */
	int64_t now_ms;
	struct sim_stats stats;
};

/** Prepares a simulation of a trace, which must outlive it. */
void job_sim_init(struct job_sim *s, const struct trace *trace,
		  const char *policy);
void job_sim_clear(struct job_sim *s);

/** Runs the simulation until no events are left. */
void job_sim_run(struct job_sim *s);

#endif
