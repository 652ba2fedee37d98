/**
 * @file
 * A small set of run numbers: those that have failed. An end may be told again
 * after a takeover, and ends of several workers come in any order.
 */
#ifndef SCHED_RUN_SET_H
#define SCHED_RUN_SET_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** Zeroed it is empty. */
struct run_set {
	GArray *runs; /**< of int64_t, NULL when there are none */
};

void run_set_clear(struct run_set *s);

guint run_set_count(const struct run_set *s);

/** Adds a run; FALSE when it is there already. */
gboolean run_set_add(struct run_set *s, int64_t run);

/** Returns a list of the runs; free with put. */
json_object *run_set_encode(const struct run_set *s);

/**
 * Adds the runs of a list; what is none is passed over.
 *
 * @return	TRUE when the set has runs that the list lacks
 */
gboolean run_set_merge(struct run_set *s, json_object *list);

#endif
