/* Checks of the plan and the books of a pool, from scratch. */
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"

struct tally {
	struct resources used;
	struct resources stopping;
	struct resources borrowed;
	struct resources planned;
};

static struct tally *tally_workers(const struct pool *pool)
{
	struct tally *t = g_new0(struct tally, MAX(pool->workers->len, 1));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct running_job *r = value;
		struct resources need = resources_of_member(&r->job.shape);

		for (guint i = 0; i < r->workers->len; i++) {
			const struct worker_cell *w = r->workers->pdata[i];
			struct tally *at = &t[w->index];

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

static gboolean same(struct resources a, struct resources b)
{
	return resources_fit(a, b) && resources_fit(b, a);
}

static void check_worker(const struct worker_cell *w, const struct tally *t,
			 struct finding_list *findings)
{
	if (!resources_fit(t->used, w->capacity))
		finding_list_add(findings, w->name, "", "oversubscribed");
	if (!same(t->used, w->used) || !same(t->stopping, w->stopping) ||
	    !same(t->borrowed, w->borrowed))
		finding_list_add(findings, w->name, "", "counters are wrong");
}

static void check_job_slots(const struct running_job *r,
			    struct finding_list *findings)
{
	for (guint i = 0; r->is_guaranteed && i < r->workers->len; i++) {
		const struct slot *s = r->slots[i];

		if (s->worker != r->workers->pdata[i])
			finding_list_add(findings, r->job.id, "",
					 "guaranteed work outside its slot");
		if (!resources_fit(s->used, s->guarantee->size))
			finding_list_add(findings, r->job.id, "",
					 "slot is overfull");
	}
}

gboolean pool_check_books(const struct pool *pool,
			  struct finding_list *findings)
{
	guint before = finding_list_count(findings);
	struct tally *t = tally_workers(pool);
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

/* Returns why a guarantee is not held, or NULL. */
static const char *plan_fault(const struct guarantee *g)
{
	const struct worker_cell *near = guarantee_first_worker(g);

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
		    s->worker->rack != near->rack)
			return "planned on two racks";
		if (g->shape.adjacency == ADJACENCY_WORKER && s->worker != near)
			return "planned on two workers";
	}
	return NULL;
}

/* Adds up what the plan and guaranteed work outside of it take of workers. */
static void tally_plan(const struct pool *pool, struct tally *t)
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
	struct tally *t = g_new0(struct tally, MAX(pool->workers->len, 1));

	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];
		const char *fault = plan_fault(g);
		char *place;

		if (!fault)
			continue;
		place = guarantee_plan_place(pool, g);
		finding_list_add(findings, place, "", "%s", fault);
		g_free(place);
	}
	tally_plan(pool, t);
	for (guint i = 0; i < pool->workers->len; i++) {
		const struct worker_cell *w = pool->workers->pdata[i];

		if (!resources_fit(t[i].planned, w->capacity))
			finding_list_add(findings, w->name, "",
					 "more is promised than it has");
	}
	g_free(t);
	return finding_list_count(findings) == before;
}
