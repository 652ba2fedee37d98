#include "job/guarantee_move.h"

#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"

gboolean guarantee_displace_idle(struct pool *pool, struct worker_cell *w,
				 const struct guarantee *g)
{
	for (guint i = w->slots->len; i-- > 0;) {
		struct slot *s = w->slots->pdata[i];

		if (worker_cell_fits_slot(pool, w, g->size))
			return TRUE;
		if (!slot_is_used(s) && s->guarantee != g)
			slot_set_worker(pool, s, NULL);
	}
	return worker_cell_fits_slot(pool, w, g->size);
}

/* Replans the slots that the recorded changes left without a worker. */
static void plan_displaced(struct pool *pool)
{
	guint count = pool->plan_changes->len;

	for (guint i = 0; i < count; i++) {
		const struct slot_change *c = &g_array_index(
			pool->plan_changes, struct slot_change, i);

		if (!c->slot->worker)
			guarantee_plan_one(pool, c->slot->guarantee);
	}
}

/* Returns TRUE if every changed slot that had a worker has one again. */
static gboolean are_replanned(const GArray *changes)
{
	for (guint i = 0; i < changes->len; i++) {
		const struct slot_change *c =
			&g_array_index(changes, struct slot_change, i);

		if (c->old && !c->slot->worker)
			return FALSE;
	}
	return TRUE;
}

static void undo_changes(struct pool *pool, GArray *changes)
{
	for (guint i = changes->len; i-- > 0;) {
		const struct slot_change *c =
			&g_array_index(changes, struct slot_change, i);

		slot_set_worker(pool, c->slot, c->old);
	}
}

gboolean guarantee_move(struct pool *pool, struct slot **slots,
			struct worker_cell **targets, guint count)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct slot_change));
	gboolean is_moved = TRUE;

	pool->plan_changes = changes;
	for (guint i = 0; i < count; i++)
		slot_set_worker(pool, slots[i], NULL);
	for (guint i = 0; i < count && is_moved; i++) {
		is_moved = guarantee_displace_idle(pool, targets[i],
						   slots[i]->guarantee);
		if (is_moved)
			slot_set_worker(pool, slots[i], targets[i]);
	}
	if (is_moved)
		plan_displaced(pool);
	pool->plan_changes = NULL;
	is_moved = is_moved && are_replanned(changes);
	if (!is_moved)
		undo_changes(pool, changes);
	g_array_unref(changes);
	return is_moved;
}
