/*
 * Runs random operations on small pools. After each one, the counters match the
 * jobs, all guarantees are planned if any plan for all of them exists, and the
 * policy can place each idle guarantee by stopping borrowed work alone.
 */
#include <glib.h>
#include <string.h>

#include "job/guarantee_slots.h"
#include "job/job_queue.h"
#include "job/pool_state.h"

#define SEEDS 400
#define OPERATIONS 120
#define ACCOUNTS 3
#define MAX_SHAPES 2
/* Steps after which the test's own search ends without a result. */
#define MAX_SEARCH_STEPS 300000

struct world {
	GRand *rand;
	struct pool *pool;
	struct job_queue *queue;
	struct placement_policy *policy;
	GPtrArray *submitted_ids; /* of char *, until end_job() */
	GPtrArray *stopping; /* of char *, ids of preempted jobs to release */
	int64_t now_ms;
	guint next_id;
	guint next_worker;
	guint64 removals;
	guint64 reclaims;
	guint64 preempted;
};

static const char *const account_names[ACCOUNTS] = { "a", "b", "c" };

static struct shape random_shape(GRand *rand, gint32 max_members)
{
	static const int64_t sizes[] = { 1, 2, 4, 8 };
	struct shape s = {
		.members = g_rand_int_range(rand, 1, max_members + 1),
		.accelerators = sizes[g_rand_int_range(rand, 0, 4)],
		.cores = g_rand_int_range(rand, 1, 9),
		.memory_mb = 1024,
		.adjacency = g_rand_int_range(rand, 0, ADJACENCY_COUNT),
	};

	if (s.adjacency == ADJACENCY_WORKER)
		s.accelerators = MIN(s.accelerators, 2);
	return s;
}

static void add_workers(struct world *w)
{
	gint32 count = g_rand_int_range(w->rand, 4, 9);
	gint32 in_rack = g_rand_int_range(w->rand, 2, 4);

	for (gint32 i = 0; i < count; i++) {
		char *name = g_strdup_printf("w%d", i);
		char *rack = g_strdup_printf("r%d", i / in_rack);
		struct worker_spec spec = { name,
					    rack,
					    "127.0.0.1:1",
					    g_rand_boolean(w->rand) ? 8 : 4,
					    32,
					    65536 };

		pool_add_worker(w->pool, &spec);
		g_free(name);
		g_free(rack);
	}
}

static GArray *random_shapes(GRand *rand)
{
	GArray *shapes =
		g_array_new(FALSE, TRUE, sizeof(struct guaranteed_shape));
	gint32 count = g_rand_int_range(rand, 0, MAX_SHAPES + 1);

	for (gint32 i = 0; i < count; i++) {
		struct guaranteed_shape g = { "s", "p.d",
					      random_shape(rand, 3) };

		g_array_append_val(shapes, g);
	}
	return shapes;
}

static void set_random_guarantees(struct world *w)
{
	struct client_account accounts[ACCOUNTS] = { 0 };
	struct config_doc doc = { 0 };

	for (guint i = 0; i < ACCOUNTS; i++) {
		accounts[i].name = (char *)account_names[i];
		accounts[i].guaranteed_shapes = random_shapes(w->rand);
	}
	doc.client_accounts =
		g_array_new(FALSE, TRUE, sizeof(struct client_account));
	g_array_append_vals(doc.client_accounts, accounts, ACCOUNTS);
	pool_set_guarantees(w->pool, &doc);
	for (guint i = 0; i < ACCOUNTS; i++)
		g_array_unref(accounts[i].guaranteed_shapes);
	g_array_unref(doc.client_accounts);
}

static void world_init(struct world *w, guint32 seed)
{
	memset(w, 0, sizeof(*w));
	w->rand = g_rand_new_with_seed(seed);
	w->pool = pool_new("p.d");
	w->policy = placement_policy_new("cells");
	w->queue = job_queue_new(w->policy->class->discipline);
	w->submitted_ids = g_ptr_array_new_with_free_func(g_free);
	w->stopping = g_ptr_array_new_with_free_func(g_free);
	add_workers(w);
	set_random_guarantees(w);
}

static void world_clear(struct world *w)
{
	g_ptr_array_unref(w->submitted_ids);
	g_ptr_array_unref(w->stopping);
	job_queue_free(w->queue);
	placement_policy_free(w->policy);
	pool_free(w->pool);
	g_rand_free(w->rand);
}

/* An exhaustive search for a plan, independent of the code under test. */
struct plan_search {
	const struct pool *pool;
	struct resources *room;	 /* left for slots, by index of the worker */
	struct worker_cell **at; /* GANG_MAX_MEMBERS per guarantee, by slot */
	int64_t steps;		 /* left, of MAX_SEARCH_STEPS */
};

static gboolean is_adjacent(const struct guarantee *g,
			    const struct worker_cell *a,
			    const struct worker_cell *b)
{
	if (g->shape.adjacency == ADJACENCY_NONE)
		return TRUE;
	return g->shape.adjacency == ADJACENCY_RACK ? a->rack == b->rack
						    : a == b;
}

/* Returns TRUE if slot @k can be on @w as far as adjacency goes. */
static gboolean fits_adjacency(const struct guarantee *g, int64_t k,
			       struct worker_cell **at,
			       const struct worker_cell *w)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		const struct slot *s = &g->slots[i];

		if (slot_is_used(s) && !is_adjacent(g, s->worker, w))
			return FALSE;
		if (i < k && !slot_is_used(s) && !is_adjacent(g, at[i], w))
			return FALSE;
	}
	return TRUE;
}

/*
 * Plans slot @k of guarantee @i and all after it. Returns 1 if that is
 * possible, 0 if not, -1 when the steps are used up.
 */
static int search_plan(struct plan_search *f, guint i, int64_t k)
{
	const struct guarantee *g;
	struct worker_cell **at = f->at + (gsize)i * GANG_MAX_MEMBERS;

	if (i == f->pool->guarantees->len)
		return 1;
	g = f->pool->guarantees->pdata[i];
	if (k == g->shape.members)
		return search_plan(f, i + 1, 0);
	if (slot_is_used(&g->slots[k]))
		return search_plan(f, i, k + 1);
	for (guint n = 0; n < f->pool->workers->len; n++) {
		struct worker_cell *w = f->pool->workers->pdata[n];
		int found;

		if (--f->steps < 0)
			return -1;
		if (!w->is_usable || !resources_fit(g->size, f->room[n]) ||
		    !fits_adjacency(g, k, at, w))
			continue;
		at[k] = w;
		f->room[n] = resources_minus(f->room[n], g->size);
		found = search_plan(f, i, k + 1);
		f->room[n] = resources_plus(f->room[n], g->size);
		if (found != 0)
			return found;
	}
	return 0;
}

/* Returns 1 if a plan for all guarantees exists, 0 if not, -1 if unknown. */
static int find_any_plan(const struct pool *pool)
{
	struct plan_search f = { .pool = pool, .steps = MAX_SEARCH_STEPS };
	int found;

	f.room = g_new0(struct resources, pool->workers->len + 1);
	f.at = g_new0(struct worker_cell *,
		      (gsize)(pool->guarantees->len + 1) * GANG_MAX_MEMBERS);
	for (guint i = 0; i < pool->workers->len; i++)
		f.room[i] = ((struct worker_cell *)pool->workers->pdata[i])
				    ->capacity;
	for (guint i = 0; i < pool->guarantees->len; i++) {
		const struct guarantee *g = pool->guarantees->pdata[i];

		for (int64_t k = 0; k < g->shape.members; k++) {
			const struct slot *s = &g->slots[k];

			if (slot_is_used(s))
				f.room[s->worker->index] = resources_minus(
					f.room[s->worker->index], g->size);
		}
	}
	found = search_plan(&f, 0, 0);
	g_free(f.room);
	g_free(f.at);
	return found;
}

static gboolean is_idle_and_planned(const struct guarantee *g)
{
	for (int64_t i = 0; i < g->shape.members; i++) {
		if (!g->slots[i].worker || slot_is_used(&g->slots[i]))
			return FALSE;
	}
	return TRUE;
}

static void assert_preempts_borrowed(struct world *w, const struct placement *p)
{
	for (guint i = 0; i < p->preempt->len; i++) {
		const struct running_job *r =
			pool_running_job(w->pool, p->preempt->pdata[i]);

		g_assert_nonnull(r);
		g_assert_false(r->is_guaranteed);
	}
}

/*
 * Checks that the policy places each idle guarantee and preempts only borrowed
 * jobs for it.
 */
static void assert_reclaimable(struct world *w)
{
	for (guint i = 0; i < w->pool->guarantees->len; i++) {
		const struct guarantee *g = w->pool->guarantees->pdata[i];
		struct pool_job job = { .id = "probe",
					.client_account = g->client_account,
					.class = JOB_CLASS_URGENT,
					.shape = g->shape,
					.expected_run_ms = 1000 };
		struct placement p;
		enum status status;

		if (!is_idle_and_planned(g))
			continue;
		placement_init(&p);
		status = placement_policy_place(w->policy, w->pool, &job,
						w->now_ms, &p);
		g_assert_cmpint(status, ==, STATUS_OK);
		g_assert_true(p.is_guaranteed);
		assert_preempts_borrowed(w, &p);
		w->reclaims++;
		placement_clear(&p);
	}
}

static int64_t free_key(const struct pool *pool, guint i)
{
	const struct worker_cell *w = pool->workers->pdata[i];

	return w->is_usable ? worker_cell_free(w).accelerators : -1;
}

static int64_t unplanned_key(const struct pool *pool, guint i)
{
	const struct worker_cell *w = pool->workers->pdata[i];

	return w->is_usable ? worker_cell_unplanned(w).accelerators : -1;
}

static int64_t rack_key(const struct pool *pool, guint i)
{
	return ((struct rack_cell *)pool->racks->pdata[i])->free_accelerators;
}

/* Checks that an index has each cell with a key >= 0 once, under that key. */
static void assert_index(const struct pool *pool, const struct cell_index *ix,
			 const GPtrArray *cells,
			 int64_t (*key)(const struct pool *pool, guint i))
{
	struct cell_cursor c = cell_index_from(ix, 0);
	guint expected = 0;
	guint found = 0;
	guint i;

	for (i = 0; i < cells->len; i++)
		expected += key(pool, i) >= 0;
	while (cell_index_next(ix, &c, &i)) {
		g_assert_cmpuint(i, <, cells->len);
		g_assert_cmpint(key(pool, i), ==, c.key);
		found++;
	}
	g_assert_cmpuint(found, ==, expected);
}

static void assert_indexed(const struct pool *pool)
{
	assert_index(pool, &pool->workers_by_free, pool->workers, free_key);
	assert_index(pool, &pool->workers_by_unplanned, pool->workers,
		     unplanned_key);
	assert_index(pool, &pool->racks_by_free, pool->racks, rack_key);
}

static void assert_invariants(struct world *w)
{
	struct finding_list findings;
	char *text;
	gboolean is_planned;

	assert_indexed(w->pool);
	finding_list_init(&findings);
	pool_check_accounting(w->pool, &findings);
	text = finding_list_text(&findings);
	g_assert_cmpstr(text, ==, "");
	g_free(text);
	is_planned = pool_check_guarantees(w->pool, &findings);
	if (!is_planned) {
		int found = find_any_plan(w->pool);

		g_assert_cmpint(found, !=, 1);
	}
	finding_list_clear(&findings);
	assert_reclaimable(w);
}

static gpointer pick_random(struct world *w, const GPtrArray *list)
{
	if (list->len == 0)
		return NULL;
	return list->pdata[g_rand_int_range(w->rand, 0, (gint32)list->len)];
}

static void submit(struct world *w)
{
	char *id = g_strdup_printf("j%u", w->next_id++);
	struct pool_job job = {
		.id = id,
		.client_account =
			account_names[g_rand_int_range(w->rand, 0, ACCOUNTS)],
		.class = g_rand_int_range(w->rand, 0, JOB_CLASS_COUNT),
		.shape = random_shape(w->rand, 4),
		.expected_run_ms = g_rand_int_range(w->rand, 1, 10000),
		.is_checkpointable = g_rand_boolean(w->rand)
	};
	const struct guarantee *g = pick_random(w, w->pool->guarantees);

	if (g && g_rand_boolean(w->rand)) {
		job.client_account = g->client_account;
		job.shape = g->shape;
	}
	job_queue_submit(w->queue, &job, w->now_ms);
	g_ptr_array_add(w->submitted_ids, id);
}

/* Cancels a waiting job, or releases an assigned or stopping one. */
static void end_job(struct world *w)
{
	char *id = pick_random(w, w->submitted_ids);

	if (!id)
		return;
	job_queue_cancel(w->queue, id);
	pool_release(w->pool, id);
	g_ptr_array_remove_fast(w->submitted_ids, id);
}

static void finish_stopping(struct world *w)
{
	char *id = pick_random(w, w->stopping);

	if (!id)
		return;
	pool_release(w->pool, id);
	g_ptr_array_remove_fast(w->stopping, id);
}

static void toggle_worker_usable(struct world *w)
{
	const struct worker_cell *cell = pick_random(w, w->pool->workers);
	gboolean is_usable = !cell->is_usable;

	pool_set_worker_usable(w->pool, cell->name, is_usable);
	for (guint i = 0; !is_usable && i < cell->jobs->len;) {
		const struct running_job *r = cell->jobs->pdata[i];

		if (g_rand_boolean(w->rand))
			pool_release(w->pool, r->job.id);
		else
			i++;
	}
}

/* Releases jobs on a worker; one that is left by chance blocks its removal. */
static void release_jobs_on(struct world *w, const struct worker_cell *cell)
{
	while (cell->jobs->len > 0 && g_rand_int_range(w->rand, 0, 4) > 0) {
		const struct running_job *r = cell->jobs->pdata[0];

		pool_release(w->pool, r->job.id);
	}
}

/* Removes a worker and adds another one, in the same rack or in a new one. */
static void replace_worker(struct world *w)
{
	struct worker_cell *cell = pick_random(w, w->pool->workers);
	guint count = w->pool->workers->len;
	char *name = g_strdup_printf("n%u", w->next_worker++);
	char *rack =
		g_strdup(g_rand_boolean(w->rand) ? cell->rack->name : name);
	struct worker_spec spec = {
		name, rack, "127.0.0.1:1", g_rand_boolean(w->rand) ? 8 : 4,
		32,   65536
	};
	gboolean is_used;

	release_jobs_on(w, cell);
	is_used = cell->jobs->len > 0;
	g_assert_cmpint(pool_remove_worker(w->pool, cell->name), ==,
			is_used ? STATUS_CONFLICT : STATUS_OK);
	g_assert_cmpuint(w->pool->workers->len, ==, count - !is_used);
	assert_invariants(w);
	if (!is_used)
		pool_add_worker(w->pool, &spec);
	w->removals += !is_used;
	g_free(name);
	g_free(rack);
}

static void run_operation(struct world *w)
{
	gint32 n = g_rand_int_range(w->rand, 0, 100);

	if (n < 50)
		submit(w);
	else if (n < 75)
		end_job(w);
	else if (n < 92)
		finish_stopping(w);
	else if (n < 96)
		toggle_worker_usable(w);
	else if (n < 99)
		replace_worker(w);
	else
		set_random_guarantees(w);
}

static void record_preempted(struct world *w, const struct placement *p)
{
	for (guint i = 0; i < p->preempt->len; i++) {
		g_ptr_array_add(w->stopping, g_strdup(p->preempt->pdata[i]));
		w->preempted++;
	}
}

static void decide_all(struct world *w)
{
	enum status status;

	do {
		struct job_decision d;

		job_decision_init(&d);
		status = job_queue_decide(w->queue, w->pool, w->policy,
					  w->now_ms, &d);
		if (status == STATUS_OK) {
			record_preempted(w, &d.placement);
			assert_invariants(w);
		}
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}

static void test_guarantees_hold(void)
{
	guint64 reclaims = 0;
	guint64 preempted = 0;
	guint64 removals = 0;

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct world w;

		world_init(&w, seed);
		for (guint i = 0; i < OPERATIONS; i++) {
			w.now_ms += g_rand_int_range(w.rand, 1, 1000);
			run_operation(&w);
			assert_invariants(&w);
			decide_all(&w);
		}
		reclaims += w.reclaims;
		preempted += w.preempted;
		removals += w.removals;
		world_clear(&w);
	}
	g_test_message("%" G_GUINT64_FORMAT " removals, %" G_GUINT64_FORMAT
		       " reclaims, %" G_GUINT64_FORMAT " jobs preempted",
		       removals, reclaims, preempted);
	g_assert_cmpuint(reclaims, >, SEEDS * OPERATIONS / 2);
	g_assert_cmpuint(preempted, >, SEEDS);
	g_assert_cmpuint(removals, >, SEEDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/property-guarantees-hold", test_guarantees_hold);
	return g_test_run();
}
