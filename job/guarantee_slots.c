#include "job/guarantee_slots.h"

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

void slot_set_worker(struct pool *pool, struct slot *slot,
		     struct worker_cell *worker)
{
	struct resources size = slot->guarantee->size;
	struct worker_cell *old = slot->worker;

	if (old == worker)
		return;
	if (pool->plan_changes) {
		struct slot_change change = { slot, old };

		g_array_append_val(pool->plan_changes, change);
	}
	slot->worker = worker;
	if (old) {
		g_ptr_array_remove_fast(old->slots, slot);
		old->planned = resources_minus(old->planned, size);
		pool_refresh_worker(pool, old);
	}
	if (worker) {
		g_ptr_array_add(worker->slots, slot);
		worker->planned = resources_plus(worker->planned, size);
		pool_refresh_worker(pool, worker);
	}
	pool->unplanned_slots += (worker == NULL) - (old == NULL);
}

gboolean worker_cell_fits_slot(struct pool *pool, const struct worker_cell *w,
			       struct resources size)
{
	pool->visits++;
	return w->is_usable && resources_fit(size, worker_cell_unplanned(w));
}

struct worker_cell *guarantee_first_worker(const struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (g->slots[i].worker)
			return g->slots[i].worker;
	}
	return NULL;
}

void guarantee_unplan_idle(struct pool *pool, struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (!slot_is_used(&g->slots[i]))
			slot_set_worker(pool, &g->slots[i], NULL);
	}
}

int64_t guarantee_count_unplanned(const struct guarantee *g)
{
	int64_t n = 0;

	for (int64_t i = 0; i < g->shape.members; i++)
		n += g->slots[i].worker == NULL;
	return n;
}

gboolean guarantee_adjacency_allows(const struct guarantee *g,
				    const struct worker_cell *w)
{
	const struct worker_cell *anchor = guarantee_first_worker(g);

	if (!anchor || g->shape.adjacency == ADJACENCY_NONE)
		return TRUE;
	if (g->shape.adjacency == ADJACENCY_RACK)
		return anchor->rack == w->rack;
	return anchor == w;
}

GPtrArray *guarantee_slots_save(const struct pool *pool)
{
	GPtrArray *saved = g_ptr_array_new();

	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++)
			g_ptr_array_add(saved, g->slots[k].worker);
	}
	return saved;
}

void guarantee_slots_restore(struct pool *pool, const GPtrArray *saved)
{
	guint n = 0;

	for (guint i = 0; i < pool->guarantees->len; i++) {
		struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++)
			slot_set_worker(pool, &g->slots[k], saved->pdata[n++]);
	}
}
