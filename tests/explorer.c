#include "tests/explorer.h"

#define TRACE_TAIL_BYTES 6000 /* reported with a violation */

struct event {
	struct queued_event base; /* time in ms */
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

void explorer_schedule(struct explorer *e, int64_t delay_ms, explorer_fn fn,
		       void *data, GDestroyNotify free)
{
	struct event *event = g_new0(struct event, 1);

	event->fn = fn;
	event->data = data;
	event->free = free;
	event_queue_add(&e->events, &event->base, e->now_ms + delay_ms);
}

static void append_trace(struct explorer *e, const char *format, va_list args)
{
	g_string_append_printf(e->trace, "%8" G_GINT64_FORMAT " ", e->now_ms);
	g_string_append_vprintf(e->trace, format, args);
	g_string_append_c(e->trace, '\n');
}

void explorer_trace(struct explorer *e, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	append_trace(e, format, args);
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
	struct event *event;

	while (!e->violation &&
	       (event = (struct event *)event_queue_first(&e->events))) {
		if (event->base.time > end_ms)
			break;
		e->now_ms = event->base.time;
		event->fn(event->data);
		event_queue_remove_first(&e->events);
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
		   const void *defect)
{
	struct explorer e = {
		.rand = g_rand_new_with_seed(seed),
		.trace = g_string_new(NULL),
	};
	void *world;
	char *text = NULL;

	event_queue_init(&e.events, event_free);
	world = w->new (&e, defect);
	run_until(&e, w, world, w->fault_phase_ms);
	w->heal(world);
	run_until(&e, w, world, w->fault_phase_ms + w->settle_phase_ms);
	if (!e.violation)
		w->check_settled(world);
	if (e.violation)
		text = describe(&e, w, seed);
	event_queue_clear(&e.events);
	w->free(world);
	g_rand_free(e.rand);
	g_string_free(e.trace, TRUE);
	g_free(e.violation);
	return text;
}
