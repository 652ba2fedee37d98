/*
 * What accounts' guarantees take back, from which work, and what they leave.
 * Each case fills a pool, hands in claims, and carries out all orders until
 * nothing changes any more.
 */
#include <glib.h>

#include "tests/sched_world.h"

#define MAX_JOBS 6
#define MAX_WORKERS 6
#define WORKERS_PER_RACK 2
/* Time between the starts of two jobs, and between plans. */
#define START_GAP_MS 1000
#define PLAN_GAP_MS 50
#define PLANS 6

enum job_flag {
	GANG = 1 << 0,
	ONE_RACK = 1 << 1,
	SAVES = 1 << 2,	    /* has checkpoints */
	LASTS = 1 << 3,	    /* runs until it is cancelled */
	NEW = 1 << 4,	    /* handed in once the others run */
	CANCELLED = 1 << 5, /* cancelled together with the new jobs */
	APART = 1 << 6,	    /* one task on each worker at the most */
};

struct job_case {
	const char *id;
	const char *account; /* NULL on a public route */
	const char *route;
	int64_t tasks;
	int64_t accelerators;
	guint flags;
	guint stops;  /* expected stops of its tasks */
	guint starts; /* expected starts of its tasks once all are new */
};

struct guarantee_case {
	const char *name;
	guint workers; /* of 8 accelerators */
	/* Guaranteed accelerators of the accounts a, b, c and d. */
	int64_t guaranteed[4];
	struct job_case jobs[MAX_JOBS]; /* in the order of acceptance */
};

static const struct guarantee_case cases[] = {
	/* Review, case 12. */
	{ "/fleet-guarantees/borrowed",
	  4,
	  { 16, 8 },
	  { { "b", "b", "urgent", 32, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 2, 4, NEW, 0, 2 } } },
	{ "/fleet-guarantees/idle-first",
	  4,
	  { 16, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 2, 8, NEW, 0, 2 } } },
	{ "/fleet-guarantees/gang",
	  4,
	  { 16, 8 },
	  { { "b", "b", "urgent", 32, 1, 0, 16, 0 },
	    { "a", "a", "urgent", 2, 8, NEW | GANG | ONE_RACK, 0, 2 } } },
	/* The task needs a whole worker; what is left may be anywhere. */
	{ "/fleet-guarantees/wide-task",
	  2,
	  { 8, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	/* Taken from the account that holds more, not from the other. */
	{ "/fleet-guarantees/own-guarantee-kept",
	  3,
	  { 8, 8, 8 },
	  { { "b", "b", "urgent", 1, 8, 0, 0, 0 },
	    { "c", "c", "urgent", 2, 8, 0, 1, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	/* Guarantees that the pool can't hold: none of them is broken. */
	{ "/fleet-guarantees/guarantees-exceed-pool",
	  2,
	  { 8, 8, 8 },
	  { { "b", "b", "urgent", 8, 1, 0, 0, 0 },
	    { "c", "c", "urgent", 8, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 0 } } },
	/* One of the two tasks can be placed. */
	{ "/fleet-guarantees/part-of-step",
	  2,
	  { 16, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 2, 8, NEW, 0, 1 } } },
	{ "/fleet-guarantees/gang-not-in-part",
	  2,
	  { 16, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 2, 8, NEW | GANG, 0, 0 } } },
	/* The guarantee can't hold a gang that is larger. */
	{ "/fleet-guarantees/larger-gang",
	  1,
	  { 4, 4 },
	  { { "b", "b", "urgent", 2, 4, GANG, 2, 0 },
	    { "a", "a", "urgent", 1, 4, NEW, 0, 1 } } },
	{ "/fleet-guarantees/gang-kept",
	  2,
	  { 8, 8 },
	  { { "gang", "b", "urgent", 2, 4, GANG, 0, 0 },
	    { "b", "b", "urgent", 8, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	/* Of two gangs, the one that loses less. */
	{ "/fleet-guarantees/cheaper-gang",
	  2,
	  { 8, 8 },
	  { { "old", "b", "urgent", 2, 4, GANG, 0, 0 },
	    { "young", "b", "urgent", 2, 4, GANG, 2, 0 },
	    { "a", "a", "urgent", 8, 1, NEW, 0, 8 } } },
	{ "/fleet-guarantees/saved-work-first",
	  2,
	  { 8, 8 },
	  { { "saved", "b", "urgent", 1, 8, SAVES, 1, 0 },
	    { "young", "b", "urgent", 1, 8, 0, 0, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	{ "/fleet-guarantees/lower-priority-first",
	  2,
	  { 8, 8 },
	  { { "bulk", "b", "bulk", 1, 8, 0, 1, 0 },
	    { "b", "b", "urgent", 1, 8, SAVES, 0, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	/* Both are needed: all bulk work, and as little urgent work. */
	{ "/fleet-guarantees/both-priorities",
	  1,
	  { 8, 0 },
	  { { "bulk", "b", "bulk", 4, 1, 0, 4, 0 },
	    { "b", "b", "urgent", 4, 1, 0, 2, 0 },
	    { "a", "a", "urgent", 1, 6, NEW, 0, 1 } } },
	/* Small tasks aren't stopped beside the one that makes the room. */
	{ "/fleet-guarantees/needless-stops",
	  1,
	  { 8, 0 },
	  { { "large", "b", "bulk", 1, 6, 0, 1, 0 },
	    { "small", "b", "bulk", 2, 1, SAVES, 0, 0 },
	    { "a", "a", "urgent", 1, 6, NEW, 0, 1 } } },
	/* The three small tasks would free less than is needed and leave b too
	 * little to stop the large one as well. */
	{ "/fleet-guarantees/large-task-alone",
	  2,
	  { 4, 4, 9 },
	  { { "c", "c", "urgent", 1, 1, 0, 0, 0 },
	    { "large", "b", "urgent", 1, 4, 0, 1, 0 },
	    { "small", "b", "urgent", 3, 1, SAVES, 0, 0 },
	    { "other", "c", "urgent", 1, 7, 0, 0, 0 },
	    { "more", "b", "urgent", 1, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 1, 4, NEW, 0, 1 } } },
	{ "/fleet-guarantees/beyond-guarantee",
	  2,
	  { 8, 0 },
	  { { "own", "a", "urgent", 1, 8, 0, 0, 0 },
	    { "b", "b", "urgent", 8, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 0 } } },
	{ "/fleet-guarantees/no-guarantee",
	  1,
	  { 0, 0 },
	  { { "b", "b", "urgent", 8, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 0 } } },
	{ "/fleet-guarantees/public-route",
	  1,
	  { 8, 8 },
	  { { "public", NULL, "urgent", 8, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	{ "/fleet-guarantees/part-covered",
	  2,
	  { 8, 0 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 12, 1, NEW, 0, 8 } } },
	/* An earlier job of the account that its guarantee can't cover. */
	{ "/fleet-guarantees/behind-larger-gang",
	  2,
	  { 8, 0 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "large", "a", "urgent", 2, 8, NEW | GANG, 0, 0 },
	    { "small", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	{ "/fleet-guarantees/own-cancelled",
	  2,
	  { 8, 0 },
	  { { "old", "a", "urgent", 1, 8, CANCELLED, 1, 0 },
	    { "b", "b", "urgent", 8, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 8, 1, NEW, 0, 8 } } },
	{ "/fleet-guarantees/lasting-borrowed",
	  2,
	  { 8, 8 },
	  { { "b", "b", "urgent", 2, 8, LASTS, 1, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	{ "/fleet-guarantees/lasting-claim",
	  2,
	  { 8, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 4, 2, NEW | LASTS, 0, 4 } } },
	{ "/fleet-guarantees/lasting-kept",
	  2,
	  { 8, 8 },
	  { { "lasts", "b", "urgent", 1, 8, LASTS, 0, 0 },
	    { "c", "c", "urgent", 1, 8, 0, 1, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 } } },
	/* Two accounts claim at once and together leave b its guarantee. */
	{ "/fleet-guarantees/two-claims",
	  3,
	  { 8, 8, 8 },
	  { { "b", "b", "urgent", 24, 1, 0, 16, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 },
	    { "c", "c", "urgent", 1, 8, NEW, 0, 1 } } },
	/* One more claim than can be met: 8 of 16 are b's own. */
	{ "/fleet-guarantees/claims-exceed-borrowed",
	  2,
	  { 8, 8, 8 },
	  { { "b", "b", "urgent", 16, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 1, 8, NEW, 0, 1 },
	    { "c", "c", "urgent", 1, 8, NEW, 0, 0 } } },
	/* Tasks that must be apart need workers beside the idle ones (review,
	 * case 13). */
	{ "/fleet-guarantees/apart/gang",
	  4,
	  { 8, 0 },
	  { { "bulk", "b", "bulk", 16, 1, 0, 4, 4 },
	    { "a", "a", "urgent", 4, 2, NEW | GANG | APART, 0, 4 } } },
	{ "/fleet-guarantees/apart/tasks",
	  4,
	  { 8, 0 },
	  { { "bulk", "b", "bulk", 16, 1, 0, 4, 4 },
	    { "a", "a", "urgent", 4, 2, NEW | APART, 0, 4 } } },
	{ "/fleet-guarantees/apart/borrowed",
	  4,
	  { 8, 0 },
	  { { "b", "b", "urgent", 32, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 4, 2, NEW | GANG | APART, 0, 4 } } },
	{ "/fleet-guarantees/apart/too-few-workers",
	  2,
	  { 8, 0 },
	  { { "b", "b", "urgent", 16, 1, 0, 0, 0 },
	    { "a", "a", "urgent", 4, 2, NEW | GANG | APART, 0, 0 } } },
	/* No rack can be freed whole, as each holds another account's own. */
	{ "/fleet-guarantees/gang-over-racks",
	  4,
	  { 16, 12, 12 },
	  { { "b1", "b", "urgent", 2, 6, 0, 0, 0 },
	    { "c1", "c", "urgent", 2, 6, 0, 0, 0 },
	    { "d1", "d", "urgent", 8, 1, 0, 8, 0 },
	    { "a", "a", "urgent", 4, 2, NEW | GANG | ONE_RACK, 0, 4 } } },
};

static void set_guarantees(struct world *w, const struct guarantee_case *c)
{
	w->config.accounts =
		g_array_new(FALSE, TRUE, sizeof(struct account_config));
	for (guint i = 0; i < G_N_ELEMENTS(c->guaranteed); i++) {
		struct account_config a = {
			.name = g_strdup_printf("%c", 'a' + (int)i),
			.guaranteed_accelerators = c->guaranteed[i],
		};

		g_array_append_val(w->config.accounts, a);
	}
}

static void add_workers(struct world *w, guint count)
{
	for (guint i = 0; i < count; i++) {
		char *id = g_strdup_printf("w%u", i);
		char *rack = g_strdup_printf("r%u", i / WORKERS_PER_RACK);

		world_add_worker(w, id, rack);
		g_free(rack);
		g_free(id);
	}
}

static void hand_in(struct world *w, const struct job_case *j, guint version)
{
	struct fleet_job *job =
		world_add_job(w, j->id, j->route, j->tasks, j->accelerators,
			      (j->flags & GANG) != 0);
	struct step_spec *spec = world_step_spec(job);

	job->account = g_strdup(j->account);
	job->accepted_version = version;
	spec->is_one_rack = (j->flags & ONE_RACK) != 0;
	spec->max_per_worker = (j->flags & APART) != 0;
	spec->is_checkpointed = (j->flags & SAVES) != 0;
	spec->is_service = (j->flags & LASTS) != 0;
}

/* Reports the runs of a worker that aren't being stopped. */
static void report_worker(struct world *w, struct fleet_worker *worker)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct running_entry));
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < worker->tasks->len; i++) {
		const struct fleet_task *t = worker->tasks->pdata[i];
		struct running_entry e = { .run = t->run,
					   .checkpoint = "",
					   .percent = 100 };

		if (t->is_stop_ordered)
			continue;
		e.task = fleet_task_name(t);
		g_ptr_array_add(names, (gpointer)e.task);
		g_array_append_val(list, e);
	}
	world_report(w, worker->id, list, NULL);
	g_ptr_array_unref(names);
}

/* Carries out the recorded orders; returns TRUE if there were any. */
static gboolean carry_out(struct world *w)
{
	gboolean had_orders = w->order_count > 0;
	GHashTableIter iter;
	gpointer item;

	world_confirm_starts(w);
	for (guint i = 0; i < w->order_count; i++) {
		const struct order *o = &w->orders[i];

		if (!o->is_start)
			fleet_scheduler_stop_answered(&w->s, o->worker, o->task,
						      o->run, ORDER_DONE,
						      w->now_ms);
	}
	w->now_ms++;
	g_hash_table_iter_init(&iter, w->s.fleet.workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		report_worker(w, item);
	world_clear_orders(w);
	return had_orders;
}

/* Adds the orders of each job to @stops and @starts, by its index. */
static void count_orders(const struct world *w, const struct guarantee_case *c,
			 guint *stops, guint *starts)
{
	for (guint i = 0; i < MAX_JOBS && c->jobs[i].id; i++) {
		char *prefix = g_strdup_printf("%s.", c->jobs[i].id);

		stops[i] += world_count_orders(w, FALSE, prefix);
		starts[i] += world_count_orders(w, TRUE, prefix);
		g_free(prefix);
	}
}

/* Starts the jobs that fill the pool, one after the other. */
static void fill_pool(struct world *w, const struct guarantee_case *c)
{
	for (guint i = 0; i < MAX_JOBS && c->jobs[i].id; i++) {
		const struct job_case *j = &c->jobs[i];

		if (j->flags & NEW)
			continue;
		hand_in(w, j, i);
		world_plan_after(w, START_GAP_MS);
		g_assert_cmpuint(w->order_count, ==, j->tasks);
		carry_out(w);
	}
}

static void hand_in_claims(struct world *w, const struct guarantee_case *c)
{
	for (guint i = 0; i < MAX_JOBS && c->jobs[i].id; i++) {
		const struct job_case *j = &c->jobs[i];

		if (j->flags & NEW)
			hand_in(w, j, i);
		if (j->flags & CANCELLED)
			fleet_scheduler_cancel(&w->s, j->id, w->now_ms);
	}
}

static void test_guarantee(gconstpointer data)
{
	const struct guarantee_case *c = data;
	guint stops[MAX_JOBS] = { 0 };
	guint starts[MAX_JOBS] = { 0 };
	gboolean has_orders = TRUE;
	struct world w;

	world_init(&w);
	set_guarantees(&w, c);
	add_workers(&w, c->workers);
	fill_pool(&w, c);
	world_plan_after(&w, START_GAP_MS);
	g_assert_cmpuint(w.order_count, ==, 0);
	hand_in_claims(&w, c);
	for (guint i = 0; i < PLANS; i++) {
		world_plan_after(&w, PLAN_GAP_MS);
		count_orders(&w, c, stops, starts);
		has_orders = carry_out(&w);
	}
	for (guint i = 0; i < MAX_JOBS && c->jobs[i].id; i++) {
		g_test_message("%s: %u stops, %u starts", c->jobs[i].id,
			       stops[i], starts[i]);
		g_assert_cmpuint(stops[i], ==, c->jobs[i].stops);
		g_assert_cmpuint(starts[i], ==, c->jobs[i].starts);
	}
	/* Nothing is stopped for each other in turn. */
	g_assert_false(has_orders);
	world_clear(&w);
}

#define SEEDS 300
#define STEPS 25
#define RANDOM_WORKERS 4
#define RANDOM_ACCOUNTS 3
/* Plans after which what a guarantee covers has begun. */
#define CLAIM_PLANS 6

/* Accelerators of an account's urgent work; the shapes of account a have no
 * fragmentation, so that its guarantee can always be met. */
struct use {
	int64_t placed; /* of units that the guarantee could cover */
	int64_t covered;
	int64_t wanted; /* by all jobs that have not ended */
	guint waiting;	/* tasks */
};

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const int64_t *x = a;
	const int64_t *y = b;

	return (*x < *y) - (*x > *y);
}

static void add_step_use(const struct fleet_step *step, GArray *sizes,
			 struct use *use)
{
	int64_t each = step->spec->accelerators;
	gboolean is_gang = step->spec->is_gang != 0;
	int64_t size = is_gang ? each * step->task_count : each;

	for (guint i = 0; i < step->task_count; i++) {
		const struct fleet_task *t = &step->tasks[i];

		use->wanted += each;
		use->waiting += !t->worker;
		if (t->worker && !t->is_stop_ordered && !(is_gang && i))
			g_array_append_val(sizes, size);
	}
}

static struct use measure_use(const struct world *w, const char *account,
			      int64_t guaranteed)
{
	GArray *sizes = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct use use = { 0 };
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, w->s.fleet.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct fleet_job *job = item;

		if (g_str_equal(job->route, "urgent") &&
		    g_str_equal(job->account, account) &&
		    !fleet_job_has_ended(job))
			add_step_use(job->steps->pdata[0], sizes, &use);
	}
	g_array_sort(sizes, compare_sizes);
	for (guint i = 0; i < sizes->len; i++) {
		int64_t size = g_array_index(sizes, int64_t, i);

		if (size > guaranteed)
			continue;
		use.placed += size;
		if (use.covered + size <= guaranteed)
			use.covered += size;
	}
	g_array_unref(sizes);
	return use;
}

static void measure_all(const struct world *w, const struct guarantee_case *c,
			struct use *uses)
{
	for (guint i = 0; i < RANDOM_ACCOUNTS; i++) {
		char name[] = { (char)('a' + i), '\0' };

		uses[i] = measure_use(w, name, c->guaranteed[i]);
	}
}

/* A plan leaves each account what its guarantee covered before. */
static void plan_and_check(struct world *w, const struct guarantee_case *c)
{
	struct use before[RANDOM_ACCOUNTS];
	struct use after[RANDOM_ACCOUNTS];

	measure_all(w, c, before);
	world_plan_after(w, PLAN_GAP_MS);
	measure_all(w, c, after);
	for (guint i = 0; i < RANDOM_ACCOUNTS; i++)
		g_assert_cmpint(after[i].placed, >=, before[i].covered);
	carry_out(w);
}

static void hand_in_random(struct world *w, GRand *rng, guint number)
{
	char *id = g_strdup_printf("j%u", number);
	guint account = (guint)g_rand_int_range(rng, 0, RANDOM_ACCOUNTS);
	char name[] = { (char)('a' + account), '\0' };
	struct job_case j = {
		.id = id,
		.account = name,
		.route = g_rand_int_range(rng, 0, 3) ? "urgent" : "bulk",
		.tasks = g_rand_int_range(rng, 1, 9),
		.accelerators = account ? g_rand_int_range(rng, 1, 9) : 1,
		.flags = (guint)g_rand_int_range(rng, 0, 1 << 4),
	};

	if (!account)
		j.flags &= ~(guint)(GANG | ONE_RACK);
	hand_in(w, &j, number);
	g_free(id);
}

static void cancel_random(struct world *w, GRand *rng, guint count)
{
	char *id =
		g_strdup_printf("j%d", g_rand_int_range(rng, 0, (gint32)count));

	fleet_scheduler_cancel(&w->s, id, w->now_ms);
	g_free(id);
}

static void play_random(guint seed)
{
	struct guarantee_case c = { .workers = RANDOM_WORKERS };
	GRand *rng = g_rand_new_with_seed(seed);
	struct world w;
	struct use use;

	c.guaranteed[0] = g_rand_int_range(rng, 1, 13);
	c.guaranteed[1] = g_rand_int_range(rng, 0, 11);
	c.guaranteed[2] = g_rand_int_range(rng, 0, 10);
	world_init(&w);
	set_guarantees(&w, &c);
	add_workers(&w, c.workers);
	for (guint i = 0; i < STEPS; i++) {
		hand_in_random(&w, rng, i);
		if (g_rand_int_range(rng, 0, 3) == 0)
			cancel_random(&w, rng, i + 1);
		for (guint k = 0; k < CLAIM_PLANS; k++)
			plan_and_check(&w, &c);
		use = measure_use(&w, "a", c.guaranteed[0]);
		if (use.wanted <= c.guaranteed[0])
			g_assert_cmpuint(use.waiting, ==, 0);
	}
	world_clear(&w);
	g_rand_free(rng);
}

/* Random jobs and cancels: what an account's guarantee covers is left to it,
 * and an account that stays within its guarantee has all its work placed. */
static void test_random(void)
{
	for (guint seed = 1; seed <= SEEDS; seed++) {
		g_test_message("seed %u", seed);
		play_random(seed);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_guarantee);
	g_test_add_func("/fleet-guarantees/random", test_random);
	return g_test_run();
}
