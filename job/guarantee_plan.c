#include "job/guarantee_plan.h"

#include "job/guarantee_slots.h"

/* Plans a slot anywhere, on the worker with the least room that holds it. */
static void plan_anywhere(struct pool *pool, struct slot *slot)
{
	struct resources size = slot->guarantee->size;
	struct cell_cursor c =
		cell_index_from(&pool->unplanned, size.accelerators);
	guint index;

	while (cell_index_next(&pool->unplanned, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (guarantee_slots_fit(pool, w, size)) {
			guarantee_slots_set(pool, slot, w);
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
		while (k < count &&
		       !guarantee_slots_fit(pool, workers[k], g->size))
			k++;
		if (k == count)
			return;
		guarantee_slots_set(pool, &g->slots[i], workers[k]);
	}
}

static gboolean holds(struct pool *pool, const struct guarantee *g,
		      struct worker_cell *const *workers, guint count)
{
	int64_t need = guarantee_count_unheld(g);

	for (guint i = 0; i < count && need > 0; i++) {
		if (guarantee_slots_fit(pool, workers[i], g->size))
			need -= resources_times(
				worker_cell_unplanned(workers[i]), g->size);
	}
	return need <= 0;
}

static void plan_in_rack(struct pool *pool, struct guarantee *g)
{
	const struct worker_cell *near = guarantee_first_worker(g);
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
	struct worker_cell *near = guarantee_first_worker(g);
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

void guarantee_plan_one(struct pool *pool, struct guarantee *g)
{
	if (guarantee_count_unheld(g) == 0)
		return;
	if (g->shape.adjacency == ADJACENCY_NONE) {
		for (int64_t i = 0; i < g->shape.members; i++) {
			if (!g->slots[i].worker)
				plan_anywhere(pool, &g->slots[i]);
		}
		return;
	}
	plan_near(pool, g);
	if (guarantee_count_unheld(g) == 0 || guarantee_is_used(g))
		return;
	guarantee_take_off_idle(pool, g);
	plan_near(pool, g);
}

static void plan_all(struct pool *pool)
{
	for (guint i = 0; i < pool->guarantees->len && pool->unheld > 0; i++)
		guarantee_plan_one(pool, pool->guarantees->pdata[i]);
}

static void take_off_all_idle(struct pool *pool)
{
	for (guint i = 0; i < pool->guarantees->len; i++)
		guarantee_take_off_idle(pool, pool->guarantees->pdata[i]);
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
		if (!guarantee_may_take(g, worker) ||
		    !guarantee_slots_fit(pool, worker, g->size))
			continue;
		guarantee_slots_set(pool, &g->slots[k], worker);
		if (search(pool, i, k + 1, w, steps))
			return TRUE;
		guarantee_slots_set(pool, &g->slots[k], NULL);
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
	saved = guarantee_slots_save(pool);
	take_off_all_idle(pool);
	plan_all(pool);
	if (pool->unheld > 0) {
		take_off_all_idle(pool);
		search(pool, 0, 0, 0, &steps);
	}
	if (pool->unheld > 0 && pool->unheld >= unheld)
		guarantee_slots_restore(pool, saved);
	if (pool->unheld > 0)
		plan_all(pool);
	g_ptr_array_unref(saved);
}

static void take_off_worker(struct pool *pool, struct worker_cell *worker)
{
	for (guint i = worker->slots->len; i-- > 0;) {
		struct slot *s = worker->slots->pdata[i];

		if (!slot_is_used(s))
			guarantee_slots_set(pool, s, NULL);
	}
}

void guarantee_plan_drop_worker(struct pool *pool, struct worker_cell *worker)
{
	if (resources_is_zero(worker->committed))
		return;
	take_off_worker(pool, worker);
	pool->is_plan_stale = TRUE;
}

char *guarantee_plan_place(const struct pool *pool, const struct guarantee *g)
{
	return g_strdup_printf("client_accounts.%s.%s.%s", g->client_account,
			       pool->name, g->name);
}
