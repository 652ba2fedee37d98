#include "job/placement/pick.h"

#include "job/reservation.h"

void pick_add_members(GPtrArray *list, struct worker_cell *w,
		      struct resources room, struct resources need,
		      int64_t members)
{
	int64_t n = resources_fit_count(room, need);

	for (; n > 0 && list->len < members; n--)
		g_ptr_array_add(list, w);
}

/* Returns the first of some workers that fit all members, or NULL. */
static GPtrArray *first_fit_among(struct pool *pool, const GPtrArray *workers,
				  const struct pool_job *job, int64_t now_ms)
{
	const struct shape *shape = &job->shape;
	struct resources need = resources_of_member(shape);
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < workers->len && list->len < shape->members; i++) {
		struct worker_cell *w = workers->pdata[i];

		pool->visits++;
		if (!reservation_allows(pool, w, job, now_ms))
			continue;
		if (shape->adjacency == ADJACENCY_WORKER)
			g_ptr_array_set_size(list, 0);
		pick_add_members(list, w, worker_cell_free(w), need,
				 shape->members);
	}
	if (list->len == shape->members)
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

GPtrArray *pick_first_fit(struct pool *pool, const struct pool_job *job,
			  int64_t now_ms)
{
	GPtrArray *list = NULL;

	if (job->shape.adjacency != ADJACENCY_RACK)
		return first_fit_among(pool, pool->workers, job, now_ms);
	for (guint i = 0; i < pool->racks->len && !list; i++) {
		const struct rack_cell *rack = pool->racks->pdata[i];

		list = first_fit_among(pool, rack->workers, job, now_ms);
	}
	return list;
}

enum status placement_defer(struct placement *out, const char *reason)
{
	g_free(out->reason);
	out->reason = g_strdup(reason);
	return STATUS_FULL;
}

enum status placement_accept(struct placement *out, GPtrArray *workers,
			     const char *reason)
{
	for (guint i = 0; i < workers->len; i++) {
		const struct worker_cell *w = workers->pdata[i];

		g_ptr_array_add(out->workers, g_strdup(w->name));
	}
	g_ptr_array_unref(workers);
	g_free(out->reason);
	out->reason = g_strdup(reason);
	return STATUS_OK;
}
