/**
 * @file
 * One timer of the main loop for all deadlines of a module, in place of a
 * periodic tick: see base/wake_plan.h.
 */
#ifndef BASE_WAKE_TIMER_H
#define BASE_WAKE_TIMER_H

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/wake_plan.h"

struct wake_timer;

/** Acts on what is due; returns the next deadline, WAKE_NEVER for none. */
typedef int64_t (*wake_fn)(int64_t now_ms, void *data);

struct wake_timer_spec {
	int64_t grid_ms; /**< shortest time between two calls */
	wake_fn fn;
	void *data;
	struct counters *counters; /**< has the lateness; may be NULL */
};

/** Returns a timer for which nothing is due; free with wake_timer_free(). */
struct wake_timer *wake_timer_new(const struct wake_timer_spec *spec);

/** May be called from within the function; ignores NULL. */
void wake_timer_free(struct wake_timer *t);

/** Adds a deadline; the earliest one counts. */
void wake_timer_at(struct wake_timer *t, int64_t due_ms);

/** Has the function called at the next point of the grid. */
void wake_timer_now(struct wake_timer *t);

#endif
