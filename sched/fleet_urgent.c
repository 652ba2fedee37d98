#include "sched/fleet_urgent.h"

#include <math.h>

#include "sched/fleet_parts.h"

/* The peak of the urgent jobs' need halves in this time without such need:
 * bursts come again within seconds. */
#define URGENT_HALF_LIFE_MS 6000
/* Nothing is kept back while less of the pool is in use (platform's rule on
 * jobs that wait beside free capacity). */
#define CALM_SHARE 0.5
/* Orders in flight at which no more are given: a small VM has to take up their
 * answers (about 1 ms each) well within the time that an order may need. */
#define MAX_ORDERS_OUT 64

/* Returns the part of the pool that a demand is, by what it needs most of. */
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

void fleet_urgent_note_use(struct fleet_round *r)
{
	r->is_calm = share_of(&r->in_use, &r->total) < CALM_SHARE;
}

/* Keeps the first rooms: unsaved work stays together in the others. */
static void keep_rooms(struct fleet_round *r)
{
	double kept = 0;
	guint i;

	for (i = 0; i < r->rooms->len && kept < r->s->urgent_peak; i++)
		kept += (double)g_array_index(r->rooms, struct fleet_room, i)
				.worker->reg.capacity.accelerators;
	r->first_open_room = i;
}

/* Sums up what runs, and what urgent jobs need now or needed of late. */
void fleet_urgent_update(struct fleet_round *r, const GPtrArray *units)
{
	struct fleet_scheduler *s = r->s;
	double passed_ms = (double)(r->now_ms - s->urgent_peak_ms);
	int64_t urgent = 0;

	for (guint i = 0; i < r->rooms->len; i++) {
		const struct fleet_worker *w =
			g_array_index(r->rooms, struct fleet_room, i).worker;

		for (guint k = 0; k < w->tasks->len; k++) {
			const struct fleet_task *t = w->tasks->pdata[k];

			if (t->is_stop_ordered)
				continue;
			if (fleet_priority(s, t->step->job) == 0)
				urgent += t->step->spec->accelerators;
			else if (!t->step->spec->is_checkpointed)
				r->unsaved += t->step->spec->accelerators;
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
	keep_rooms(r);
	fleet_urgent_note_use(r);
}

gboolean fleet_urgent_may_use(const struct fleet_round *r,
			      const struct fleet_unit *u,
			      const struct fleet_room *room)
{
	const struct fleet_room *first = (const void *)r->rooms->data;
	const char *near = u->step->spec->data_rack;

	if (r->is_calm || !fleet_unit_is_unsaved(u))
		return TRUE;
	return room - first >= (ptrdiff_t)r->first_open_room ||
	       g_strcmp0(near, fleet_rack_of(room->worker)) == 0;
}

/* Tasks that may be placed until the pool is no longer calm. */
static guint calm_tasks(const struct fleet_round *r, const struct fleet_unit *u)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	double left = CALM_SHARE - share_of(&r->in_use, &r->total);
	double share = share_of(&d, &r->total);

	if (!r->is_calm)
		return 0;
	if (u->step->spec->is_gang || share <= 0)
		return u->tasks->len;
	return (guint)MIN(ceil(left / share), (double)u->tasks->len);
}

/* Tasks that fit beside what is kept for urgent jobs. */
static guint unkept_tasks(const struct fleet_round *r,
			  const struct fleet_unit *u)
{
	double left = (double)(r->total.accelerators - r->unsaved) -
		      r->s->urgent_peak;
	int64_t each = u->step->spec->accelerators;

	if (left < (double)each)
		return 0;
	return (guint)MIN(left / (double)each, (double)u->tasks->len);
}

guint fleet_urgent_allowed(const struct fleet_round *r,
			   const struct fleet_unit *u)
{
	guint orders = MAX_ORDERS_OUT - MIN(r->orders_out, MAX_ORDERS_OUT);
	guint most = u->tasks->len;

	if (!orders)
		return 0;
	/* A gang is started whole, beyond the orders in flight. */
	if (!u->step->spec->is_gang)
		most = MIN(most, orders);
	if (!fleet_unit_is_unsaved(u))
		return most;
	return MIN(MAX(unkept_tasks(r, u), calm_tasks(r, u)), most);
}
