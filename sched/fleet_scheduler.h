/**
 * @file
 * Decides which task runs on which worker, for one pool in one epoch. It makes
 * no calls itself: store rows, worker reports and the time are passed in, and
 * orders go out through ports.
 *
 * Which tasks run is known from the workers' reports. An order without an
 * answer may still take effect later; its task counts as running on the worker
 * until the worker confirms a stop of that run or the lease has certainly
 * expired.
 */
#ifndef SCHED_FLEET_SCHEDULER_H
#define SCHED_FLEET_SCHEDULER_H

#include "sched/fleet.h"
#include "sched/fleet_config.h"
#include "sched/job_progress.h"
#include "sched/run_times.h"

/** Limits taken from the settings. */
struct fleet_bounds {
	int64_t lease_ms; /**< longest lease that workers grant */
	/**
	 * Limit of the time in which a plan places tasks, 0 for none. What it
	 * has not tried by then comes first in the next plan.
	 */
	int64_t plan_us;
};

/** Outgoing orders. */
struct fleet_ports {
	/** Sends a start; fleet_scheduler_start_answered() receives the answer.
	 */
	void (*start)(void *data, struct fleet_worker *w,
		      const struct start_order *order);
	/** Sends a stop; fleet_scheduler_stop_answered() receives the answer.
	 */
	void (*stop)(void *data, struct fleet_worker *w, const char *task,
		     int64_t run);
	void *data;
	/** Returns the present time, for fleet_bounds::plan_us; or NULL. */
	int64_t (*clock_us)(void *data);
};

/** What a plan has done; reset by each. */
struct fleet_plan_stats {
	guint units_tried;
	guint units_postponed; /**< not tried before the time was over */
	guint jobs_postponed;  /**< not even looked at */
};

struct fleet_scheduler {
	struct fleet fleet;
	const struct fleet_config *config; /**< not owned; may be NULL */
	struct fleet_bounds bounds;
	struct fleet_ports ports;
	struct run_times *run_times;
	/** Recent peak of the urgent jobs' accelerators; decays over time. */
	double urgent_peak;
	int64_t urgent_peak_ms; /**< when it was last updated */
	struct fleet_plan_stats plan;
	/**
	 * Number of the pass over all units, which takes several plans if one
	 * would take too long. A unit that found no workers is not tried again
	 * in the same pass, so that the others come up.
	 */
	uint64_t pass;
	uint64_t round;	       /**< number of the plan */
	gboolean is_pass_open; /**< the last plan was too short for the pass */
	int64_t epoch;
	int64_t runs; /**< number of runs started in this epoch */
	/**
	 * Until then a task that no worker has listed may run on a worker that
	 * has not answered in this epoch.
	 */
	int64_t unknown_runs_until_ms;
	int64_t resumed_ms; /**< until then nothing is planned after a pause */
	/**
	 * The tables are being read at a takeover. What they hold isn't logged
	 * line by line: that would delay the first start and use up the limit
	 * of lines when the first decisions are logged.
	 */
	gboolean is_reading;
	gboolean has_workers; /**< a registration has been received */
	/** Some workers that the store records as in use are not registered. */
	gboolean has_unregistered_workers;
};

void fleet_scheduler_init(struct fleet_scheduler *s,
			  const struct fleet_bounds *bounds,
			  const struct fleet_ports *ports);
void fleet_scheduler_clear(struct fleet_scheduler *s);

/**
 * Drops all jobs and workers and begins an epoch.
 *
 * @param unknown_runs_until_ms	when the leases of earlier epochs have expired
 */
void fleet_scheduler_begin(struct fleet_scheduler *s, int64_t epoch,
			   int64_t unknown_runs_until_ms);

/**
 * Adds an accepted job from its row; does nothing if it is known.
 *
 * @param store_ms	current time on the store's clock
 */
void fleet_scheduler_add_job(struct fleet_scheduler *s, const char *id,
			     json_object *row, int64_t version,
			     int64_t store_ms, int64_t now_ms);

/** Merges a progress row of a job; rows that are not newer are ignored. */
void fleet_scheduler_merge_progress(struct fleet_scheduler *s, const char *id,
				    json_object *row, int64_t version);

/** Cancels a job; does nothing if it is unknown or has ended. */
void fleet_scheduler_cancel(struct fleet_scheduler *s, const char *id,
			    int64_t now_ms);

/**
 * Applies a change of a worker's registration.
 *
 * @param reg	new registration, whose contents are moved out; NULL if removed,
 *		or if it can't be read, as other writers may leave one
 */
void fleet_scheduler_update_worker(struct fleet_scheduler *s, const char *id,
				   struct worker_registration *reg,
				   int64_t now_ms);

/**
 * Applies a worker's report of its running and ended runs.
 *
 * @param asked_ms	when the request for the report was sent
 */
void fleet_scheduler_apply_report(struct fleet_scheduler *s,
				  struct fleet_worker *w,
				  const struct run_report *report,
				  int64_t asked_ms, int64_t now_ms);

enum order_outcome {
	ORDER_DONE,
	ORDER_REFUSED,	 /**< certainly had no effect */
	ORDER_NO_ANSWER, /**< may have had an effect, or have one later */
};

/** Applies the outcome of a start order. */
void fleet_scheduler_start_answered(struct fleet_scheduler *s,
				    const char *worker, const char *task,
				    int64_t run, enum order_outcome outcome,
				    enum order_refusal refusal, int64_t now_ms);

/** Applies the outcome of a stop order. */
void fleet_scheduler_stop_answered(struct fleet_scheduler *s,
				   const char *worker, const char *task,
				   int64_t run, enum order_outcome outcome,
				   int64_t now_ms);

/**
 * Tells that the process has stood still until now. Nothing is planned for a
 * moment: leases and waits have run out meanwhile, and tasks that are done
 * would be taken for lost before the reports that have arrived were read.
 */
void fleet_scheduler_resume(struct fleet_scheduler *s, int64_t now_ms);

/** Sends all orders that are due. */
void fleet_scheduler_plan(struct fleet_scheduler *s, int64_t now_ms);

/** Returns the configured route of a job, or NULL. */
const struct queue_route *fleet_scheduler_route(const struct fleet_scheduler *s,
						const struct fleet_job *job);

/**
 * Returns TRUE if a worker without registration can have no running task any
 * more. NULL stands for a worker that was never seen registered.
 */
gboolean fleet_worker_has_no_runs(const struct fleet_scheduler *s,
				  const struct fleet_worker *w, int64_t now_ms);

/**
 * Returns the lease end to order, on the worker's clock, and extends the
 * worker's lease_bound_ms accordingly.
 */
int64_t fleet_scheduler_lease_end(const struct fleet_scheduler *s,
				  struct fleet_worker *w, int64_t now_ms);

/**
 * Like fleet_scheduler_lease_end(), for a renewal; 0 to ask for a report
 * without renewing: the worker's clock is not known, or it has deregistered and
 * doesn't answer.
 */
int64_t fleet_scheduler_renewal_end(const struct fleet_scheduler *s,
				    struct fleet_worker *w, int64_t now_ms);

#endif
