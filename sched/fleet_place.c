#include "sched/fleet_guarantee.h"
#include "sched/fleet_internal.h"
#include "sched/fleet_preempt.h"
#include "sched/fleet_reserve.h"
#include "sched/fleet_urgent.h"

/* A unit waits this many times its expected run time for the racks that it
 * prefers; then it may use any. */
#define RACK_WAIT_FACTOR 1.0

static void start_unit(struct fleet_round *r, struct fleet_unit *u,
		       const struct worker_choice *c)
{
	GPtrArray *workers = g_ptr_array_new();

	for (guint i = 0; i < c->workers->len; i++) {
		guint index = g_array_index(c->workers, guint, i);

		g_ptr_array_add(workers,
				g_array_index(r->workers,
					      struct fleet_round_worker, index)
					.worker);
	}
	fleet_round_allocate(r, u, c);
	r->orders_in_flight += workers->len;
	if (fleet_unit_loses_work_on_stop(u))
		r->unsaved_accelerators +=
			u->step->spec->accelerators * workers->len;
	if (!u->step->job->is_active_stored) {
		fleet_activate_job(u->step->job, r->now_ms);
		g_ptr_array_unref(workers);
		return;
	}
	if (u->step->spec->is_gang) {
		fleet_start_tasks(r->s, (struct fleet_task **)u->tasks->pdata,
				  (struct fleet_worker **)workers->pdata,
				  workers->len, r->now_ms);
	} else {
		for (guint i = 0; i < workers->len; i++)
			fleet_start_tasks(
				r->s, (struct fleet_task **)&u->tasks->pdata[i],
				(struct fleet_worker **)&workers->pdata[i], 1,
				r->now_ms);
	}
	g_ptr_array_unref(workers);
}

static gboolean may_wait_for_rack(const struct fleet_round *r,
				  const struct fleet_unit *u)
{
	int64_t waited_ms = r->now_ms - u->step->ready_ms;

	return (double)waited_ms <
	       RACK_WAIT_FACTOR * (double)fleet_step_expected_ms(
					  r->s, u->step->job, u->step->spec);
}

/*
 * Returns the racks that a unit may use, in order of preference, the rack of
 * its data first. NULL allows several racks at once.
 */
static GPtrArray *rack_options(const struct fleet_round *r,
			       const struct fleet_unit *u)
{
	const struct step_spec *spec = u->step->spec;
	const struct fleet_rack *near = fleet_round_rack(r, spec->data_rack);
	GPtrArray *options = g_ptr_array_new();

	if (near && fleet_round_could_hold(r, u, near)) {
		g_ptr_array_add(options, (gpointer)near);
		if (may_wait_for_rack(r, u))
			return options;
	}
	if (spec->is_gang && spec->is_one_rack) {
		gboolean could_hold = FALSE;

		for (guint i = 0; i < r->racks->len; i++) {
			struct fleet_rack *rack =
				&g_array_index(r->racks, struct fleet_rack, i);

			if (!fleet_round_could_hold(r, u, rack))
				continue;
			could_hold = TRUE;
			if (rack != near)
				g_ptr_array_add(options, rack);
		}
		if (could_hold && may_wait_for_rack(r, u))
			return options;
	}
	g_ptr_array_add(options, NULL);
	return options;
}

/* Returns TRUE if a unit may be placed in several racks at once. */
static gboolean has_any_rack(GPtrArray *options)
{
	return g_ptr_array_find(options, NULL, NULL);
}

/*
 * Starts as many tasks of a step without a gang as fit. Returns TRUE if all
 * @allowed tasks were started, which are counted down.
 */
static gboolean place_singles(struct fleet_round *r, struct fleet_unit *u,
			      const GPtrArray *options, guint *allowed,
			      struct worker_choice *c)
{
	for (guint i = 0; i < options->len && *allowed; i++) {
		fleet_round_choose(r, u, options->pdata[i], FREE_NOW, *allowed,
				   c);
		if (!c->workers->len)
			continue;
		start_unit(r, u, c);
		*allowed -= c->workers->len;
		g_ptr_array_remove_range(u->tasks, 0, c->workers->len);
	}
	return !*allowed;
}

/* Has an urgent job stored as active while the stops that it waits for are
 * carried out, so that it starts as soon as these have ended. */
static void prepare_start(const struct fleet_round *r,
			  const struct fleet_unit *u)
{
	if (u->priority == 0)
		fleet_activate_job(u->step->job, r->now_ms);
}

/* Starts a gang, or as many tasks of another unit as fit. Returns TRUE if no
 * task is left. */
static gboolean start_now(struct fleet_round *r, struct fleet_unit *u,
			  const GPtrArray *options, guint *allowed,
			  struct worker_choice *c)
{
	if (!u->step->spec->is_gang)
		return place_singles(r, u, options, allowed, c);
	if (!fleet_round_choose_whole(r, u, options, FREE_NOW, c))
		return FALSE;
	start_unit(r, u, c);
	return TRUE;
}

/* Starts a unit in one of the racks, or takes capacity there for it. Returns
 * FALSE if it found none for some of its tasks. */
static gboolean place_in_racks(struct fleet_round *r, struct fleet_unit *u,
			       const GPtrArray *options, guint *allowed)
{
	struct worker_choice c = { g_array_new(FALSE, FALSE, sizeof(guint)),
				   0 };
	gboolean is_placed = TRUE;

	if (start_now(r, u, options, allowed, &c))
		goto out;
	/* Nothing waits for a reserved rack beside idle workers. */
	if (r->reservations && r->is_lightly_used) {
		r->uses_reserved = TRUE;
		is_placed = start_now(r, u, options, allowed, &c);
		r->uses_reserved = FALSE;
		if (is_placed)
			goto out;
	}
	is_placed = TRUE;
	if (fleet_round_choose_whole(r, u, options, FREE_AFTER_STOPS, &c)) {
		fleet_round_allocate(r, u, &c);
		prepare_start(r, u);
	} else if (u->priority == 0) {
		guint placed = fleet_preempt(r, u, options, &c);

		if (placed)
			prepare_start(r, u);
		g_ptr_array_remove_range(u->tasks, 0, placed);
		is_placed = !u->tasks->len;
	} else {
		is_placed = u->step->spec->is_gang &&
			    fleet_reserve_rack(r, u, options);
	}
out:
	g_array_unref(c.workers);
	return is_placed;
}

/* Places a unit, preferably in the racks where it runs fastest. Returns FALSE
 * if it found no capacity for some of its tasks. */
static gboolean place_unit(struct fleet_round *r, struct fleet_unit *u)
{
	GPtrArray *options = rack_options(r, u);
	guint allowed = fleet_urgent_allowed(r, u);
	gboolean is_placed = FALSE;

	if (!allowed || (u->step->spec->is_gang && allowed < u->tasks->len))
		goto out;
	is_placed = place_in_racks(r, u, options, &allowed);
	/* A guarantee is claimed now, so it doesn't wait for a rack. */
	if (!is_placed && u->is_guaranteed && !has_any_rack(options)) {
		g_ptr_array_set_size(options, 0);
		g_ptr_array_add(options, NULL);
		is_placed = place_in_racks(r, u, options, &allowed);
	}
out:
	g_ptr_array_unref(options);
	return is_placed;
}

/*
 * Tries the units in their order until the time is over. A unit without workers
 * is not tried again before all others were.
 */
static void place_units(struct fleet_round *r, const GPtrArray *units)
{
	struct fleet_scheduler *s = r->s;
	guint i;

	for (i = 0; i < units->len; i++) {
		struct fleet_unit *u = units->pdata[i];
		struct fleet_step *step = u->step;
		uint64_t *unplaced = &step->job->unplaced_rounds[step->index];

		if (i && fleet_round_is_over(r))
			break;
		/* Other occurrences of the step ask for the same. */
		if (*unplaced == s->round && !step->spec->max_per_worker) {
			step->tried_pass = s->pass;
			continue;
		}
		if (place_unit(r, u))
			continue;
		/* The search may have been cut short: the unit comes first in
		 * the next plan. */
		if (i && fleet_round_is_over(r))
			break;
		step->tried_pass = s->pass;
		*unplaced = s->round;
	}
	s->plan.units_tried = i;
	s->plan.units_postponed = units->len - i;
}

void fleet_place_all(struct fleet_scheduler *s, int64_t now_ms)
{
	struct fleet_round r = { .s = s, .now_ms = now_ms };
	GPtrArray *units;

	s->plan = (struct fleet_plan_stats){ 0 };
	if (!s->config)
		return;
	if (s->bounds.plan_us && s->ports.clock_us)
		r.end_us = s->ports.clock_us(s->ports.data) + s->bounds.plan_us;
	s->round++;
	if (!s->is_pass_open)
		s->pass++;
	r.workers = g_array_new(FALSE, TRUE, sizeof(struct fleet_round_worker));
	r.racks = g_array_new(FALSE, TRUE, sizeof(struct fleet_rack));
	fleet_round_collect(&r);
	r.accounts = fleet_accounts_new(s);
	units = fleet_units_collect(&r);
	fleet_urgent_update(&r, units);
	place_units(&r, units);
	s->is_pass_open = s->plan.units_postponed || s->plan.jobs_postponed;
	g_ptr_array_unref(units);
	g_hash_table_unref(r.accounts);
	g_array_unref(r.racks);
	g_array_unref(r.workers);
}
