/*
 * The cells of a pool: adds, changes and removes racks and workers. Cells are
 * numbered without gaps: the last one takes the number of a removed one.
 */
#include "job/pool_state.h"

#include "job/guarantee_plan.h"

/*
 * Added to the key of workers with accelerators, so that work that needs only
 * cores uses them last.
 */
#define CORES_KEY_ACCELERATOR_OFFSET 256
/* Key that removes a cell from an index. */
#define ABSENT (-1)

void rack_cell_destroy(gpointer data)
{
	struct rack_cell *r = data;

	g_ptr_array_unref(r->workers);
	g_free(r->name);
	g_free(r);
}

void worker_cell_destroy(gpointer data)
{
	struct worker_cell *w = data;

	g_ptr_array_unref(w->jobs);
	g_ptr_array_unref(w->slots);
	g_free(w->name);
	g_free(w->address);
	g_free(w);
}

struct resources worker_cell_borrowable(const struct worker_cell *w)
{
	struct resources r = worker_cell_unplanned(w);
	struct resources free = worker_cell_free(w);

	r = resources_minus(r, w->borrowed);
	r = resources_minus(r, w->stopping);
	return (struct resources){ MIN(r.accelerators, free.accelerators),
				   MIN(r.cores, free.cores),
				   MIN(r.memory_mb, free.memory_mb) };
}

static void set_rack_keys(struct pool *pool, guint index, int64_t free,
			  int64_t borrowable, int64_t unplanned)
{
	cell_index_set(&pool->racks_by_free, index, free);
	cell_index_set(&pool->racks_by_borrowable, index, borrowable);
	cell_index_set(&pool->racks_by_unplanned, index, unplanned);
}

static void refresh_rack(struct pool *pool, struct rack_cell *rack)
{
	pool->free_accelerators -= rack->free_accelerators;
	rack->free_accelerators = 0;
	rack->unplanned_accelerators = 0;
	rack->borrowable_accelerators = 0;
	for (guint i = 0; i < rack->workers->len; i++) {
		const struct worker_cell *w = rack->workers->pdata[i];

		rack->free_accelerators +=
			MAX(worker_cell_free(w).accelerators, 0);
		rack->unplanned_accelerators +=
			MAX(worker_cell_unplanned(w).accelerators, 0);
		rack->borrowable_accelerators +=
			MAX(worker_cell_borrowable(w).accelerators, 0);
	}
	pool->free_accelerators += rack->free_accelerators;
	set_rack_keys(pool, rack->index, rack->free_accelerators,
		      rack->borrowable_accelerators,
		      rack->unplanned_accelerators);
}

static int64_t cores_key(const struct worker_cell *w)
{
	struct resources borrowable = worker_cell_borrowable(w);
	int64_t key = MIN(borrowable.cores, CORES_KEY_ACCELERATOR_OFFSET - 1);

	if (key > 0 && w->capacity.accelerators > 0)
		key += CORES_KEY_ACCELERATOR_OFFSET;
	return key;
}

void pool_refresh_worker(struct pool *pool, struct worker_cell *w)
{
	gboolean is_indexed = w->is_usable;

	cell_index_set(&pool->workers_by_free, w->index,
		       is_indexed ? worker_cell_free(w).accelerators : ABSENT);
	cell_index_set(&pool->workers_by_cores, w->index,
		       is_indexed ? cores_key(w) : ABSENT);
	cell_index_set(&pool->workers_by_unplanned, w->index,
		       is_indexed ? worker_cell_unplanned(w).accelerators
				  : ABSENT);
	refresh_rack(pool, w->rack);
}

static void remove_rack(struct pool *pool, struct rack_cell *rack)
{
	guint index = rack->index;
	struct rack_cell *last = pool->racks->pdata[pool->racks->len - 1];
	gboolean is_last = last == rack;

	set_rack_keys(pool, index, ABSENT, ABSENT, ABSENT);
	set_rack_keys(pool, last->index, ABSENT, ABSENT, ABSENT);
	g_hash_table_remove(pool->racks_by_name, rack->name);
	g_ptr_array_remove_index_fast(pool->racks, index);
	if (is_last)
		return;
	last->index = index;
	refresh_rack(pool, last);
}

/* Removes a worker from its rack, and the rack when that was its last one. */
static void remove_from_rack(struct pool *pool, struct worker_cell *w)
{
	struct rack_cell *rack = w->rack;

	g_ptr_array_remove(rack->workers, w);
	refresh_rack(pool, rack);
	if (rack->workers->len == 0)
		remove_rack(pool, rack);
}

static struct rack_cell *find_or_add_rack(struct pool *pool, const char *name)
{
	struct rack_cell *rack = g_hash_table_lookup(pool->racks_by_name, name);

	if (rack)
		return rack;
	rack = g_new0(struct rack_cell, 1);
	rack->name = g_strdup(name);
	rack->index = pool->racks->len;
	rack->workers = g_ptr_array_new();
	g_ptr_array_add(pool->racks, rack);
	g_hash_table_insert(pool->racks_by_name, rack->name, rack);
	return rack;
}

static struct worker_cell *new_worker(struct pool *pool,
				      const struct worker_spec *spec)
{
	struct worker_cell *w = g_new0(struct worker_cell, 1);

	w->name = g_strdup(spec->name);
	w->index = pool->workers->len;
	w->is_usable = TRUE;
	w->jobs = g_ptr_array_new();
	w->slots = g_ptr_array_new();
	g_ptr_array_add(pool->workers, w);
	g_hash_table_insert(pool->workers_by_name, w->name, w);
	w->rack = find_or_add_rack(pool, spec->rack);
	g_ptr_array_add(w->rack->workers, w);
	return w;
}

static void move_to_rack(struct pool *pool, struct worker_cell *w,
			 const char *name)
{
	if (g_str_equal(w->rack->name, name))
		return;
	remove_from_rack(pool, w);
	w->rack = find_or_add_rack(pool, name);
	g_ptr_array_add(w->rack->workers, w);
	guarantee_plan_remove_worker(pool, w);
}

void pool_add_worker(struct pool *pool, const struct worker_spec *spec)
{
	struct worker_cell *w = pool_worker(pool, spec->name);

	if (!w)
		w = new_worker(pool, spec);
	move_to_rack(pool, w, spec->rack);
	g_free(w->address);
	w->address = g_strdup(spec->address);
	w->capacity = (struct resources){ spec->accelerators, spec->cores,
					  spec->memory_mb };
	if (!resources_fit(w->planned, w->capacity))
		guarantee_plan_remove_worker(pool, w);
	pool->version++;
	pool->is_plan_stale = TRUE;
	g_hash_table_remove_all(pool->max_members_by_shape);
	pool_refresh_worker(pool, w);
	guarantee_plan_repair(pool);
}

void pool_set_worker_usable(struct pool *pool, const char *worker,
			    gboolean is_usable)
{
	struct worker_cell *w = pool_worker(pool, worker);

	if (!w || w->is_usable == is_usable)
		return;
	w->is_usable = is_usable;
	pool->version++;
	if (!is_usable)
		guarantee_plan_remove_worker(pool, w);
	pool->is_plan_stale = TRUE;
	g_hash_table_remove_all(pool->max_members_by_shape);
	pool_refresh_worker(pool, w);
	guarantee_plan_repair(pool);
}

static void unindex_worker(struct pool *pool, const struct worker_cell *w)
{
	cell_index_set(&pool->workers_by_free, w->index, ABSENT);
	cell_index_set(&pool->workers_by_cores, w->index, ABSENT);
	cell_index_set(&pool->workers_by_unplanned, w->index, ABSENT);
}

enum status pool_remove_worker(struct pool *pool, const char *worker)
{
	struct worker_cell *w = pool_worker(pool, worker);
	struct worker_cell *last;
	gboolean is_last;
	guint index;

	if (!w)
		return status_fail(STATUS_NOT_FOUND,
				   "worker %s is not in the pool", worker);
	if (w->jobs->len > 0)
		return status_fail(STATUS_CONFLICT,
				   "worker %s still has jobs assigned", worker);
	pool_set_worker_usable(pool, worker, FALSE);
	guarantee_plan_remove_worker(pool, w);
	g_ptr_array_remove(pool->reserved_workers, w);
	remove_from_rack(pool, w);
	index = w->index;
	last = pool->workers->pdata[pool->workers->len - 1];
	is_last = last == w;
	unindex_worker(pool, last);
	g_hash_table_remove(pool->workers_by_name, w->name);
	g_ptr_array_remove_index_fast(pool->workers, index);
	if (is_last)
		return STATUS_OK;
	last->index = index;
	pool_refresh_worker(pool, last);
	return STATUS_OK;
}
