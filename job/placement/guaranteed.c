#include "job/placement/guaranteed.h"

#include "job/guarantee_move.h"
#include "job/guarantee_slots.h"
#include "job/reservation.h"

/*
 * Most workers, or racks, compared: this many of those with enough free
 * accelerators, then as many from a sample of all.
 */
#define WORKERS_COMPARED 24
#define RACKS_COMPARED 8
/* Loss counted for each accelerator taken from a reservation. */
#define RESERVATION_PENALTY_MS (INT64_C(60) * 1000)
/* Number of candidates, cheapest first, to which a move is tried. */
#define MAX_MOVES_TRIED 4

/* The slots that a job would use and the number of members in each. */
struct slot_choice {
	GPtrArray *slots; /* of struct slot */
	GArray *members;  /* of int64_t, one per slot */
};

static void slot_choice_init(struct slot_choice *c)
{
	c->slots = g_ptr_array_new();
	c->members = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

static void slot_choice_clear(struct slot_choice *c)
{
	g_ptr_array_unref(c->slots);
	g_array_unref(c->members);
}

/* Returns the number of members that still fit into a slot. */
static int64_t slot_fit_count(const struct slot *s, struct resources need)
{
	return resources_fit_count(resources_minus(s->guarantee->size, s->used),
				   need);
}

/* Adds used or idle slots of a guarantee; returns the members left over. */
static int64_t add_slots(struct slot_choice *c, struct guarantee *g,
			 const struct pool_job *job, gboolean is_used,
			 int64_t members_left)
{
	struct resources need = resources_of_member(&job->shape);

	for (int64_t i = 0; i < g->shape.members && members_left > 0; i++) {
		struct slot *s = &g->slots[i];
		int64_t n = MIN(slot_fit_count(s, need), members_left);

		if (n == 0 || !s->worker || !s->worker->is_usable ||
		    slot_is_used(s) != is_used)
			continue;
		g_ptr_array_add(c->slots, s);
		g_array_append_val(c->members, n);
		members_left -= n;
	}
	return members_left;
}

/* Returns TRUE if the chosen slots satisfy the adjacency of the job. */
static gboolean satisfies_adjacency(const struct guarantee *g,
				    const struct pool_job *job,
				    const struct slot_choice *c)
{
	if (job->shape.adjacency <= g->shape.adjacency)
		return TRUE;
	return c->slots->len == 1;
}

/*
 * Chooses slots of one guarantee: used ones first, or only idle ones if that
 * doesn't satisfy the job.
 */
static gboolean choose_from_guarantee(struct slot_choice *c,
				      struct guarantee *g,
				      const struct pool_job *job)
{
	int64_t members_left = job->shape.members;

	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	members_left = add_slots(c, g, job, TRUE, members_left);
	members_left = add_slots(c, g, job, FALSE, members_left);
	if (members_left == 0 && satisfies_adjacency(g, job, c))
		return TRUE;
	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	return add_slots(c, g, job, FALSE, job->shape.members) == 0 &&
	       satisfies_adjacency(g, job, c);
}

/* Chooses slots across guarantees, for a job without adjacency. */
static gboolean choose_from_all(struct slot_choice *c, const GPtrArray *list,
				const struct pool_job *job)
{
	int64_t members_left = job->shape.members;

	if (job->shape.adjacency != ADJACENCY_NONE)
		return FALSE;
	g_ptr_array_set_size(c->slots, 0);
	g_array_set_size(c->members, 0);
	for (guint i = 0; i < list->len; i++)
		members_left =
			add_slots(c, list->pdata[i], job, TRUE, members_left);
	for (guint i = 0; i < list->len; i++)
		members_left =
			add_slots(c, list->pdata[i], job, FALSE, members_left);
	return members_left == 0;
}

/* Returns the accelerators and cores of idle slots that the job wastes. */
static int64_t wasted_by(const struct slot_choice *c,
			 const struct pool_job *job)
{
	struct resources need = resources_of_member(&job->shape);
	int64_t waste = 0;

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];
		int64_t n = g_array_index(c->members, int64_t, i);

		if (slot_is_used(s))
			continue;
		waste +=
			s->guarantee->size.accelerators - n * need.accelerators;
		waste += s->guarantee->size.cores - n * need.cores;
	}
	return waste;
}

static void slot_choice_swap(struct slot_choice *a, struct slot_choice *b)
{
	struct slot_choice t = *a;

	*a = *b;
	*b = t;
}

/* Chooses the slots with the least waste: of one guarantee, else of several. */
static gboolean choose_best_slots(struct slot_choice *best,
				  const GPtrArray *list,
				  const struct pool_job *job)
{
	struct slot_choice c;
	gboolean is_found = FALSE;

	slot_choice_init(&c);
	for (guint i = 0; i < list->len; i++) {
		if (!choose_from_guarantee(&c, list->pdata[i], job))
			continue;
		if (!is_found || wasted_by(&c, job) < wasted_by(best, job))
			slot_choice_swap(&c, best);
		is_found = TRUE;
	}
	slot_choice_clear(&c);
	return is_found || choose_from_all(best, list, job);
}

/* Lists the worker of each member in the offer. */
static void list_workers(struct guaranteed_offer *o,
			 const struct slot_choice *c)
{
	g_ptr_array_set_size(o->workers, 0);
	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];
		int64_t n = g_array_index(c->members, int64_t, i);

		for (; n > 0; n--)
			g_ptr_array_add(o->workers, s->worker);
	}
}

/* Returns the loss of stopped jobs plus the penalty for reserved workers. */
static int64_t cost_of(const struct guaranteed_offer *o)
{
	const struct reclaim *r = &o->reclaim;
	int64_t cost = r->victims->len ? r->loss + 1 : 0;

	for (guint i = 0; i < o->workers->len; i++) {
		if (!reservation_allows(r->pool, o->workers->pdata[i], r->job,
					r->now_ms))
			cost += RESERVATION_PENALTY_MS *
				r->job->shape.accelerators;
	}
	return cost;
}

/* Returns the loss with the slots where they are, or -1 if there is no room. */
static int64_t evaluate(struct guaranteed_offer *o, const struct slot_choice *c)
{
	list_workers(o, c);
	if (!reclaim_choose_victims(&o->reclaim, o->workers))
		return -1;
	return cost_of(o);
}

/* Returns the loss of placing members on a worker, or -1 if they don't fit. */
static int64_t loss_on(struct guaranteed_offer *o, struct worker_cell *w,
		       int64_t members)
{
	g_ptr_array_set_size(o->workers, 0);
	for (; members > 0; members--)
		g_ptr_array_add(o->workers, w);
	if (!reclaim_choose_victims(&o->reclaim, o->workers))
		return -1;
	return cost_of(o);
}

/* A worker or rack that idle slots could move to. */
struct candidate {
	struct worker_cell *worker;
	struct rack_cell *rack; /* NULL for a single worker */
	int64_t loss;
};

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	return (x->loss > y->loss) - (x->loss < y->loss);
}

/*
 * Adds a worker that loses less than @loss_limit, or any if that is negative;
 * returns TRUE if it loses nothing.
 */
static gboolean add_worker_candidate(struct guaranteed_offer *o,
				     struct worker_cell *w, int64_t members,
				     int64_t loss_limit, GArray *candidates)
{
	struct candidate p = { w, NULL, 0 };

	o->reclaim.pool->visits++;
	if (!w->is_usable)
		return FALSE;
	p.loss = loss_on(o, w, members);
	if (p.loss < 0 || (loss_limit >= 0 && p.loss >= loss_limit))
		return FALSE;
	g_array_append_val(candidates, p);
	return p.loss == 0;
}

/*
 * Lists workers to move slots to: those with enough free accelerators, best fit
 * first, then a sample of all workers that continues where the last one ended.
 */
static GArray *list_target_workers(struct guaranteed_offer *o,
				   struct resources size, int64_t members,
				   int64_t loss_limit)
{
	struct pool *pool = o->reclaim.pool;
	struct cell_cursor c =
		cell_index_from(&pool->workers_by_free, size.accelerators);
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	guint tries = WORKERS_COMPARED;
	guint index;

	while (tries-- > 0 &&
	       cell_index_next(&pool->workers_by_free, &c, &index)) {
		struct worker_cell *w = pool->workers->pdata[index];

		if (add_worker_candidate(o, w, members, loss_limit,
					 candidates) &&
		    resources_fit(size, worker_cell_unplanned(w)))
			return candidates;
	}
	for (guint i = 0; i < MIN(WORKERS_COMPARED, pool->workers->len); i++) {
		index = pool->next_sample++ % pool->workers->len;
		add_worker_candidate(o, pool->workers->pdata[index], members,
				     loss_limit, candidates);
	}
	return candidates;
}

/* Moves slots to the cheapest listed worker that the plan allows. */
static void move_to_cheapest(struct guaranteed_offer *o, GArray *candidates,
			     struct slot **slots, guint count, const char *old)
{
	struct worker_cell **targets = g_new(struct worker_cell *, count);

	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < MIN(candidates->len, MAX_MOVES_TRIED); i++) {
		const struct candidate *p =
			&g_array_index(candidates, struct candidate, i);
		for (guint k = 0; k < count; k++)
			targets[k] = p->worker;
		if (!guarantee_move(o->reclaim.pool, slots, targets, count))
			continue;
		o->runner_up = old;
		break;
	}
	g_free(targets);
}

/* Moves an idle slot of a guarantee without adjacency to a cheaper worker. */
static void move_slot(struct guaranteed_offer *o, struct slot *s,
		      int64_t members)
{
	int64_t loss = loss_on(o, s->worker, members);
	GArray *candidates;

	if (loss == 0)
		return;
	candidates = list_target_workers(o, s->guarantee->size, members, loss);
	move_to_cheapest(o, candidates, &s, 1, s->worker->name);
	g_array_unref(candidates);
}

/* Moves the chosen idle slots of guarantees without adjacency, one by one. */
static void move_independent_slots(struct guaranteed_offer *o,
				   const struct slot_choice *c)
{
	for (guint i = 0; i < c->slots->len; i++) {
		struct slot *s = c->slots->pdata[i];

		if (s->guarantee->shape.adjacency == ADJACENCY_NONE &&
		    !slot_is_used(s))
			move_slot(o, s, g_array_index(c->members, int64_t, i));
	}
}

static struct slot **all_slots(const struct guarantee *g)
{
	struct slot **slots = g_new(struct slot *, g->shape.members);

	for (int64_t i = 0; i < g->shape.members; i++)
		slots[i] = &g->slots[i];
	return slots;
}

/* Moves an idle guarantee that needs a single worker to a cheaper one. */
static void move_worker(struct guaranteed_offer *o, const struct slot_choice *c,
			int64_t loss)
{
	const struct slot *s = c->slots->pdata[0];
	const struct guarantee *g = s->guarantee;
	struct slot **slots = all_slots(g);
	int64_t n = g->shape.members;
	struct resources size = { g->size.accelerators * n, g->size.cores * n,
				  g->size.memory_mb * n };
	GArray *candidates = list_target_workers(
		o, size, o->reclaim.job->shape.members, loss);

	move_to_cheapest(o, candidates, slots, (guint)n, s->worker->name);
	g_array_unref(candidates);
	g_free(slots);
}

/*
 * Chooses the workers of a rack with the least loss and fills each with as many
 * slots as its capacity allows; returns FALSE if the rack is too small.
 */
static gboolean choose_targets(struct guaranteed_offer *o,
			       const struct guarantee *g,
			       const struct rack_cell *rack,
			       struct worker_cell **targets, int64_t *loss)
{
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	int64_t count = 0;

	*loss = 0;
	for (guint i = 0; i < rack->workers->len; i++)
		add_worker_candidate(o, rack->workers->pdata[i], 1, -1,
				     candidates);
	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < candidates->len && count < g->shape.members;
	     i++) {
		const struct candidate *p =
			&g_array_index(candidates, struct candidate, i);
		int64_t n = resources_fit_count(p->worker->capacity, g->size);

		for (; n > 0 && count < g->shape.members; n--)
			targets[count++] = p->worker;
		*loss += p->loss;
	}
	g_array_unref(candidates);
	return count == g->shape.members;
}

/* Adds a rack that loses less than @loss_limit, or any if that is negative. */
static void add_rack_candidate(struct guaranteed_offer *o,
			       const struct guarantee *g,
			       struct rack_cell *rack, int64_t loss_limit,
			       GArray *candidates)
{
	struct worker_cell **targets =
		g_new(struct worker_cell *, g->shape.members);
	struct candidate p = { NULL, rack, 0 };

	if (choose_targets(o, g, rack, targets, &p.loss) &&
	    (loss_limit < 0 || p.loss < loss_limit))
		g_array_append_val(candidates, p);
	g_free(targets);
}

/* Lists racks to move a guarantee to, as list_target_workers() does. */
static GArray *list_target_racks(struct guaranteed_offer *o,
				 const struct guarantee *g, int64_t loss_limit)
{
	struct pool *pool = o->reclaim.pool;
	struct cell_cursor c = cell_index_from(&pool->racks_by_free,
					       shape_accelerators(&g->shape));
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	guint tries = RACKS_COMPARED;
	guint index;

	while (tries-- > 0 && cell_index_next(&pool->racks_by_free, &c, &index))
		add_rack_candidate(o, g, pool->racks->pdata[index], loss_limit,
				   candidates);
	for (guint i = 0; i < MIN(RACKS_COMPARED, pool->racks->len); i++) {
		index = pool->next_sample++ % pool->racks->len;
		add_rack_candidate(o, g, pool->racks->pdata[index], loss_limit,
				   candidates);
	}
	return candidates;
}

/* Moves an idle guarantee that needs a single rack to a cheaper one. */
static void move_rack(struct guaranteed_offer *o, const struct slot_choice *c,
		      int64_t loss)
{
	struct pool *pool = o->reclaim.pool;
	const struct slot *s = c->slots->pdata[0];
	struct guarantee *g = s->guarantee;
	struct slot **slots = all_slots(g);
	struct worker_cell **targets =
		g_new(struct worker_cell *, g->shape.members);
	struct worker_cell **old_workers =
		g_new(struct worker_cell *, g->shape.members);
	GArray *candidates = list_target_racks(o, g, loss);

	g_array_sort(candidates, compare_candidates);
	for (guint i = 0;
	     i < MIN(candidates->len, MAX_MOVES_TRIED) && loss != 0; i++) {
		const struct candidate *p =
			&g_array_index(candidates, struct candidate, i);
		const char *old = s->worker->rack->name;
		int64_t n;

		for (int64_t k = 0; k < g->shape.members; k++)
			old_workers[k] = g->slots[k].worker;
		choose_targets(o, g, p->rack, targets, &n);
		if (!guarantee_move(pool, slots, targets,
				    (guint)g->shape.members))
			continue;
		n = evaluate(o, c);
		if (n >= 0 && (loss < 0 || n < loss)) {
			loss = n;
			o->runner_up = old;
		} else {
			guarantee_move(pool, slots, old_workers,
				       (guint)g->shape.members);
		}
	}
	g_array_unref(candidates);
	g_free(old_workers);
	g_free(targets);
	g_free(slots);
}

/* Returns TRUE if the job fills at least half of the chosen slots. */
static gboolean is_good_fit(const struct slot_choice *c,
			    const struct pool_job *job)
{
	struct resources size = { 0, 0, 0 };

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];

		size = resources_plus(size, s->guarantee->size);
	}
	if (size.accelerators > 0)
		return 2 * shape_accelerators(&job->shape) >= size.accelerators;
	return 2 * job->shape.members * job->shape.cores >= size.cores;
}

/* Returns TRUE if the job is a good fit and takes one whole, idle guarantee. */
static gboolean is_whole_guarantee(const struct slot_choice *c,
				   const struct pool_job *job)
{
	const struct slot *first = c->slots->pdata[0];
	const struct guarantee *g = first->guarantee;

	for (guint i = 0; i < c->slots->len; i++) {
		const struct slot *s = c->slots->pdata[i];

		if (s->guarantee != g || slot_is_used(s))
			return FALSE;
	}
	return c->slots->len == g->shape.members && is_good_fit(c, job);
}

/* Moves idle slots to reduce the loss of the chosen ones. */
static void reduce_loss(struct guaranteed_offer *o, const struct slot_choice *c)
{
	const struct slot *s = c->slots->pdata[0];
	struct guarantee *g = s->guarantee;

	int64_t loss = evaluate(o, c);

	if (loss == 0)
		return;
	move_independent_slots(o, c);
	if (guarantee_is_used(g))
		return;
	if (g->shape.adjacency == ADJACENCY_RACK)
		move_rack(o, c, loss);
	else if (g->shape.adjacency == ADJACENCY_WORKER)
		move_worker(o, c, loss);
}

gboolean guaranteed_offer_find(struct guaranteed_offer *o, struct pool *pool,
			       const struct pool_job *job, int64_t now_ms)
{
	GPtrArray *list = pool_guarantees_of(pool, job->client_account);
	struct slot_choice c;
	gboolean is_found = FALSE;

	o->workers = g_ptr_array_new();
	o->runner_up = "";
	reclaim_init(&o->reclaim, pool, job, now_ms, reclaim_is_borrowed, NULL);
	slot_choice_init(&c);
	if (list && choose_best_slots(&c, list, job)) {
		reduce_loss(o, &c);
		o->is_good_fit = is_good_fit(&c, job);
		o->is_whole_guarantee = is_whole_guarantee(&c, job);
		is_found = evaluate(o, &c) >= 0;
	}
	slot_choice_clear(&c);
	return is_found;
}

void guaranteed_offer_clear(struct guaranteed_offer *o)
{
	g_ptr_array_unref(o->workers);
	reclaim_clear(&o->reclaim);
}
