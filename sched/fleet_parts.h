/**
 * @file
 * What the files of the fleet scheduler share among themselves.
 */
#ifndef SCHED_FLEET_PARTS_H
#define SCHED_FLEET_PARTS_H

#include "sched/fleet_scheduler.h"

/**
 * Stops all members of a gang, or the one task of another step; the reason is
 * for the log.
 */
void fleet_stop_unit(struct fleet_scheduler *s, struct fleet_task *t,
		     const char *reason);

/** Starts waiting tasks on the workers chosen for them, under one run. */
void fleet_start_tasks(struct fleet_scheduler *s, struct fleet_task **tasks,
		       struct fleet_worker **workers, guint count,
		       int64_t now_ms);

/** Has the store told that a job is active, which lets it be started. */
void fleet_mark_job(struct fleet_job *job, int64_t now_ms);

/** Starts what waits, where it has room or may make some. */
void fleet_place_all(struct fleet_scheduler *s, int64_t now_ms);

/** Priority of a job's route, 0 comes first. */
int64_t fleet_priority(const struct fleet_scheduler *s,
		       const struct fleet_job *job);

#endif
