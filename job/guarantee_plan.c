#include "job/guarantee_plan.h"

#include "job/guarantee_slots.h"

/* Plans a slot by best fit: on the worker with the least room that fits it. */
static void plan_best_fit(struct pool *pool, struct slot *slot)
{
	struct resources size = slot->guarantee->size;
	struct cell_cursor c =
		cell_index_from(&pool->workers_by_unplanned, size.accelerators);
	guint index;

	while (cell_index_next(&pool->workers_by_unplanned, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (worker_cell_fits_slot(pool, w, size)) {
			slot_set_worker(pool, slot, w);
			return;
		}
	}
}

/* Plans the unplanned slots of a guarantee on workers, in the given order. */
static void plan_in_order(struct pool *pool, struct guarantee *g,
			  struct worker_cell *const *workers, guint count)
{
	guint k = 0;

	for (int64_t i = 0; i < g->shape.members; i++) {
		if (g->slots[i].worker)
			continue;
		while (k < count &&
		       !worker_cell_fits_slot(pool, workers[k], g->size))
			k++;
		if (k == count)
			return;
		slot_set_worker(pool, &g->slots[i], workers[k]);
	}
}

/* Returns TRUE if the workers fit all unplanned slots of a guarantee. */
static gboolean fits_unplanned_slots(struct pool *pool,
				     const struct guarantee *g,
				     struct worker_cell *const *workers,
				     guint count)
{
	int64_t need = guarantee_count_unplanned(g);

	for (guint i = 0; i < count && need > 0; i++) {
		if (worker_cell_fits_slot(pool, workers[i], g->size))
			need -= resources_fit_count(
				worker_cell_unplanned(workers[i]), g->size);
	}
	return need <= 0;
}

/* Plans a guarantee in one rack: that of its planned slots, else best fit. */
static void plan_in_rack(struct pool *pool, struct guarantee *g)
{
	const struct worker_cell *anchor = guarantee_first_worker(g);
	struct cell_cursor c = cell_index_from(
		&pool->racks_by_unplanned,
		MIN(shape_accelerators(&g->shape), CELL_INDEX_MAX_KEY));
	guint index;

	if (anchor) {
		plan_in_order(
			pool, g,
			(struct worker_cell **)anchor->rack->workers->pdata,
			anchor->rack->workers->len);
		return;
	}
	while (cell_index_next(&pool->racks_by_unplanned, &c, &index)) {
		const struct rack_cell *rack = pool->racks->pdata[index];
		struct worker_cell **workers =
			(struct worker_cell **)rack->workers->pdata;

		if (fits_unplanned_slots(pool, g, workers,
					 rack->workers->len)) {
			plan_in_order(pool, g, workers, rack->workers->len);
			return;
		}
	}
}

/* Plans a guarantee on one worker, chosen as in plan_in_rack(). */
static void plan_on_worker(struct pool *pool, struct guarantee *g)
{
	struct worker_cell *anchor = guarantee_first_worker(g);
	struct cell_cursor c = cell_index_from(&pool->workers_by_unplanned,
					       shape_accelerators(&g->shape));
	guint index;

	if (anchor) {
		plan_in_order(pool, g, &anchor, 1);
		return;
	}
	while (cell_index_next(&pool->workers_by_unplanned, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (fits_unplanned_slots(pool, g, &w, 1)) {
			plan_in_order(pool, g, &w, 1);
			return;
		}
	}
}

static void plan_adjacent(struct pool *pool, struct guarantee *g)
{
	if (g->shape.adjacency == ADJACENCY_RACK)
		plan_in_rack(pool, g);
	else
		plan_on_worker(pool, g);
}

void guarantee_plan_one(struct pool *pool, struct guarantee *g)
{
	if (guarantee_count_unplanned(g) == 0)
		return;
	if (g->shape.adjacency == ADJACENCY_NONE) {
		for (int64_t i = 0; i < g->shape.members; i++) {
			if (!g->slots[i].worker)
				plan_best_fit(pool, &g->slots[i]);
		}
		return;
	}
	plan_adjacent(pool, g);
	if (guarantee_count_unplanned(g) == 0 || guarantee_is_used(g))
		return;
	guarantee_unplan_idle(pool, g);
	plan_adjacent(pool, g);
}

static void plan_all(struct pool *pool)
{
	for (guint i = 0;
	     i < pool->guarantees->len && pool->unplanned_slots > 0; i++)
		guarantee_plan_one(pool, pool->guarantees->pdata[i]);
}

static void unplan_all_idle(struct pool *pool)
{
	for (guint i = 0; i < pool->guarantees->len; i++)
		guarantee_unplan_idle(pool, pool->guarantees->pdata[i]);
}

/*
 * Plans slot @k of guarantee @i and all later ones by backtracking over the
 * workers from index @least on. Slots of one guarantee are interchangeable, so
 * none is tried on a worker with a lower index than the slot before it.
 */
static gboolean search_plan(struct pool *pool, guint i, int64_t k, guint least,
			    int64_t *steps)
{
	struct guarantee *g;

	if (i == pool->guarantees->len)
		return TRUE;
	g = pool->guarantees->pdata[i];
	if (k == g->shape.members)
		return search_plan(pool, i + 1, 0, 0, steps);
	if (g->slots[k].worker)
		return search_plan(pool, i, k + 1, least, steps);
	for (guint w = least; w < pool->workers->len; w++) {
		struct worker_cell *worker = pool->workers->pdata[w];

		if (--*steps < 0)
			return FALSE;
		if (!guarantee_adjacency_allows(g, worker) ||
		    !worker_cell_fits_slot(pool, worker, g->size))
			continue;
		slot_set_worker(pool, &g->slots[k], worker);
		if (search_plan(pool, i, k + 1, w, steps))
			return TRUE;
		slot_set_worker(pool, &g->slots[k], NULL);
	}
	return FALSE;
}

void guarantee_plan_repair(struct pool *pool)
{
	int64_t steps = GUARANTEE_PLAN_MAX_STEPS;
	GPtrArray *saved;
	guint unplanned_before;

	if (pool->unplanned_slots == 0 || !pool->is_plan_stale)
		return;
	pool->is_plan_stale = FALSE;
	plan_all(pool);
	if (pool->unplanned_slots == 0)
		return;
	unplanned_before = pool->unplanned_slots;
	saved = guarantee_slots_save(pool);
	unplan_all_idle(pool);
	plan_all(pool);
	if (pool->unplanned_slots > 0) {
		unplan_all_idle(pool);
		search_plan(pool, 0, 0, 0, &steps);
	}
	if (pool->unplanned_slots > 0 &&
	    pool->unplanned_slots >= unplanned_before)
		guarantee_slots_restore(pool, saved);
	if (pool->unplanned_slots > 0)
		plan_all(pool);
	g_ptr_array_unref(saved);
}

static void unplan_worker(struct pool *pool, struct worker_cell *worker)
{
	for (guint i = worker->slots->len; i-- > 0;) {
		struct slot *s = worker->slots->pdata[i];

		if (!slot_is_used(s))
			slot_set_worker(pool, s, NULL);
	}
}

void guarantee_plan_remove_worker(struct pool *pool, struct worker_cell *worker)
{
	if (resources_is_zero(worker->planned))
		return;
	unplan_worker(pool, worker);
	pool->is_plan_stale = TRUE;
}

char *guarantee_config_path(const struct pool *pool, const struct guarantee *g)
{
	return g_strdup_printf("client_accounts.%s.%s.%s", g->client_account,
			       pool->name, g->name);
}
