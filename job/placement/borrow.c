#include "job/placement/borrow.h"

#include "job/placement/pick.h"
#include "job/reservation.h"

/* Workers of equal fit that are compared by how whole their rack is. */
#define EQUAL_FITS 8

struct search {
	struct pool *pool;
	const struct pool_job *job;
	struct resources need; /* of one member */
	int64_t now_ms;
	enum borrow_room room;
	const char **runner_up;
};

static struct resources room_on(const struct search *s,
				const struct worker_cell *w)
{
	s->pool->visits++;
	if (!w->is_usable || !reservation_allows(s->pool, w, s->job, s->now_ms))
		return (struct resources){ 0, 0, 0 };
	return s->room == BORROW_OPEN ? worker_cell_open(w)
				      : worker_cell_free(w);
}

/* Returns the index that orders workers for a need, and where to begin. */
static const struct cell_index *
index_for(const struct search *s, struct resources need, struct cell_cursor *c)
{
	const struct pool *pool = s->pool;
	const struct cell_index *ix =
		s->room == BORROW_OPEN ? &pool->open : &pool->free;

	if (need.accelerators == 0 && s->room == BORROW_OPEN) {
		*c = cell_index_from(&pool->cores, need.cores);
		return &pool->cores;
	}
	*c = cell_index_from(ix, need.accelerators);
	return ix;
}

/* Of workers that fit equally well, takes the one in the least whole rack. */
static struct worker_cell *find_worker(const struct search *s,
				       struct resources need)
{
	struct cell_cursor c;
	const struct cell_index *ix = index_for(s, need, &c);
	struct worker_cell *best = NULL;
	int best_key = 0;
	guint equal = 0;
	guint index;

	while (equal < EQUAL_FITS && cell_index_next(ix, &c, &index)) {
		struct worker_cell *w = s->pool->workers->pdata[index];

		if (best && c.key != best_key)
			break;
		if (!resources_fit(need, room_on(s, w)))
			continue;
		equal++;
		best_key = c.key;
		if (!best || w->rack->free_accelerators <
				     best->rack->free_accelerators) {
			if (best)
				*s->runner_up = best->name;
			best = w;
		} else {
			*s->runner_up = w->name;
		}
	}
	return best;
}

static GPtrArray *repeat(struct worker_cell *w, int64_t members)
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

	return w ? repeat(w, members) : NULL;
}

/* Fills the workers that fit best until all members have a place. */
static GPtrArray *find_anywhere(const struct search *s)
{
	int64_t members = s->job->shape.members;
	GPtrArray *list = g_ptr_array_new();
	struct cell_cursor c;
	const struct cell_index *ix = index_for(s, s->need, &c);
	guint index;

	while (list->len < members && cell_index_next(ix, &c, &index)) {
		struct worker_cell *w = s->pool->workers->pdata[index];

		pick_fill(list, w, room_on(s, w), s->need, members);
	}
	if (list->len == members)
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

static gboolean fits_rack(const struct search *s, const struct rack_cell *rack)
{
	int64_t need = s->job->shape.members;

	for (guint i = 0; i < rack->workers->len && need > 0; i++)
		need -= resources_times(room_on(s, rack->workers->pdata[i]),
					s->need);
	return need <= 0;
}

/* Fills the workers of a rack, those with the least room first. */
static GPtrArray *fill_rack(const struct search *s,
			    const struct rack_cell *rack)
{
	int64_t members = s->job->shape.members;
	GPtrArray *list = g_ptr_array_new();
	GPtrArray *rest = g_ptr_array_new();

	for (guint i = 0; i < rack->workers->len; i++)
		g_ptr_array_add(rest, rack->workers->pdata[i]);
	while (rest->len > 0 && list->len < members) {
		guint best = 0;
		int64_t best_times = INT64_MAX;

		for (guint i = 0; i < rest->len; i++) {
			int64_t n = resources_times(room_on(s, rest->pdata[i]),
						    s->need);

			if (n > 0 && n < best_times) {
				best = i;
				best_times = n;
			}
		}
		pick_fill(list, rest->pdata[best],
			  room_on(s, rest->pdata[best]), s->need, members);
		g_ptr_array_remove_index_fast(rest, best);
	}
	g_ptr_array_unref(rest);
	return list;
}

static GPtrArray *find_rack(const struct search *s)
{
	int64_t need = shape_accelerators(&s->job->shape);
	struct cell_cursor c = cell_index_from(&s->pool->racks_free, need);
	const struct rack_cell *best = NULL;
	guint index;

	while (cell_index_next(&s->pool->racks_free, &c, &index)) {
		const struct rack_cell *rack = s->pool->racks->pdata[index];

		if (!fits_rack(s, rack))
			continue;
		if (best) {
			*s->runner_up = rack->name;
			break;
		}
		best = rack;
	}
	return best ? fill_rack(s, best) : NULL;
}

GPtrArray *borrow_find(struct pool *pool, const struct pool_job *job,
		       int64_t now_ms, enum borrow_room room,
		       const char **runner_up)
{
	struct search s = { pool,   job,  resources_of_member(&job->shape),
			    now_ms, room, runner_up };
	struct worker_cell *w;

	if (job->shape.adjacency == ADJACENCY_WORKER)
		return find_one_worker(&s);
	if (job->shape.adjacency == ADJACENCY_RACK)
		return find_rack(&s);
	if (job->shape.members > 1)
		return find_anywhere(&s);
	w = find_worker(&s, s.need);
	return w ? repeat(w, 1) : NULL;
}
