/*
 * Tests of the progress rows of jobs: their size at the limits of what is
 * accepted, and what the next holder reads from them.
 */
#include <glib.h>

#include "sched/fleet.h"
#include "sched/job_progress.h"

#define ROW_BYTES 65536
#define ATTEMPTS 3 /* failed runs of each failing task */
#define FIRST_RUN (INT64_C(9) << 32)

struct shape {
	const char *name;
	int64_t steps;
	int64_t tasks; /* of each step */
	int64_t occurrences;
	guint stuck_every; /* tasks that aren't done: each n-th, 0 for none */
	gboolean has_checkpoints; /* the tasks that aren't done */
	gboolean has_failures;
	enum progress_cut cut; /* expected */
};

static const struct shape shapes[] = {
	{ "/job-progress/small", 2, 3, 0, 2, TRUE, TRUE, PROGRESS_WHOLE },
	/* Case 2 of the review: one occurrence after the other is done. */
	{ "/job-progress/repeated", 1, 1, 10000, 0, FALSE, FALSE,
	  PROGRESS_WHOLE },
	{ "/job-progress/repeated-first-stuck", 1, 1, 10000, 10000, TRUE, TRUE,
	  PROGRESS_WHOLE },
	{ "/job-progress/repeated-half-stuck", 1, 1, 10000, 2, TRUE, TRUE,
	  PROGRESS_WHOLE },
	{ "/job-progress/repeated-steps", 100, 1, 1000, 3, TRUE, TRUE,
	  PROGRESS_WHOLE },
	{ "/job-progress/wide-half-done", 1, 10000, 0, 2, FALSE, FALSE,
	  PROGRESS_WHOLE },
	{ "/job-progress/wide-checkpoints", 1, 10000, 0, 1, TRUE, FALSE,
	  PROGRESS_NO_CHECKPOINTS },
	{ "/job-progress/wide-failures", 1, 10000, 0, 6, TRUE, TRUE,
	  PROGRESS_LAST_RUNS },
	{ "/job-progress/wide-all-failing", 1, 10000, 0, 1, TRUE, TRUE,
	  PROGRESS_NO_RUNS },
	{ "/job-progress/steps-all-failing", 100, 100, 0, 1, TRUE, TRUE,
	  PROGRESS_NO_RUNS },
};

static struct fleet_job *add_job(struct fleet *f, const struct shape *x)
{
	struct job_spec spec = { .repeat_count = x->occurrences };

	spec.steps = g_array_new(FALSE, TRUE, sizeof(struct step_spec));
	for (int64_t i = 0; i < x->steps; i++) {
		struct step_spec step = { .task_count = x->tasks };

		g_array_append_val(spec.steps, step);
	}
	return fleet_add_job(f, "00000000000000aa", "bulk", NULL, &spec);
}

/* Encodes the row and checks its size; the store has it from then on. */
static json_object *store(struct fleet_job *job, enum progress_cut *cut)
{
	json_object *row = job_progress_encode(job, ROW_BYTES, cut);

	g_assert_cmpuint(job_row_bytes(row), <=, ROW_BYTES);
	job->stored_first = job->first_occurrence;
	return row;
}

static void advance_step(const struct shape *x, struct fleet_step *step)
{
	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];
		guint number = step->occurrence * step->task_count + i;

		if (!x->stuck_every || number % x->stuck_every) {
			fleet_task_mark_done(t);
			continue;
		}
		if (x->has_checkpoints)
			t->checkpoint = g_strdup_printf("%016x", number);
		for (guint k = 0; x->has_failures && k < ATTEMPTS; k++)
			run_set_add(&t->failed, FIRST_RUN + number + k);
	}
}

/* Opens occurrences as long as that is allowed, and gets each as far as it can.
 * Returns the greatest cut of a row. */
static enum progress_cut advance_job(const struct shape *x,
				     struct fleet_job *job)
{
	enum progress_cut worst = PROGRESS_WHOLE;
	enum progress_cut cut;

	while (fleet_job_may_open(job)) {
		guint first = job->steps->len;

		fleet_job_add_occurrence(job);
		for (guint i = first; i < job->steps->len; i++)
			advance_step(x, job->steps->pdata[i]);
		fleet_job_drop_done(job);
		json_object_put(store(job, &cut));
		worst = MAX(worst, cut);
	}
	return worst;
}

static void assert_same_step(const struct fleet_step *a,
			     const struct fleet_step *b)
{
	g_assert_cmpuint(a->done_count, ==, b->done_count);
	for (guint i = 0; i < a->task_count; i++) {
		g_assert_cmpint(a->tasks[i].state == TASK_DONE, ==,
				b->tasks[i].state == TASK_DONE);
		g_assert_cmpuint(run_set_count(&a->tasks[i].failed), ==,
				 run_set_count(&b->tasks[i].failed));
	}
}

/* The last failed run is known by its number unless the row has no room for
 * any: its end may be reported again. */
static void assert_last_run_known(const struct fleet_step *b,
				  enum progress_cut cut)
{
	for (guint i = 0; i < b->task_count && cut < PROGRESS_NO_RUNS; i++) {
		struct run_set *s = &b->tasks[i].failed;
		guint number = b->occurrence * b->task_count + i;

		if (run_set_count(s))
			g_assert_false(run_set_add(s, FIRST_RUN + number +
							      ATTEMPTS - 1));
	}
}

static void test_shape(gconstpointer data)
{
	const struct shape *x = data;
	struct fleet own;
	struct fleet next;
	struct fleet_job *job;
	struct fleet_job *read;
	enum progress_cut cut;
	json_object *row;

	fleet_init(&own);
	fleet_init(&next);
	job = add_job(&own, x);
	read = add_job(&next, x);
	g_assert_cmpint(advance_job(x, job), ==, x->cut);
	row = store(job, &cut);
	job_progress_merge(read, row);
	g_assert_cmpuint(read->first_occurrence, ==, job->first_occurrence);
	g_assert_cmpuint(read->stored_first, ==, job->first_occurrence);
	for (guint i = 0; i < job->steps->len; i++) {
		const struct fleet_step *a = job->steps->pdata[i];
		const struct fleet_step *b =
			fleet_job_step(read, a->occurrence, a->index);

		if (!b) /* without progress */
			continue;
		assert_same_step(a, b);
		assert_last_run_known(b, cut);
	}
	g_assert_cmpuint(job->steps->len, <=,
			 MAX(JOB_OPEN_TASKS, x->steps * x->tasks));
	json_object_put(row);
	fleet_clear(&own);
	fleet_clear(&next);
}

/* Rows of earlier versions, with lists of numbers and empty members. */
static void test_earlier_version(void)
{
	static const struct shape x = { .steps = 1,
					.tasks = 4,
					.occurrences = 5 };
	json_object *row = json_tokener_parse(
		"{\"state\":\"active\",\"steps\":["
		"{\"occurrence\":0,\"step\":0,\"done\":true,\"failures\":[],"
		"\"checkpoints\":[],\"gang_failures\":[]},"
		"{\"occurrence\":1,\"step\":0,\"done\":[0,3],\"failures\":"
		"[[1,[7,8]]],\"checkpoints\":[[2,\"c2\"]],"
		"\"gang_failures\":[]}]}");
	const struct fleet_step *step;
	struct fleet_job *job;
	struct fleet f;

	fleet_init(&f);
	job = add_job(&f, &x);
	g_assert_false(job_progress_merge(job, row));
	fleet_job_drop_done(job);
	g_assert_cmpuint(job->first_occurrence, ==, 1);
	step = fleet_job_step(job, 1, 0);
	g_assert_cmpuint(step->done_count, ==, 2);
	g_assert_cmpint(step->tasks[3].state, ==, TASK_DONE);
	g_assert_cmpuint(run_set_count(&step->tasks[1].failed), ==, 2);
	g_assert_cmpstr(step->tasks[2].checkpoint, ==, "c2");
	json_object_put(row);
	fleet_clear(&f);
}

/* An own row that lists fewer runs than are known adds none. */
static void test_own_cut_row(void)
{
	static const struct shape x = { "", 1,	   10000, 0,
					1,  FALSE, TRUE,  PROGRESS_NO_RUNS };
	enum progress_cut cut;
	struct fleet_job *job;
	json_object *row;
	struct fleet f;

	fleet_init(&f);
	job = add_job(&f, &x);
	advance_job(&x, job);
	row = store(job, &cut);
	job_progress_merge(job, row);
	for (guint i = 0; i < 10000; i++) {
		const struct fleet_step *step = job->steps->pdata[0];

		g_assert_cmpuint(run_set_count(&step->tasks[i].failed), ==,
				 ATTEMPTS);
	}
	json_object_put(row);
	fleet_clear(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(shapes); i++)
		g_test_add_data_func(shapes[i].name, &shapes[i], test_shape);
	g_test_add_func("/job-progress/earlier-version", test_earlier_version);
	g_test_add_func("/job-progress/own-cut-row", test_own_cut_row);
	return g_test_run();
}
