/*
 * Measures the cost of one placement decision by the size of the pool: cells
 * visited and time, for small jobs, rack gangs and gangs of 256 members.
 */
#include <math.h>
#include <stdio.h>

#include "job/placement/placement.h"
#include "job/pool.h"

#define SEED 7
#define PLACEMENTS 400
#define WORKERS_PER_RACK 8
/* Share of the jobs placed by fill_pool() that still run when measured. */
#define FILL_SHARE 0.7
/* Target for one decision on a gang of 256 members; printed, not checked. */
#define GANG_TARGET_US 1000.0

static const guint sizes[] = { 50, 200, 800, 3800 };

struct job_kind {
	const char *name;
	struct shape shape;
	gboolean is_guaranteed; /* within a guarantee of its account */
	guint min_workers;	/* smaller pools skip it */
};

static const struct job_kind job_kinds[] = {
	{ "1x1", { 1, 1, 2, 1024, ADJACENCY_NONE }, FALSE, 0 },
	{ "8x1 worker", { 8, 1, 1, 1024, ADJACENCY_WORKER }, FALSE, 0 },
	{ "2x8 rack", { 2, 8, 8, 1024, ADJACENCY_RACK }, FALSE, 0 },
	{ "own 1x1", { 1, 1, 2, 1024, ADJACENCY_NONE }, TRUE, 0 },
	{ "own 2x8 rack", { 2, 8, 8, 1024, ADJACENCY_RACK }, TRUE, 0 },
	{ "256x1", { 256, 1, 1, 1024, ADJACENCY_NONE }, FALSE, 3800 },
};

static struct pool *make_pool(guint workers)
{
	struct pool *pool = pool_new("p.d");

	for (guint i = 0; i < workers; i++) {
		char *name = g_strdup_printf("w%04u", i);
		char *rack = g_strdup_printf("r%03u", i / WORKERS_PER_RACK);
		struct worker_spec spec = { .name = name,
					    .rack = rack,
					    .address = "127.0.0.1:1",
					    .accelerators = 8,
					    .cores = 64,
					    .memory_mb = 131072 };

		pool_add_worker(pool, &spec);
		g_free(name);
		g_free(rack);
	}
	return pool;
}

/*
 * Sets the guarantees of account "own": each guaranteed kind of job once per 50
 * workers, up to 30 times.
 */
static void set_guarantees(struct pool *pool, guint workers)
{
	struct client_account account = { .name = "own" };
	struct config_doc doc = { 0 };

	account.guaranteed_shapes =
		g_array_new(FALSE, TRUE, sizeof(struct guaranteed_shape));
	for (guint i = 0; i < MIN(workers / 50, 30); i++) {
		for (guint k = 0; k < G_N_ELEMENTS(job_kinds); k++) {
			struct guaranteed_shape g = { "s", "p.d",
						      job_kinds[k].shape };

			if (job_kinds[k].is_guaranteed)
				g_array_append_val(account.guaranteed_shapes,
						   g);
		}
	}
	doc.client_accounts =
		g_array_new(FALSE, TRUE, sizeof(struct client_account));
	g_array_append_val(doc.client_accounts, account);
	pool_set_guarantees(pool, &doc);
	g_array_unref(account.guaranteed_shapes);
	g_array_unref(doc.client_accounts);
}

static struct pool_job make_pool_job(const char *id, const char *account,
				     const struct shape *shape)
{
	return (struct pool_job){ .id = id,
				  .client_account = account,
				  .class = JOB_CLASS_NORMAL,
				  .shape = *shape,
				  .expected_run_ms = 3600000,
				  .is_checkpointable = TRUE };
}

/* Places a job, and assigns the placement if is_assigned. */
static enum status place(struct placement_policy *policy, struct pool *pool,
			 const struct pool_job *job, gboolean is_assigned)
{
	struct placement p;
	enum status status;

	placement_init(&p);
	status = placement_policy_place(policy, pool, job, 1000, &p);
	if (status == STATUS_OK && is_assigned)
		status = pool_assign(pool, job, &p, 1000);
	placement_clear(&p);
	return status;
}

/*
 * Fills the pool with small jobs of an account without guarantees, then ends
 * some of them.
 */
static void fill_pool(struct placement_policy *policy, struct pool *pool,
		      guint workers)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct shape shape = { 1, 1, 2, 1024, ADJACENCY_NONE };
	guint jobs = workers * 5;

	for (guint i = 0; i < jobs; i++) {
		char *id = g_strdup_printf("f%u", i);
		struct pool_job job = make_pool_job(id, "other", &shape);

		job.shape.accelerators = 1 + g_rand_int_range(rand, 0, 3);
		place(policy, pool, &job, TRUE);
		g_free(id);
	}
	for (guint i = 0; i < jobs; i++) {
		char *id = g_strdup_printf("f%u", i);

		if (g_rand_double(rand) > FILL_SHARE)
			pool_release(pool, id);
		g_free(id);
	}
	g_rand_free(rand);
}

/* Means per decision, and the number of decisions that found a placement. */
struct cost {
	double visits;
	double us;
	guint placed;
};

static struct cost measure(struct placement_policy *policy, struct pool *pool,
			   const struct job_kind *kind)
{
	struct pool_job job = make_pool_job(
		"x", kind->is_guaranteed ? "own" : "other", &kind->shape);
	uint64_t visits = pool_visits(pool);
	int64_t began_us = g_get_monotonic_time();
	struct cost c = { 0 };

	for (guint i = 0; i < PLACEMENTS; i++)
		c.placed += place(policy, pool, &job, FALSE) == STATUS_OK;
	c.us = (double)(g_get_monotonic_time() - began_us) / PLACEMENTS;
	c.visits = (double)(pool_visits(pool) - visits) / PLACEMENTS;
	return c;
}

/* Visited cells per decision in the smallest and the largest pool. */
struct growth {
	double smallest[G_N_ELEMENTS(job_kinds)];
	double largest[G_N_ELEMENTS(job_kinds)];
};

static void measure_size(guint workers, struct growth *growth)
{
	struct placement_policy *policy =
		placement_policy_new(PLACEMENT_POLICY_DEFAULT);
	struct pool *pool = make_pool(workers);

	set_guarantees(pool, workers);
	fill_pool(policy, pool, workers);
	for (guint i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
		struct cost c;

		if (workers < job_kinds[i].min_workers)
			continue;
		c = measure(policy, pool, &job_kinds[i]);
		printf("%7u %-13s %10.1f %10.1f %7u\n", workers,
		       job_kinds[i].name, c.visits, c.us, c.placed);
		if (workers == sizes[0])
			growth->smallest[i] = c.visits;
		growth->largest[i] = c.visits;
		if (job_kinds[i].min_workers)
			printf("%7u %-13s target %.0f us per decision: %s\n",
			       workers, job_kinds[i].name, GANG_TARGET_US,
			       c.us <= GANG_TARGET_US ? "met" : "NOT MET");
	}
	pool_free(pool);
	placement_policy_free(policy);
}

static guint check_growth(const struct growth *growth, guint *passed)
{
	double log_ratio =
		log((double)sizes[G_N_ELEMENTS(sizes) - 1] / sizes[0]);
	guint failed = 0;

	for (guint i = 0; i < G_N_ELEMENTS(job_kinds); i++) {
		double exponent;

		if (growth->smallest[i] <= 0)
			continue;
		exponent = log(growth->largest[i] / growth->smallest[i]) /
			   log_ratio;
		printf("cells visited for %s grow with workers to the power "
		       "%.2f\n",
		       job_kinds[i].name, exponent);
		if (exponent < 1) {
			(*passed)++;
			continue;
		}
		failed++;
		printf("FAILED growth of %s: %.2f, bound < 1 (issue 5)\n",
		       job_kinds[i].name, exponent);
	}
	return failed;
}

int main(int argc, char **argv)
{
	struct growth growth = { 0 };
	gboolean is_checking = argc > 1 && g_str_equal(argv[1], "--check");
	guint passed = 0;
	guint failed;

	printf("%7s %-13s %10s %10s %7s\n", "workers", "job", "visits", "us",
	       "placed");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure_size(sizes[i], &growth);
	failed = check_growth(&growth, &passed);
	if (!is_checking)
		return 0;
	printf("%u passed, %u failed\n", passed, failed);
	return failed > 0;
}
