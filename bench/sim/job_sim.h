/**
 * @file
 * Plays a trace in virtual time against the real pool, queue, policy and
 * worker health; only workers and the passing of time are stood in for.
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
	guint stops;
	guint moves;	/* of these, for work without a guarantee or urgency */
	guint blockers; /* jobs that have to stop before it starts */
	int64_t remaining_ms;
	int64_t started_ms;
	int64_t first_start_ms; /* -1 before */
	int64_t end_ms;		/* -1 unless it ended well */
	gboolean is_owed; /* within a guarantee that was idle on arrival */
	gboolean was_hit; /* by a loss, a failure or a cancellation */
	char *worker;	  /* that failed it */
	GArray *waiters;  /* of struct waiter */
};

struct sim_stats {
	double free_sum;     /* free accelerators, by sample */
	double stranded_sum; /* of these, unable to host what waits */
	double waiting_free_sum;
	double used_sum;
	guint samples;
	int64_t lost_ms; /* accelerator time lost by preemption */
	guint64 preempted;
	guint most_stops; /* of one job, for others */
	guint most_moves;
	guint64 violations;
	guint64 broken_plans;
	guint64 owed;
	guint64 partial_gangs;
	guint64 decisions;
	guint64 visits;
	int64_t decide_us;
	guint refused;
	guint failed;
	guint aside;
};

struct job_sim {
	const struct trace *trace;
	struct pool *pool;
	struct job_queue *queue;
	struct placement_policy *policy;
	struct worker_health *health;
	struct event_queue events;
	GHashTable *jobs; /* id to struct sim_job */
	struct sim_job *all;
	GHashTable *active; /* account/shape to number of jobs in the system */
	gboolean forgets_stops; /* the policy is not told of earlier stops */
	int64_t now_ms;
	struct sim_stats stats;
};

/** Prepares a run of a trace with a placement policy. */
void job_sim_init(struct job_sim *s, const struct trace *trace,
		  const char *policy);
void job_sim_clear(struct job_sim *s);

/** Plays all events. */
void job_sim_run(struct job_sim *s);

#endif
