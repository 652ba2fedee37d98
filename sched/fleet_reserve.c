#include "sched/fleet_reserve.h"

#include "base/log.h"
#include "sched/fleet_internal.h"

/* A rack is reserved for a gang that has been ready for this long and still
 * fits nowhere. */
#define RESERVE_AFTER_MS 3000
/* Most racks that are reserved in one round. */
#define MAX_RESERVATIONS 2
/* A rack whose tasks have not ended after this time may take longer than other
 * jobs can wait for it. */
#define RESERVE_LIMIT_MS 20000
/* Time after such a reservation until the gang may get another. */
#define RESERVE_PAUSE_MS 60000

static void log_reservation(const struct fleet_unit *u, const char *event,
			    const char *rack)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "job", u->step->job->id);
	log_int(&line, "step", u->step->index);
	log_int(&line, "tasks", u->tasks->len);
	if (rack)
		log_str(&line, "rack", rack);
	log_end(&line);
}

/* Returns TRUE if the gang may have a rack now. */
static gboolean may_reserve(const struct fleet_round *r,
			    const struct fleet_unit *u)
{
	struct fleet_step *step = u->step;

	if (r->now_ms - step->ready_ms < RESERVE_AFTER_MS ||
	    r->now_ms < step->reserve_after_ms)
		return FALSE;
	if (!step->reserved_since_ms ||
	    r->now_ms - step->reserved_since_ms < RESERVE_LIMIT_MS)
		return r->reservations < MAX_RESERVATIONS;
	step->reserved_since_ms = 0;
	step->reserve_after_ms = r->now_ms + RESERVE_PAUSE_MS;
	log_reservation(u, "reservation_lapsed", NULL);
	return FALSE;
}

/* Returns the accelerators of a rack that are free once the ordered stops are
 * done. */
static int64_t free_accelerators(const struct fleet_round *r,
				 const struct fleet_rack *rack)
{
	int64_t found = 0;

	for (guint i = rack->begin; i < rack->end; i++) {
		const struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);

		found += rw->free_after_stops.accelerators -
			 rw->reserved.accelerators;
	}
	return found;
}

/* Reserves the demand of as many tasks on each worker as it can take once its
 * other tasks have ended. */
static void reserve_workers(struct fleet_round *r, const struct fleet_unit *u,
			    const struct fleet_rack *rack)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);

	for (guint i = rack->begin; i < rack->end; i++) {
		struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);
		struct demand most = rw->worker->reg.capacity;
		guint tasks;

		demand_subtract(&most, &rw->lasting);
		tasks = fleet_round_capacity(r, u, rw, &most);
		for (guint k = 0; k < tasks; k++)
			demand_add(&rw->reserved, &d);
	}
}

gboolean fleet_reserve_rack(struct fleet_round *r, const struct fleet_unit *u,
			    const GPtrArray *options)
{
	const struct fleet_rack *best = NULL;
	int64_t most = -1;

	if (!may_reserve(r, u))
		return FALSE;
	for (guint i = 0; i < options->len; i++) {
		const struct fleet_rack *rack = options->pdata[i];
		int64_t found;

		if (!rack || !fleet_round_could_hold(r, u, rack))
			continue;
		found = free_accelerators(r, rack);
		if (found > most) {
			most = found;
			best = rack;
		}
	}
	if (!best)
		return FALSE;
	reserve_workers(r, u, best);
	r->reservations++;
	if (!u->step->reserved_since_ms) {
		u->step->reserved_since_ms = r->now_ms;
		log_reservation(u, "rack_reserved", best->name);
	}
	return TRUE;
}
