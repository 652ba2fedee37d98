/**
 * @file
 * A main loop timer for all deadlines of a module, used instead of a periodic
 * timer; see base/wake_plan.h.
 */
#ifndef BASE_WAKE_TIMER_H
#define BASE_WAKE_TIMER_H

#include <glib.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/wake_plan.h"

struct wake_timer;

/** Handles what is due; returns the next deadline, WAKE_NEVER for none. */
typedef int64_t (*wake_fn)(int64_t now_ms, void *data);

struct wake_timer_spec {
	int64_t grid_ms; /**< shortest time between two calls of fn */
	wake_fn fn;
	void *data;
	struct counters *counters; /**< records the lateness; may be NULL */
};

/** Returns a timer without a deadline; free with wake_timer_free(). */
struct wake_timer *wake_timer_new(const struct wake_timer_spec *spec);

/** Frees the timer; safe to call from within fn. Ignores NULL. */
void wake_timer_free(struct wake_timer *t);

/** Adds a deadline; only the earliest is kept. */
void wake_timer_add(struct wake_timer *t, int64_t due_ms);

/** Schedules a call of fn at the next grid point. */
void wake_timer_add_now(struct wake_timer *t);

#endif
