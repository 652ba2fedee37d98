#include "sched/fleet_preempt.h"

#include <string.h>

#include "base/log.h"
#include "sched/fleet_guarantee.h"
#include "sched/fleet_internal.h"

#define MILLICORES_PER_CORE 1000.0
/* Cores that an accelerator counts as, by the platform's price of lost work. */
#define CORES_PER_ACCELERATOR 8

/* Factor on the cost of stopping urgent work: of all that is stopped for a
 * unit, as much as possible has a lower priority. */
#define URGENT_COST_FACTOR 1e6

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

/* Returns the cost of stopping a task, or of all placed members of its gang. */
static double stop_cost(const struct fleet_round *r, const struct fleet_task *t)
{
	const struct fleet_step *step = t->step;
	guint members = step->spec->is_gang ? step->task_count : 0;
	double cost = members ? 0 : lost_work(t, r->now_ms);

	for (guint i = 0; i < members; i++) {
		if (step->tasks[i].worker)
			cost += lost_work(&step->tasks[i], r->now_ms);
	}
	if (fleet_job_priority(r->s, step->job) == 0)
		cost *= URGENT_COST_FACTOR;
	return cost;
}

/* Returns TRUE if a unit may preempt a running task, which an account's
 * guarantee may still forbid. */
static gboolean may_preempt(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_task *t)
{
	int64_t priority;

	if (t->is_stop_ordered || t->state == TASK_DONE)
		return FALSE;
	priority = fleet_job_priority(r->s, t->step->job);
	return priority > u->priority || (u->is_guaranteed && priority == 0);
}

/* Counts a stop against the guarantee of the task's account. Returns FALSE if
 * that forbids it. */
static gboolean take(const struct fleet_round *r, const struct fleet_unit *u,
		     const struct fleet_task *t)
{
	return fleet_job_priority(r->s, t->step->job) != 0 ||
	       fleet_account_take(r, u, t);
}

static void give_back(const struct fleet_round *r, const struct fleet_task *t)
{
	if (fleet_job_priority(r->s, t->step->job) == 0)
		fleet_account_give_back(r, t);
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

/* A task, or all members of a gang on one worker, that may be stopped. */
struct victim {
	struct fleet_task *task; /* one of them */
	struct demand freed;	 /* on this worker */
	double cost;		 /* on all workers */
};

static gint compare_victims(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->cost < y->cost)
		return -1;
	return x->cost > y->cost;
}

/* Returns the entry of a task's gang, or NULL. */
static struct victim *find_gang(const GArray *found, const struct fleet_task *t)
{
	for (guint i = 0; i < found->len && t->step->spec->is_gang; i++) {
		struct victim *v = &g_array_index(found, struct victim, i);

		if (v->task->step == t->step)
			return v;
	}
	return NULL;
}

/* Lists what the unit may stop on a worker, cheapest first. */
static GArray *list_victims(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_round_worker *rw,
			    const GPtrArray *victims)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct victim));

	for (guint i = 0; i < rw->worker->tasks->len; i++) {
		struct victim v = { .task = rw->worker->tasks->pdata[i] };
		struct victim *gang = find_gang(found, v.task);

		v.freed = fleet_task_demand(v.task);
		if (!may_preempt(r, u, v.task) || is_victim(victims, v.task))
			continue;
		if (gang) {
			demand_add(&gang->freed, &v.freed);
			continue;
		}
		v.cost = stop_cost(r, v.task);
		g_array_append_val(found, v);
	}
	g_array_sort(found, compare_victims);
	return found;
}

static gint compare_freed(gconstpointer a, gconstpointer b)
{
	const struct victim *x = a;
	const struct victim *y = b;

	if (x->freed.accelerators != y->freed.accelerators)
		return x->freed.accelerators > y->freed.accelerators ? -1 : 1;
	return compare_victims(a, b);
}

static void give_back_all(const struct fleet_round *r, const GArray *chosen)
{
	for (guint i = 0; i < chosen->len; i++)
		give_back(r, g_array_index(chosen, struct victim, i).task);
}

/* Drops the victims, cheapest first, without which a demand fits too. */
static void drop_unneeded(const struct fleet_round *r, const struct demand *d,
			  struct demand *free, GArray *chosen)
{
	for (guint i = 0; i < chosen->len;) {
		const struct victim *v =
			&g_array_index(chosen, struct victim, i);
		struct demand without = *free;

		demand_subtract(&without, &v->freed);
		if (!demand_fits(d, &without)) {
			i++;
			continue;
		}
		*free = without;
		give_back(r, v->task);
		g_array_remove_index(chosen, i);
	}
}

/* Chooses victims in their order until a demand fits, and drops those that are
 * not needed after all. Returns FALSE if it doesn't fit. */
static gboolean choose_victims(const struct fleet_round *r,
			       const struct fleet_unit *u,
			       const struct fleet_round_worker *rw,
			       const GArray *found, GArray *chosen)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	struct demand free = rw->free_after_stops;

	g_array_set_size(chosen, 0);
	for (guint i = 0; i < found->len && !demand_fits(&d, &free); i++) {
		const struct victim *v =
			&g_array_index(found, struct victim, i);

		if (!take(r, u, v->task))
			continue;
		demand_add(&free, &v->freed);
		g_array_append_vals(chosen, v, 1);
	}
	if (demand_fits(&d, &free)) {
		drop_unneeded(r, &d, &free, chosen);
		return TRUE;
	}
	give_back_all(r, chosen);
	return FALSE;
}

/*
 * Finds the cheapest tasks of one worker to stop so that one more task of the
 * unit fits. Returns FALSE if it doesn't fit even after all possible stops.
 */
static gboolean find_stops_for_task(const struct fleet_round *r,
				    const struct fleet_unit *u,
				    const struct fleet_round_worker *rw,
				    const GPtrArray *victims, GPtrArray *out,
				    double *cost)
{
	GArray *found = list_victims(r, u, rw, victims);
	GArray *chosen = g_array_new(FALSE, FALSE, sizeof(struct victim));
	gboolean fits = choose_victims(r, u, rw, found, chosen);

	/* Many small tasks may use up what may be taken from an account where
	 * one large task would do. */
	if (!fits && u->is_guaranteed && found->len) {
		g_array_sort(found, compare_freed);
		fits = choose_victims(r, u, rw, found, chosen);
	}
	g_ptr_array_set_size(out, 0);
	*cost = 0;
	for (guint i = 0; i < chosen->len && fits; i++) {
		const struct victim *v =
			&g_array_index(chosen, struct victim, i);

		g_ptr_array_add(out, v->task);
		*cost += v->cost;
	}
	/* Taken for good once the worker is chosen. */
	if (fits)
		give_back_all(r, chosen);
	g_array_unref(chosen);
	g_array_unref(found);
	return fits;
}

/* What one more task of a unit costs on a worker. */
struct task_cost {
	gboolean is_known;
	gboolean fits; /* possibly after stops */
	double cost;
	guint chosen; /* tasks of the unit that this search has placed there */
};

/* Returns the worker on which one more task costs the least, by the known
 * costs, or NULL. Computes the unknown ones. */
static struct fleet_round_worker *
find_cheapest(struct fleet_round *r, const struct fleet_unit *u,
	      const struct fleet_rack *rack, const GPtrArray *victims,
	      struct task_cost *costs, GPtrArray *scratch)
{
	struct fleet_round_worker *best = NULL;
	guint begin = fleet_rack_begin(rack);
	double best_cost = 0;
	int64_t best_left = 0;

	for (guint i = begin; i < fleet_rack_end(r, rack); i++) {
		struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);
		int64_t left = rw->free_after_stops.accelerators;
		struct task_cost *c = &costs[i - begin];

		if (!c->is_known) {
			c->is_known = TRUE;
			c->fits = fleet_round_capacity(
					  r, u, rw, &rw->worker->reg.capacity) >
					  c->chosen &&
				  find_stops_for_task(r, u, rw, victims,
						      scratch, &c->cost);
		}
		if (!c->fits ||
		    (best && (c->cost > best_cost ||
			      (c->cost == best_cost && left >= best_left))))
			continue;
		best = rw;
		best_left = left;
		best_cost = c->cost;
	}
	return best;
}

/*
 * Returns the worker on which one more task costs the least, or NULL, and what
 * to stop there. @costs has an element for each worker of the rack. A known
 * cost is a lower bound: what was taken from an account since then may have
 * left it with no more than it keeps.
 */
static struct fleet_round_worker *
cheapest_worker(struct fleet_round *r, const struct fleet_unit *u,
		const struct fleet_rack *rack, const GPtrArray *victims,
		struct task_cost *costs, GPtrArray *best_victims,
		double *best_cost)
{
	const struct fleet_round_worker *first = (const void *)r->workers->data;
	struct fleet_round_worker *best;

	while ((best = find_cheapest(r, u, rack, victims, costs,
				     best_victims))) {
		struct task_cost *c =
			&costs[(guint)(best - first) - fleet_rack_begin(rack)];
		double known = c->cost;

		c->fits = find_stops_for_task(r, u, best, victims, best_victims,
					      &c->cost);
		*best_cost = c->cost;
		if (c->fits && c->cost <= known)
			break;
	}
	return best;
}

/* Tasks of a unit that are placed between two looks at the clock. */
#define CLOCK_CHECK_TASKS 8

/* Adds victims; returns TRUE if that frees capacity on several workers. */
static gboolean add_victims(struct fleet_round *r, const struct fleet_unit *u,
			    const GPtrArray *more, GPtrArray *victims)
{
	gboolean has_gang = FALSE;

	for (guint i = 0; i < more->len; i++) {
		struct fleet_task *t = more->pdata[i];

		has_gang |= t->step->spec->is_gang != 0;
		/* The search has checked that it may be taken. */
		take(r, u, t);
		add_victim(r, t, victims);
	}
	return has_gang;
}

static void forget_costs(struct task_cost *costs, guint count)
{
	for (guint i = 0; i < count; i++)
		costs[i].is_known = FALSE;
}

/* Returns TRUE if capacity for some tasks of a unit is worth stops. */
static gboolean may_place_part(const struct fleet_unit *u)
{
	return u->is_guaranteed && !u->step->spec->is_gang;
}

/*
 * Finds the tasks to stop in a rack so that the unit fits, or a part of it if
 * that is allowed. Stops where the cost reaches @limit or the time of the round
 * is over. Returns how many tasks of the unit get capacity, 0 for too few.
 */
static guint find_victims(struct fleet_round *r, const struct fleet_unit *u,
			  const struct fleet_rack *rack, double limit,
			  GPtrArray *victims, struct worker_choice *c,
			  double *cost)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	guint begin = fleet_rack_begin(rack);
	guint count = fleet_rack_end(r, rack) - begin;
	struct task_cost *costs = g_new0(struct task_cost, count);
	GPtrArray *more = g_ptr_array_new();
	guint placed;

	fleet_accounts_begin_search(r);
	*cost = 0;
	g_ptr_array_set_size(victims, 0);
	g_array_set_size(c->workers, 0);
	for (placed = 0; placed < u->tasks->len; placed++) {
		struct fleet_round_worker *rw;
		double more_cost = 0;
		guint index;

		if (placed && placed % CLOCK_CHECK_TASKS == 0 &&
		    fleet_round_is_over(r))
			break;
		rw = cheapest_worker(r, u, rack, victims, costs, more,
				     &more_cost);
		if (!rw || *cost + more_cost >= limit)
			break;
		index = (guint)(rw - (struct fleet_round_worker *)(void *)
					     r->workers->data);
		if (add_victims(r, u, more, victims))
			forget_costs(costs, count);
		costs[index - begin].is_known = FALSE;
		costs[index - begin].chosen++;
		demand_subtract(&rw->free_after_stops, &d);
		demand_subtract(&rw->free, &d);
		g_array_append_val(c->workers, index);
		*cost += more_cost;
	}
	g_ptr_array_unref(more);
	g_free(costs);
	return placed == u->tasks->len || may_place_part(u) ? placed : 0;
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

/* Stops the victims of a unit. */
static void stop_victims(struct fleet_round *r, const struct fleet_unit *u,
			 const GPtrArray *victims)
{
	const struct fleet_job *job = u->step->job;
	guint urgent = 0;
	struct log_line line;

	for (guint i = 0; i < victims->len; i++) {
		struct fleet_task *t = victims->pdata[i];
		gboolean is_urgent =
			fleet_job_priority(r->s, t->step->job) == 0;

		urgent += is_urgent;
		fleet_stop_unit(r->s, t,
				is_urgent ? "taken back for a guarantee"
					  : "preempted by a job of higher "
					    "priority");
	}
	r->orders_in_flight += victims->len;
	if (!urgent)
		return;
	log_begin(&line, LOG_LEVEL_INFO, "guarantee_claimed");
	log_str(&line, "job", job->id);
	log_str(&line, "account", job->account);
	log_int(&line, "tasks", u->tasks->len);
	log_int(&line, "urgent_stops", urgent);
	log_int(&line, "stops", victims->len);
	log_end(&line);
}

guint fleet_preempt(struct fleet_round *r, struct fleet_unit *u,
		    const GPtrArray *options, struct worker_choice *c)
{
	GArray *saved = copy_workers(r);
	GPtrArray *victims = g_ptr_array_new();
	const struct fleet_rack *best = NULL;
	double best_cost = G_MAXDOUBLE;
	guint most = 0;
	double cost;

	for (guint i = 0; i < options->len; i++) {
		const struct fleet_rack *rack = options->pdata[i];
		gboolean is_whole = most == u->tasks->len;
		guint placed;

		/* Several racks at once are the last resort. */
		if (is_whole && !rack)
			continue;
		placed = find_victims(r, u, rack,
				      is_whole ? best_cost : G_MAXDOUBLE,
				      victims, c, &cost);
		if (placed > most ||
		    (placed && placed == most && cost < best_cost)) {
			most = placed;
			best = rack;
			best_cost = cost;
		}
		restore_workers(r, saved);
	}
	if (!most)
		goto out;
	most = find_victims(r, u, best, G_MAXDOUBLE, victims, c, &cost);
	if (!most) {
		restore_workers(r, saved);
		goto out;
	}
	fleet_accounts_keep_search(r);
	stop_victims(r, u, victims);
	fleet_round_allocate(r, u, c);
out:
	g_ptr_array_unref(victims);
	g_array_unref(saved);
	return most;
}
