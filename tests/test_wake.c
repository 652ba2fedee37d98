/*
 * Compares the wake-up timer with a periodic timer on the same grid: it must
 * fire neither later nor more often, and a deadline that stays in the past must
 * not starve other work.
 */
#include <glib.h>

#include "base/util.h"
#include "base/wake_timer.h"

#define GRID_MS INT64_C(20)
#define SEEDS 500
#define STEPS 200

struct plan_case {
	int64_t last_wake_ms; /* -1 for none */
	int64_t due_ms[2];
	int64_t wake_ms;
};

static const struct plan_case plan_cases[] = {
	{ -1, { WAKE_NEVER, WAKE_NEVER }, WAKE_NEVER },
	{ -1, { 0, WAKE_NEVER }, 0 },
	{ -1, { 1, WAKE_NEVER }, 20 },
	{ -1, { 20, WAKE_NEVER }, 20 },
	{ -1, { 21, WAKE_NEVER }, 40 },
	{ -1, { 95, 41 }, 60 },		/* the earliest counts */
	{ -1, { 41, 95 }, 60 },		/* in any order */
	{ 60, { 41, WAKE_NEVER }, 80 }, /* overdue: one period after the last */
	{ 60, { -5, WAKE_NEVER }, 80 },
	{ 60, { 60, WAKE_NEVER }, 80 },
	{ 60, { 81, WAKE_NEVER }, 100 },
	{ 60, { WAKE_NEVER - 1, WAKE_NEVER }, WAKE_NEVER },
};

static void test_plan(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(plan_cases); i++) {
		const struct plan_case *c = &plan_cases[i];
		struct wake_plan p;
		int64_t late_ms = -1;

		wake_plan_init(&p, GRID_MS);
		if (c->last_wake_ms >= 0) {
			wake_plan_add(&p, c->last_wake_ms, 0);
			g_assert_true(wake_plan_try_wake(
				&p, c->last_wake_ms + 3, &late_ms));
			g_assert_cmpint(late_ms, ==, 3);
		}
		wake_plan_add(&p, c->due_ms[0], MAX(c->last_wake_ms, 0));
		wake_plan_add(&p, c->due_ms[1], MAX(c->last_wake_ms, 0));
		if (wake_plan_next_ms(&p) != c->wake_ms) {
			g_test_message("case %u: wakes at %" G_GINT64_FORMAT, i,
				       wake_plan_next_ms(&p));
			g_test_fail();
		}
		if (c->wake_ms > 0)
			g_assert_false(wake_plan_try_wake(
				&p, MIN(c->wake_ms, 1000) - 1, &late_ms));
	}
}

/* Returns when an exact periodic timer would handle a deadline. */
static int64_t periodic_tick_ms(int64_t due_ms, int64_t added_ms,
				int64_t last_wake_ms)
{
	int64_t from_ms = MAX(MAX(due_ms, added_ms), last_wake_ms + 1);

	return (from_ms + GRID_MS - 1) / GRID_MS * GRID_MS;
}

/*
 * Adds random deadlines, some in the past. Each must be handled exactly when
 * the periodic timer would handle it, without any other wake-ups.
 */
static void run_seed(guint32 seed)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct wake_plan p;
	int64_t now_ms = 0;
	int64_t next_tick_ms = WAKE_NEVER; /* of the periodic timer */
	int64_t last_wake_ms = -1;
	int64_t late_ms;

	wake_plan_init(&p, GRID_MS);
	for (guint i = 0; i < STEPS; i++) {
		int64_t due_ms = now_ms + g_rand_int_range(rand, -50, 300);
		int64_t until_ms = now_ms + g_rand_int_range(rand, 0, 60);

		wake_plan_add(&p, due_ms, now_ms);
		next_tick_ms =
			MIN(next_tick_ms,
			    periodic_tick_ms(due_ms, now_ms, last_wake_ms));
		for (; now_ms < until_ms; now_ms++) {
			if (!wake_plan_try_wake(&p, now_ms, &late_ms)) {
				g_assert_cmpint(now_ms, <, next_tick_ms);
				continue;
			}
			g_assert_cmpint(now_ms, ==, next_tick_ms);
			g_assert_cmpint(late_ms, <=, GRID_MS);
			last_wake_ms = now_ms;
			next_tick_ms = WAKE_NEVER;
		}
	}
	g_rand_free(rand);
}

static void test_like_tick(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++)
		run_seed(seed);
}

struct timed {
	struct wake_timer *timer;
	guint calls;
	int64_t due_ms; /* returned by on_wake() */
};

static int64_t on_wake(int64_t now_ms, void *data)
{
	struct timed *t = data;

	t->calls++;
	if (t->due_ms == WAKE_NEVER)
		g_clear_pointer(&t->timer, wake_timer_free);
	return t->due_ms;
}

/* A deadline that stays in the past must not take over the main loop. */
static void test_no_starving(void)
{
	struct counters counters;
	struct timed t = { .due_ms = 0 };
	struct wake_timer_spec spec = { .grid_ms = GRID_MS,
					.fn = on_wake,
					.data = &t,
					.counters = &counters };
	int64_t iterations = 0;

	counters_init(&counters);
	t.timer = wake_timer_new(&spec);
	wake_timer_add_now(t.timer);
	while (t.calls < 5) {
		g_main_context_iteration(NULL, TRUE);
		iterations++;
	}
	g_assert_cmpint(iterations, <=, 10);
	t.due_ms = WAKE_NEVER;
	while (t.timer)
		g_main_context_iteration(NULL, TRUE);
	g_assert_cmpuint(t.calls, ==, 6);
	g_assert_cmpuint(
		counters_histogram(&counters, "cs_wake_late_seconds", "")
			->count,
		==, 6);
	counters_clear(&counters);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wake/plan", test_plan);
	g_test_add_func("/wake/like-tick", test_like_tick);
	g_test_add_func("/wake/no-starving", test_no_starving);
	return g_test_run();
}
