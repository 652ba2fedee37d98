#include "job/placement/first_fit.h"

#include "job/placement/pick.h"

static enum status first_fit_place(struct placement_policy *p,
				   struct pool *pool,
				   const struct pool_job *job, int64_t now_ms,
				   struct placement *out)
{
	GPtrArray *workers = pick_first_fit(pool, job, now_ms);

	if (!workers)
		return placement_defer(out, "no room");
	return placement_accept(out, workers, "first workers with room");
}

static void first_fit_free(struct placement_policy *p)
{
	g_free(p);
}

const struct placement_policy_class first_fit_policy = {
	.name = "first_fit",
	.discipline = QUEUE_FIFO,
	.place = first_fit_place,
	.free = first_fit_free,
};

const struct placement_policy_class backfill_policy = {
	.name = "backfill",
	.discipline = QUEUE_BACKFILL,
	.place = first_fit_place,
	.free = first_fit_free,
};
