#include "job/placement/cells.h"

#include "job/placement/borrow.h"
#include "job/placement/migrate.h"
#include "job/placement/own.h"
#include "job/placement/pick.h"

/* Places where urgent borrowed work looks for what to stop. */
#define URGENT_PLACES 8

/* Jobs that others move away for have at least this size. */
#define MIGRATE_FOR_ACCELERATORS 4

/* Work of this run time is not risked on planned slots. */
#define RISKED_RUN_MS (INT64_C(60) * 60 * 1000)

struct attempt {
	struct pool *pool;
	const struct pool_job *job;
	int64_t now_ms;
	struct placement *out;
};

static enum status take(const struct attempt *a, GPtrArray *workers,
			const char *reason, const char *runner_up)
{
	g_free(a->out->runner_up);
	a->out->runner_up = g_strdup(runner_up);
	return pick_take(a->out, workers, reason);
}

/*
 * Long work that can't be checkpointed stays off planned slots, where it could
 * be stopped, unless it has waited longest.
 */
static gboolean may_risk(const struct attempt *a)
{
	return a->job->is_checkpointable ||
	       a->job->expected_run_ms < RISKED_RUN_MS ||
	       g_strcmp0(a->pool->reserved_for, a->job->id) == 0;
}

static gboolean try_borrow(const struct attempt *a)
{
	static const char *const reasons[] = {
		"borrowed: best fit outside of planned slots",
		"borrowed: best fit, over planned slots"
	};

	for (enum borrow_room r = BORROW_OPEN; r < BORROW_ROOM_COUNT; r++) {
		const char *runner_up = "";
		GPtrArray *workers;

		if (r == BORROW_FREE && !may_risk(a))
			continue;
		workers =
			borrow_find(a->pool, a->job, a->now_ms, r, &runner_up);

		if (!workers)
			continue;
		take(a, workers, reasons[r], runner_up);
		return TRUE;
	}
	return FALSE;
}

static void take_own(const struct attempt *a, struct own_offer *o)
{
	gboolean is_free = o->reclaim.victims->len == 0;

	a->out->is_guaranteed = TRUE;
	reclaim_list(&o->reclaim, a->out);
	take(a, g_ptr_array_ref(o->workers),
	     is_free ? "within the account's guarantee"
		     : "within the account's guarantee: borrowed work stops",
	     o->runner_up);
}

/* Tells whether less work is lost than the job is expected to do. */
static gboolean is_worth(const struct attempt *a, const struct own_offer *o)
{
	int64_t work = a->job->expected_run_ms *
		       MAX(shape_accelerators(&a->job->shape), 1);

	return o->reclaim.loss <= work;
}

/*
 * Work within a guarantee. Urgent work and work that has the shape of the
 * guarantee always gets it. What would waste a slot, or stop others, borrows
 * instead where there is room; what would waste a slot stops others only when
 * it is worth it. Urgent work does not borrow, so that it can't be stopped.
 */
static gboolean try_own(const struct attempt *a)
{
	struct own_offer o;
	gboolean is_taken = FALSE;
	gboolean is_urgent = a->job->class == JOB_CLASS_URGENT;

	if (own_offer_find(&o, a->pool, a->job, a->now_ms)) {
		gboolean is_free = o.reclaim.victims->len == 0;

		is_taken = TRUE;
		if (!is_urgent && !(o.is_snug && is_free) && try_borrow(a))
			a->out->is_guaranteed = o.is_snug;
		else if (is_urgent || is_free || o.is_whole || is_worth(a, &o))
			take_own(a, &o);
		else
			is_taken = FALSE;
	}
	own_offer_clear(&o);
	return is_taken;
}

/* Fills workers with the room that stopping borrowed work would give. */
static GPtrArray *fill_by_stopping(const struct attempt *a,
				   const struct reclaim *r)
{
	struct resources need = resources_of_member(&a->job->shape);
	int64_t members = a->job->shape.members;
	struct cell_cursor c =
		cell_index_from(&a->pool->unplanned, need.accelerators);
	int64_t tries = URGENT_PLACES * members;
	GPtrArray *list = g_ptr_array_new();
	guint index;

	while (list->len < members && tries-- > 0 &&
	       cell_index_next(&a->pool->unplanned, &c, &index)) {
		struct worker_cell *w = a->pool->workers->pdata[index];

		a->pool->visits++;
		if (a->job->shape.adjacency == ADJACENCY_WORKER)
			g_ptr_array_set_size(list, 0);
		pick_fill(list, w, reclaim_room(r, w), need, members);
	}
	if (list->len == members)
		return list;
	g_ptr_array_unref(list);
	return NULL;
}

/* Urgent work beyond its guarantee stops borrowed work that is not urgent. */
static gboolean try_urgent(const struct attempt *a)
{
	struct reclaim r;
	GPtrArray *workers;
	gboolean is_found;

	if (a->job->class != JOB_CLASS_URGENT ||
	    a->job->shape.adjacency == ADJACENCY_RACK)
		return FALSE;
	reclaim_init(&r, a->pool, a->job, a->now_ms,
		     reclaim_borrowed_not_urgent, NULL);
	workers = fill_by_stopping(a, &r);
	is_found = workers && reclaim_choose(&r, workers);
	if (is_found) {
		reclaim_list(&r, a->out);
		take(a, g_ptr_array_ref(workers), "urgent: borrowed work stops",
		     "");
	}
	if (workers)
		g_ptr_array_unref(workers);
	reclaim_clear(&r);
	return is_found;
}

/* Large work moves smaller borrowed work out of the way. */
static gboolean try_migrate(const struct attempt *a)
{
	struct reclaim r;
	GPtrArray *workers;

	if (shape_accelerators(&a->job->shape) < MIGRATE_FOR_ACCELERATORS)
		return FALSE;
	migrate_init(&r, a->pool, a->job, a->now_ms);
	workers = migrate_find(&r);
	if (workers) {
		reclaim_list(&r, a->out);
		take(a, workers, "borrowed: smaller work moves away", "");
	}
	reclaim_clear(&r);
	return workers != NULL;
}

static const char *wait_reason(const struct pool_job *job)
{
	static const char *const reasons[] = {
		"no room: too few workers have space for a member each",
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

	if (try_own(&a) || try_borrow(&a) || try_urgent(&a) || try_migrate(&a))
		return STATUS_OK;
	return pick_wait(out, wait_reason(job));
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
