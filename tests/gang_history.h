/**
 * @file
 * The histories of workers, as one list of events in the order of time, and
 * what must hold of the gangs in it.
 */
#ifndef TESTS_GANG_HISTORY_H
#define TESTS_GANG_HISTORY_H

#include <glib.h>
#include <stdint.h>

/** One event of a worker's history. */
struct gang_event {
	int64_t time_ms; /**< wall clock */
	char *task;
	char *event;
};

/** Returns an empty list of struct gang_event; free with g_array_unref(). */
GArray *gang_history_new(void);
void gang_history_add(GArray *events, int64_t time_ms, const char *task,
		      const char *event);
void gang_history_sort(GArray *events);

/**
 * Checks sorted events: no task started twice, no two attempts at once, no
 * gang in part for longer than the bound.
 *
 * @return	NULL, or what is wrong; free it
 */
char *gang_history_check(const GArray *events, int64_t bound_ms);

#endif
