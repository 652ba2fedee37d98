#include "job/guarantee_binding.h"

#include "job/guarantee_move.h"
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"

/* Assignment of the members of a job to slots. */
struct binding {
	struct pool *pool;
	const struct pool_job *job;
	struct resources need; /* of one member */
	GPtrArray *workers;    /* of struct worker_cell, one per member */
	struct slot **slots;   /* out: one per member */
};

static gboolean slot_has_room(const struct slot *s, struct resources need)
{
	return resources_fit(need,
			     resources_minus(s->guarantee->size, s->used));
}

/* Returns a slot on a worker that fits a member, used ones first, or NULL. */
static struct slot *find_slot_on_worker(const struct binding *b,
					const GPtrArray *list,
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

/* Plans an unplanned slot on a worker; NULL if none can be planned there. */
static struct slot *plan_slot_on_worker(const struct binding *b,
					const GPtrArray *list,
					struct worker_cell *w)
{
	for (guint i = 0; i < list->len; i++) {
		struct guarantee *g = list->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			struct slot *s = &g->slots[k];

			if (s->worker || !slot_has_room(s, b->need) ||
			    !guarantee_adjacency_allows(g, w))
				continue;
			if (!guarantee_displace_idle(b->pool, w, g))
				continue;
			slot_set_worker(b->pool, s, w);
			return s;
		}
	}
	return NULL;
}

/* Subtracts the first @count members from the use of their slots. */
static void unbind(const struct binding *b, guint count)
{
	for (guint i = 0; i < count; i++)
		b->slots[i]->used = resources_minus(b->slots[i]->used, b->need);
}

/* Binds all members to slots of the listed guarantees, or none of them. */
static gboolean bind_members(const struct binding *b, const GPtrArray *list,
			     gboolean may_move)
{
	for (guint i = 0; i < b->workers->len; i++) {
		struct worker_cell *w = b->workers->pdata[i];
		struct slot *s = find_slot_on_worker(b, list, w);

		if (!s && may_move)
			s = plan_slot_on_worker(b, list, w);
		if (!s) {
			unbind(b, i);
			return FALSE;
		}
		s->used = resources_plus(s->used, b->need);
		b->slots[i] = s;
	}
	return TRUE;
}

/* Binds without moving slots: to one guarantee, else to several together. */
static gboolean bind_in_place(const struct binding *b, GPtrArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		GPtrArray *one = g_ptr_array_new();
		gboolean is_bound;

		g_ptr_array_add(one, list->pdata[i]);
		is_bound = bind_members(b, one, FALSE);
		g_ptr_array_unref(one);
		if (is_bound)
			return TRUE;
	}
	return bind_members(b, list, FALSE);
}

/*
 * Moves idle slots to the workers of the job; undoes it when that leaves more
 * slots unplanned than before.
 */
static gboolean bind_by_moving(const struct binding *b, GPtrArray *list)
{
	struct pool *pool = b->pool;
	guint unplanned_before = pool->unplanned_slots;
	GPtrArray *saved = guarantee_slots_save(pool);
	gboolean is_bound;

	for (guint i = 0; i < list->len; i++)
		guarantee_unplan_idle(pool, list->pdata[i]);
	is_bound = bind_members(b, list, TRUE);
	pool->is_plan_stale = TRUE;
	if (is_bound)
		guarantee_plan_repair(pool);
	if (is_bound && pool->unplanned_slots > unplanned_before) {
		unbind(b, b->workers->len);
		is_bound = FALSE;
	}
	if (!is_bound)
		guarantee_slots_restore(pool, saved);
	g_ptr_array_unref(saved);
	return is_bound;
}

gboolean guarantee_bind(struct pool *pool, const struct pool_job *job,
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
