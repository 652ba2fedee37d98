/**
 * @file
 * Queue of events in virtual time, ordered by time and, at equal times, by the
 * order in which they were added. The caller chooses the unit of time.
 */
#ifndef BENCH_SIM_EVENT_QUEUE_H
#define BENCH_SIM_EVENT_QUEUE_H

#include <glib.h>
#include <stdint.h>

/** Base of all event types; must be their first member. */
struct queued_event {
	int64_t time;
	uint64_t sequence; /**< increases with each added event */
};

struct event_queue {
	GSequence *events;
	uint64_t next_sequence; /**< of the next event to be added */
};

/** @param free	destructor for queued events */
void event_queue_init(struct event_queue *q, GDestroyNotify free);

/** Frees the queue and all remaining events. */
void event_queue_clear(struct event_queue *q);

/** Adds an event and takes ownership of it. */
void event_queue_add(struct event_queue *q, struct queued_event *e,
		     int64_t time);

/** Returns the next event without removing it, or NULL if there is none. */
struct queued_event *event_queue_first(const struct event_queue *q);

/** Removes the next event and frees it. */
void event_queue_remove_first(struct event_queue *q);

/** Moves the next event to a later time; it keeps its sequence number. */
void event_queue_delay_first(struct event_queue *q, int64_t time);

#endif
