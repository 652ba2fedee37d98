#include "job/placement/own.h"

#include "job/guarantee_move.h"
#include "job/guarantee_slots.h"
#include "job/reservation.h"

/* Workers, and racks, that are compared for the least loss. */
#define PLACES_COMPARED 24
#define RACKS_COMPARED 8
/* What taking an accelerator from a reservation counts as. */
#define RESERVED_COST_MS (INT64_C(60) * 1000)
/* The cheapest of them that the plan is tried to be moved to. */
#define MOVES_TRIED 4

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

/* Returns what stops, and what a waiting gang loses of its reservation. */
static int64_t cost_of(const struct own_offer *o)
{
	const struct reclaim *r = &o->reclaim;
	int64_t cost = r->victims->len ? r->loss + 1 : 0;

	for (guint i = 0; i < o->workers->len; i++) {
		if (!reservation_allows(r->pool, o->workers->pdata[i], r->job,
					r->now_ms))
			cost += RESERVED_COST_MS * r->job->shape.accelerators;
	}
	return cost;
}

/* Returns what the offer loses with the slots where they are, or -1. */
static int64_t evaluate(struct own_offer *o, const struct choice *c)
{
	list_workers(o, c);
	if (!reclaim_choose(&o->reclaim, o->workers))
		return -1;
	return cost_of(o);
}

/* Returns what stopping for members of the job on one worker loses, or -1. */
static int64_t loss_on(struct own_offer *o, struct worker_cell *w,
		       int64_t members)
{
	g_ptr_array_set_size(o->workers, 0);
	for (; members > 0; members--)
		g_ptr_array_add(o->workers, w);
	if (!reclaim_choose(&o->reclaim, o->workers))
		return -1;
	return cost_of(o);
}

/* A place that idle slots could move to. */
struct place {
	struct worker_cell *worker;
	struct rack_cell *rack; /* NULL for a worker */
	int64_t loss;
};

static gint compare_places(gconstpointer a, gconstpointer b)
{
	const struct place *x = a;
	const struct place *y = b;

	return (x->loss > y->loss) - (x->loss < y->loss);
}

/* Adds a worker that loses less than @most; TRUE when it loses nothing. */
static gboolean add_worker(struct own_offer *o, struct worker_cell *w,
			   int64_t members, int64_t most, GArray *places)
{
	struct place p = { w, NULL, 0 };

	o->reclaim.pool->visits++;
	if (!w->is_usable)
		return FALSE;
	p.loss = loss_on(o, w, members);
	if (p.loss < 0 || (most >= 0 && p.loss >= most))
		return FALSE;
	g_array_append_val(places, p);
	return p.loss == 0;
}

/*
 * Lists workers to move to: those with the room free, best fit first, then a
 * sample of all that goes on from where the last one ended.
 */
static GArray *list_workers_to(struct own_offer *o, struct resources size,
			       int64_t members, int64_t most)
{
	struct pool *pool = o->reclaim.pool;
	struct cell_cursor c = cell_index_from(&pool->free, size.accelerators);
	GArray *places = g_array_new(FALSE, FALSE, sizeof(struct place));
	guint tries = PLACES_COMPARED;
	guint index;

	while (tries-- > 0 && cell_index_next(&pool->free, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (add_worker(o, w, members, most, places) &&
		    resources_fit(size, worker_cell_unplanned(w)))
			return places;
	}
	for (guint i = 0; i < MIN(PLACES_COMPARED, pool->workers->len); i++) {
		index = pool->next_sample++ % pool->workers->len;
		add_worker(o, pool->workers->pdata[index], members, most,
			   places);
	}
	return places;
}

/* Moves slots to the cheapest of some workers that the plan allows. */
static void move_to_cheapest(struct own_offer *o, GArray *places,
			     struct slot **slots, guint count, const char *old)
{
	struct worker_cell **targets = g_new(struct worker_cell *, count);

	g_array_sort(places, compare_places);
	for (guint i = 0; i < MIN(places->len, MOVES_TRIED); i++) {
		const struct place *p = &g_array_index(places, struct place, i);
		for (guint k = 0; k < count; k++)
			targets[k] = p->worker;
		if (!guarantee_move(o->reclaim.pool, slots, targets, count))
			continue;
		o->runner_up = old;
		break;
	}
	g_free(targets);
}

/* Moves an idle slot that is not bound to others to the cheapest worker. */
static void move_slot(struct own_offer *o, struct slot *s, int64_t members)
{
	int64_t loss = loss_on(o, s->worker, members);
	GArray *places;

	if (loss == 0)
		return;
	places = list_workers_to(o, s->guarantee->size, members, loss);
	move_to_cheapest(o, places, &s, 1, s->worker->name);
	g_array_unref(places);
}

static void move_unbound(struct own_offer *o, const struct choice *c)
{
	for (guint i = 0; i < c->slots->len; i++) {
		struct slot *s = c->slots->pdata[i];

		if (s->guarantee->shape.adjacency == ADJACENCY_NONE &&
		    !slot_is_used(s))
			move_slot(o, s, g_array_index(c->members, int64_t, i));
	}
}

static struct slot **all_slots(const struct guarantee *g)
{
	struct slot **slots = g_new(struct slot *, g->shape.members);

	for (int64_t i = 0; i < g->shape.members; i++)
		slots[i] = &g->slots[i];
	return slots;
}

/* Moves an idle guarantee that is bound to one worker to the cheapest. */
static void move_worker(struct own_offer *o, const struct choice *c,
			int64_t loss)
{
	const struct slot *s = c->slots->pdata[0];
	const struct guarantee *g = s->guarantee;
	struct slot **slots = all_slots(g);
	int64_t n = g->shape.members;
	struct resources size = { g->size.accelerators * n, g->size.cores * n,
				  g->size.memory_mb * n };
	GArray *places =
		list_workers_to(o, size, o->reclaim.job->shape.members, loss);

	move_to_cheapest(o, places, slots, (guint)n, s->worker->name);
	g_array_unref(places);
	g_free(slots);
}

/*
 * Chooses the workers of a rack that lose least when each makes room for as
 * many slots as it can hold; FALSE when the rack is too small.
 */
static gboolean choose_targets(struct own_offer *o, const struct guarantee *g,
			       const struct rack_cell *rack,
			       struct worker_cell **targets, int64_t *loss)
{
	GArray *places = g_array_new(FALSE, FALSE, sizeof(struct place));
	int64_t count = 0;

	*loss = 0;
	for (guint i = 0; i < rack->workers->len; i++)
		add_worker(o, rack->workers->pdata[i], 1, -1, places);
	g_array_sort(places, compare_places);
	for (guint i = 0; i < places->len && count < g->shape.members; i++) {
		const struct place *p = &g_array_index(places, struct place, i);
		int64_t n = resources_times(p->worker->capacity, g->size);

		for (; n > 0 && count < g->shape.members; n--)
			targets[count++] = p->worker;
		*loss += p->loss;
	}
	g_array_unref(places);
	return count == g->shape.members;
}

static void add_rack(struct own_offer *o, const struct guarantee *g,
		     struct rack_cell *rack, int64_t most, GArray *places)
{
	struct worker_cell **targets =
		g_new(struct worker_cell *, g->shape.members);
	struct place p = { NULL, rack, 0 };

	if (choose_targets(o, g, rack, targets, &p.loss) &&
	    (most < 0 || p.loss < most))
		g_array_append_val(places, p);
	g_free(targets);
}

/* Lists racks as list_workers_to() does workers. */
static GArray *list_racks_to(struct own_offer *o, const struct guarantee *g,
			     int64_t most)
{
	struct pool *pool = o->reclaim.pool;
	struct cell_cursor c = cell_index_from(&pool->racks_free,
					       shape_accelerators(&g->shape));
	GArray *places = g_array_new(FALSE, FALSE, sizeof(struct place));
	guint tries = RACKS_COMPARED;
	guint index;

	while (tries-- > 0 && cell_index_next(&pool->racks_free, &c, &index))
		add_rack(o, g, pool->racks->pdata[index], most, places);
	for (guint i = 0; i < MIN(RACKS_COMPARED, pool->racks->len); i++) {
		index = pool->next_sample++ % pool->racks->len;
		add_rack(o, g, pool->racks->pdata[index], most, places);
	}
	return places;
}

/* Moves an idle guarantee that needs a rack to where the least is lost. */
static void move_rack(struct own_offer *o, const struct choice *c, int64_t loss)
{
	struct pool *pool = o->reclaim.pool;
	const struct slot *s = c->slots->pdata[0];
	struct guarantee *g = s->guarantee;
	struct slot **slots = all_slots(g);
	struct worker_cell **targets =
		g_new(struct worker_cell *, g->shape.members);
	struct worker_cell **before =
		g_new(struct worker_cell *, g->shape.members);
	GArray *places = list_racks_to(o, g, loss);

	g_array_sort(places, compare_places);
	for (guint i = 0; i < MIN(places->len, MOVES_TRIED) && loss != 0; i++) {
		const struct place *p = &g_array_index(places, struct place, i);
		const char *old = s->worker->rack->name;
		int64_t n;

		for (int64_t k = 0; k < g->shape.members; k++)
			before[k] = g->slots[k].worker;
		choose_targets(o, g, p->rack, targets, &n);
		if (!guarantee_move(pool, slots, targets,
				    (guint)g->shape.members))
			continue;
		n = evaluate(o, c);
		if (n >= 0 && (loss < 0 || n < loss)) {
			loss = n;
			o->runner_up = old;
		} else {
			guarantee_move(pool, slots, before,
				       (guint)g->shape.members);
		}
	}
	g_array_unref(places);
	g_free(before);
	g_free(targets);
	g_free(slots);
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

/* Tells whether the job takes all of one guarantee. */
static gboolean is_whole(const struct choice *c, const struct pool_job *job)
{
	const struct slot *first = c->slots->pdata[0];
	const struct guarantee *g = first->guarantee;

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];

		if (s->guarantee != g || slot_is_used(s))
			return FALSE;
	}
	return c->slots->len == g->shape.members && is_snug(c, job);
}

static void improve(struct own_offer *o, const struct choice *c)
{
	const struct slot *s = c->slots->pdata[0];
	struct guarantee *g = s->guarantee;

	int64_t loss = evaluate(o, c);

	if (loss == 0)
		return;
	move_unbound(o, c);
	if (guarantee_is_used(g))
		return;
	if (g->shape.adjacency == ADJACENCY_RACK)
		move_rack(o, c, loss);
	else if (g->shape.adjacency == ADJACENCY_WORKER)
		move_worker(o, c, loss);
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
		improve(o, &c);
		o->is_snug = is_snug(&c, job);
		o->is_whole = is_whole(&c, job);
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
