#include "job/guarantee_plan.h"

/* A change of the plan that can be undone. */
struct plan_change {
	struct slot *slot;
	struct worker_cell *old;
};

gboolean slot_is_used(const struct slot *slot)
{
	return !resources_is_zero(slot->used);
}

gboolean guarantee_is_used(const struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (slot_is_used(&g->slots[i]))
			return TRUE;
	}
	return FALSE;
}

void guarantee_plan_set(struct pool *pool, struct slot *slot,
			struct worker_cell *worker)
{
	struct resources size = slot->guarantee->size;
	struct worker_cell *old = slot->worker;

	if (old == worker)
		return;
	if (pool->plan_changes) {
		struct plan_change change = { slot, old };

		g_array_append_val(pool->plan_changes, change);
	}
	slot->worker = worker;
	if (old) {
		g_ptr_array_remove_fast(old->slots, slot);
		old->committed = resources_minus(old->committed, size);
		pool_refresh_worker(pool, old);
	}
	if (worker) {
		g_ptr_array_add(worker->slots, slot);
		worker->committed = resources_plus(worker->committed, size);
		pool_refresh_worker(pool, worker);
	}
	pool->unheld += (worker == NULL) - (old == NULL);
}

static gboolean fits(struct pool *pool, const struct worker_cell *w,
		     struct resources size)
{
	pool->visits++;
	return w->is_usable && resources_fit(size, worker_cell_unplanned(w));
}

/* Returns the first worker in use or planned by a guarantee, or NULL. */
static struct worker_cell *first_worker(const struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (g->slots[i].worker)
			return g->slots[i].worker;
	}
	return NULL;
}

static void take_off_idle(struct pool *pool, struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (!slot_is_used(&g->slots[i]))
			guarantee_plan_set(pool, &g->slots[i], NULL);
	}
}

static int64_t count_unheld(const struct guarantee *g)
{
	int64_t n = 0;

	for (int64_t i = 0; i < g->shape.members; i++)
		n += g->slots[i].worker == NULL;
	return n;
}

/* Plans a slot anywhere, on the worker with the least room that holds it. */
static void plan_anywhere(struct pool *pool, struct slot *slot)
{
	struct resources size = slot->guarantee->size;
	struct cell_cursor c =
		cell_index_from(&pool->unplanned, size.accelerators);
	guint index;

	while (cell_index_next(&pool->unplanned, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (fits(pool, w, size)) {
			guarantee_plan_set(pool, slot, w);
			return;
		}
	}
}

/* Plans the open slots of a guarantee on some workers, in their order. */
static void fill(struct pool *pool, struct guarantee *g,
		 struct worker_cell *const *workers, guint count)
{
	guint k = 0;

	for (int64_t i = 0; i < g->shape.members; i++) {
		if (g->slots[i].worker)
			continue;
		while (k < count && !fits(pool, workers[k], g->size))
			k++;
		if (k == count)
			return;
		guarantee_plan_set(pool, &g->slots[i], workers[k]);
	}
}

static gboolean holds(struct pool *pool, const struct guarantee *g,
		      struct worker_cell *const *workers, guint count)
{
	int64_t need = count_unheld(g);

	for (guint i = 0; i < count && need > 0; i++) {
		if (fits(pool, workers[i], g->size))
			need -= resources_times(
				worker_cell_unplanned(workers[i]), g->size);
	}
	return need <= 0;
}

static void plan_in_rack(struct pool *pool, struct guarantee *g)
{
	const struct worker_cell *near = first_worker(g);
	struct cell_cursor c = cell_index_from(
		&pool->racks_unplanned,
		MIN(shape_accelerators(&g->shape), CELL_INDEX_MAX_KEY));
	guint index;

	if (near) {
		fill(pool, g, (struct worker_cell **)near->rack->workers->pdata,
		     near->rack->workers->len);
		return;
	}
	while (cell_index_next(&pool->racks_unplanned, &c, &index)) {
		const struct rack_cell *rack = pool->racks->pdata[index];
		struct worker_cell **workers =
			(struct worker_cell **)rack->workers->pdata;

		if (holds(pool, g, workers, rack->workers->len)) {
			fill(pool, g, workers, rack->workers->len);
			return;
		}
	}
}

static void plan_on_worker(struct pool *pool, struct guarantee *g)
{
	struct worker_cell *near = first_worker(g);
	struct cell_cursor c = cell_index_from(&pool->unplanned,
					       shape_accelerators(&g->shape));
	guint index;

	if (near) {
		fill(pool, g, &near, 1);
		return;
	}
	while (cell_index_next(&pool->unplanned, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (holds(pool, g, &w, 1)) {
			fill(pool, g, &w, 1);
			return;
		}
	}
}

static void plan_near(struct pool *pool, struct guarantee *g)
{
	if (g->shape.adjacency == ADJACENCY_RACK)
		plan_in_rack(pool, g);
	else
		plan_on_worker(pool, g);
}

static void plan_guarantee(struct pool *pool, struct guarantee *g)
{
	if (count_unheld(g) == 0)
		return;
	if (g->shape.adjacency == ADJACENCY_NONE) {
		for (int64_t i = 0; i < g->shape.members; i++) {
			if (!g->slots[i].worker)
				plan_anywhere(pool, &g->slots[i]);
		}
		return;
	}
	plan_near(pool, g);
	if (count_unheld(g) == 0 || guarantee_is_used(g))
		return;
	take_off_idle(pool, g);
	plan_near(pool, g);
}

static void plan_all(struct pool *pool)
{
	for (guint i = 0; i < pool->guarantees->len && pool->unheld > 0; i++)
		plan_guarantee(pool, pool->guarantees->pdata[i]);
}

/* Notes where all slots are planned. */
static GPtrArray *save_plan(const struct pool *pool)
{
	GPtrArray *saved = g_ptr_array_new();

	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++)
			g_ptr_array_add(saved, g->slots[k].worker);
	}
	return saved;
}

static void restore_plan(struct pool *pool, const GPtrArray *saved)
{
	guint n = 0;

	for (guint i = 0; i < pool->guarantees->len; i++) {
		struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++)
			guarantee_plan_set(pool, &g->slots[k],
					   saved->pdata[n++]);
	}
}

static void take_off_all_idle(struct pool *pool)
{
	for (guint i = 0; i < pool->guarantees->len; i++)
		take_off_idle(pool, pool->guarantees->pdata[i]);
}

static gboolean may_take(const struct guarantee *g, const struct worker_cell *w)
{
	const struct worker_cell *near = first_worker(g);

	if (!near || g->shape.adjacency == ADJACENCY_NONE)
		return TRUE;
	if (g->shape.adjacency == ADJACENCY_RACK)
		return near->rack == w->rack;
	return near == w;
}

/*
 * Plans slot @k of guarantee @i and all after it by exhaustive search. Slots
 * of one guarantee are alike, so each takes no earlier worker than the last.
 */
static gboolean search(struct pool *pool, guint i, int64_t k, guint least,
		       int64_t *steps)
{
	struct guarantee *g;

	if (i == pool->guarantees->len)
		return TRUE;
	g = pool->guarantees->pdata[i];
	if (k == g->shape.members)
		return search(pool, i + 1, 0, 0, steps);
	if (g->slots[k].worker)
		return search(pool, i, k + 1, least, steps);
	for (guint w = least; w < pool->workers->len; w++) {
		struct worker_cell *worker = pool->workers->pdata[w];

		if (--*steps < 0)
			return FALSE;
		if (!may_take(g, worker) || !fits(pool, worker, g->size))
			continue;
		guarantee_plan_set(pool, &g->slots[k], worker);
		if (search(pool, i, k + 1, w, steps))
			return TRUE;
		guarantee_plan_set(pool, &g->slots[k], NULL);
	}
	return FALSE;
}

void guarantee_plan_repair(struct pool *pool)
{
	int64_t steps = GUARANTEE_PLAN_STEPS;
	GPtrArray *saved;
	guint unheld;

	if (pool->unheld == 0 || !pool->is_plan_stale)
		return;
	pool->is_plan_stale = FALSE;
	plan_all(pool);
	if (pool->unheld == 0)
		return;
	unheld = pool->unheld;
	saved = save_plan(pool);
	take_off_all_idle(pool);
	plan_all(pool);
	if (pool->unheld > 0) {
		take_off_all_idle(pool);
		search(pool, 0, 0, 0, &steps);
	}
	if (pool->unheld > 0 && pool->unheld >= unheld)
		restore_plan(pool, saved);
	if (pool->unheld > 0)
		plan_all(pool);
	g_ptr_array_unref(saved);
}

static void take_off_worker(struct pool *pool, struct worker_cell *worker)
{
	for (guint i = worker->slots->len; i-- > 0;) {
		struct slot *s = worker->slots->pdata[i];

		if (!slot_is_used(s))
			guarantee_plan_set(pool, s, NULL);
	}
}

void guarantee_plan_drop_worker(struct pool *pool, struct worker_cell *worker)
{
	if (resources_is_zero(worker->committed))
		return;
	take_off_worker(pool, worker);
	pool->is_plan_stale = TRUE;
}

/* Binding of a job to slots. */

struct binding {
	struct pool *pool;
	const struct pool_job *job;
	struct resources need;
	GPtrArray *workers;
	struct slot **slots;
};

static gboolean slot_has_room(const struct slot *s, struct resources need)
{
	return resources_fit(need,
			     resources_minus(s->guarantee->size, s->used));
}

/* Returns a slot on a worker with room, partly used ones first, or NULL. */
static struct slot *slot_on(const struct binding *b, const GPtrArray *list,
			    const struct worker_cell *w)
{
	struct slot *idle = NULL;

	for (guint i = 0; i < list->len; i++) {
		struct guarantee *g = list->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			struct slot *s = &g->slots[k];

			if (s->worker != w || !slot_has_room(s, b->need))
				continue;
			if (slot_is_used(s))
				return s;
			if (!idle)
				idle = s;
		}
	}
	return idle;
}

/* Takes idle slots of others off a worker until one of @g fits. */
static gboolean make_room(struct pool *pool, struct worker_cell *w,
			  const struct guarantee *g)
{
	for (guint i = w->slots->len; i-- > 0;) {
		struct slot *s = w->slots->pdata[i];

		if (fits(pool, w, g->size))
			return TRUE;
		if (!slot_is_used(s) && s->guarantee != g)
			guarantee_plan_set(pool, s, NULL);
	}
	return fits(pool, w, g->size);
}

/* Plans those again that noted changes have left without a worker. */
static void plan_displaced(struct pool *pool)
{
	guint count = pool->plan_changes->len;

	for (guint i = 0; i < count; i++) {
		const struct plan_change *c = &g_array_index(
			pool->plan_changes, struct plan_change, i);

		if (!c->slot->worker)
			plan_guarantee(pool, c->slot->guarantee);
	}
}

/* Tells whether every slot that changed and had a worker has one again. */
static gboolean are_held(const GArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct plan_change *c =
			&g_array_index(changes, struct plan_change, i);

		if (c->old && !c->slot->worker)
			return FALSE;
	}
	return TRUE;
}

static void undo_changes(struct pool *pool, GArray *changes)
{
	for (guint i = changes->len; i-- > 0;) {
		const struct plan_change *c =
			&g_array_index(changes, struct plan_change, i);

		guarantee_plan_set(pool, c->slot, c->old);
	}
}

gboolean guarantee_plan_move(struct pool *pool, struct slot **slots,
			     struct worker_cell **targets, guint count)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct plan_change));
	gboolean is_moved = TRUE;

	pool->plan_changes = changes;
	for (guint i = 0; i < count; i++)
		guarantee_plan_set(pool, slots[i], NULL);
	for (guint i = 0; i < count && is_moved; i++) {
		is_moved = make_room(pool, targets[i], slots[i]->guarantee);
		if (is_moved)
			guarantee_plan_set(pool, slots[i], targets[i]);
	}
	if (is_moved)
		plan_displaced(pool);
	pool->plan_changes = NULL;
	is_moved = is_moved && are_held(changes);
	if (!is_moved)
		undo_changes(pool, changes);
	g_array_unref(changes);
	return is_moved;
}

/* Moves an idle slot to a worker; NULL when none may go there. */
static struct slot *move_to(const struct binding *b, const GPtrArray *list,
			    struct worker_cell *w)
{
	for (guint i = 0; i < list->len; i++) {
		struct guarantee *g = list->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			struct slot *s = &g->slots[k];

			if (s->worker || !slot_has_room(s, b->need) ||
			    !may_take(g, w))
				continue;
			if (!make_room(b->pool, w, g))
				continue;
			guarantee_plan_set(b->pool, s, w);
			return s;
		}
	}
	return NULL;
}

static void unbind(const struct binding *b, guint count)
{
	for (guint i = 0; i < count; i++)
		b->slots[i]->used = resources_minus(b->slots[i]->used, b->need);
}

/* Binds all members to slots of a list of guarantees, or none. */
static gboolean bind_to(const struct binding *b, const GPtrArray *list,
			gboolean may_move)
{
	for (guint i = 0; i < b->workers->len; i++) {
		struct worker_cell *w = b->workers->pdata[i];
		struct slot *s = slot_on(b, list, w);

		if (!s && may_move)
			s = move_to(b, list, w);
		if (!s) {
			unbind(b, i);
			return FALSE;
		}
		s->used = resources_plus(s->used, b->need);
		b->slots[i] = s;
	}
	return TRUE;
}

/* Tries each guarantee of the account alone, then all of them together. */
static gboolean bind_in_place(const struct binding *b, GPtrArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		GPtrArray *one = g_ptr_array_new();
		gboolean is_bound;

		g_ptr_array_add(one, list->pdata[i]);
		is_bound = bind_to(b, one, FALSE);
		g_ptr_array_unref(one);
		if (is_bound)
			return TRUE;
	}
	return bind_to(b, list, FALSE);
}

/* Moves slots to where the job is; gives up when that unplans others. */
static gboolean bind_by_moving(const struct binding *b, GPtrArray *list)
{
	struct pool *pool = b->pool;
	guint unheld = pool->unheld;
	GPtrArray *saved = save_plan(pool);
	gboolean is_bound;

	for (guint i = 0; i < list->len; i++)
		take_off_idle(pool, list->pdata[i]);
	is_bound = bind_to(b, list, TRUE);
	pool->is_plan_stale = TRUE;
	if (is_bound)
		guarantee_plan_repair(pool);
	if (is_bound && pool->unheld > unheld) {
		unbind(b, b->workers->len);
		is_bound = FALSE;
	}
	if (!is_bound)
		restore_plan(pool, saved);
	g_ptr_array_unref(saved);
	return is_bound;
}

gboolean guarantee_plan_bind(struct pool *pool, const struct pool_job *job,
			     GPtrArray *workers, struct slot **slots)
{
	struct binding b = { pool, job, resources_of_member(&job->shape),
			     workers, slots };
	GPtrArray *list = pool_guarantees_of(pool, job->client_account);
	gboolean is_bound;

	if (!list)
		return FALSE;
	is_bound = bind_in_place(&b, list) || bind_by_moving(&b, list);
	if (is_bound)
		unbind(&b, workers->len);
	return is_bound;
}

/* Checks of the plan and the books, from scratch. */

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
	const struct worker_cell *near = first_worker(g);

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

char *guarantee_plan_place(const struct pool *pool, const struct guarantee *g)
{
	return g_strdup_printf("client_accounts.%s.%s.%s", g->client_account,
			       pool->name, g->name);
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
