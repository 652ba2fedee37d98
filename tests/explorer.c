#include "tests/explorer.h"

#define TRACE_TAIL_BYTES 6000

struct event {
	int64_t time_ms;
	int64_t number;
	explorer_fn fn;
	void *data;
	GDestroyNotify free;
};

static void event_free(gpointer data)
{
	struct event *event = data;

	if (event->free)
		event->free(event->data);
	g_free(event);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->time_ms != y->time_ms)
		return x->time_ms < y->time_ms ? -1 : 1;
	return x->number < y->number ? -1 : 1;
}

void explorer_after(struct explorer *e, int64_t delay_ms, explorer_fn fn,
		    void *data, GDestroyNotify free)
{
	struct event *event = g_new0(struct event, 1);

	event->time_ms = e->now_ms + delay_ms;
	event->number = e->count++;
	event->fn = fn;
	event->data = data;
	event->free = free;
	g_sequence_insert_sorted(e->events, event, compare_events, NULL);
}

static void note(struct explorer *e, const char *format, va_list args)
{
	g_string_append_printf(e->trace, "%8" G_GINT64_FORMAT " ", e->now_ms);
	g_string_append_vprintf(e->trace, format, args);
	g_string_append_c(e->trace, '\n');
}

void explorer_note(struct explorer *e, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	note(e, format, args);
	va_end(args);
}

void explorer_fail(struct explorer *e, const char *format, ...)
{
	va_list args;

	if (e->violation)
		return;
	va_start(args, format);
	e->violation = g_strdup_vprintf(format, args);
	va_end(args);
}

gboolean explorer_chance(struct explorer *e, double probability)
{
	return g_rand_double(e->rand) < probability;
}

int64_t explorer_range(struct explorer *e, int64_t min, int64_t max)
{
	return g_rand_int_range(e->rand, (gint32)min, (gint32)max);
}

int64_t explorer_delay(struct explorer *e, int64_t longest_ms)
{
	if (explorer_chance(e, 0.8))
		return explorer_range(e, 0, 20);
	return explorer_range(e, 0, longest_ms);
}

static void run_until(struct explorer *e, const struct explorer_world *w,
		      void *world, int64_t end_ms)
{
	while (!e->violation && !g_sequence_is_empty(e->events)) {
		GSequenceIter *first = g_sequence_get_begin_iter(e->events);
		struct event *event = g_sequence_get(first);

		if (event->time_ms > end_ms)
			break;
		e->now_ms = event->time_ms;
		event->fn(event->data);
		g_sequence_remove(first);
		w->check(world);
	}
	e->now_ms = end_ms;
}

static char *describe(const struct explorer *e, const struct explorer_world *w,
		      guint32 seed)
{
	gsize skipped = e->trace->len > TRACE_TAIL_BYTES
				? e->trace->len - TRACE_TAIL_BYTES
				: 0;

	return g_strdup_printf("world %s, seed %u, at %" G_GINT64_FORMAT
			       " ms: %s\n%s",
			       w->name, seed, e->now_ms, e->violation,
			       e->trace->str + skipped);
}

char *explorer_run(const struct explorer_world *w, guint32 seed,
		   const void *plant)
{
	struct explorer e = {
		.rand = g_rand_new_with_seed(seed),
		.events = g_sequence_new(event_free),
		.trace = g_string_new(NULL),
	};
	void *world = w->new (&e, plant);
	char *text = NULL;

	run_until(&e, w, world, w->faulty_ms);
	w->heal(world);
	run_until(&e, w, world, w->faulty_ms + w->settle_ms);
	if (!e.violation)
		w->check_settled(world);
	if (e.violation)
		text = describe(&e, w, seed);
	g_sequence_free(e.events);
	w->free(world);
	g_rand_free(e.rand);
	g_string_free(e.trace, TRUE);
	g_free(e.violation);
	return text;
}
