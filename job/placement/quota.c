#include "job/placement/quota.h"

#include "job/placement/pick.h"
#include "job/placement/reclaim.h"

/* Returns the quota of an account: the accelerators of its guarantees. */
static int64_t quota_of(const struct pool *pool, const char *account)
{
	const GPtrArray *list = pool_guarantees_of(pool, account);
	int64_t quota = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct guarantee *g = list->pdata[i];

		quota += shape_accelerators(&g->shape);
	}
	return quota;
}

static int64_t use_of(struct pool *pool, const char *account)
{
	const struct account_use *use = pool_account_use(pool, account);

	return use->borrowed + use->guaranteed;
}

/* may_stop: a job of another account that uses more than its quota. */
static gboolean is_over_quota(const struct running_job *r, const void *data)
{
	const struct reclaim *reclaim = data;
	const char *account = r->job.client_account;
	struct pool *pool = reclaim->pool;

	if (g_str_equal(account, reclaim->job->client_account))
		return FALSE;
	return use_of(pool, account) > quota_of(pool, account);
}

/* Finds the first workers that fit all members once jobs are stopped. */
static GPtrArray *first_fit_by_stopping(struct reclaim *r,
					const GPtrArray *workers)
{
	const struct shape *shape = &r->job->shape;
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < workers->len && list->len < shape->members; i++) {
		struct worker_cell *w = workers->pdata[i];

		r->pool->visits++;
		if (shape->adjacency == ADJACENCY_WORKER)
			g_ptr_array_set_size(list, 0);
		pick_add_members(list, w, reclaim_room(r, w),
				 resources_of_member(shape), shape->members);
	}
	if (list->len == shape->members && reclaim_choose_victims(r, list))
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

static GPtrArray *find_by_stopping(struct reclaim *r)
{
	const struct pool *pool = r->pool;
	GPtrArray *list = NULL;

	if (r->job->shape.adjacency != ADJACENCY_RACK)
		return first_fit_by_stopping(r, pool->workers);
	for (guint i = 0; i < pool->racks->len && !list; i++) {
		const struct rack_cell *rack = pool->racks->pdata[i];

		list = first_fit_by_stopping(r, rack->workers);
	}
	return list;
}

static enum status place_by_stopping(struct pool *pool,
				     const struct pool_job *job, int64_t now_ms,
				     struct placement *out)
{
	struct reclaim r;
	GPtrArray *workers;

	reclaim_init(&r, pool, job, now_ms, is_over_quota, &r);
	workers = find_by_stopping(&r);
	if (workers) {
		reclaim_list_victims(&r, out);
		placement_accept(
			out, workers,
			"within quota: stops work of accounts over quota");
	}
	reclaim_clear(&r);
	return workers ? STATUS_OK : placement_defer(out, "no room");
}

static enum status quota_place(struct placement_policy *p, struct pool *pool,
			       const struct pool_job *job, int64_t now_ms,
			       struct placement *out)
{
	GPtrArray *workers = pick_first_fit(pool, job, now_ms);
	int64_t use = use_of(pool, job->client_account);

	if (workers)
		return placement_accept(out, workers,
					"first workers with room");
	use += shape_accelerators(&job->shape);
	if (use > quota_of(pool, job->client_account))
		return placement_defer(out, "no room");
	return place_by_stopping(pool, job, now_ms, out);
}

static void quota_free(struct placement_policy *p)
{
	g_free(p);
}

const struct placement_policy_class quota_policy = {
	.name = "quota",
	.discipline = QUEUE_BACKFILL,
	.place = quota_place,
	.free = quota_free,
};
