#include "job/reservation.h"

/*
 * A job past its expected end is expected to run on for its elapsed run time
 * divided by this.
 */
#define OVERRUN_DIVISOR 4

/* Resources of one member that are expected to become free on a worker. */
struct expected_release {
	int64_t end_ms;
	struct worker_cell *worker;
	struct resources amount;
};

void reservation_clear(struct pool *pool)
{
	for (guint i = 0; i < pool->reserved_workers->len; i++) {
		struct worker_cell *w = pool->reserved_workers->pdata[i];

		w->reserved_from_ms = 0;
	}
	g_ptr_array_set_size(pool->reserved_workers, 0);
	g_clear_pointer(&pool->reserved_for, g_free);
}

gboolean reservation_allows(const struct pool *pool,
			    const struct worker_cell *w,
			    const struct pool_job *job, int64_t now_ms)
{
	if (w->reserved_from_ms == 0 || job->class == JOB_CLASS_URGENT)
		return TRUE;
	if (now_ms + job->expected_run_ms <= w->reserved_from_ms)
		return TRUE;
	return g_str_equal(job->id, pool->reserved_for);
}

static int64_t expected_end_ms(const struct running_job *r, int64_t now_ms)
{
	int64_t end_ms = r->started_ms + r->job.expected_run_ms;

	if (r->is_stopping)
		return now_ms;
	if (end_ms > now_ms)
		return end_ms;
	return now_ms + MAX((now_ms - r->started_ms) / OVERRUN_DIVISOR, 1);
}

static gint compare_release(gconstpointer a, gconstpointer b)
{
	const struct expected_release *x = a;
	const struct expected_release *y = b;

	if (x->end_ms != y->end_ms)
		return x->end_ms < y->end_ms ? -1 : 1;
	return (x->worker->index > y->worker->index) -
	       (x->worker->index < y->worker->index);
}

static GArray *list_releases(struct pool *pool, int64_t now_ms)
{
	GArray *list =
		g_array_new(FALSE, FALSE, sizeof(struct expected_release));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct running_job *r = value;
		struct expected_release e = { expected_end_ms(r, now_ms), NULL,
					      resources_of_member(
						      &r->job.shape) };

		for (guint i = 0; i < r->workers->len; i++) {
			e.worker = r->workers->pdata[i];
			g_array_append_val(list, e);
			pool->visits++;
		}
	}
	g_array_sort(list, compare_release);
	return list;
}

/* How many members of a job fit, updated as resources become free. */
struct room_count {
	const struct shape *shape;
	struct resources need; /* of one member */
	int64_t in_pool;
	int64_t *in_rack; /* by index of the rack */
};

/*
 * Adds free resources to a worker. Returns how many members then fit in the
 * cell that the job's adjacency requires: the pool, the rack or the worker.
 */
static int64_t add_room(struct room_count *c, struct worker_cell *w,
			struct resources amount)
{
	int64_t before = resources_fit_count(w->trial_room, c->need);
	int64_t now;

	w->trial_room = resources_plus(w->trial_room, amount);
	now = resources_fit_count(w->trial_room, c->need);
	c->in_pool += now - before;
	c->in_rack[w->rack->index] += now - before;
	if (c->shape->adjacency == ADJACENCY_NONE)
		return c->in_pool;
	if (c->shape->adjacency == ADJACENCY_RACK)
		return c->in_rack[w->rack->index];
	return now;
}

static void reserve_worker(struct pool *pool, struct worker_cell *w,
			   int64_t from_ms)
{
	w->reserved_from_ms = from_ms;
	g_ptr_array_add(pool->reserved_workers, w);
}

/* Reserves enough workers for the job in the cell that has room for it. */
static void reserve_workers(struct pool *pool, const struct room_count *c,
			    struct worker_cell *last, int64_t from_ms)
{
	const GPtrArray *list = pool->workers;
	int64_t need = c->shape->members;

	if (c->shape->adjacency == ADJACENCY_WORKER) {
		reserve_worker(pool, last, from_ms);
		return;
	}
	if (c->shape->adjacency == ADJACENCY_RACK)
		list = last->rack->workers;
	for (guint i = 0; i < list->len && need > 0; i++) {
		struct worker_cell *w = list->pdata[i];
		int64_t n = resources_fit_count(w->trial_room, c->need);

		if (n > 0)
			reserve_worker(pool, w, from_ms);
		need -= n;
	}
}

void reservation_plan(struct pool *pool, const struct pool_job *job,
		      int64_t now_ms)
{
	struct room_count c = { .shape = &job->shape,
				.need = resources_of_member(&job->shape) };
	GArray *releases = list_releases(pool, now_ms);

	reservation_clear(pool);
	pool->reserved_for = g_strdup(job->id);
	c.in_rack = g_new0(int64_t, MAX(pool->racks->len, 1));
	for (guint i = 0; i < pool->workers->len; i++) {
		struct worker_cell *w = pool->workers->pdata[i];

		w->trial_room = (struct resources){ 0, 0, 0 };
		add_room(&c, w, worker_cell_free(w));
		pool->visits++;
	}
	for (guint i = 0; i < releases->len; i++) {
		const struct expected_release *e =
			&g_array_index(releases, struct expected_release, i);

		if (!e->worker->is_usable)
			continue;
		if (add_room(&c, e->worker, e->amount) < c.shape->members)
			continue;
		reserve_workers(pool, &c, e->worker,
				MAX(e->end_ms, now_ms + 1));
		break;
	}
	g_free(c.in_rack);
	g_array_unref(releases);
}
