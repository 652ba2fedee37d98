/**
 * @file
 * Merges the workers' histories into one list of events, sorted by time, and
 * checks the invariants of gangs against it.
 */
#ifndef TESTS_GANG_HISTORY_H
#define TESTS_GANG_HISTORY_H

#include <glib.h>
#include <stdint.h>

/** One event of a worker's history. */
struct gang_event {
	int64_t time_us; /**< wall clock */
	char *task;
	char *event; /**< kind, such as "started" */
};

/** Returns an empty list of struct gang_event; free with g_array_unref(). */
GArray *gang_history_new(void);

/** Appends an event; copies the strings. */
void gang_history_add(GArray *events, int64_t time_us, const char *task,
		      const char *event);

/** Sorts the events by time. */
void gang_history_sort(GArray *events);

/**
 * Checks sorted events: no task starts twice or before all members are
 * reserved, attempts of a job don't overlap, and no gang runs partially, with
 * members that neither run nor are done, for longer than the bound.
 *
 * @return	NULL, or a description of the violation; free it
 */
char *gang_history_check(const GArray *events, int64_t bound_ms);

#endif
