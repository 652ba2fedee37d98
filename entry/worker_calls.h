/**
 * @file
 * Calls to workers over HTTP: orders, and the renewals that bring their lists.
 * In a large pool other VMs make them, see entry/delegate.h.
 */
#ifndef ENTRY_WORKER_CALLS_H
#define ENTRY_WORKER_CALLS_H

#include "base/counters.h"
#include "sched/fleet_scheduler.h"
#include "store/platform.h"

/** Connections of one process to a worker, which takes 64 of all callers;
 * orders come in bursts. */
#define WORKER_MAX_CONNECTIONS 16

struct worker_calls;

struct worker_calls_spec {
	struct platform *platform;
	guint delegate_min_workers;	   /**< see struct entry_settings */
	const char *node;		   /**< own VM */
	struct fleet_scheduler *scheduler; /**< gets the answers */
	struct counters *counters;
	/** A worker has answered, so that there may be something to do. */
	void (*on_news)(void *data);
	/** A worker has seen a higher epoch. */
	void (*on_fenced)(void *data);
	void *data;
};

struct worker_calls *worker_calls_new(const struct worker_calls_spec *spec);
void worker_calls_free(struct worker_calls *c);

/** Drops all calls in flight: another epoch begins. */
void worker_calls_reset(struct worker_calls *c);

void worker_calls_start(struct worker_calls *c, struct fleet_worker *w,
			const struct start_order *order);
void worker_calls_stop(struct worker_calls *c, struct fleet_worker *w,
		       const char *task, int64_t run);

/** Renews the leases of the workers that are due, and reads their lists. */
void worker_calls_hold_due(struct worker_calls *c, int64_t now_ms);

#endif
