#include "job/pool.h"

#include <string.h>

#include "base/util.h"
#include "job/guarantee_binding.h"
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"
#include "job/pool_state.h"

void placement_init(struct placement *p)
{
	p->workers = g_ptr_array_new_with_free_func(g_free);
	p->preempt = g_ptr_array_new_with_free_func(g_free);
	p->is_guaranteed = FALSE;
	p->reason = g_strdup("");
	p->runner_up = g_strdup("");
}

void placement_clear(struct placement *p)
{
	g_ptr_array_unref(p->workers);
	g_ptr_array_unref(p->preempt);
	g_free(p->reason);
	g_free(p->runner_up);
	memset(p, 0, sizeof(*p));
}

static void guarantee_free(gpointer data)
{
	struct guarantee *g = data;

	g_free(g->client_account);
	g_free(g->name);
	g_free(g->slots);
	g_free(g);
}

static void running_job_free(gpointer data)
{
	struct running_job *r = data;

	g_free((char *)r->job.id);
	g_free((char *)r->job.client_account);
	g_free((char *)r->job.family);
	g_ptr_array_unref(r->workers);
	g_free(r->slots);
	g_free(r);
}

static guint shape_hash(gconstpointer key)
{
	const struct shape *s = key;
	uint64_t h = s->members;

	h = h * 31 + s->accelerators;
	h = h * 1031 + s->cores;
	h = h * 1000003 + s->memory_mb;
	return (guint)(h * 3 + s->adjacency);
}

static gboolean shape_equal(gconstpointer a, gconstpointer b)
{
	const struct shape *x = a;
	const struct shape *y = b;

	return x->members == y->members && x->accelerators == y->accelerators &&
	       x->cores == y->cores && x->memory_mb == y->memory_mb &&
	       x->adjacency == y->adjacency;
}

struct account_use *pool_account_use(struct pool *pool, const char *account)
{
	struct account_use *use =
		g_hash_table_lookup(pool->use_by_account, account);

	if (use)
		return use;
	use = g_new0(struct account_use, 1);
	g_hash_table_insert(pool->use_by_account, g_strdup(account), use);
	return use;
}

struct pool *pool_new(const char *name)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->name = g_strdup(name);
	pool->workers = g_ptr_array_new_with_free_func(worker_cell_destroy);
	pool->racks = g_ptr_array_new_with_free_func(rack_cell_destroy);
	pool->workers_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	pool->racks_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	pool->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   running_job_free);
	pool->guarantees = g_ptr_array_new_with_free_func(guarantee_free);
	pool->guarantees_by_account =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	pool->use_by_account =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	pool->reserved_workers = g_ptr_array_new();
	pool->max_members_by_shape =
		g_hash_table_new_full(shape_hash, shape_equal, g_free, g_free);
	cell_index_init(&pool->racks_by_borrowable);
	cell_index_init(&pool->workers_by_free);
	cell_index_init(&pool->workers_by_cores);
	cell_index_init(&pool->workers_by_unplanned);
	cell_index_init(&pool->racks_by_free);
	cell_index_init(&pool->racks_by_unplanned);
	return pool;
}

void pool_free(struct pool *pool)
{
	cell_index_clear(&pool->racks_by_borrowable);
	cell_index_clear(&pool->workers_by_free);
	cell_index_clear(&pool->workers_by_cores);
	cell_index_clear(&pool->workers_by_unplanned);
	cell_index_clear(&pool->racks_by_free);
	cell_index_clear(&pool->racks_by_unplanned);
	g_hash_table_unref(pool->max_members_by_shape);
	g_ptr_array_unref(pool->reserved_workers);
	g_free(pool->reserved_for);
	g_hash_table_unref(pool->use_by_account);
	g_hash_table_unref(pool->guarantees_by_account);
	g_ptr_array_unref(pool->guarantees);
	g_hash_table_unref(pool->jobs);
	g_hash_table_unref(pool->racks_by_name);
	g_hash_table_unref(pool->workers_by_name);
	g_ptr_array_unref(pool->racks);
	g_ptr_array_unref(pool->workers);
	g_free(pool->name);
	g_free(pool);
}

struct worker_cell *pool_worker(const struct pool *pool, const char *name)
{
	return g_hash_table_lookup(pool->workers_by_name, name);
}

struct running_job *pool_running_job(const struct pool *pool, const char *id)
{
	return g_hash_table_lookup(pool->jobs, id);
}

GPtrArray *pool_guarantees_of(const struct pool *pool, const char *account)
{
	return g_hash_table_lookup(pool->guarantees_by_account, account);
}

uint64_t pool_visits(const struct pool *pool)
{
	return pool->visits;
}

/* Adds or subtracts a member's resources on its worker and in its slot. */
static void update_member_use(struct pool *pool, struct running_job *r,
			      guint member, gboolean is_added)
{
	struct worker_cell *w = r->workers->pdata[member];
	struct resources need = resources_of_member(&r->job.shape);
	struct slot *slot = r->slots ? r->slots[member] : NULL;

	if (!is_added)
		need = (struct resources){ -need.accelerators, -need.cores,
					   -need.memory_mb };
	if (r->is_stopping)
		w->stopping = resources_plus(w->stopping, need);
	else
		w->used = resources_plus(w->used, need);
	if (!r->is_stopping && !r->is_guaranteed)
		w->borrowed = resources_plus(w->borrowed, need);
	if (slot)
		slot->used = resources_plus(slot->used, need);
	pool_refresh_worker(pool, w);
}

static void update_account_use(struct pool *pool, const struct running_job *r,
			       int64_t sign)
{
	struct account_use *use;
	int64_t n = sign * shape_accelerators(&r->job.shape);

	if (r->is_stopping)
		return;
	use = pool_account_use(pool, r->job.client_account);
	if (r->is_guaranteed)
		use->guaranteed += n;
	else
		use->borrowed += n;
}

static void update_job_use(struct pool *pool, struct running_job *r,
			   gboolean is_added)
{
	for (guint i = 0; i < r->workers->len; i++)
		update_member_use(pool, r, i, is_added);
	update_account_use(pool, r, is_added ? 1 : -1);
}

static void set_stopping(struct pool *pool, struct running_job *r,
			 gboolean is_stopping)
{
	update_job_use(pool, r, FALSE);
	r->is_stopping = is_stopping;
	update_job_use(pool, r, TRUE);
}

/* Marks jobs as being stopped; returns those that were running. */
static GPtrArray *mark_stopping(struct pool *pool, const GPtrArray *ids)
{
	GPtrArray *stopped = g_ptr_array_new();

	for (guint i = 0; i < ids->len; i++) {
		struct running_job *r = pool_running_job(pool, ids->pdata[i]);

		if (!r || r->is_stopping)
			continue;
		set_stopping(pool, r, TRUE);
		g_ptr_array_add(stopped, r);
	}
	return stopped;
}

static enum status resolve_workers(const struct pool *pool,
				   const struct placement *placement,
				   GPtrArray *workers)
{
	for (guint i = 0; i < placement->workers->len; i++) {
		const char *name = placement->workers->pdata[i];
		struct worker_cell *w = pool_worker(pool, name);

		if (!w)
			return status_fail(STATUS_NOT_FOUND,
					   "worker %s is not in the pool",
					   name);
		g_ptr_array_add(workers, w);
	}
	return STATUS_OK;
}

/* Returns TRUE if the job fits once all stopping jobs are released. */
static gboolean has_room(struct pool *pool, const struct pool_job *job,
			 GPtrArray *workers)
{
	struct resources need = resources_of_member(&job->shape);

	pool->trial_id++;
	for (guint i = 0; i < workers->len; i++) {
		struct worker_cell *w = workers->pdata[i];

		if (w->trial_id != pool->trial_id) {
			w->trial_id = pool->trial_id;
			w->trial_room = resources_minus(w->capacity, w->used);
		}
		w->trial_room = resources_minus(w->trial_room, need);
		if (!resources_fit((struct resources){ 0, 0, 0 },
				   w->trial_room))
			return FALSE;
	}
	return TRUE;
}

static void insert_job(struct pool *pool, struct running_job *r)
{
	g_hash_table_insert(pool->jobs, (gpointer)r->job.id, r);
	for (guint i = 0; i < r->workers->len; i++) {
		struct worker_cell *w = r->workers->pdata[i];

		g_ptr_array_add(w->jobs, r);
	}
	update_job_use(pool, r, TRUE);
}

static struct running_job *new_running_job(const struct pool_job *job,
					   GPtrArray *workers, int64_t now_ms)
{
	struct running_job *r = g_new0(struct running_job, 1);

	r->job = *job;
	r->job.id = g_strdup(job->id);
	r->job.client_account = g_strdup(job->client_account);
	r->job.family = g_strdup(job->family);
	r->started_ms = now_ms;
	r->workers = g_ptr_array_ref(workers);
	return r;
}

enum status pool_assign(struct pool *pool, const struct pool_job *job,
			const struct placement *placement, int64_t now_ms)
{
	GPtrArray *workers = g_ptr_array_new();
	struct running_job *r = new_running_job(job, workers, now_ms);
	GPtrArray *stopped = NULL;
	enum status status = resolve_workers(pool, placement, workers);

	if (status != STATUS_OK)
		goto fail;
	status = STATUS_CONFLICT;
	if (pool_running_job(pool, job->id)) {
		status_fail(status, "job %s is already assigned", job->id);
		goto fail;
	}
	if (placement->is_guaranteed) {
		r->is_guaranteed = TRUE;
		r->slots = g_new0(struct slot *, MAX(workers->len, 1));
		if (!guarantee_bind(pool, job, workers, r->slots)) {
			status_fail(status,
				    "job %s does not fit the guarantees of its "
				    "account on these workers",
				    job->id);
			goto fail;
		}
	}
	stopped = mark_stopping(pool, placement->preempt);
	if (!has_room(pool, job, workers)) {
		status = status_fail(STATUS_FULL,
				     "workers lack resources for job %s",
				     job->id);
		goto fail;
	}
	insert_job(pool, r);
	status = STATUS_OK;
	goto out;
fail:
	for (guint i = 0; stopped && i < stopped->len; i++)
		set_stopping(pool, stopped->pdata[i], FALSE);
	running_job_free(r);
out:
	if (stopped)
		g_ptr_array_unref(stopped);
	g_ptr_array_unref(workers);
	return status;
}

/* Unplans slots that are now idle and on workers that are not usable. */
static void unplan_lost_slots(struct pool *pool, const struct running_job *r)
{
	for (guint i = 0; r->slots && i < r->workers->len; i++) {
		struct slot *slot = r->slots[i];

		if (slot->worker && !slot->worker->is_usable &&
		    !slot_is_used(slot))
			slot_set_worker(pool, slot, NULL);
	}
}

void pool_release(struct pool *pool, const char *job_id)
{
	struct running_job *r = pool_running_job(pool, job_id);

	if (!r)
		return;
	update_job_use(pool, r, FALSE);
	for (guint i = 0; i < r->workers->len; i++) {
		struct worker_cell *w = r->workers->pdata[i];

		g_ptr_array_remove_fast(w->jobs, r);
	}
	pool->version++;
	unplan_lost_slots(pool, r);
	pool->is_plan_stale |= r->is_guaranteed;
	g_hash_table_remove(pool->jobs, job_id);
	guarantee_plan_repair(pool);
}

gboolean pool_is_running(const struct pool *pool, const char *job_id)
{
	const struct running_job *r = pool_running_job(pool, job_id);

	return r && !r->is_stopping;
}

/* Returns how many members fit on a list of workers when they are empty. */
static int64_t count_members(const GPtrArray *workers, struct resources need,
			     gboolean include_unusable)
{
	int64_t n = 0;

	for (guint i = 0; i < workers->len; i++) {
		const struct worker_cell *w = workers->pdata[i];

		if (w->is_usable || include_unusable)
			n += resources_fit_count(w->capacity, need);
	}
	return n;
}

static int64_t count_max_members(const struct pool *pool,
				 const struct shape *shape,
				 gboolean include_unusable)
{
	struct resources need = resources_of_member(shape);
	int64_t max_members = 0;

	if (shape->adjacency == ADJACENCY_NONE)
		return count_members(pool->workers, need, include_unusable);
	if (shape->adjacency == ADJACENCY_WORKER) {
		for (guint i = 0; i < pool->workers->len; i++) {
			const struct worker_cell *w = pool->workers->pdata[i];

			if (w->is_usable || include_unusable)
				max_members = MAX(
					max_members,
					resources_fit_count(w->capacity, need));
		}
		return max_members;
	}
	for (guint i = 0; i < pool->racks->len; i++) {
		const struct rack_cell *r = pool->racks->pdata[i];

		max_members = MAX(max_members, count_members(r->workers, need,
							     include_unusable));
	}
	return max_members;
}

/* Returns how many members fit when the pool is empty; caches the result. */
static int64_t max_members_when_empty(const struct pool *pool,
				      const struct shape *shape)
{
	int64_t *max_members =
		g_hash_table_lookup(pool->max_members_by_shape, shape);

	if (max_members)
		return *max_members;
	max_members = g_new(int64_t, 1);
	*max_members = count_max_members(pool, shape, FALSE);
	g_hash_table_insert(pool->max_members_by_shape,
			    g_memdup2(shape, sizeof(*shape)), max_members);
	return *max_members;
}

gboolean pool_known_workers_fit(const struct pool *pool,
				const struct shape *shape)
{
	return count_max_members(pool, shape, TRUE) >= shape->members;
}

gboolean pool_could_fit(const struct pool *pool, const struct shape *shape,
			char **reason)
{
	static const char *const scopes[] = { "the pool", "any one rack",
					      "any one worker" };
	int64_t max_members = max_members_when_empty(pool, shape);

	if (max_members >= shape->members)
		return TRUE;
	*reason = g_strdup_printf(
		"%s can hold %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
		" members even when empty",
		scopes[shape->adjacency], max_members, shape->members);
	return FALSE;
}

static int compare_guarantees(gconstpointer a, gconstpointer b)
{
	const struct guarantee *x = *(const struct guarantee *const *)a;
	const struct guarantee *y = *(const struct guarantee *const *)b;
	int64_t size_x = shape_accelerators(&x->shape);
	int64_t size_y = shape_accelerators(&y->shape);
	gboolean needs_adjacency_x = x->shape.adjacency != ADJACENCY_NONE;
	gboolean needs_adjacency_y = y->shape.adjacency != ADJACENCY_NONE;

	if (needs_adjacency_x != needs_adjacency_y)
		return needs_adjacency_y - needs_adjacency_x;
	if (x->size.accelerators != y->size.accelerators)
		return x->size.accelerators > y->size.accelerators ? -1 : 1;
	if (size_x != size_y)
		return size_x > size_y ? -1 : 1;
	return (x->size.cores < y->size.cores) -
	       (x->size.cores > y->size.cores);
}

static void add_guarantee(struct pool *pool, const struct client_account *a,
			  const struct guaranteed_shape *shape)
{
	struct guarantee *g = g_new0(struct guarantee, 1);
	GPtrArray *list;

	g->client_account = g_strdup(a->name);
	g->name = g_strdup(shape->name);
	g->shape = shape->shape;
	g->size = resources_of_member(&g->shape);
	g->slots = g_new0(struct slot, g->shape.members);
	for (int64_t i = 0; i < g->shape.members; i++)
		g->slots[i].guarantee = g;
	pool->unplanned_slots += g->shape.members;
	g_ptr_array_add(pool->guarantees, g);
	list = pool_guarantees_of(pool, g->client_account);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(pool->guarantees_by_account,
				    g->client_account, list);
	}
	g_ptr_array_add(list, g);
}

static void drop_guarantees(struct pool *pool)
{
	g_hash_table_remove_all(pool->guarantees_by_account);
	g_ptr_array_set_size(pool->guarantees, 0);
	pool->unplanned_slots = 0;
	for (guint i = 0; i < pool->workers->len; i++) {
		struct worker_cell *w = pool->workers->pdata[i];

		w->planned = (struct resources){ 0, 0, 0 };
		g_ptr_array_set_size(w->slots, 0);
		pool_refresh_worker(pool, w);
	}
}

/* Binds a guaranteed job to new slots, or makes it borrowed. */
static void rebind_job(struct pool *pool, struct running_job *r)
{
	g_free(r->slots);
	r->slots = g_new0(struct slot *, r->workers->len);
	r->is_guaranteed = guarantee_bind(pool, &r->job, r->workers, r->slots);
	if (!r->is_guaranteed)
		g_clear_pointer(&r->slots, g_free);
}

static int compare_started(gconstpointer a, gconstpointer b)
{
	const struct running_job *x = a;
	const struct running_job *y = b;

	if (x->started_ms != y->started_ms)
		return x->started_ms < y->started_ms ? -1 : 1;
	return strcmp(x->job.id, y->job.id);
}

void pool_set_guarantees(struct pool *pool, const struct config_doc *doc)
{
	GList *jobs = g_hash_table_get_values(pool->jobs);

	jobs = g_list_sort(jobs, compare_started);
	drop_guarantees(pool);
	for (guint i = 0; i < doc->client_accounts->len; i++) {
		const struct client_account *a = &g_array_index(
			doc->client_accounts, struct client_account, i);

		for (guint k = 0; k < a->guaranteed_shapes->len; k++) {
			const struct guaranteed_shape *s =
				&g_array_index(a->guaranteed_shapes,
					       struct guaranteed_shape, k);

			if (g_str_equal(s->pool, pool->name))
				add_guarantee(pool, a, s);
		}
	}
	g_ptr_array_sort(pool->guarantees, compare_guarantees);
	for (GList *l = jobs; l; l = l->next) {
		struct running_job *r = l->data;

		if (!r->is_guaranteed)
			continue;
		g_clear_pointer(&r->slots, g_free);
		update_job_use(pool, r, FALSE);
		rebind_job(pool, r);
		update_job_use(pool, r, TRUE);
	}
	g_list_free(jobs);
	pool->is_plan_stale = TRUE;
	guarantee_plan_repair(pool);
}
