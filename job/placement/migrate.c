#include "job/placement/migrate.h"

#include "job/placement/pick.h"
#include "job/reservation.h"

/*
 * Longest run time after which a job without checkpoints may still be stopped,
 * and restarted, for the job that has the reservation.
 */
#define RESTART_MAX_RUN_MS (INT64_C(20) * 60 * 1000)
/* Most racks or workers compared for one job. */
#define MAX_CANDIDATES 12
/* Smallest ratio of the job's size to that of each job that moves. */
#define MIN_SIZE_RATIO 1
/* The work lost is at most the work of the job divided by this. */
#define MAX_LOSS_DIVISOR 2

/* Returns TRUE if the reservation is for the job: it has waited longest. */
static gboolean has_reservation(const struct reclaim *r)
{
	return g_strcmp0(r->pool->reserved_for, r->job->id) == 0;
}

/* Returns TRUE if a running job may be moved. */
static gboolean may_move(const struct running_job *j, const void *data)
{
	const struct reclaim *r = data;

	if (j->is_guaranteed || j->job.class == JOB_CLASS_URGENT ||
	    j->job.stops >= MIGRATE_MAX_STOPS)
		return FALSE;
	if (!j->job.is_checkpointable)
		return has_reservation(r) &&
		       r->now_ms - j->started_ms <= RESTART_MAX_RUN_MS;
	if (r->now_ms - j->started_ms < MIGRATE_MIN_RUN_MS)
		return FALSE;
	if (has_reservation(r))
		return TRUE;
	return shape_accelerators(&j->job.shape) * MIN_SIZE_RATIO <=
	       shape_accelerators(&r->job->shape);
}

void migrate_init(struct reclaim *r, struct pool *pool,
		  const struct pool_job *job, int64_t now_ms)
{
	reclaim_init(r, pool, job, now_ms, may_move, r);
}

/* Orders workers by free accelerators, most first. */
static gint compare_free(gconstpointer a, gconstpointer b)
{
	const struct worker_cell *x = *(struct worker_cell *const *)a;
	const struct worker_cell *y = *(struct worker_cell *const *)b;
	int64_t free_x = worker_cell_free(x).accelerators;
	int64_t free_y = worker_cell_free(y).accelerators;

	if (free_x != free_y)
		return free_x > free_y ? -1 : 1;
	return (x->index > y->index) - (x->index < y->index);
}

/* Adds members on workers, emptiest first, as if all movable jobs had left. */
static void fill_workers(struct reclaim *r, const GPtrArray *workers,
			 GPtrArray *list)
{
	GPtrArray *sorted = g_ptr_array_new();

	for (guint i = 0; i < workers->len; i++)
		g_ptr_array_add(sorted, workers->pdata[i]);
	g_ptr_array_sort(sorted, compare_free);
	for (guint i = 0; i < sorted->len; i++) {
		struct worker_cell *w = sorted->pdata[i];

		r->pool->visits++;
		if (reservation_allows(r->pool, w, r->job, r->now_ms))
			pick_add_members(list, w, reclaim_room(r, w),
					 resources_of_member(&r->job->shape),
					 r->job->shape.members);
	}
	g_ptr_array_unref(sorted);
}

/*
 * Returns TRUE if the free accelerators suffice for the moved jobs, by count
 * only, and the loss is small enough.
 */
static gboolean is_worthwhile(const struct reclaim *r)
{
	int64_t accelerators = shape_accelerators(&r->job->shape);
	int64_t work = r->job->expected_run_ms * accelerators;
	int64_t left = r->pool->free_accelerators - accelerators;

	return left >= 0 && r->loss <= work / MAX_LOSS_DIVISOR;
}

/* Returns the better of two lists of workers and frees the other one. */
static GPtrArray *keep_best(struct reclaim *r, GPtrArray *best, GPtrArray *list,
			    int64_t *loss)
{
	gboolean is_better = list->len == r->job->shape.members &&
			     reclaim_choose_victims(r, list) &&
			     is_worthwhile(r) && (!best || r->loss < *loss);

	if (!is_better) {
		g_ptr_array_unref(list);
		return best;
	}
	*loss = r->loss;
	if (best)
		g_ptr_array_unref(best);
	return list;
}

/* Adds workers for the members from one rack or worker, given by its index. */
typedef void (*fill_fn)(struct reclaim *r, guint index, GPtrArray *list);

static void fill_rack(struct reclaim *r, guint index, GPtrArray *list)
{
	const struct rack_cell *rack = r->pool->racks->pdata[index];

	fill_workers(r, rack->workers, list);
}

static void fill_worker(struct reclaim *r, guint index, GPtrArray *list)
{
	struct worker_cell *w = r->pool->workers->pdata[index];

	if (reservation_allows(r->pool, w, r->job, r->now_ms))
		pick_add_members(list, w, reclaim_room(r, w),
				 resources_of_member(&r->job->shape),
				 r->job->shape.members);
}

/* Compares the racks or workers with the most free accelerators. */
static GPtrArray *find_best_candidate(struct reclaim *r,
				      const struct cell_index *free,
				      fill_fn fill_at)
{
	struct cell_cursor c = cell_index_from_top(free);
	GPtrArray *best = NULL;
	int64_t loss = 0;
	guint tries = MAX_CANDIDATES;
	guint index;

	while (tries-- > 0 && cell_index_previous(free, &c, &index)) {
		GPtrArray *list = g_ptr_array_new();

		fill_at(r, index, list);
		best = keep_best(r, best, list, &loss);
	}
	return best;
}

/* Finds workers in any racks, those with the most free accelerators first. */
static GPtrArray *find_anywhere(struct reclaim *r)
{
	struct pool *pool = r->pool;
	struct cell_cursor c = cell_index_from_top(&pool->racks_by_free);
	GPtrArray *list = g_ptr_array_new();
	int64_t loss = 0;
	guint index;

	while (list->len < r->job->shape.members &&
	       cell_index_previous(&pool->racks_by_free, &c, &index)) {
		const struct rack_cell *rack = pool->racks->pdata[index];

		fill_workers(r, rack->workers, list);
	}
	return keep_best(r, NULL, list, &loss);
}

GPtrArray *migrate_find(struct reclaim *r)
{
	GPtrArray *best;

	if (shape_accelerators(&r->job->shape) > r->pool->free_accelerators)
		return NULL;
	if (r->job->shape.adjacency == ADJACENCY_RACK)
		best = find_best_candidate(r, &r->pool->racks_by_free,
					   fill_rack);
	else if (r->job->shape.adjacency == ADJACENCY_WORKER)
		best = find_best_candidate(r, &r->pool->workers_by_free,
					   fill_worker);
	else
		best = find_anywhere(r);
	if (best)
		reclaim_choose_victims(r, best);
	return best;
}
