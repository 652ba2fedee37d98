#include "base/wake_timer.h"

#include "base/util.h"

struct wake_timer {
	struct wake_plan plan;
	struct wake_timer_spec spec;
	struct histogram *lateness;
	GSource *source;
};

struct wake_source {
	GSource base;
	struct wake_timer *timer;
};

static void arm(struct wake_timer *t)
{
	int64_t wake_ms = wake_plan_next_ms(&t->plan);

	g_source_set_ready_time(
		t->source, wake_ms == WAKE_NEVER ? -1 : wake_ms * US_PER_MS);
}

static gboolean on_ready(GSource *base, GSourceFunc unused, gpointer data)
{
	struct wake_timer *t = ((struct wake_source *)base)->timer;
	int64_t now_ms = util_monotonic_ms();
	int64_t late_ms;
	int64_t due_ms;

	if (wake_plan_try_wake(&t->plan, now_ms, &late_ms)) {
		if (t->lateness)
			histogram_record(t->lateness, late_ms * US_PER_MS);
		due_ms = t->spec.fn(now_ms, t->spec.data);
		if (g_source_is_destroyed(base))
			return G_SOURCE_REMOVE;
		wake_plan_add(&t->plan, due_ms, now_ms);
	}
	arm(t);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs wake_source_funcs = { .dispatch = on_ready };

struct wake_timer *wake_timer_new(const struct wake_timer_spec *spec)
{
	struct wake_timer *t = g_new0(struct wake_timer, 1);

	wake_plan_init(&t->plan, spec->grid_ms);
	t->spec = *spec;
	if (spec->counters)
		t->lateness = counters_histogram(
			spec->counters, "cs_wake_late_seconds",
			"Time by which the main loop was late for a deadline");
	t->source =
		g_source_new(&wake_source_funcs, sizeof(struct wake_source));
	((struct wake_source *)t->source)->timer = t;
	g_source_attach(t->source, NULL);
	return t;
}

void wake_timer_free(struct wake_timer *t)
{
	if (!t)
		return;
	g_source_destroy(t->source);
	g_source_unref(t->source);
	g_free(t);
}

void wake_timer_add(struct wake_timer *t, int64_t due_ms)
{
	if (due_ms >= t->plan.due_ms)
		return;
	wake_plan_add(&t->plan, due_ms, util_monotonic_ms());
	arm(t);
}

void wake_timer_add_now(struct wake_timer *t)
{
	wake_timer_add(t, 0);
}
