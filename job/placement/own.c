#include "job/placement/own.h"

#include "job/guarantee_plan.h"

/* Racks and workers that are compared for the least loss. */
#define PLACES_COMPARED 8

/* Slots that a job takes, and how many members go into each. */
struct choice {
	GPtrArray *slots;
	GArray *members; /* of int64_t, by slot */
};

static void choice_init(struct choice *c)
{
	c->slots = g_ptr_array_new();
	c->members = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static void choice_clear(struct choice *c)
{
	g_ptr_array_unref(c->slots);
	g_array_unref(c->members);
}

static int64_t slot_times(const struct slot *s, struct resources need)
{
	return resources_times(resources_minus(s->guarantee->size, s->used),
			       need);
}

/* Adds slots of a guarantee, used or idle ones; returns members still open. */
static int64_t choose_slots(struct choice *c, struct guarantee *g,
			    const struct pool_job *job, gboolean is_used,
			    int64_t open)
{
	struct resources need = resources_of_member(&job->shape);

	for (int64_t i = 0; i < g->shape.members && open > 0; i++) {
		struct slot *s = &g->slots[i];
		int64_t n = MIN(slot_times(s, need), open);

		if (n == 0 || !s->worker || !s->worker->is_usable ||
		    slot_is_used(s) != is_used)
			continue;
		g_ptr_array_add(c->slots, s);
		g_array_append_val(c->members, n);
		open -= n;
	}
	return open;
}

/* Tells whether slots of a guarantee are as near as the job needs. */
static gboolean is_near_enough(const struct guarantee *g,
			       const struct pool_job *job,
			       const struct choice *c)
{
	if (job->shape.adjacency <= g->shape.adjacency)
		return TRUE;
	return c->slots->len == 1;
}

/* Chooses slots of one guarantee; partly used ones first. */
static gboolean choose_from(struct choice *c, struct guarantee *g,
			    const struct pool_job *job)
{
	int64_t open = job->shape.members;

	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	open = choose_slots(c, g, job, TRUE, open);
	open = choose_slots(c, g, job, FALSE, open);
	if (open == 0 && is_near_enough(g, job, c))
		return TRUE;
	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	return choose_slots(c, g, job, FALSE, job->shape.members) == 0 &&
	       is_near_enough(g, job, c);
}

/* Chooses slots of all guarantees of an account; only without adjacency. */
static gboolean choose_from_all(struct choice *c, const GPtrArray *list,
				const struct pool_job *job)
{
	int64_t open = job->shape.members;

	if (job->shape.adjacency != ADJACENCY_NONE)
		return FALSE;
	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	for (guint i = 0; i < list->len; i++)
		open = choose_slots(c, list->pdata[i], job, TRUE, open);
	for (guint i = 0; i < list->len; i++)
		open = choose_slots(c, list->pdata[i], job, FALSE, open);
	return open == 0;
}

/* Returns the resources of chosen idle slots that the job leaves unused. */
static int64_t waste_of(const struct choice *c, const struct pool_job *job)
{
	struct resources need = resources_of_member(&job->shape);
	int64_t waste = 0;

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];
		int64_t n = g_array_index(c->members, int64_t, i);

		if (slot_is_used(s))
			continue;
		waste +=
			s->guarantee->size.accelerators - n * need.accelerators;
		waste += s->guarantee->size.cores - n * need.cores;
	}
	return waste;
}

static void choice_swap(struct choice *a, struct choice *b)
{
	struct choice t = *a;

	*a = *b;
	*b = t;
}

/* Chooses the slots that the job fills best. */
static gboolean choose(struct choice *best, const GPtrArray *list,
		       const struct pool_job *job)
{
	struct choice c;
	gboolean is_found = FALSE;

	choice_init(&c);
	for (guint i = 0; i < list->len; i++) {
		if (!choose_from(&c, list->pdata[i], job))
			continue;
		if (!is_found || waste_of(&c, job) < waste_of(best, job))
			choice_swap(&c, best);
		is_found = TRUE;
	}
	choice_clear(&c);
	return is_found || choose_from_all(best, list, job);
}

static void list_workers(struct own_offer *o, const struct choice *c)
{
	g_ptr_array_set_size(o->workers, 0);
	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];
		int64_t n = g_array_index(c->members, int64_t, i);

		for (; n > 0; n--)
			g_ptr_array_add(o->workers, s->worker);
	}
}

/* Returns what the offer loses with the slots where they are, or -1. */
static int64_t evaluate(struct own_offer *o, const struct choice *c)
{
	list_workers(o, c);
	if (!reclaim_choose(&o->reclaim, o->workers))
		return -1;
	if (o->reclaim.victims->len == 0)
		return 0;
	return o->reclaim.loss + 1;
}

/* Moves an idle, unbound slot to a worker with room for all of it. */
static void move_slot(struct pool *pool, struct slot *s)
{
	struct resources size = s->guarantee->size;
	struct cell_cursor c = cell_index_from(&pool->free, size.accelerators);
	guint tries = PLACES_COMPARED;
	guint index;

	if (resources_fit(size, worker_cell_free(s->worker)))
		return;
	while (tries-- > 0 && cell_index_next(&pool->free, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		pool->visits++;
		if (!resources_fit(size, worker_cell_free(w)) ||
		    !resources_fit(size, worker_cell_unplanned(w)))
			continue;
		guarantee_plan_set(pool, s, w);
		return;
	}
}

static void move_unbound(struct pool *pool, const struct choice *c)
{
	for (guint i = 0; i < c->slots->len; i++) {
		struct slot *s = c->slots->pdata[i];

		if (s->guarantee->shape.adjacency == ADJACENCY_NONE &&
		    !slot_is_used(s))
			move_slot(pool, s);
	}
}

/* Tries racks for an idle guarantee that needs one; keeps the cheapest. */
static void move_rack(struct own_offer *o, struct pool *pool,
		      const struct choice *c, int64_t loss)
{
	const struct slot *s = c->slots->pdata[0];
	struct guarantee *g = s->guarantee;
	struct rack_cell *best = s->worker->rack;
	struct cell_cursor cursor = cell_index_from(
		&pool->racks_free, shape_accelerators(&o->reclaim.job->shape));
	GArray *racks = g_array_new(FALSE, FALSE, sizeof(guint));
	guint index;

	while (racks->len < PLACES_COMPARED &&
	       cell_index_next(&pool->racks_free, &cursor, &index))
		g_array_append_val(racks, index);
	for (guint i = 0; i < racks->len && loss != 0; i++) {
		struct rack_cell *rack =
			pool->racks->pdata[g_array_index(racks, guint, i)];
		int64_t n;

		pool->visits++;
		if (rack == best || !guarantee_plan_fits_rack(g, rack))
			continue;
		guarantee_plan_move_rack(pool, g, rack);
		n = evaluate(o, c);
		if (n < 0 || (loss >= 0 && n >= loss)) {
			o->runner_up = rack->name;
			continue;
		}
		o->runner_up = best->name;
		best = rack;
		loss = n;
	}
	g_array_unref(racks);
	if (s->worker->rack != best)
		guarantee_plan_move_rack(pool, g, best);
}

static gboolean is_snug(const struct choice *c, const struct pool_job *job)
{
	struct resources size = { 0, 0, 0 };

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];

		size = resources_plus(size, s->guarantee->size);
	}
	if (size.accelerators > 0)
		return 2 * shape_accelerators(&job->shape) >= size.accelerators;
	return 2 * job->shape.members * job->shape.cores >= size.cores;
}

static void improve(struct own_offer *o, struct pool *pool,
		    const struct choice *c)
{
	const struct slot *s = c->slots->pdata[0];
	int64_t loss = evaluate(o, c);

	if (loss == 0)
		return;
	move_unbound(pool, c);
	if (s->guarantee->shape.adjacency == ADJACENCY_RACK &&
	    !guarantee_is_used(s->guarantee))
		move_rack(o, pool, c, loss);
}

gboolean own_offer_find(struct own_offer *o, struct pool *pool,
			const struct pool_job *job, int64_t now_ms)
{
	GPtrArray *list = pool_guarantees_of(pool, job->client_account);
	struct choice c;
	gboolean is_found = FALSE;

	o->workers = g_ptr_array_new();
	o->runner_up = "";
	reclaim_init(&o->reclaim, pool, job, now_ms, reclaim_borrowed, NULL);
	choice_init(&c);
	if (list && choose(&c, list, job)) {
		improve(o, pool, &c);
		o->is_snug = is_snug(&c, job);
		is_found = evaluate(o, &c) >= 0;
	}
	choice_clear(&c);
	return is_found;
}

void own_offer_clear(struct own_offer *o)
{
	g_ptr_array_unref(o->workers);
	reclaim_clear(&o->reclaim);
}
