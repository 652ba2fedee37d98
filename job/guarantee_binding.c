#include "job/guarantee_binding.h"

#include "job/guarantee_move.h"
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"

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

/* Moves an idle slot to a worker; NULL when none may go there. */
static struct slot *move_to(const struct binding *b, const GPtrArray *list,
			    struct worker_cell *w)
{
	for (guint i = 0; i < list->len; i++) {
		struct guarantee *g = list->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			struct slot *s = &g->slots[k];

			if (s->worker || !slot_has_room(s, b->need) ||
			    !guarantee_may_take(g, w))
				continue;
			if (!guarantee_make_room(b->pool, w, g))
				continue;
			guarantee_slots_set(b->pool, s, w);
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
	GPtrArray *saved = guarantee_slots_save(pool);
	gboolean is_bound;

	for (guint i = 0; i < list->len; i++)
		guarantee_take_off_idle(pool, list->pdata[i]);
	is_bound = bind_to(b, list, TRUE);
	pool->is_plan_stale = TRUE;
	if (is_bound)
		guarantee_plan_repair(pool);
	if (is_bound && pool->unheld > unheld) {
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
