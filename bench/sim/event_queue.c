#include "bench/sim/event_queue.h"

static gint compare(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct queued_event *x = a;
	const struct queued_event *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void event_queue_init(struct event_queue *q, GDestroyNotify free)
{
	*q = (struct event_queue){ .events = g_sequence_new(free) };
}

void event_queue_clear(struct event_queue *q)
{
	g_sequence_free(q->events);
}

void event_queue_add(struct event_queue *q, struct queued_event *e,
		     int64_t time)
{
	e->time = time;
	e->sequence = q->next_sequence++;
	g_sequence_insert_sorted(q->events, e, compare, NULL);
}

struct queued_event *event_queue_first(const struct event_queue *q)
{
	if (g_sequence_is_empty(q->events))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(q->events));
}

void event_queue_remove_first(struct event_queue *q)
{
	g_sequence_remove(g_sequence_get_begin_iter(q->events));
}

void event_queue_delay_first(struct event_queue *q, int64_t time)
{
	GSequenceIter *first = g_sequence_get_begin_iter(q->events);
	struct queued_event *e = g_sequence_get(first);

	e->time = time;
	g_sequence_sort_changed(first, compare, NULL);
}
