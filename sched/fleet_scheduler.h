/**
 * @file
 * Decides which task runs where. Pure: rows, workers' reports and the time go
 * in, orders come out through ports. It holds one pool under one epoch.
 *
 * What runs is known from the workers' own lists. An order without an answer
 * may still take effect later; its task is counted as running there until the
 * worker has confirmed a stop of that run, or the lease has surely ended.
 */
#ifndef SCHED_FLEET_SCHEDULER_H
#define SCHED_FLEET_SCHEDULER_H

#include "sched/fleet.h"
#include "sched/fleet_config.h"
#include "sched/job_progress.h"
#include "sched/run_times.h"

/** Bounds of the deployment, from the settings. */
struct fleet_bounds {
	int64_t lease_ms; /**< longest that a worker grants */
};

struct fleet_ports {
	/** Sends an order; its answer comes back as fleet_scheduler_started().
	 */
	void (*start)(void *data, struct fleet_worker *w,
		      const struct start_order *order);
	/** Sends a stop; see fleet_scheduler_stopped(). */
	void (*stop)(void *data, struct fleet_worker *w, const char *task,
		     int64_t run);
	void *data;
};

struct fleet_scheduler {
	struct fleet fleet;
	const struct fleet_config *config; /**< not owned; may be NULL */
	struct fleet_bounds bounds;
	struct fleet_ports ports;
	struct run_times *run_times;
	/** Accelerators that urgent jobs have needed of late, at most. */
	double urgent_peak;
	int64_t urgent_peak_ms; /**< when it was last updated */
	int64_t epoch;
	int64_t runs; /**< started under this epoch */
	/**
	 * Until then a task that no worker lists may run on one that hasn't
	 * answered under this epoch.
	 */
	int64_t unseen_until_ms;
	gboolean has_workers; /**< registrations have been read */
	/** Some that the store says are in use are not registered. */
	gboolean unregistered_workers;
};

void fleet_scheduler_init(struct fleet_scheduler *s,
			  const struct fleet_bounds *bounds,
			  const struct fleet_ports *ports);
void fleet_scheduler_clear(struct fleet_scheduler *s);

/** Forgets everything and begins an epoch. */
void fleet_scheduler_begin(struct fleet_scheduler *s, int64_t epoch,
			   int64_t unseen_until_ms);

/** Takes an accepted job; @age_ms since its acceptance. */
void fleet_scheduler_job(struct fleet_scheduler *s, const char *id,
			 json_object *row, int64_t version, int64_t store_ms,
			 int64_t now_ms);

/** Takes a row of progress that another scheduler wrote. */
void fleet_scheduler_progress(struct fleet_scheduler *s, const char *id,
			      json_object *row, int64_t version);

void fleet_scheduler_cancel(struct fleet_scheduler *s, const char *id,
			    int64_t now_ms);

/** Takes a registration, which is taken over; NULL when it was removed. */
void fleet_scheduler_worker(struct fleet_scheduler *s, const char *id,
			    struct worker_registration *reg, int64_t now_ms);

/**
 * Takes a worker's lists.
 *
 * @param asked_ms	when the call was sent
 */
void fleet_scheduler_report(struct fleet_scheduler *s, struct fleet_worker *w,
			    const struct run_report *report, int64_t asked_ms,
			    int64_t now_ms);

enum order_outcome {
	ORDER_DONE,
	ORDER_REFUSED,	 /**< certainly had no effect */
	ORDER_NO_ANSWER, /**< may have an effect, also later */
};

void fleet_scheduler_started(struct fleet_scheduler *s, const char *worker,
			     const char *task, int64_t run,
			     enum order_outcome outcome,
			     enum order_refusal refusal, int64_t now_ms);

/** @param asked_ms	when the stop was sent */
void fleet_scheduler_stopped(struct fleet_scheduler *s, const char *worker,
			     const char *task, int64_t run,
			     enum order_outcome outcome, int64_t now_ms);

/** Gives out all orders that are due. */
void fleet_scheduler_plan(struct fleet_scheduler *s, int64_t now_ms);

/** Returns the route of a job in the configuration, or NULL. */
const struct queue_route *fleet_scheduler_route(const struct fleet_scheduler *s,
						const struct fleet_job *job);

/**
 * Tells whether certainly nothing runs on a worker any more that has lost its
 * registration; NULL stands for one that has never been seen registered.
 */
gboolean fleet_worker_is_over(const struct fleet_scheduler *s,
			      const struct fleet_worker *w, int64_t now_ms);

/** Returns the lease end to order, on the worker's clock. */
int64_t fleet_scheduler_lease_end(const struct fleet_scheduler *s,
				  struct fleet_worker *w, int64_t now_ms);

#endif
