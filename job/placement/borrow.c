#include "job/placement/borrow.h"

#include "job/placement/pick.h"
#include "job/reservation.h"

struct search {
	struct pool *pool;
	const struct pool_job *job;
	struct resources need; /* of one member */
	int64_t now_ms;
	enum borrow_scope scope;
	const char **runner_up; /* out, see borrow_find() */
};

/* Returns the resources that the job may use on a worker. */
static struct resources room_on(const struct search *s,
				const struct worker_cell *w)
{
	s->pool->visits++;
	if (!w->is_usable || !reservation_allows(s->pool, w, s->job, s->now_ms))
		return (struct resources){ 0, 0, 0 };
	return s->scope == BORROW_AROUND_SLOTS ? worker_cell_borrowable(w)
					       : worker_cell_free(w);
}

/* Returns the index that orders racks by their room in this scope. */
static const struct cell_index *rack_index(const struct search *s)
{
	return s->scope == BORROW_AROUND_SLOTS ? &s->pool->racks_by_borrowable
					       : &s->pool->racks_by_free;
}

/* Finds a worker for a need without accelerators; those without any first. */
static struct worker_cell *find_cpu_worker(const struct search *s,
					   struct resources need)
{
	struct cell_cursor c =
		cell_index_from(&s->pool->workers_by_cores, need.cores);
	guint index;

	while (cell_index_next(&s->pool->workers_by_cores, &c, &index)) {
		struct worker_cell *w = s->pool->workers->pdata[index];

		if (resources_fit(need, room_on(s, w)))
			return w;
	}
	return NULL;
}

/* Returns the worker of a rack with the least room that fits, or NULL. */
static struct worker_cell *best_in_rack(const struct search *s,
					const struct rack_cell *rack,
					struct resources need)
{
	struct worker_cell *best = NULL;
	int64_t best_room = 0;

	for (guint i = 0; i < rack->workers->len; i++) {
		struct worker_cell *w = rack->workers->pdata[i];
		struct resources room = room_on(s, w);

		if (!resources_fit(need, room) ||
		    (best && room.accelerators >= best_room))
			continue;
		best = w;
		best_room = room.accelerators;
	}
	return best;
}

/* Tries the fullest racks first, so that empty racks stay empty. */
static struct worker_cell *find_worker(const struct search *s,
				       struct resources need)
{
	const struct cell_index *ix = rack_index(s);
	struct cell_cursor c = cell_index_from(ix, need.accelerators);
	struct worker_cell *best = NULL;
	guint index;

	if (need.accelerators == 0 && s->scope == BORROW_AROUND_SLOTS)
		return find_cpu_worker(s, need);
	while (!best && cell_index_next(ix, &c, &index))
		best = best_in_rack(s, s->pool->racks->pdata[index], need);
	if (best && cell_index_next(ix, &c, &index)) {
		const struct rack_cell *rack = s->pool->racks->pdata[index];

		*s->runner_up = rack->name;
	}
	return best;
}

static GPtrArray *repeat_worker(struct worker_cell *w, int64_t members)
{
	GPtrArray *list = g_ptr_array_new();

	for (int64_t i = 0; i < members; i++)
		g_ptr_array_add(list, w);
	return list;
}

static GPtrArray *find_one_worker(const struct search *s)
{
	int64_t members = s->job->shape.members;
	struct resources need = { s->need.accelerators * members,
				  s->need.cores * members,
				  s->need.memory_mb * members };
	struct worker_cell *w = find_worker(s, need);

	return w ? repeat_worker(w, members) : NULL;
}

/* Returns TRUE if all members fit into a rack. */
static gboolean fits_rack(const struct search *s, const struct rack_cell *rack)
{
	int64_t need = s->job->shape.members;

	for (guint i = 0; i < rack->workers->len && need > 0; i++)
		need -= resources_fit_count(room_on(s, rack->workers->pdata[i]),
					    s->need);
	return need <= 0;
}

/* Adds members on the workers of a rack, those with the least room first. */
static void fill_rack(const struct search *s, const struct rack_cell *rack,
		      GPtrArray *list)
{
	int64_t members = s->job->shape.members;
	GPtrArray *unfilled = g_ptr_array_new();

	for (guint i = 0; i < rack->workers->len; i++)
		g_ptr_array_add(unfilled, rack->workers->pdata[i]);
	while (unfilled->len > 0 && list->len < members) {
		guint best = 0;
		int64_t best_times = INT64_MAX;

		for (guint i = 0; i < unfilled->len; i++) {
			int64_t n = resources_fit_count(
				room_on(s, unfilled->pdata[i]), s->need);

			if (n > 0 && n < best_times) {
				best = i;
				best_times = n;
			}
		}
		pick_add_members(list, unfilled->pdata[best],
				 room_on(s, unfilled->pdata[best]), s->need,
				 members);
		g_ptr_array_remove_index_fast(unfilled, best);
	}
	g_ptr_array_unref(unfilled);
}

/* Adds members without accelerators, on workers without any first. */
static void fill_cpu_workers(const struct search *s, GPtrArray *list)
{
	struct cell_cursor c =
		cell_index_from(&s->pool->workers_by_cores, s->need.cores);
	guint index;

	while (list->len < s->job->shape.members &&
	       cell_index_next(&s->pool->workers_by_cores, &c, &index)) {
		struct worker_cell *w = s->pool->workers->pdata[index];

		pick_add_members(list, w, room_on(s, w), s->need,
				 s->job->shape.members);
	}
}

static void fill_racks(const struct search *s, GPtrArray *list)
{
	const struct cell_index *ix = rack_index(s);
	struct cell_cursor c = cell_index_from(ix, s->need.accelerators);
	guint index;

	while (list->len < s->job->shape.members &&
	       cell_index_next(ix, &c, &index))
		fill_rack(s, s->pool->racks->pdata[index], list);
}

static GPtrArray *find_anywhere(const struct search *s)
{
	GPtrArray *list = g_ptr_array_new();

	if (s->need.accelerators == 0 && s->scope == BORROW_AROUND_SLOTS)
		fill_cpu_workers(s, list);
	else
		fill_racks(s, list);
	if (list->len == s->job->shape.members)
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

/* Finds the fullest rack that fits all members. */
static GPtrArray *find_one_rack(const struct search *s)
{
	int64_t need = shape_accelerators(&s->job->shape);
	const struct cell_index *ix = rack_index(s);
	struct cell_cursor c = cell_index_from(ix, need);
	const struct rack_cell *best = NULL;
	GPtrArray *list;
	guint index;

	while (cell_index_next(ix, &c, &index)) {
		const struct rack_cell *rack = s->pool->racks->pdata[index];

		if (!fits_rack(s, rack))
			continue;
		if (best) {
			*s->runner_up = rack->name;
			break;
		}
		best = rack;
	}
	if (!best)
		return NULL;
	list = g_ptr_array_new();
	fill_rack(s, best, list);
	return list;
}

GPtrArray *borrow_find(struct pool *pool, const struct pool_job *job,
		       int64_t now_ms, enum borrow_scope scope,
		       const char **runner_up)
{
	struct search s = { pool,   job,   resources_of_member(&job->shape),
			    now_ms, scope, runner_up };
	struct worker_cell *w;

	if (job->shape.adjacency == ADJACENCY_WORKER)
		return find_one_worker(&s);
	if (job->shape.adjacency == ADJACENCY_RACK)
		return find_one_rack(&s);
	if (job->shape.members > 1)
		return find_anywhere(&s);
	w = find_worker(&s, s.need);
	return w ? repeat_worker(w, 1) : NULL;
}
