/*
 * What must hold in the world of the exploration after every event.
 */
#include "tests/gang_sim_parts.h"

/* What runs of one job, over all workers. */
struct running {
	int64_t attempt;
	int64_t members;
	int64_t alive; /* running */
	int64_t over;  /* done */
};

static void count_running(struct gang_sim *s, struct running *r)
{
	for (guint i = 0; i < WORKERS * 64; i++) {
		const struct sim_worker *w = &s->workers[i / 64];
		const struct sim_task *t;
		struct task_name name = { 0 };
		struct running *x;

		if (i % 64 >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i % 64];
		if ((t->state != TASK_RUNNING && t->state != TASK_DONE) ||
		    !task_name_parse(t->name, &name))
			continue;
		x = &r[gang_sim_job(name.job)];
		if (t->state == TASK_RUNNING && x->alive &&
		    x->attempt != name.attempt)
			gang_sim_violate(s, "two attempts at once", t->name);
		if (t->state == TASK_RUNNING) {
			x->over = x->attempt == name.attempt ? x->over : 0;
			x->attempt = name.attempt;
			x->members = name.members;
			x->alive++;
		} else if (x->attempt == name.attempt || !x->alive) {
			x->over = x->attempt == name.attempt ? x->over + 1 : 1;
			x->attempt = name.attempt;
		}
		task_name_clear(&name);
	}
}

void gang_sim_check(struct gang_sim *s)
{
	struct running r[JOBS] = { 0 };

	count_running(s, r);
	for (guint i = 0; i < JOBS; i++) {
		gboolean is_partial =
			r[i].alive && r[i].alive + r[i].over < r[i].members;
		int64_t since_ms;

		since_ms = MAX(s->partial_since_ms[i], s->takeover_ms);
		if (!is_partial)
			s->partial_since_ms[i] = s->now_ms;
		else if (s->now_ms - since_ms > PARTIAL_BOUND_MS)
			gang_sim_violate(s, "gang in part beyond the bound",
					 s->rows[i].record.id);
	}
}
