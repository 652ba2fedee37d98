/**
 * @file
 * HTTP calls to workers: orders to start and stop tasks, and lease renewals,
 * whose answers list the worker's tasks. In a large pool other VMs make the
 * calls, see entry/delegate.h.
 */
#ifndef ENTRY_WORKER_CALLS_H
#define ENTRY_WORKER_CALLS_H

#include "base/counters.h"
#include "sched/fleet_scheduler.h"
#include "store/platform.h"

/**
 * Connections of one process to a worker. A worker accepts 64 from all
 * processes together; orders come in bursts.
 */
#define WORKER_MAX_CONNECTIONS 16

struct worker_calls;

struct worker_calls_spec {
	struct platform *platform;
	guint delegate_min_workers;	   /**< see struct entry_settings */
	const char *node;		   /**< name of this VM */
	struct fleet_scheduler *scheduler; /**< receives the answers */
	struct counters *counters;
	/** A call to a worker has ended; a new plan may be needed. */
	void (*on_call_ended)(void *data);
	/** A worker refused a call because it has seen a higher epoch. */
	void (*on_fenced)(void *data);
	/** Returns how long calls may be sent, by the lease of the pool. */
	int64_t (*act_left_ms)(void *data);
	void *data;
};

struct worker_calls *worker_calls_new(const struct worker_calls_spec *spec);
void worker_calls_free(struct worker_calls *c);

/** Ignores the outcome of all calls in flight, at the end of an epoch. */
void worker_calls_reset(struct worker_calls *c);

/**
 * Connects to the other VMs that make the calls, if the pool is large. Called
 * while a takeover still reads its tables, it saves this time later.
 */
void worker_calls_prepare(struct worker_calls *c);

/**
 * Orders a worker to start a task. The outcome is passed to
 * fleet_scheduler_start_answered().
 */
void worker_calls_start(struct worker_calls *c, struct fleet_worker *w,
			const struct start_order *order);

/**
 * Orders a worker to stop a run of a task. The outcome is passed to
 * fleet_scheduler_stop_answered().
 */
void worker_calls_stop(struct worker_calls *c, struct fleet_worker *w,
		       const char *task, int64_t run);

/**
 * Sends the renewals that are due, up to a number, so that answers are handled
 * between them. The answers, which list the workers' tasks, are passed to
 * fleet_scheduler_apply_report().
 *
 * @return	TRUE if more of them are due
 */
gboolean worker_calls_renew_due(struct worker_calls *c, int64_t now_ms);

#endif
