/**
 * @file
 * A small set of run numbers, used for failed runs. A set is needed because an
 * end may be reported again after a takeover, and ends from several workers
 * arrive in any order.
 */
#ifndef SCHED_RUN_SET_H
#define SCHED_RUN_SET_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

/** All zeroes is an empty set. */
struct run_set {
	GArray *runs; /**< of int64_t, NULL if empty */
	/** Further runs, whose numbers a row had no room for. */
	guint unlisted;
};

void run_set_clear(struct run_set *s);

guint run_set_count(const struct run_set *s);

/** Adds a run; returns FALSE if it was in the set already. */
gboolean run_set_add(struct run_set *s, int64_t run);

/** Encodes the @most highest runs as a list; free with put. */
json_object *run_set_encode(const struct run_set *s, guint most);

/**
 * Raises the count to that of a row which lists only some of its runs. To be
 * called after these were merged.
 */
void run_set_raise_count(struct run_set *s, guint count);

/**
 * Adds the runs of a list; a value that is no list counts as an empty one.
 *
 * @return	TRUE if the set has runs that the list lacks
 */
gboolean run_set_merge(struct run_set *s, json_object *list);

#endif
