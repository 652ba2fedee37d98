#include "sched/fleet_preempt.h"

#include <string.h>

#include "sched/fleet_internal.h"

#define MILLICORES_PER_CORE 1000.0
/* Cores that an accelerator counts as, by the platform's price of lost work. */
#define CORES_PER_ACCELERATOR 8

/* Minimum time of a restart, added to the lost work so that among stops without
 * lost work the smallest unit is stopped first. */
#define RESTART_MS 30

/* Returns the cost of stopping a task, in core-milliseconds. */
static double lost_work(const struct fleet_task *t, int64_t now_ms)
{
	const struct step_spec *spec = t->step->spec;
	double cores = (double)spec->millicores / MILLICORES_PER_CORE +
		       (double)(spec->accelerators * CORES_PER_ACCELERATOR);
	int64_t done_ms = now_ms - t->ordered_ms;

	/* A task with checkpoints saves its work at the stop. */
	if (spec->is_checkpointed)
		done_ms = 0;
	return cores * (double)(done_ms + RESTART_MS);
}

/* Like lost_work(), for all running members if the task is in a gang. */
static double unit_lost_work(const struct fleet_task *t, int64_t now_ms)
{
	const struct fleet_step *step = t->step;
	double lost = 0;

	if (!step->spec->is_gang)
		return lost_work(t, now_ms);
	for (guint i = 0; i < step->task_count; i++) {
		if (step->tasks[i].worker)
			lost += lost_work(&step->tasks[i], now_ms);
	}
	return lost;
}

/* Returns TRUE if a unit may preempt a running task. */
static gboolean may_preempt(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_task *t)
{
	if (t->is_stop_ordered || t->state == TASK_DONE)
		return FALSE;
	return fleet_job_priority(r->s, t->step->job) > u->priority;
}

/* Adds a victim, and adds what stopping it or its whole gang frees to the free
 * capacity after stops. */
static void add_victim(struct fleet_round *r, struct fleet_task *victim,
		       GPtrArray *victims)
{
	struct fleet_step *step = victim->step;

	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];
		struct demand d = fleet_task_demand(t);

		if (!t->worker || t->is_stop_ordered ||
		    (t != victim && !step->spec->is_gang))
			continue;
		for (guint k = 0; k < r->workers->len; k++) {
			struct fleet_round_worker *rw = &g_array_index(
				r->workers, struct fleet_round_worker, k);

			if (rw->worker == t->worker)
				demand_add(&rw->free_after_stops, &d);
		}
	}
	g_ptr_array_add(victims, victim);
}

static gboolean is_victim(const GPtrArray *victims, const struct fleet_task *t)
{
	for (guint i = 0; i < victims->len; i++) {
		const struct fleet_task *v = victims->pdata[i];

		if (v == t || (v->step == t->step && v->step->spec->is_gang))
			return TRUE;
	}
	return FALSE;
}

/* A task that may be stopped, and the cost of stopping it. */
struct victim {
	struct fleet_task *task;
	double lost;
};

static gint compare_victims(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->lost < y->lost)
		return -1;
	return x->lost > y->lost;
}

/*
 * Finds the cheapest tasks of one worker to stop so that one more task of the
 * unit fits. Returns FALSE if it doesn't fit even after all possible stops.
 */
static gboolean find_stops_for_task(const struct fleet_round *r,
				    const struct fleet_unit *u,
				    const struct fleet_round_worker *rw,
				    const GPtrArray *victims, GPtrArray *out,
				    double *lost)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	struct demand free = rw->free_after_stops;
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct victim));

	g_ptr_array_set_size(out, 0);
	*lost = 0;
	for (guint i = 0; i < rw->worker->tasks->len; i++) {
		struct victim v = { .task = rw->worker->tasks->pdata[i] };

		if (!may_preempt(r, u, v.task) || is_victim(victims, v.task))
			continue;
		v.lost = unit_lost_work(v.task, r->now_ms);
		g_array_append_val(found, v);
	}
	g_array_sort(found, compare_victims);
	for (guint i = 0; i < found->len && !demand_fits(&d, &free); i++) {
		const struct victim *v =
			&g_array_index(found, struct victim, i);
		struct demand freed = fleet_task_demand(v->task);

		demand_add(&free, &freed);
		g_ptr_array_add(out, v->task);
		*lost += v->lost;
	}
	g_array_unref(found);
	return demand_fits(&d, &free);
}

/* What one more task of a unit costs on a worker. */
struct task_cost {
	gboolean is_known;
	gboolean fits; /* possibly after stops */
	double lost;
};

/* Returns the worker on which one more task costs the least, or NULL. Unknown
 * costs are computed; there is one for each worker of the rack. */
static struct fleet_round_worker *
cheapest_worker(struct fleet_round *r, const struct fleet_unit *u,
		const struct fleet_rack *rack, const GPtrArray *victims,
		struct task_cost *costs, GPtrArray *best_victims,
		double *best_lost)
{
	struct fleet_round_worker *best = NULL;
	guint begin = fleet_rack_begin(rack);
	int64_t best_left = 0;

	for (guint i = begin; i < fleet_rack_end(r, rack); i++) {
		struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);
		int64_t left = rw->free_after_stops.accelerators;
		struct task_cost *cost = &costs[i - begin];

		if (!cost->is_known) {
			cost->is_known = TRUE;
			cost->fits =
				fleet_round_capacity(
					r, u, rw, &rw->worker->reg.capacity) &&
				find_stops_for_task(r, u, rw, victims,
						    best_victims, &cost->lost);
		}
		if (!cost->fits ||
		    (best && (cost->lost > *best_lost ||
			      (cost->lost == *best_lost && left >= best_left))))
			continue;
		best = rw;
		best_left = left;
		*best_lost = cost->lost;
	}
	if (best)
		find_stops_for_task(r, u, best, victims, best_victims,
				    best_lost);
	return best;
}

/* Tasks of a unit that are placed between two looks at the clock. */
#define CLOCK_CHECK_TASKS 8

/* Adds victims; returns TRUE if that frees capacity on several workers. */
static gboolean add_victims(struct fleet_round *r, const GPtrArray *more,
			    GPtrArray *victims)
{
	gboolean has_gang = FALSE;

	for (guint i = 0; i < more->len; i++) {
		struct fleet_task *t = more->pdata[i];

		has_gang |= t->step->spec->is_gang != 0;
		if (!is_victim(victims, t))
			add_victim(r, t, victims);
	}
	return has_gang;
}

/*
 * Finds the tasks to stop in a rack so that the unit fits. Returns FALSE if it
 * can't fit, or only at a cost of at least @limit, or if the time of the round
 * is over.
 */
static gboolean find_victims(struct fleet_round *r, const struct fleet_unit *u,
			     const struct fleet_rack *rack, double limit,
			     GPtrArray *victims, struct worker_choice *c,
			     double *cost)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	guint begin = fleet_rack_begin(rack);
	guint count = fleet_rack_end(r, rack) - begin;
	struct task_cost *costs = g_new0(struct task_cost, count);
	GPtrArray *more = g_ptr_array_new();
	gboolean has_worker = TRUE;
	double lost = 0;

	*cost = 0;
	g_ptr_array_set_size(victims, 0);
	g_array_set_size(c->workers, 0);
	for (guint n = 0; n < u->tasks->len && has_worker; n++) {
		struct fleet_round_worker *rw = cheapest_worker(
			r, u, rack, victims, costs, more, &lost);
		guint index;

		has_worker = rw && *cost + lost < limit &&
			     (n % CLOCK_CHECK_TASKS || !n ||
			      !fleet_round_is_over(r));
		if (!has_worker)
			break;
		index = (guint)(rw - (struct fleet_round_worker *)(void *)
					     r->workers->data);
		if (add_victims(r, more, victims))
			memset(costs, 0, count * sizeof(*costs));
		costs[index - begin].is_known = FALSE;
		demand_subtract(&rw->free_after_stops, &d);
		demand_subtract(&rw->free, &d);
		g_array_append_val(c->workers, index);
		*cost += lost;
	}
	g_ptr_array_unref(more);
	g_free(costs);
	return has_worker;
}

static void restore_workers(struct fleet_round *r, const GArray *saved)
{
	/* The data of an empty GArray may be NULL. */
	if (saved->len)
		memcpy(r->workers->data, saved->data,
		       saved->len * sizeof(struct fleet_round_worker));
}

static GArray *copy_workers(const struct fleet_round *r)
{
	GArray *copy =
		g_array_new(FALSE, FALSE, sizeof(struct fleet_round_worker));

	g_array_append_vals(copy, r->workers->data, r->workers->len);
	return copy;
}

gboolean fleet_preempt(struct fleet_round *r, struct fleet_unit *u,
		       const GPtrArray *options, struct worker_choice *c)
{
	GArray *saved = copy_workers(r);
	GPtrArray *victims = g_ptr_array_new();
	const struct fleet_rack *best = NULL;
	double best_cost = G_MAXDOUBLE;
	gboolean has_found = FALSE;
	double cost;

	for (guint i = 0; i < options->len; i++) {
		const struct fleet_rack *rack = options->pdata[i];

		/* Several racks at once are the last resort. */
		if (has_found && !rack)
			continue;
		if (find_victims(r, u, rack, best_cost, victims, c, &cost)) {
			has_found = TRUE;
			best = rack;
			best_cost = cost;
		}
		restore_workers(r, saved);
	}
	if (!has_found)
		goto out;
	has_found = find_victims(r, u, best, G_MAXDOUBLE, victims, c, &cost);
	if (!has_found) {
		restore_workers(r, saved);
		goto out;
	}
	r->orders_in_flight += victims->len;
	for (guint i = 0; i < victims->len; i++)
		fleet_stop_unit(r->s, victims->pdata[i],
				"preempted by a job of higher priority");
	fleet_round_allocate(r, u, c);
out:
	g_ptr_array_unref(victims);
	g_array_unref(saved);
	return has_found;
}
