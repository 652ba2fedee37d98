/**
 * @file
 * Events in virtual time, earliest first; those of one time in the order in
 * which they were added. The unit of time is the caller's.
 */
#ifndef BENCH_SIM_EVENT_QUEUE_H
#define BENCH_SIM_EVENT_QUEUE_H

#include <glib.h>
#include <stdint.h>

/** First member of every kind of event. */
struct queued_event {
	int64_t time;
	uint64_t number; /**< rises with each event that is added */
};

struct event_queue {
	GSequence *events;
	uint64_t count; /**< events ever added */
};

/** @param free	frees an event */
void event_queue_init(struct event_queue *q, GDestroyNotify free);

/** Frees all events that are left. */
void event_queue_clear(struct event_queue *q);

/** Adds an event and takes it over. */
void event_queue_add(struct event_queue *q, struct queued_event *e,
		     int64_t time);

/** Returns the next event, which stays in the queue, or NULL. */
struct queued_event *event_queue_first(const struct event_queue *q);

/** Removes the next event and frees it. */
void event_queue_remove_first(struct event_queue *q);

/** Puts the next event off; it keeps its number. */
void event_queue_delay_first(struct event_queue *q, int64_t time);

#endif
