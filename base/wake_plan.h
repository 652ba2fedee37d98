/**
 * @file
 * Computes the next wake-up for a set of deadlines: the first point of a fixed
 * time grid at or after the earliest deadline. A periodic timer with that grid
 * would handle it at the same time, but would also fire when nothing is due.
 * Pure: no clock.
 */
#ifndef BASE_WAKE_PLAN_H
#define BASE_WAKE_PLAN_H

#include <glib.h>
#include <stdint.h>

/** Due time if there is no deadline. */
#define WAKE_NEVER INT64_MAX

struct wake_plan {
	int64_t grid_ms;      /**< shortest time between two wake-ups */
	int64_t due_ms;	      /**< earliest deadline, WAKE_NEVER for none */
	int64_t last_wake_ms; /**< grid point of the last wake-up */
};

void wake_plan_init(struct wake_plan *p, int64_t grid_ms);

/** Adds a deadline, now if it is in the past; only the earliest is kept. */
void wake_plan_add(struct wake_plan *p, int64_t due_ms, int64_t now_ms);

/**
 * Returns the grid point of the next wake-up, WAKE_NEVER for none. It is after
 * the last one, so that a deadline that stays in the past can't starve other
 * work.
 */
int64_t wake_plan_next_ms(const struct wake_plan *p);

/**
 * Starts a wake-up if its time has come: clears the deadline, so the caller
 * has to add all open deadlines again.
 *
 * @param late_ms	set to the delay since the planned wake-up
 * @return		FALSE if it is too early
 */
gboolean wake_plan_try_wake(struct wake_plan *p, int64_t now_ms,
			    int64_t *late_ms);

#endif
