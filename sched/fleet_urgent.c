#include "sched/fleet_urgent.h"

#include <math.h>

#include "sched/fleet_internal.h"

/* The peak of the urgent jobs' demand halves in this time without such demand;
 * bursts recur within seconds. */
#define URGENT_HALF_LIFE_MS 6000
/* No capacity is kept for urgent jobs while a smaller share of the pool is in
 * use, by the platform's rule on jobs that wait beside free capacity. */
#define LIGHT_USE_SHARE 0.5
/* Limit of orders in flight: a small VM has to process their answers (about
 * 1 ms each) well within the timeout of an order. */
#define MAX_ORDERS_IN_FLIGHT 64

/* Returns the largest share of the pool that a demand takes of any resource. */
static double share_of(const struct demand *d, const struct demand *total)
{
	double share = 0;

	if (total->millicores > 0)
		share = MAX(share,
			    (double)d->millicores / (double)total->millicores);
	if (total->memory_mb > 0)
		share = MAX(share,
			    (double)d->memory_mb / (double)total->memory_mb);
	if (total->accelerators > 0)
		share = MAX(share, (double)d->accelerators /
					   (double)total->accelerators);
	return share;
}

void fleet_urgent_update_use(struct fleet_round *r)
{
	r->is_lightly_used = share_of(&r->in_use, &r->total) < LIGHT_USE_SHARE;
}

/* Keeps the first workers for urgent jobs. Work that a stop would lose stays
 * together on the others. */
static void keep_urgent_workers(struct fleet_round *r)
{
	double kept = 0;
	guint i;

	for (i = 0; i < r->workers->len && kept < r->s->urgent_peak; i++)
		kept += (double)g_array_index(r->workers,
					      struct fleet_round_worker, i)
				.worker->reg.capacity.accelerators;
	r->urgent_worker_count = i;
}

void fleet_urgent_update(struct fleet_round *r, const GPtrArray *units)
{
	struct fleet_scheduler *s = r->s;
	double passed_ms = (double)(r->now_ms - s->urgent_peak_ms);
	int64_t urgent = 0;

	for (guint i = 0; i < r->workers->len; i++) {
		const struct fleet_worker *w =
			g_array_index(r->workers, struct fleet_round_worker, i)
				.worker;

		for (guint k = 0; k < w->tasks->len; k++) {
			const struct fleet_task *t = w->tasks->pdata[k];

			if (t->is_stop_ordered)
				continue;
			if (fleet_job_priority(s, t->step->job) == 0)
				urgent += t->step->spec->accelerators;
			else if (!t->step->spec->is_checkpointed)
				r->unsaved_accelerators +=
					t->step->spec->accelerators;
		}
	}
	for (guint i = 0; i < units->len; i++) {
		const struct fleet_unit *u = units->pdata[i];

		if (u->priority == 0)
			urgent += u->step->spec->accelerators * u->tasks->len;
	}
	s->urgent_peak *= exp2(-passed_ms / URGENT_HALF_LIFE_MS);
	if (s->urgent_peak < 1)
		s->urgent_peak = 0;
	s->urgent_peak = MAX(s->urgent_peak, (double)urgent);
	s->urgent_peak_ms = r->now_ms;
	keep_urgent_workers(r);
	fleet_urgent_update_use(r);
}

gboolean fleet_urgent_may_use(const struct fleet_round *r,
			      const struct fleet_unit *u,
			      const struct fleet_round_worker *rw)
{
	const struct fleet_round_worker *first = (const void *)r->workers->data;
	const char *near = u->step->spec->data_rack;

	if (r->is_lightly_used || !fleet_unit_loses_work_on_stop(u))
		return TRUE;
	return rw - first >= (ptrdiff_t)r->urgent_worker_count ||
	       g_strcmp0(near, fleet_worker_rack(rw->worker)) == 0;
}

/* Returns how many tasks may be placed until the pool is no longer lightly
 * used. */
static guint light_use_tasks(const struct fleet_round *r,
			     const struct fleet_unit *u)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	double left = LIGHT_USE_SHARE - share_of(&r->in_use, &r->total);
	double share = share_of(&d, &r->total);

	if (!r->is_lightly_used)
		return 0;
	if (u->step->spec->is_gang || share <= 0)
		return u->tasks->len;
	return (guint)MIN(ceil(left / share), (double)u->tasks->len);
}

/* Returns how many tasks fit beside the capacity kept for urgent jobs. */
static guint unreserved_tasks(const struct fleet_round *r,
			      const struct fleet_unit *u)
{
	double left =
		(double)(r->total.accelerators - r->unsaved_accelerators) -
		r->s->urgent_peak;
	int64_t each = u->step->spec->accelerators;

	if (left < (double)each)
		return 0;
	return (guint)MIN(left / (double)each, (double)u->tasks->len);
}

guint fleet_urgent_allowed(const struct fleet_round *r,
			   const struct fleet_unit *u)
{
	guint orders = MAX_ORDERS_IN_FLIGHT -
		       MIN(r->orders_in_flight, MAX_ORDERS_IN_FLIGHT);
	guint most = u->tasks->len;

	if (!orders)
		return 0;
	/* A gang is started as a whole, even if that exceeds the limit. */
	if (!u->step->spec->is_gang)
		most = MIN(most, orders);
	if (!fleet_unit_loses_work_on_stop(u))
		return most;
	return MIN(MAX(unreserved_tasks(r, u), light_use_tasks(r, u)), most);
}
