#include "job/placement/cells.h"

#include "job/placement/borrow.h"
#include "job/placement/migrate.h"
#include "job/placement/guaranteed.h"
#include "job/placement/pick.h"

/* Most workers checked, per member of an urgent job, for jobs to stop. */
#define URGENT_WORKERS_PER_MEMBER 8

/* Smallest job that smaller jobs are moved away for, in accelerators. */
#define MIGRATE_MIN_ACCELERATORS 4

/* Work without checkpoints avoids planned slots from this run time on. */
#define PLANNED_SLOT_MAX_RUN_MS (INT64_C(60) * 60 * 1000)

/* Arguments of one call of cells_place(). */
struct attempt {
	struct pool *pool;
	const struct pool_job *job;
	int64_t now_ms;
	struct placement *out;
};

static enum status accept_workers(const struct attempt *a, GPtrArray *workers,
				  const char *reason, const char *runner_up)
{
	g_free(a->out->runner_up);
	a->out->runner_up = g_strdup(runner_up);
	return placement_accept(a->out, workers, reason);
}

/*
 * Returns TRUE if a job may borrow planned slots, where it can be stopped. Long
 * work without checkpoints may do so only if the reservation is for it, that
 * is, if it has waited longest.
 */
static gboolean may_use_planned_slots(const struct attempt *a)
{
	return a->job->is_checkpointable ||
	       a->job->expected_run_ms < PLANNED_SLOT_MAX_RUN_MS ||
	       g_strcmp0(a->pool->reserved_for, a->job->id) == 0;
}

static gboolean try_borrow(const struct attempt *a)
{
	static const char *const reasons[] = {
		"borrowed: best fit outside of planned slots",
		"borrowed: best fit, using planned slots"
	};

	for (enum borrow_scope s = BORROW_AROUND_SLOTS; s < BORROW_SCOPE_COUNT;
	     s++) {
		const char *runner_up = "";
		GPtrArray *workers;

		if (s == BORROW_ALL_FREE && !may_use_planned_slots(a))
			continue;
		workers =
			borrow_find(a->pool, a->job, a->now_ms, s, &runner_up);

		if (!workers)
			continue;
		accept_workers(a, workers, reasons[s], runner_up);
		return TRUE;
	}
	return FALSE;
}

static void accept_offer(const struct attempt *a, struct guaranteed_offer *o)
{
	gboolean is_free = o->reclaim.victims->len == 0;

	a->out->is_guaranteed = TRUE;
	reclaim_list_victims(&o->reclaim, a->out);
	accept_workers(
		a, g_ptr_array_ref(o->workers),
		is_free ? "within the account's guarantee"
			: "within the account's guarantee: stops borrowed work",
		o->runner_up);
}

/* Returns TRUE if the loss is at most the work that the job will do. */
static gboolean is_loss_justified(const struct attempt *a,
				  const struct guaranteed_offer *o)
{
	int64_t work = a->job->expected_run_ms *
		       MAX(shape_accelerators(&a->job->shape), 1);

	return o->reclaim.loss <= work;
}

/*
 * Places work within a guarantee. Urgent work and work that takes a whole
 * guarantee is always placed. Work that would waste a slot or stop jobs uses
 * free room instead if there is any; unless it takes a whole guarantee, it
 * stops jobs only if the loss is justified. Work that fits its slots well
 * counts as guaranteed on the free room too. Urgent work doesn't borrow here,
 * since borrowed work can be stopped.
 */
static gboolean try_guaranteed(const struct attempt *a)
{
	struct guaranteed_offer o;
	gboolean is_taken = FALSE;
	gboolean is_urgent = a->job->class == JOB_CLASS_URGENT;

	if (guaranteed_offer_find(&o, a->pool, a->job, a->now_ms)) {
		gboolean is_free = o.reclaim.victims->len == 0;

		is_taken = TRUE;
		if (!is_urgent && !(o.is_good_fit && is_free) && try_borrow(a))
			a->out->is_guaranteed = o.is_good_fit;
		else if (is_urgent || is_free || o.is_whole_guarantee ||
			 is_loss_justified(a, &o))
			accept_offer(a, &o);
		else
			is_taken = FALSE;
	}
	guaranteed_offer_clear(&o);
	return is_taken;
}

/* Finds workers for all members, counting jobs that may be stopped as gone. */
static GPtrArray *fill_by_stopping(const struct attempt *a,
				   const struct reclaim *r)
{
	struct resources need = resources_of_member(&a->job->shape);
	int64_t members = a->job->shape.members;
	struct cell_cursor c = cell_index_from(&a->pool->workers_by_unplanned,
					       need.accelerators);
	int64_t workers_left = URGENT_WORKERS_PER_MEMBER * members;
	GPtrArray *list = g_ptr_array_new();
	guint index;

	while (list->len < members && workers_left-- > 0 &&
	       cell_index_next(&a->pool->workers_by_unplanned, &c, &index)) {
		struct worker_cell *w = a->pool->workers->pdata[index];

		a->pool->visits++;
		if (a->job->shape.adjacency == ADJACENCY_WORKER)
			g_ptr_array_set_size(list, 0);
		pick_add_members(list, w, reclaim_room(r, w), need, members);
	}
	if (list->len == members)
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

/* Places urgent work outside a guarantee; stops borrowed, non-urgent work. */
static gboolean try_urgent(const struct attempt *a)
{
	struct reclaim r;
	GPtrArray *workers;
	gboolean is_found;

	if (a->job->class != JOB_CLASS_URGENT ||
	    a->job->shape.adjacency == ADJACENCY_RACK)
		return FALSE;
	reclaim_init(&r, a->pool, a->job, a->now_ms,
		     reclaim_is_borrowed_not_urgent, NULL);
	workers = fill_by_stopping(a, &r);
	is_found = workers && reclaim_choose_victims(&r, workers);
	if (is_found) {
		reclaim_list_victims(&r, a->out);
		accept_workers(a, g_ptr_array_ref(workers),
			       "urgent: stops borrowed work", "");
	}
	if (workers)
		g_ptr_array_unref(workers);
	reclaim_clear(&r);
	return is_found;
}

/* Places large work by moving smaller borrowed work out of the way. */
static gboolean try_migrate(const struct attempt *a)
{
	struct reclaim r;
	GPtrArray *workers;

	if (shape_accelerators(&a->job->shape) < MIGRATE_MIN_ACCELERATORS)
		return FALSE;
	migrate_init(&r, a->pool, a->job, a->now_ms);
	workers = migrate_find(&r);
	if (workers) {
		reclaim_list_victims(&r, a->out);
		accept_workers(a, workers,
			       "borrowed: moves smaller jobs elsewhere", "");
	}
	reclaim_clear(&r);
	return workers != NULL;
}

static const char *wait_reason(const struct pool_job *job)
{
	static const char *const reasons[] = {
		"no room: too few workers have space for a member",
		"no room: no rack has space for all members",
		"no room: no worker has space for all members"
	};

	return reasons[job->shape.adjacency];
}

static enum status cells_place(struct placement_policy *p, struct pool *pool,
			       const struct pool_job *job, int64_t now_ms,
			       struct placement *out)
{
	struct attempt a = { pool, job, now_ms, out };

	if (try_guaranteed(&a) || try_borrow(&a) || try_urgent(&a) ||
	    try_migrate(&a))
		return STATUS_OK;
	return placement_defer(out, wait_reason(job));
}

static void cells_free(struct placement_policy *p)
{
	g_free(p);
}

const struct placement_policy_class cells_policy = {
	.name = "cells",
	.discipline = QUEUE_FAIR,
	.place = cells_place,
	.free = cells_free,
};
