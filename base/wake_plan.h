/**
 * @file
 * When to look at what has deadlines: at the first point of a fixed grid that
 * is not before the earliest of them. This is when a periodic tick of that
 * grid would have served it, without the ticks that find nothing due. Pure:
 * no clock.
 */
#ifndef BASE_WAKE_PLAN_H
#define BASE_WAKE_PLAN_H

#include <glib.h>
#include <stdint.h>

/** Due time of what has no deadline. */
#define WAKE_NEVER INT64_MAX

struct wake_plan {
	int64_t grid_ms;   /**< period of the tick that this stands for */
	int64_t due_ms;	   /**< earliest deadline, WAKE_NEVER for none */
	int64_t served_ms; /**< point of the grid that was served last */
};

void wake_plan_init(struct wake_plan *p, int64_t grid_ms);

/** Adds a deadline, now at the earliest; the earliest one counts. */
void wake_plan_at(struct wake_plan *p, int64_t due_ms, int64_t now_ms);

/**
 * Returns the point of the grid to wake at, WAKE_NEVER for none. It is after
 * the one served last, so that a deadline that can't be met keeps nothing else
 * from its turn.
 */
int64_t wake_plan_wake_ms(const struct wake_plan *p);

/**
 * Takes a wake up: forgets all deadlines, which are to be added anew.
 *
 * @param late_ms	set to the time since the point to wake at
 * @return		FALSE when it is too early
 */
gboolean wake_plan_take(struct wake_plan *p, int64_t now_ms, int64_t *late_ms);

#endif
