/**
 * @file
 * Functions shared by the files of the fleet scheduler only.
 */
#ifndef SCHED_FLEET_INTERNAL_H
#define SCHED_FLEET_INTERNAL_H

#include "sched/fleet_scheduler.h"

/**
 * Stops all members of a task's gang, or only the task if it is in none. The
 * reason is logged.
 */
void fleet_stop_unit(struct fleet_scheduler *s, struct fleet_task *t,
		     const char *reason);

/** Starts waiting tasks on the given workers, all with one run number. */
void fleet_start_tasks(struct fleet_scheduler *s, struct fleet_task **tasks,
		       struct fleet_worker **workers, guint count,
		       int64_t now_ms);

/** Sets a queued job active; its tasks start once the store records that. */
void fleet_activate_job(struct fleet_job *job, int64_t now_ms);

/** Starts waiting tasks where they fit, preempting others if allowed. */
void fleet_place_all(struct fleet_scheduler *s, int64_t now_ms);

/** Returns the priority of a job's route, 0 highest; INT64_MAX without one. */
int64_t fleet_job_priority(const struct fleet_scheduler *s,
			   const struct fleet_job *job);

#endif
