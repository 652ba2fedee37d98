#include "sched/fleet_round.h"

#include <string.h>

#include "sched/fleet_urgent.h"

/* A worker that hasn't answered for this long gets no new tasks. */
#define CONTACT_TIMEOUT_MS 2500
/* Rack name of workers without one. */
#define NO_RACK "-"

static gboolean is_eligible(const struct fleet_unit *u,
			    const struct fleet_worker *w)
{
	const char *label = u->step->spec->required_label;

	if (!g_str_equal(u->service, w->reg.service))
		return FALSE;
	return !label || fleet_worker_has_label(w, label);
}

static gboolean is_usable(const struct fleet_round *r,
			  const struct fleet_worker *w)
{
	return w->is_fenced && w->is_use_stored && !w->is_deregistered &&
	       !w->unwanted_runs && !w->reg.is_draining && w->reg.address &&
	       r->now_ms >= w->avoid_until_ms &&
	       r->now_ms - w->contact_ms < CONTACT_TIMEOUT_MS;
}

gboolean fleet_round_is_over(const struct fleet_round *r)
{
	const struct fleet_ports *ports = &r->s->ports;

	return r->end_us && ports->clock_us(ports->data) >= r->end_us;
}

const char *fleet_worker_rack(const struct fleet_worker *w)
{
	return w->reg.rack ? w->reg.rack : NO_RACK;
}

/* Adds a worker to its rack. Workers must be added in their order. */
static void add_to_rack(struct fleet_round *r, guint index)
{
	const struct fleet_round_worker *rw =
		&g_array_index(r->workers, struct fleet_round_worker, index);
	struct fleet_rack new = { fleet_worker_rack(rw->worker), index, index };
	struct fleet_rack *last = NULL;

	if (r->racks->len)
		last = &g_array_index(r->racks, struct fleet_rack,
				      r->racks->len - 1);
	if (!last || !g_str_equal(last->name, new.name)) {
		g_array_append_val(r->racks, new);
		last = &g_array_index(r->racks, struct fleet_rack,
				      r->racks->len - 1);
	}
	last->end = index + 1;
}

const struct fleet_rack *fleet_round_rack(const struct fleet_round *r,
					  const char *name)
{
	for (guint i = 0; name && i < r->racks->len; i++) {
		const struct fleet_rack *rack =
			&g_array_index(r->racks, struct fleet_rack, i);

		if (g_str_equal(rack->name, name))
			return rack;
	}
	return NULL;
}

guint fleet_rack_begin(const struct fleet_rack *rack)
{
	return rack ? rack->begin : 0;
}

guint fleet_rack_end(const struct fleet_round *r, const struct fleet_rack *rack)
{
	return rack ? rack->end : r->workers->len;
}

static gint compare_workers(gconstpointer a, gconstpointer b)
{
	const struct fleet_round_worker *x = a;
	const struct fleet_round_worker *y = b;
	int order = strcmp(fleet_worker_rack(x->worker),
			   fleet_worker_rack(y->worker));

	return order ? order : strcmp(x->worker->id, y->worker->id);
}

void fleet_round_collect(struct fleet_round *r)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, r->s->fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct fleet_round_worker rw = { .worker = item };

		if (!is_usable(r, rw.worker))
			continue;
		demand_add(&r->total, &rw.worker->reg.capacity);
		demand_add(&r->in_use, &rw.worker->used);
		rw.free = fleet_worker_free_capacity(rw.worker);
		rw.free_after_stops = rw.free;
		for (guint i = 0; i < rw.worker->tasks->len; i++) {
			const struct fleet_task *t = rw.worker->tasks->pdata[i];
			struct demand d = fleet_task_demand(t);

			if (t->is_stop_ordered)
				demand_add(&rw.free_after_stops, &d);
			else if (t->step->spec->is_service)
				demand_add(&rw.lasting, &d);
			if (t->is_order_in_flight)
				r->orders_in_flight++;
		}
		g_array_append_val(r->workers, rw);
	}
	g_array_sort(r->workers, compare_workers);
	for (guint i = 0; i < r->workers->len; i++)
		add_to_rack(r, i);
}

/* Returns how many tasks of a demand fit into the available resources. */
static guint tasks_that_fit(const struct demand *available,
			    const struct demand *d)
{
	int64_t n = INT32_MAX;

	if (d->millicores > 0)
		n = MIN(n, available->millicores / d->millicores);
	if (d->memory_mb > 0)
		n = MIN(n, available->memory_mb / d->memory_mb);
	if (d->accelerators > 0)
		n = MIN(n, available->accelerators / d->accelerators);
	return (guint)CLAMP(n, 0, INT32_MAX);
}

/* Returns how many tasks of a step are placed on a worker. */
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

guint fleet_round_capacity(const struct fleet_round *r,
			   const struct fleet_unit *u,
			   const struct fleet_round_worker *rw,
			   const struct demand *available)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	struct demand left = *available;
	guint n;

	if (!fleet_urgent_may_use(r, u, rw))
		return 0;
	if (!r->uses_reserved)
		demand_subtract(&left, &rw->reserved);
	n = tasks_that_fit(&left, &d);
	if (!n || !is_eligible(u, rw->worker))
		return 0;
	if (u->step->spec->max_per_worker) {
		guint there = step_tasks_on(rw->worker, u->step);
		guint most = (guint)u->step->spec->max_per_worker;

		n = MIN(n, most > there ? most - there : 0);
	}
	return MIN(n, u->tasks->len);
}

static const struct demand *
available_capacity(const struct fleet_round_worker *rw, enum free_capacity kind)
{
	return kind == FREE_NOW ? &rw->free : &rw->free_after_stops;
}

/* A worker that can take tasks of the unit. */
struct candidate {
	guint index;		   /* in fleet_round::workers */
	guint count;		   /* tasks that it can take */
	int64_t left;		   /* accelerators left free with all of them */
	gboolean is_second_choice; /* see is_second_choice() */
};

/*
 * Returns TRUE if a worker is a second choice for the unit: work that a stop
 * would lose prefers the workers that aren't kept for urgent jobs, other work
 * those that are.
 */
static gboolean is_second_choice(const struct fleet_round *r,
				 const struct fleet_unit *u, guint index)
{
	return fleet_unit_loses_work_on_stop(u) !=
	       (index >= r->urgent_worker_count);
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->is_second_choice != y->is_second_choice)
		return x->is_second_choice ? 1 : -1;
	if (x->left != y->left)
		return x->left < y->left ? -1 : 1;
	return x->index < y->index ? -1 : 1;
}

gboolean fleet_round_choose(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_rack *rack,
			    enum free_capacity kind, guint needed,
			    struct worker_choice *out)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	guint found = 0;

	g_array_set_size(out->workers, 0);
	out->left = 0;
	for (guint i = fleet_rack_begin(rack); i < fleet_rack_end(r, rack);
	     i++) {
		const struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);
		const struct demand *available = available_capacity(rw, kind);
		struct candidate c = { .index = i };

		c.count = fleet_round_capacity(r, u, rw, available);
		if (!c.count)
			continue;
		c.left = available->accelerators - c.count * d.accelerators;
		c.is_second_choice = is_second_choice(r, u, i);
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

void fleet_round_allocate(struct fleet_round *r, const struct fleet_unit *u,
			  const struct worker_choice *c)
{
	struct demand d = fleet_task_demand(u->tasks->pdata[0]);

	for (guint i = 0; i < c->workers->len; i++) {
		guint index = g_array_index(c->workers, guint, i);
		struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, index);

		demand_subtract(&rw->free, &d);
		demand_subtract(&rw->free_after_stops, &d);
		demand_add(&r->in_use, &d);
	}
	fleet_urgent_update_use(r);
}

gboolean fleet_round_could_hold(const struct fleet_round *r,
				const struct fleet_unit *u,
				const struct fleet_rack *rack)
{
	guint found = 0;

	for (guint i = rack->begin; i < rack->end; i++) {
		const struct fleet_round_worker *rw = &g_array_index(
			r->workers, struct fleet_round_worker, i);

		struct demand most = rw->worker->reg.capacity;

		demand_subtract(&most, &rw->lasting);
		found += fleet_round_capacity(r, u, rw, &most);
	}
	return found >= (u->step->spec->is_gang ? u->tasks->len : 1);
}

gboolean fleet_round_choose_whole(const struct fleet_round *r,
				  const struct fleet_unit *u,
				  const GPtrArray *options,
				  enum free_capacity kind,
				  struct worker_choice *out)
{
	struct worker_choice c = { g_array_new(FALSE, FALSE, sizeof(guint)),
				   0 };
	gboolean has_found = FALSE;
	int64_t left = INT64_MAX;

	for (guint i = 0; i < options->len; i++) {
		const struct fleet_rack *rack = options->pdata[i];

		if (!fleet_round_choose(r, u, rack, kind, u->tasks->len, &c))
			continue;
		if (rack && is_second_choice(r, u, rack->begin))
			c.left += r->total.accelerators;
		if (has_found && (!rack || c.left >= left))
			continue;
		has_found = TRUE;
		left = c.left;
		g_array_set_size(out->workers, 0);
		g_array_append_vals(out->workers, c.workers->data,
				    c.workers->len);
		/* A unit runs fastest in the rack of its data. */
		if (u->step->spec->data_rack && i == 0)
			break;
	}
	g_array_unref(c.workers);
	return has_found;
}
