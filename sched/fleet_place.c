#include <math.h>
#include <string.h>

#include "base/log.h"
#include "sched/fleet_parts.h"

/* A worker without an answer for this long gets nothing new. */
#define CONTACT_MS 2500
/* A unit that waits for its rack longer than its own work may go elsewhere. */
#define RACK_PATIENCE 1.0
/* A unit that has found no room for this long has room kept for it. */
#define RESERVE_AFTER_MS 3000
#define MAX_RESERVATIONS 2
/* The peak of the urgent jobs' need halves in this time without such need:
 * bursts come again within seconds. */
#define URGENT_HALF_LIFE_MS 6000
/* Orders in flight at which no more are given: a small VM has to take up their
 * answers (about 1 ms each) well within the time that an order may need. */
#define MAX_ORDERS_OUT 64
#define MS_PER_CORE_UNIT 1000.0
/* An accelerator counts as so many cores (platform's price of lost work). */
#define CORES_PER_ACCELERATOR 8
#define NO_RACK "-"

/* What a worker has left within one round of placement. */
struct room {
	struct fleet_worker *worker;
	struct demand free; /* now */
	struct demand soon; /* and what is being stopped */
	gboolean is_taken;  /* kept for a unit that waits */
};

/* Workers of one rack: a span of the rooms, which are sorted by rack. */
struct rack {
	const char *name;
	guint begin;
	guint end; /* one past the last */
};

/* Tasks that are placed together: a gang, or all that wait of a step. */
struct unit {
	struct fleet_step *step;
	GPtrArray *tasks;    /* of struct fleet_task, all waiting */
	const char *service; /* of its route */
	int64_t priority;
	gboolean is_guaranteed;	 /* within its account's guarantee */
	int64_t latest_start_ms; /* to end within the objective */
	gboolean is_late;	 /* it can't end within it any more */
};

struct round {
	struct fleet_scheduler *s;
	int64_t now_ms;
	GArray *rooms; /* of struct room */
	GArray *racks; /* of struct rack */
	guint reservations;
	guint orders_out; /* orders in flight */
	int64_t capacity; /* accelerators of all usable workers */
	int64_t unsaved;  /* held by tasks that a stop would throw away */
};

static int64_t step_ms(const struct fleet_scheduler *s,
		       const struct fleet_job *job,
		       const struct step_spec *spec)
{
	return run_times_expected_ms(s->run_times, job->route,
				     spec->estimate_ms);
}

static int64_t chain_ms(const struct fleet_scheduler *s,
			const struct fleet_job *job, guint index)
{
	const struct step_spec *spec = job_spec_step(&job->spec, index);
	int64_t before_ms = 0;

	for (guint i = 0; i < step_spec_after_count(spec); i++)
		before_ms = MAX(before_ms,
				chain_ms(s, job, step_spec_after(spec, i)));
	return before_ms + step_ms(s, job, spec);
}

static int64_t longest_chain_ms(const struct fleet_scheduler *s,
				const struct fleet_job *job)
{
	int64_t longest_ms = 0;

	for (guint i = 0; i < job->spec.steps->len; i++)
		longest_ms = MAX(longest_ms, chain_ms(s, job, i));
	return longest_ms;
}

/* When a job has to end to be in time. */
static int64_t objective_ms(const struct fleet_scheduler *s,
			    const struct fleet_job *job)
{
	const struct queue_route *route = fleet_scheduler_route(s, job);

	if (!route)
		return INT64_MAX;
	return job->accepted_ms + route->objective_ms +
	       (int64_t)(route->stretch * (double)longest_chain_ms(s, job));
}

/* Work from this step to the end of the job. */
static int64_t remaining_ms(const struct fleet_scheduler *s,
			    const struct fleet_step *step)
{
	const struct fleet_job *job = step->job;
	int64_t rest_ms =
		longest_chain_ms(s, job) - chain_ms(s, job, step->index);

	return rest_ms + step_ms(s, job, step->spec);
}

static gboolean is_eligible(const struct unit *u, const struct fleet_worker *w)
{
	const char *label = u->step->spec->required_label;

	if (!g_str_equal(u->service, w->reg.service))
		return FALSE;
	return !label || fleet_worker_has_label(w, label);
}

static gboolean is_usable(const struct round *r, const struct fleet_worker *w)
{
	return w->is_fenced && w->is_recorded && !w->is_gone &&
	       !w->unwanted_runs && !w->reg.is_draining && w->reg.address &&
	       r->now_ms >= w->avoid_until_ms &&
	       r->now_ms - w->contact_ms < CONTACT_MS;
}

static const char *rack_of(const struct fleet_worker *w)
{
	return w->reg.rack ? w->reg.rack : NO_RACK;
}

/* Adds a room, which comes after all others, to its rack. */
static void add_to_rack(struct round *r, guint index)
{
	const struct room *room = &g_array_index(r->rooms, struct room, index);
	struct rack new = { rack_of(room->worker), index, index };
	struct rack *last = NULL;

	if (r->racks->len)
		last = &g_array_index(r->racks, struct rack, r->racks->len - 1);
	if (!last || !g_str_equal(last->name, new.name)) {
		g_array_append_val(r->racks, new);
		last = &g_array_index(r->racks, struct rack, r->racks->len - 1);
	}
	last->end = index + 1;
}

/* Returns the rack of a name, NULL when no usable worker is there. */
static const struct rack *find_rack(const struct round *r, const char *name)
{
	for (guint i = 0; name && i < r->racks->len; i++) {
		const struct rack *rack =
			&g_array_index(r->racks, struct rack, i);

		if (g_str_equal(rack->name, name))
			return rack;
	}
	return NULL;
}

static guint rooms_begin(const struct rack *rack)
{
	return rack ? rack->begin : 0;
}

/* Without a rack all rooms are meant. */
static guint rooms_end(const struct round *r, const struct rack *rack)
{
	return rack ? rack->end : r->rooms->len;
}

static gint compare_rooms(gconstpointer a, gconstpointer b)
{
	const struct room *x = a;
	const struct room *y = b;
	int order = strcmp(rack_of(x->worker), rack_of(y->worker));

	return order ? order : strcmp(x->worker->id, y->worker->id);
}

static void collect_rooms(struct round *r)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct room room = { .worker = item };

		if (!is_usable(r, room.worker))
			continue;
		room.free = fleet_worker_room(room.worker);
		room.soon = room.free;
		for (guint i = 0; i < room.worker->tasks->len; i++) {
			const struct fleet_task *t =
				room.worker->tasks->pdata[i];
			struct demand d = fleet_task_demand(t);

			if (t->is_stop_ordered)
				demand_add(&room.soon, &d);
			if (t->is_order_out)
				r->orders_out++;
		}
		g_array_append_val(r->rooms, room);
	}
	g_array_sort(r->rooms, compare_rooms);
	for (guint i = 0; i < r->rooms->len; i++)
		add_to_rack(r, i);
}

/* Returns how many tasks fit into a room. */
static guint copies(const struct demand *room, const struct demand *d)
{
	int64_t n = INT32_MAX;

	if (d->millicores > 0)
		n = MIN(n, room->millicores / d->millicores);
	if (d->memory_mb > 0)
		n = MIN(n, room->memory_mb / d->memory_mb);
	if (d->accelerators > 0)
		n = MIN(n, room->accelerators / d->accelerators);
	return (guint)CLAMP(n, 0, INT32_MAX);
}

static guint step_tasks_on(const struct fleet_worker *w,
			   const struct fleet_step *step)
{
	guint n = 0;

	for (guint i = 0; i < w->tasks->len; i++) {
		const struct fleet_task *t = w->tasks->pdata[i];

		if (t->step == step)
			n++;
	}
	return n;
}

/* Tasks of the unit that a worker may take, by a room. */
static guint capacity_for(const struct unit *u, const struct room *room,
			  const struct demand *by)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	guint n;

	if (room->is_taken)
		return 0;
	n = copies(by, &d);
	if (!n || !is_eligible(u, room->worker))
		return 0;
	if (u->step->spec->max_per_worker) {
		guint there = step_tasks_on(room->worker, u->step);
		guint most = (guint)u->step->spec->max_per_worker;

		n = MIN(n, most > there ? most - there : 0);
	}
	return MIN(n, u->tasks->len);
}

enum room_kind {
	ROOM_NOW,
	ROOM_SOON,
};

static const struct demand *room_by(const struct room *room,
				    enum room_kind kind)
{
	return kind == ROOM_NOW ? &room->free : &room->soon;
}

struct choice {
	GArray *workers; /* indexes into rooms, one a task */
	int64_t left;	 /* accelerators left free where it is placed */
};

struct candidate {
	guint index;
	guint count;
	int64_t left;
};

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->left != y->left)
		return x->left < y->left ? -1 : 1;
	return x->index < y->index ? -1 : 1;
}

/*
 * Chooses workers of one rack, or of all, fullest first. Returns whether all
 * tasks found one.
 */
static gboolean choose(const struct round *r, const struct unit *u,
		       const struct rack *rack, enum room_kind kind,
		       guint needed, struct choice *out)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	guint found = 0;

	g_array_set_size(out->workers, 0);
	out->left = 0;
	for (guint i = rooms_begin(rack); i < rooms_end(r, rack); i++) {
		const struct room *room =
			&g_array_index(r->rooms, struct room, i);
		const struct demand *by = room_by(room, kind);
		struct candidate c = { .index = i };

		c.count = capacity_for(u, room, by);
		if (!c.count)
			continue;
		c.left = by->accelerators - c.count * d.accelerators;
		found += c.count;
		g_array_append_val(candidates, c);
	}
	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *c =
			&g_array_index(candidates, struct candidate, i);

		for (guint k = 0; k < c->count && out->workers->len < needed;
		     k++)
			g_array_append_val(out->workers, c->index);
		out->left += c->left;
	}
	g_array_unref(candidates);
	return found >= needed;
}

static void take_room(struct round *r, const struct unit *u,
		      const struct choice *c)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);

	for (guint i = 0; i < c->workers->len; i++) {
		guint index = g_array_index(c->workers, guint, i);
		struct room *room =
			&g_array_index(r->rooms, struct room, index);

		demand_take(&room->free, &d);
		demand_take(&room->soon, &d);
	}
}

static void start_unit(struct round *r, struct unit *u, const struct choice *c)
{
	GPtrArray *workers = g_ptr_array_new();

	for (guint i = 0; i < c->workers->len; i++) {
		guint index = g_array_index(c->workers, guint, i);

		g_ptr_array_add(
			workers,
			g_array_index(r->rooms, struct room, index).worker);
	}
	take_room(r, u, c);
	r->orders_out += workers->len;
	if (u->priority != 0 && !u->step->spec->is_checkpointed)
		r->unsaved += u->step->spec->accelerators * workers->len;
	if (!u->step->job->is_marked) {
		fleet_mark_job(u->step->job, r->now_ms);
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

/* Tells whether a rack could hold the unit if it were empty. */
static gboolean rack_could_hold(const struct round *r, const struct unit *u,
				const struct rack *rack)
{
	guint found = 0;

	for (guint i = rack->begin; i < rack->end; i++) {
		const struct room *room =
			&g_array_index(r->rooms, struct room, i);

		found += capacity_for(u, room, &room->worker->reg.capacity);
	}
	return found >= (u->step->spec->is_gang ? u->tasks->len : 1);
}

static gboolean has_patience(const struct round *r, const struct unit *u)
{
	int64_t waited_ms = r->now_ms - u->step->ready_ms;

	return (double)waited_ms <
	       RACK_PATIENCE *
		       (double)step_ms(r->s, u->step->job, u->step->spec);
}

/*
 * The racks that a unit may use, in order: that of its data first; NULL stands
 * for any mixture.
 */
static GPtrArray *rack_options(const struct round *r, const struct unit *u)
{
	const struct step_spec *spec = u->step->spec;
	const struct rack *near = find_rack(r, spec->data_rack);
	GPtrArray *options = g_ptr_array_new();

	if (near && rack_could_hold(r, u, near)) {
		g_ptr_array_add(options, (gpointer)near);
		if (has_patience(r, u))
			return options;
	}
	if (spec->is_gang && spec->is_one_rack) {
		gboolean could_hold = FALSE;

		for (guint i = 0; i < r->racks->len; i++) {
			struct rack *rack =
				&g_array_index(r->racks, struct rack, i);

			if (!rack_could_hold(r, u, rack))
				continue;
			could_hold = TRUE;
			if (rack != near)
				g_ptr_array_add(options, rack);
		}
		if (could_hold && has_patience(r, u))
			return options;
	}
	g_ptr_array_add(options, NULL);
	return options;
}

/* Chooses the best of the options; FALSE when none holds the whole unit. */
static gboolean choose_whole(const struct round *r, const struct unit *u,
			     const GPtrArray *options, enum room_kind kind,
			     struct choice *out)
{
	struct choice c = { g_array_new(FALSE, FALSE, sizeof(guint)), 0 };
	gboolean has_found = FALSE;
	int64_t left = INT64_MAX;

	for (guint i = 0; i < options->len; i++) {
		const struct rack *rack = options->pdata[i];

		if (!choose(r, u, rack, kind, u->tasks->len, &c))
			continue;
		if (has_found && (!rack || c.left >= left))
			continue;
		has_found = TRUE;
		left = c.left;
		g_array_set_size(out->workers, 0);
		g_array_append_vals(out->workers, c.workers->data,
				    c.workers->len);
		/* The data's rack is faster than any other. */
		if (u->step->spec->data_rack && i == 0)
			break;
	}
	g_array_unref(c.workers);
	return has_found;
}

/*
 * Starts as many tasks of a step without a gang as there is room for. Returns
 * whether none that may be placed is left.
 */
static gboolean place_singles(struct round *r, struct unit *u,
			      const GPtrArray *options, guint allowed,
			      struct choice *c)
{
	for (guint i = 0; i < options->len && allowed; i++) {
		choose(r, u, options->pdata[i], ROOM_NOW, allowed, c);
		if (!c->workers->len)
			continue;
		start_unit(r, u, c);
		allowed -= c->workers->len;
		g_ptr_array_remove_range(u->tasks, 0, c->workers->len);
	}
	return !allowed;
}

/* Work of a task that a stop throws away, in core-milliseconds. */
static double lost_work(const struct fleet_task *t, int64_t now_ms)
{
	const struct step_spec *spec = t->step->spec;
	double cores = (double)spec->millicores / MS_PER_CORE_UNIT +
		       (double)(spec->accelerators * CORES_PER_ACCELERATOR);
	int64_t done_ms = now_ms - t->ordered_ms;

	/* What runs with checkpoints is saved at the stop. */
	if (spec->is_checkpointed)
		done_ms = 0;
	return cores * (double)done_ms;
}

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

/* Tells whether a unit may take the room of a task that runs. */
static gboolean may_preempt(const struct round *r, const struct unit *u,
			    const struct fleet_task *t)
{
	if (t->is_stop_ordered || t->state == TASK_DONE)
		return FALSE;
	return fleet_priority(r->s, t->step->job) > u->priority;
}

/* Adds what a stop of a task, or of its whole gang, frees. */
static void free_victim(struct round *r, struct fleet_task *victim,
			GPtrArray *victims)
{
	struct fleet_step *step = victim->step;

	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];
		struct demand d = fleet_task_demand(t);

		if (!t->worker || t->is_stop_ordered ||
		    (t != victim && !step->spec->is_gang))
			continue;
		for (guint k = 0; k < r->rooms->len; k++) {
			struct room *room =
				&g_array_index(r->rooms, struct room, k);

			if (room->worker == t->worker)
				demand_add(&room->soon, &d);
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

/* A task that may be stopped, and the work that this throws away. */
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
 * Finds the cheapest tasks of one worker whose stop makes room for one task
 * more. Returns FALSE when there is no such room to make.
 */
static gboolean room_for_one(const struct round *r, const struct unit *u,
			     const struct room *room, const GPtrArray *victims,
			     GPtrArray *out, double *lost)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	struct demand free = room->soon;
	GArray *found = g_array_new(FALSE, FALSE, sizeof(struct victim));

	g_ptr_array_set_size(out, 0);
	*lost = 0;
	for (guint i = 0; i < room->worker->tasks->len; i++) {
		struct victim v = { .task = room->worker->tasks->pdata[i] };

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

/* Returns the room where one task more costs least, or NULL. */
static struct room *cheapest_room(struct round *r, const struct unit *u,
				  const struct rack *rack,
				  const GPtrArray *victims,
				  GPtrArray *best_victims, double *best_lost)
{
	GPtrArray *found = g_ptr_array_new();
	struct room *best = NULL;
	int64_t best_left = 0;

	for (guint i = rooms_begin(rack); i < rooms_end(r, rack); i++) {
		struct room *room = &g_array_index(r->rooms, struct room, i);
		int64_t left = room->soon.accelerators;
		double lost;

		if (!capacity_for(u, room, &room->worker->reg.capacity) ||
		    !room_for_one(r, u, room, victims, found, &lost))
			continue;
		if (best && (lost > *best_lost ||
			     (lost == *best_lost && left >= best_left)))
			continue;
		best = room;
		best_left = left;
		*best_lost = lost;
		g_ptr_array_set_size(best_victims, 0);
		g_ptr_array_extend(best_victims, found, NULL, NULL);
	}
	g_ptr_array_unref(found);
	return best;
}

/* Finds whom to stop in a rack so that the unit fits; FALSE when it can't. */
static gboolean find_victims(struct round *r, const struct unit *u,
			     const struct rack *rack, GPtrArray *victims,
			     struct choice *c, double *cost)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	GPtrArray *more = g_ptr_array_new();
	gboolean has_room = TRUE;
	double lost = 0;

	*cost = 0;
	g_array_set_size(c->workers, 0);
	for (guint n = 0; n < u->tasks->len && has_room; n++) {
		struct room *room =
			cheapest_room(r, u, rack, victims, more, &lost);
		guint index;

		has_room = room != NULL;
		if (!has_room)
			break;
		for (guint i = 0; i < more->len; i++) {
			if (!is_victim(victims, more->pdata[i]))
				free_victim(r, more->pdata[i], victims);
		}
		demand_take(&room->soon, &d);
		demand_take(&room->free, &d);
		index = (guint)(room - (struct room *)(void *)r->rooms->data);
		g_array_append_val(c->workers, index);
		*cost += lost;
	}
	g_ptr_array_unref(more);
	return has_room;
}

static void restore_rooms(struct round *r, const GArray *saved)
{
	/* An empty array has no data to copy. */
	if (saved->len)
		memcpy(r->rooms->data, saved->data,
		       saved->len * sizeof(struct room));
}

static GArray *copy_rooms(const struct round *r)
{
	GArray *copy = g_array_new(FALSE, FALSE, sizeof(struct room));

	g_array_append_vals(copy, r->rooms->data, r->rooms->len);
	return copy;
}

static void preempt(struct round *r, struct unit *u, const GPtrArray *options,
		    struct choice *c)
{
	GArray *saved = copy_rooms(r);
	GPtrArray *victims = g_ptr_array_new();
	const struct rack *best = NULL;
	double best_cost = 0;
	gboolean has_found = FALSE;
	double cost;

	for (guint i = 0; i < options->len; i++) {
		g_ptr_array_set_size(victims, 0);
		if (find_victims(r, u, options->pdata[i], victims, c, &cost) &&
		    (!has_found || (options->pdata[i] && cost < best_cost))) {
			has_found = TRUE;
			best = options->pdata[i];
			best_cost = cost;
		}
		restore_rooms(r, saved);
	}
	if (!has_found)
		goto out;
	g_ptr_array_set_size(victims, 0);
	find_victims(r, u, best, victims, c, &cost);
	r->orders_out += victims->len;
	for (guint i = 0; i < victims->len; i++)
		fleet_stop_unit(r->s, victims->pdata[i],
				"room for a job of higher priority");
	take_room(r, u, c);
out:
	g_ptr_array_unref(victims);
	g_array_unref(saved);
}

/* Keeps the room of the rack that is nearest to hold a unit. */
static void reserve(struct round *r, const struct unit *u,
		    const GPtrArray *options)
{
	const struct rack *best = NULL;
	int64_t most = -1;

	if (r->reservations >= MAX_RESERVATIONS ||
	    r->now_ms - u->step->ready_ms < RESERVE_AFTER_MS)
		return;
	for (guint i = 0; i < options->len; i++) {
		const struct rack *rack = options->pdata[i];
		int64_t found = 0;

		if (!rack)
			continue;
		for (guint k = rack->begin; k < rack->end; k++) {
			const struct room *room =
				&g_array_index(r->rooms, struct room, k);

			if (!room->is_taken)
				found += room->soon.accelerators;
		}
		if (found > most) {
			most = found;
			best = rack;
		}
	}
	if (!best)
		return;
	for (guint k = best->begin; k < best->end; k++)
		g_array_index(r->rooms, struct room, k).is_taken = TRUE;
	r->reservations++;
}

/*
 * Returns how many tasks of a unit may be placed. Work that a stop throws away
 * leaves room for urgent jobs, which would stop it; what saves its progress may
 * use that room meanwhile. A gang is started whole, beyond the orders in
 * flight.
 */
static guint tasks_allowed(const struct round *r, const struct unit *u)
{
	const struct step_spec *spec = u->step->spec;
	double room = (double)(r->capacity - r->unsaved) - r->s->urgent_peak;
	guint orders = MAX_ORDERS_OUT - MIN(r->orders_out, MAX_ORDERS_OUT);
	guint most = u->tasks->len;

	if (!orders)
		return 0;
	if (!spec->is_gang)
		most = MIN(most, orders);
	if (u->priority == 0 || spec->is_checkpointed || !spec->accelerators)
		return most;
	if (room < (double)spec->accelerators)
		return 0;
	return MIN((guint)(room / (double)spec->accelerators), most);
}

static void place_unit(struct round *r, struct unit *u)
{
	GPtrArray *options = rack_options(r, u);
	struct choice c = { g_array_new(FALSE, FALSE, sizeof(guint)), 0 };
	guint allowed = tasks_allowed(r, u);

	if (!allowed || (u->step->spec->is_gang && allowed < u->tasks->len))
		goto out;
	if (!u->step->spec->is_gang) {
		if (place_singles(r, u, options, allowed, &c))
			goto out;
	} else if (choose_whole(r, u, options, ROOM_NOW, &c)) {
		start_unit(r, u, &c);
		goto out;
	}
	if (choose_whole(r, u, options, ROOM_SOON, &c))
		take_room(r, u, &c);
	else if (u->priority == 0)
		preempt(r, u, options, &c);
	else if (u->step->spec->is_gang)
		reserve(r, u, options);
out:
	g_array_unref(c.workers);
	g_ptr_array_unref(options);
}

static void unit_free(gpointer data)
{
	struct unit *u = data;

	g_ptr_array_unref(u->tasks);
	g_free(u);
}

static struct unit *unit_new(const struct round *r, struct fleet_step *step)
{
	struct unit *u = g_new0(struct unit, 1);

	u->step = step;
	u->service = fleet_scheduler_route(r->s, step->job)->service;
	u->tasks = g_ptr_array_new();
	for (guint i = 0; i < step->task_count; i++) {
		struct fleet_task *t = &step->tasks[i];

		if (t->state == TASK_WAITING && !t->worker)
			g_ptr_array_add(u->tasks, t);
	}
	u->priority = fleet_priority(r->s, step->job);
	u->latest_start_ms =
		objective_ms(r->s, step->job) - remaining_ms(r->s, step);
	u->is_late = u->latest_start_ms < r->now_ms;
	return u;
}

static void collect_step(const struct round *r, struct fleet_step *step,
			 GPtrArray *units)
{
	struct unit *u;

	if (step->done_count == step->task_count || !fleet_step_is_ready(step))
		return;
	/* Tasks that no worker lists may run on one that hasn't answered. */
	if (step->job->is_inherited && r->now_ms < r->s->unseen_until_ms)
		return;
	if (!step->ready_ms)
		step->ready_ms = r->now_ms;
	u = unit_new(r, step);
	if (!u->tasks->len ||
	    (step->spec->is_gang && u->tasks->len < step->task_count)) {
		unit_free(u);
		return;
	}
	g_ptr_array_add(units, u);
}

static GPtrArray *collect_units(const struct round *r)
{
	GPtrArray *units = g_ptr_array_new_with_free_func(unit_free);
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->s->fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_job *job = item;

		if (fleet_job_has_ended(job) ||
		    !fleet_scheduler_route(r->s, job))
			continue;
		for (guint i = 0; i < job->steps->len; i++)
			collect_step(r, job->steps->pdata[i], units);
	}
	return units;
}

static gint compare_accepted(gconstpointer a, gconstpointer b)
{
	const struct unit *x = *(const struct unit *const *)a;
	const struct unit *y = *(const struct unit *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->step->job->accepted_version != y->step->job->accepted_version)
		return x->step->job->accepted_version <
				       y->step->job->accepted_version
			       ? -1
			       : 1;
	return x->step->index < y->step->index ? -1 : 1;
}

/* Accelerators that an account's jobs of priority 0 hold or wait for. */
static int64_t *account_use(GHashTable *uses, const char *account)
{
	int64_t *use = g_hash_table_lookup(uses, account);

	if (!use) {
		use = g_new0(int64_t, 1);
		g_hash_table_insert(uses, (gpointer)account, use);
	}
	return use;
}

/* Marks the units that their accounts' guarantees cover, first come first. */
static void mark_guaranteed(const struct round *r, GPtrArray *units)
{
	GHashTable *uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_worker *w = item;

		for (guint i = 0; i < w->tasks->len; i++) {
			const struct fleet_task *t = w->tasks->pdata[i];
			const struct fleet_job *job = t->step->job;

			if (job->account && fleet_priority(r->s, job) == 0)
				*account_use(uses, job->account) +=
					t->step->spec->accelerators;
		}
	}
	for (guint i = 0; i < units->len; i++) {
		struct unit *u = units->pdata[i];
		const char *account = u->step->job->account;
		int64_t *use;

		if (u->priority != 0 || !account)
			continue;
		use = account_use(uses, account);
		*use += u->step->spec->accelerators * u->tasks->len;
		u->is_guaranteed =
			*use <= fleet_config_guaranteed(r->s->config, account);
	}
	g_hash_table_unref(uses);
}

/* Jobs that can still be in time come before those that are late anyway. */
static gint compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct unit *x = *(const struct unit *const *)a;
	const struct unit *y = *(const struct unit *const *)b;

	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->is_guaranteed != y->is_guaranteed)
		return x->is_guaranteed ? -1 : 1;
	if (x->is_late != y->is_late)
		return y->is_late ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	return compare_accepted(a, b);
}

/* Sums up what runs, and what urgent jobs need now or needed of late. */
static void update_urgent_peak(struct round *r, const GPtrArray *units)
{
	struct fleet_scheduler *s = r->s;
	double passed_ms = (double)(r->now_ms - s->urgent_peak_ms);
	int64_t urgent = 0;

	for (guint i = 0; i < r->rooms->len; i++) {
		const struct fleet_worker *w =
			g_array_index(r->rooms, struct room, i).worker;

		r->capacity += w->reg.capacity.accelerators;
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
		const struct unit *u = units->pdata[i];

		if (u->priority == 0)
			urgent += u->step->spec->accelerators * u->tasks->len;
	}
	s->urgent_peak *= exp2(-passed_ms / URGENT_HALF_LIFE_MS);
	if (s->urgent_peak < 1)
		s->urgent_peak = 0;
	s->urgent_peak = MAX(s->urgent_peak, (double)urgent);
	s->urgent_peak_ms = r->now_ms;
}

void fleet_place_all(struct fleet_scheduler *s, int64_t now_ms)
{
	struct round r = { .s = s, .now_ms = now_ms };
	GPtrArray *units;

	if (!s->config)
		return;
	r.rooms = g_array_new(FALSE, TRUE, sizeof(struct room));
	r.racks = g_array_new(FALSE, TRUE, sizeof(struct rack));
	collect_rooms(&r);
	units = collect_units(&r);
	g_ptr_array_sort(units, compare_accepted);
	mark_guaranteed(&r, units);
	g_ptr_array_sort(units, compare_urgency);
	update_urgent_peak(&r, units);
	for (guint i = 0; i < units->len; i++)
		place_unit(&r, units->pdata[i]);
	g_ptr_array_unref(units);
	g_array_unref(r.racks);
	g_array_unref(r.rooms);
}
