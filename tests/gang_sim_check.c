/*
 * Invariants of the gang simulation, checked after every event.
 */
#include "tests/gang_sim_internal.h"

/* Tasks of one job's attempt on all workers. */
struct attempt_tasks {
	int64_t attempt;
	int64_t members;
	int64_t running; /* count of tasks */
	int64_t done;	 /* count of tasks */
};

static void count_tasks(struct gang_sim *s, struct attempt_tasks *r)
{
	for (guint i = 0; i < WORKERS * 64; i++) {
		const struct sim_worker *w = &s->workers[i / 64];
		const struct sim_task *t;
		struct task_name name = { 0 };
		struct attempt_tasks *x;

		if (i % 64 >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i % 64];
		if ((t->state != TASK_RUNNING && t->state != TASK_DONE) ||
		    !task_name_parse(t->name, &name))
			continue;
		x = &r[gang_sim_job_index(name.job)];
		if (t->state == TASK_RUNNING && x->running &&
		    x->attempt != name.attempt)
			gang_sim_violate(s, "two attempts at once", t->name);
		if (t->state == TASK_RUNNING) {
			x->done = x->attempt == name.attempt ? x->done : 0;
			x->attempt = name.attempt;
			x->members = name.members;
			x->running++;
		} else if (x->attempt == name.attempt || !x->running) {
			x->done = x->attempt == name.attempt ? x->done + 1 : 1;
			x->attempt = name.attempt;
		}
		task_name_clear(&name);
	}
}

void gang_sim_check(struct gang_sim *s)
{
	struct attempt_tasks r[JOBS] = { 0 };

	count_tasks(s, r);
	for (guint i = 0; i < JOBS; i++) {
		gboolean is_partial =
			r[i].running && r[i].running + r[i].done < r[i].members;
		int64_t since_ms;

		since_ms = MAX(s->partial_since_ms[i], s->takeover_ms);
		if (!is_partial)
			s->partial_since_ms[i] = s->now_ms;
		else if (s->now_ms - since_ms > PARTIAL_BOUND_MS)
			gang_sim_violate(s,
					 "gang ran partially beyond the bound",
					 s->rows[i].record.id);
	}
}
