/* Table-driven tests of the leader election for a pool. */
#include <glib.h>

#include "sched/leadership.h"

#define T0_MS INT64_C(1000000)

/* The next write of a process that reads a given lease row. */
struct lease_case {
	const char *name;
	const char *holder; /* NULL for no row */
	int64_t silent_ms;  /* since the row last changed */
	enum leadership_step step;
};

static const struct lease_case lease_cases[] = {
	{ "/leadership/step/no-row", NULL, 0, LEADERSHIP_ACQUIRE },
	{ "/leadership/step/released", "", 0, LEADERSHIP_ACQUIRE },
	{ "/leadership/step/renewed", "other", 600, LEADERSHIP_NONE },
	{ "/leadership/step/silent", "other", 1000, LEADERSHIP_ACQUIRE },
	/* Its own write took effect but the response was lost. */
	{ "/leadership/step/own", "self", 0, LEADERSHIP_ACQUIRE },
};

static void test_lease(gconstpointer data)
{
	const struct lease_case *c = data;
	json_object *row = NULL;
	struct leadership l;

	if (c->holder) {
		row = json_object_new_object();
		json_object_object_add(row, "holder",
				       json_object_new_string(c->holder));
		json_object_object_add(row, "epoch", json_object_new_int64(3));
	}
	leadership_init(&l, "self", 0);
	g_assert_cmpint(leadership_next(&l, T0_MS), ==, LEADERSHIP_NONE);
	leadership_record_row(&l, row, row ? 9 : 0, T0_MS);
	g_assert_cmpint(leadership_next(&l, T0_MS + c->silent_ms), ==, c->step);
	json_object_put(row);
	leadership_clear(&l);
}

/* A holder acts for a bounded time after its last confirmed renewal. */
static void test_lease_bound(void)
{
	struct leadership l;

	leadership_init(&l, "self", 0);
	leadership_record_row(&l, NULL, 0, T0_MS);
	leadership_sent(&l, LEADERSHIP_ACQUIRE, T0_MS);
	g_assert_true(leadership_written(&l, LEADERSHIP_ACQUIRE, 1, T0_MS + 9));
	g_assert_true(leadership_may_act(&l, T0_MS + 3000));
	g_assert_cmpint(leadership_next(&l, T0_MS + 600), ==, LEADERSHIP_RENEW);
	g_assert_false(leadership_may_act(&l, T0_MS + 4000));
	leadership_clear(&l);
}

/* A row that the feed delivers before the response to a takeover arrives. */
struct takeover_row {
	const char *name;
	const char *holder; /* NULL for no row */
	int64_t epoch;
	int64_t version; /* the takeover is written as version 20 */
	gboolean is_holder;
};

static const struct takeover_row takeover_rows[] = {
	{ "/leadership/takeover-row/none", NULL, 0, 0, TRUE },
	/* If this row raised the epoch again, the next holder would get the
	 * same epoch (fault soak, seed 222). */
	{ "/leadership/takeover-row/own", "self", 4, 20, TRUE },
	{ "/leadership/takeover-row/another", "third", 5, 21, FALSE },
};

static json_object *lease_row(const char *holder, int64_t epoch)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, "holder", json_object_new_string(holder));
	json_object_object_add(row, "epoch", json_object_new_int64(epoch));
	return row;
}

/* The holder's epoch is the one that it wrote, whether the feed or the response
 * arrives first. */
static void test_takeover_row(const void *data)
{
	const struct takeover_row *c = data;
	json_object *row = lease_row("other", 3);
	struct leadership l;

	leadership_init(&l, "self", 0);
	leadership_record_row(&l, row, 9, T0_MS);
	json_object_put(row);
	leadership_sent(&l, LEADERSHIP_ACQUIRE, T0_MS + 2000);
	if (c->holder) {
		row = lease_row(c->holder, c->epoch);
		leadership_record_row(&l, row, c->version, T0_MS + 2005);
		json_object_put(row);
	}
	g_assert_cmpint(
		leadership_written(&l, LEADERSHIP_ACQUIRE, 20, T0_MS + 2009),
		==, c->is_holder);
	g_assert_cmpint(leadership_may_act(&l, T0_MS + 2010), ==, c->is_holder);
	if (c->is_holder)
		g_assert_cmpint(l.epoch, ==, 4);
	leadership_clear(&l);
}

/* How long a previous holder may act after a takeover. */
struct previous_case {
	const char *name;
	const char *holder;
	int64_t silent_ms;	 /* row unchanged before the takeover is sent */
	int64_t outage_after_ms; /* store outage that ends then, 0 for none */
	int64_t acts_ms;
};

static const struct previous_case previous_cases[] = {
	{ "/leadership/previous/released", "", 0, 0, 0 },
	/* 4 s after its last renewal, of which a part has passed. */
	{ "/leadership/previous/silent", "other", 1000, 0, 3000 },
	{ "/leadership/previous/long-silent", "other", 9000, 0, 0 },
	/* Renewals may have gone unseen during the outage. */
	{ "/leadership/previous/outage", "other", 9000, 8000, 3000 },
};

static void test_previous_holder(const void *data)
{
	const struct previous_case *c = data;
	json_object *row = lease_row(c->holder, 3);
	struct leadership l;

	leadership_init(&l, "self", 0);
	leadership_record_row(&l, row, 9, T0_MS);
	json_object_put(row);
	if (c->outage_after_ms)
		leadership_record_outage(&l, T0_MS + c->outage_after_ms);
	leadership_sent(&l, LEADERSHIP_ACQUIRE, T0_MS + c->silent_ms);
	/* The feed may deliver the row before the answer arrives. */
	row = lease_row("self", 4);
	leadership_record_row(&l, row, 10, T0_MS + c->silent_ms + 5);
	json_object_put(row);
	g_assert_true(leadership_written(&l, LEADERSHIP_ACQUIRE, 10,
					 T0_MS + c->silent_ms + 9));
	g_assert_cmpint(leadership_previous_holder_ms(&l), ==, c->acts_ms);
	leadership_clear(&l);
}

/* What follows a renewal that the store has not answered. */
struct lost_answer_case {
	const char *name;
	gboolean took_effect; /* so the feed delivers the row */
	int64_t after_ms;     /* since it was sent */
	gboolean is_overdue;
	gboolean may_act; /* 4 s after the renewal before it */
};

static const struct lost_answer_case lost_answer_cases[] = {
	{ "/leadership/lost-answer/just-sent", FALSE, 100, FALSE, FALSE },
	{ "/leadership/lost-answer/not-performed", FALSE, 500, TRUE, FALSE },
	{ "/leadership/lost-answer/performed", TRUE, 500, TRUE, TRUE },
};

/* A holder whose answers get lost renews again before a successor acts, and
 * takes the renewed row for an answer. */
static void test_lost_answer(const void *data)
{
	const struct lost_answer_case *c = data;
	struct leadership l;
	json_object *row;

	leadership_init(&l, "self", 0);
	leadership_record_row(&l, NULL, 0, T0_MS);
	leadership_sent(&l, LEADERSHIP_ACQUIRE, T0_MS);
	leadership_written(&l, LEADERSHIP_ACQUIRE, 1, T0_MS);
	g_assert_false(leadership_is_overdue(&l, T0_MS + 400));
	g_assert_cmpint(leadership_next(&l, T0_MS + 400), ==, LEADERSHIP_RENEW);
	leadership_sent(&l, LEADERSHIP_RENEW, T0_MS + 400);
	if (c->took_effect) {
		row = lease_row("self", 1);
		leadership_record_row(&l, row, 2, T0_MS + 410);
		json_object_put(row);
	}
	g_assert_cmpint(leadership_is_overdue(&l, T0_MS + 400 + c->after_ms),
			==, c->is_overdue);
	if (c->is_overdue) {
		leadership_write_failed(&l);
		g_assert_cmpint(leadership_next(&l, T0_MS + 900), ==,
				LEADERSHIP_RENEW);
	}
	g_assert_cmpint(leadership_may_act(&l, T0_MS + 4100), ==, c->may_act);
	leadership_clear(&l);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(previous_cases); i++)
		g_test_add_data_func(previous_cases[i].name, &previous_cases[i],
				     test_previous_holder);
	for (guint i = 0; i < G_N_ELEMENTS(lost_answer_cases); i++)
		g_test_add_data_func(lost_answer_cases[i].name,
				     &lost_answer_cases[i], test_lost_answer);
	for (guint i = 0; i < G_N_ELEMENTS(lease_cases); i++)
		g_test_add_data_func(lease_cases[i].name, &lease_cases[i],
				     test_lease);
	for (guint i = 0; i < G_N_ELEMENTS(takeover_rows); i++)
		g_test_add_data_func(takeover_rows[i].name, &takeover_rows[i],
				     test_takeover_row);
	g_test_add_func("/leadership/bound", test_lease_bound);
	return g_test_run();
}
