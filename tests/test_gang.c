/*
 * Preemption of a gang: the remaining work that is recorded after its
 * checkpoints, also if a new holder takes over meanwhile.
 */
#include <glib.h>

#include "job/gang.h"

#define NOW_MS INT64_C(1000)
#define MEMBERS 2
#define RUN_MS INT64_C(9000)
#define REMAINING_MS INT64_C(4000) /* of member 0; member 1 has 1 ms less */

enum seen { SEEN_RUNNING, SEEN_CHECKPOINTED, SEEN_DONE, SEEN_ABSENT };

/* Task states reported to a new holder, and the expected outcome. */
static const struct {
	enum seen seen[MEMBERS];
	gboolean is_answering; /* workers write the checkpoints asked for */
	enum gang_outcome outcome;
	int64_t remaining_ms;
} recovered_cases[] = {
	{ { SEEN_CHECKPOINTED, SEEN_CHECKPOINTED },
	  FALSE,
	  GANG_OUTCOME_PREEMPTED,
	  REMAINING_MS },
	{ { SEEN_CHECKPOINTED, SEEN_DONE },
	  FALSE,
	  GANG_OUTCOME_PREEMPTED,
	  REMAINING_MS },
	{ { SEEN_CHECKPOINTED, SEEN_RUNNING },
	  TRUE,
	  GANG_OUTCOME_PREEMPTED,
	  REMAINING_MS },
	{ { SEEN_CHECKPOINTED, SEEN_RUNNING },
	  FALSE,
	  GANG_OUTCOME_PREEMPTED,
	  RUN_MS },
	{ { SEEN_CHECKPOINTED, SEEN_ABSENT },
	  FALSE,
	  GANG_OUTCOME_PREEMPTED,
	  RUN_MS },
	{ { SEEN_RUNNING, SEEN_ABSENT }, FALSE, GANG_OUTCOME_LOST, RUN_MS },
};

static struct gang *new_gang(gboolean is_recovered)
{
	struct job_record r = {
		.id = "j",
		.attempt = 1,
		.shape = { MEMBERS, 1, 1, 1, ADJACENCY_NONE },
		.is_checkpointable = TRUE,
		.placement = g_ptr_array_new(),
	};
	struct gang *g;

	g_ptr_array_add(r.placement, "w0");
	g_ptr_array_add(r.placement, "w1");
	if (is_recovered)
		g = gang_recover(&r, NOW_MS);
	else
		g = gang_new(&r, r.placement, 1, NOW_MS);
	g_ptr_array_unref(r.placement);
	return g;
}

static void report(struct gang *g, guint member, enum seen seen)
{
	static const enum task_state states[] = { TASK_RUNNING,
						  TASK_CHECKPOINTED,
						  TASK_DONE };

	if (seen != SEEN_ABSENT)
		gang_on_task(g, member, states[seen], REMAINING_MS - member,
			     NOW_MS);
}

static void answer_checkpoints(struct gang *g)
{
	enum worker_op ops[2];

	for (guint i = 0; i < MEMBERS; i++) {
		if (gang_member_ops(g, i, ops) == 1 &&
		    ops[0] == WORKER_CHECKPOINT)
			gang_on_result(g, i, WORKER_CHECKPOINT, FALSE, NOW_MS);
	}
}

static void test_recovered(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(recovered_cases); i++) {
		struct gang *g = new_gang(TRUE);

		g_test_message("case %u", i);
		for (guint k = 0; k < MEMBERS; k++)
			report(g, k, recovered_cases[i].seen[k]);
		gang_adopt(g, NOW_MS);
		if (recovered_cases[i].is_answering)
			answer_checkpoints(g);
		gang_tick(g, NOW_MS + GANG_CHECKPOINT_GRACE_MS);
		g_assert_cmpint(g->state, ==, GANG_ENDING);
		g_assert_cmpint(g->outcome, ==, recovered_cases[i].outcome);
		g_assert_cmpint(gang_remaining_ms(g, RUN_MS), ==,
				recovered_cases[i].remaining_ms);
		gang_free(g);
	}
}

static struct gang *running_gang(int64_t remaining_ms)
{
	struct gang *g = new_gang(FALSE);

	gang_reserve(g, NOW_MS);
	for (guint i = 0; i < MEMBERS; i++)
		gang_on_result(g, i, WORKER_RESERVE, FALSE, NOW_MS);
	gang_on_committed(g, NOW_MS);
	for (guint i = 0; i < MEMBERS; i++)
		gang_on_task(g, i, TASK_RUNNING, remaining_ms, NOW_MS);
	return g;
}

/*
 * Reports may omit the tasks, so the last reported remaining work may be
 * outdated until the answer to the checkpoint reports it.
 */
static void test_late_report(void)
{
	struct gang *g = running_gang(RUN_MS);

	gang_preempt(g, NOW_MS);
	for (guint i = 0; i < MEMBERS; i++) {
		gang_on_result(g, i, WORKER_CHECKPOINT, FALSE, NOW_MS);
		report(g, i, SEEN_RUNNING);
	}
	g_assert_cmpint(g->outcome, ==, GANG_OUTCOME_PREEMPTED);
	g_assert_cmpint(gang_remaining_ms(g, RUN_MS), ==, REMAINING_MS);
	gang_free(g);
}

/* If the grace ends before all checkpoints are written, the gang starts over.
 */
static void test_grace_over(void)
{
	struct gang *g = running_gang(REMAINING_MS);

	gang_preempt(g, NOW_MS);
	gang_on_result(g, 0, WORKER_CHECKPOINT, FALSE, NOW_MS);
	gang_tick(g, NOW_MS + GANG_CHECKPOINT_GRACE_MS - 1);
	g_assert_cmpint(g->state, ==, GANG_CHECKPOINTING);
	gang_tick(g, NOW_MS + GANG_CHECKPOINT_GRACE_MS);
	g_assert_cmpint(g->outcome, ==, GANG_OUTCOME_PREEMPTED);
	g_assert_cmpint(gang_remaining_ms(g, RUN_MS), ==, RUN_MS);
	gang_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gang/recovered-checkpoints", test_recovered);
	g_test_add_func("/gang/late-report", test_late_report);
	g_test_add_func("/gang/grace-over", test_grace_over);
	return g_test_run();
}
