/* Checks the plan and the accounting of a pool by computing both anew. */
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"

/* Sums over the jobs and the plan for one worker. */
struct worker_sums {
	struct resources used;
	struct resources stopping;
	struct resources borrowed;
	struct resources planned;
};

static struct worker_sums *sum_job_use(const struct pool *pool)
{
	struct worker_sums *t =
		g_new0(struct worker_sums, MAX(pool->workers->len, 1));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct running_job *r = value;
		struct resources need = resources_of_member(&r->job.shape);

		for (guint i = 0; i < r->workers->len; i++) {
			const struct worker_cell *w = r->workers->pdata[i];
			struct worker_sums *at = &t[w->index];

			if (r->is_stopping)
				at->stopping =
					resources_plus(at->stopping, need);
			else
				at->used = resources_plus(at->used, need);
			if (!r->is_stopping && !r->is_guaranteed)
				at->borrowed =
					resources_plus(at->borrowed, need);
		}
	}
	return t;
}

static gboolean resources_equal(struct resources a, struct resources b)
{
	return resources_fit(a, b) && resources_fit(b, a);
}

static void check_worker(const struct worker_cell *w,
			 const struct worker_sums *t,
			 struct finding_list *findings)
{
	if (!resources_fit(t->used, w->capacity))
		finding_list_add(findings, w->name, "", "oversubscribed");
	if (!resources_equal(t->used, w->used) ||
	    !resources_equal(t->stopping, w->stopping) ||
	    !resources_equal(t->borrowed, w->borrowed))
		finding_list_add(findings, w->name, "",
				 "resource counters do not match its jobs");
}

static void check_job_slots(const struct running_job *r,
			    struct finding_list *findings)
{
	for (guint i = 0; r->is_guaranteed && i < r->workers->len; i++) {
		const struct slot *s = r->slots[i];

		if (s->worker != r->workers->pdata[i])
			finding_list_add(
				findings, r->job.id, "",
				"guaranteed member is not on the worker of "
				"its slot");
		if (!resources_fit(s->used, s->guarantee->size))
			finding_list_add(findings, r->job.id, "",
					 "use exceeds the size of its slot");
	}
}

gboolean pool_check_accounting(const struct pool *pool,
			       struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	struct worker_sums *t = sum_job_use(pool);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < pool->workers->len; i++)
		check_worker(pool->workers->pdata[i], &t[i], findings);
	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_job_slots(value, findings);
	g_free(t);
	return finding_list_count(findings) == before;
}

/* Returns why an idle slot of a guarantee can't be reclaimed, or NULL. */
static const char *plan_fault(const struct guarantee *g)
{
	const struct worker_cell *first = guarantee_first_worker(g);

	for (int64_t i = 0; i < g->shape.members; i++) {
		const struct slot *s = &g->slots[i];

		if (slot_is_used(s))
			continue;
		if (!s->worker)
			return "no usable workers can hold it beside the other "
			       "guarantees and the guaranteed work that runs";
		if (!s->worker->is_usable)
			return "planned on a worker that is not usable";
		if (g->shape.adjacency == ADJACENCY_RACK &&
		    s->worker->rack != first->rack)
			return "needs one rack, but is planned on several";
		if (g->shape.adjacency == ADJACENCY_WORKER &&
		    s->worker != first)
			return "needs one worker, but is planned on several";
	}
	return NULL;
}

/* Sums the planned slots and the guaranteed work outside of them by worker. */
static void sum_planned(const struct pool *pool, struct worker_sums *t)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			const struct worker_cell *w = g->slots[k].worker;

			if (w)
				t[w->index].planned = resources_plus(
					t[w->index].planned, g->size);
		}
	}
	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct running_job *r = value;

		for (guint i = 0; r->is_guaranteed && i < r->workers->len;
		     i++) {
			const struct worker_cell *w = r->workers->pdata[i];

			if (r->slots[i]->worker != w)
				t[w->index].planned = resources_plus(
					t[w->index].planned,
					resources_of_member(&r->job.shape));
		}
	}
}

gboolean pool_check_guarantees(const struct pool *pool,
			       struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	struct worker_sums *t =
		g_new0(struct worker_sums, MAX(pool->workers->len, 1));

	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];
		const char *fault = plan_fault(g);
		char *place;

		if (!fault)
			continue;
		place = guarantee_config_path(pool, g);
		finding_list_add(findings, place, "", "%s", fault);
		g_free(place);
	}
	sum_planned(pool, t);
	for (guint i = 0; i < pool->workers->len; i++) {
		const struct worker_cell *w = pool->workers->pdata[i];

		if (!resources_fit(t[i].planned, w->capacity))
			finding_list_add(findings, w->name, "",
					 "planned slots and guaranteed work "
					 "exceed its capacity");
	}
	g_free(t);
	return finding_list_count(findings) == before;
}
