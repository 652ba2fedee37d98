#include "bench/sim/job_trace.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

struct shape_choice {
	double weight;
	struct shape shape;
	double run_factor;
};

/*
 * Job mix that users have today. Shapes: members, accelerators, cores,
 * memory_mb, adjacency.
 */
static const struct shape_choice accelerator_shapes[] = {
	{ 55, { 1, 1, 4, 8192, ADJACENCY_NONE }, 1 },
	{ 15, { 1, 2, 6, 8192, ADJACENCY_NONE }, 1 },
	{ 10, { 1, 4, 10, 16384, ADJACENCY_NONE }, 1.5 },
	{ 6, { 8, 1, 2, 4096, ADJACENCY_WORKER }, 2 },
	{ 3, { 2, 8, 16, 32768, ADJACENCY_RACK }, 2 },
	{ 2, { 4, 8, 16, 32768, ADJACENCY_RACK }, 2 },
	{ 1, { 16, 4, 8, 16384, ADJACENCY_NONE }, 2 },
	{ 1, { 8, 8, 16, 32768, ADJACENCY_RACK }, 2 },
};

/* Job mix that users plan, with large gangs that use no accelerators. */
static const struct shape_choice cpu_gang_shapes[] = {
	{ 16, { 1, 1, 2, 4096, ADJACENCY_NONE }, 1 },
	{ 6, { 1, 4, 4, 8192, ADJACENCY_NONE }, 1 },
	{ 5, { 8, 1, 2, 2048, ADJACENCY_WORKER }, 1 },
	{ 3, { 2, 8, 8, 16384, ADJACENCY_RACK }, 1 },
	{ 2, { 64, 1, 1, 2048, ADJACENCY_NONE }, 0.5 },
	{ 0.4, { 256, 1, 1, 2048, ADJACENCY_NONE }, 0.25 },
	{ 20, { 1, 0, 2, 2048, ADJACENCY_NONE }, 1 },
	{ 14, { 16, 0, 1, 1024, ADJACENCY_NONE }, 1 },
	{ 12, { 64, 0, 1, 1024, ADJACENCY_NONE }, 1 },
	{ 10, { 128, 0, 1, 1024, ADJACENCY_NONE }, 1 },
	{ 10, { 256, 0, 1, 1024, ADJACENCY_NONE }, 1 },
};

static const struct shape urgent_shape = { 1, 1, 2, 4096, ADJACENCY_NONE };

static const struct shape accelerator_guarantees[] = {
	{ 4, 8, 16, 32768, ADJACENCY_RACK },
	{ 8, 8, 16, 32768, ADJACENCY_RACK },
	{ 8, 1, 2, 4096, ADJACENCY_WORKER },
	{ 2, 8, 16, 32768, ADJACENCY_RACK },
};

static const struct shape cpu_gang_guarantees[] = {
	{ 8, 1, 2, 2048, ADJACENCY_WORKER }, { 16, 0, 1, 1024, ADJACENCY_NONE },
	{ 1, 4, 4, 8192, ADJACENCY_NONE },   { 64, 0, 1, 1024, ADJACENCY_NONE },
	{ 1, 1, 2, 4096, ADJACENCY_NONE },
};

static struct shape guarantee_of(const struct workload *w, guint account)
{
	if (w->has_cpu_gangs)
		return cpu_gang_guarantees[account %
					   G_N_ELEMENTS(cpu_gang_guarantees)];
	return accelerator_guarantees[account %
				      G_N_ELEMENTS(accelerator_guarantees)];
}

static void add_shape(GArray *list, const char *name, guint copy,
		      const struct shape *shape)
{
	struct guaranteed_shape g = {
		.name = g_strdup_printf("%s-%u", name, copy),
		.pool = g_strdup(TRACE_POOL),
		.shape = *shape,
	};

	g_array_append_val(list, g);
}

static void trace_add_accounts(struct trace *t)
{
	const struct workload *w = t->workload;

	t->doc.client_accounts =
		g_array_new(FALSE, TRUE, sizeof(struct client_account));
	for (guint i = 0; i < w->accounts; i++) {
		struct shape main_shape = guarantee_of(w, i);
		struct client_account a = {
			.name = g_strdup_printf("account-%02u", i),
			.share = 1,
			.guaranteed_shapes = g_array_new(
				FALSE, TRUE, sizeof(struct guaranteed_shape)),
		};

		for (guint k = 0; k < w->guarantee_copies; k++) {
			add_shape(a.guaranteed_shapes, "main", k, &main_shape);
			add_shape(a.guaranteed_shapes, "urgent", k,
				  &urgent_shape);
		}
		g_array_append_val(t->doc.client_accounts, a);
	}
}

static const struct shape_choice *choose_shape(const struct workload *w,
					       gsl_rng *rng)
{
	const struct shape_choice *list =
		w->has_cpu_gangs ? cpu_gang_shapes : accelerator_shapes;
	gsize count = w->has_cpu_gangs ? G_N_ELEMENTS(cpu_gang_shapes)
				       : G_N_ELEMENTS(accelerator_shapes);
	double sum = 0;
	double x;

	for (gsize i = 0; i < count; i++)
		sum += list[i].weight;
	x = gsl_ran_flat(rng, 0, sum);
	for (gsize i = 0; i + 1 < count; i++) {
		x -= list[i].weight;
		if (x < 0)
			return &list[i];
	}
	return &list[count - 1];
}

/* Low account numbers are more frequent, so that a few accounts are large. */
static guint choose_account(const struct workload *w, gsl_rng *rng)
{
	double x = gsl_ran_exponential(rng, w->accounts / 3.0);

	return (guint)x % w->accounts;
}

/* Draws shape, class and run time; about 10% of the jobs are urgent and 6% more
 * have a guaranteed shape. */
static void set_kind(struct trace_job *j, const struct workload *w,
		     guint account, gsl_rng *rng)
{
	const struct shape_choice *c = choose_shape(w, rng);
	double kind = gsl_ran_flat(rng, 0, 1);
	double factor = c->run_factor;

	j->job.shape = c->shape;
	j->job.class = kind < 0.4 ? JOB_CLASS_BULK : JOB_CLASS_NORMAL;
	if (kind > 0.9) {
		j->job.class = JOB_CLASS_URGENT;
		j->job.shape = urgent_shape;
		j->has_guaranteed_shape = TRUE;
		factor = 0.05;
	} else if (kind > 0.84) {
		j->job.shape = guarantee_of(w, account);
		j->has_guaranteed_shape = TRUE;
	}
	j->run_ms = (int64_t)(w->median_run_ms * factor *
			      gsl_ran_lognormal(rng, 0, 1.1));
	j->run_ms = CLAMP(j->run_ms, 1000, 48 * HOUR_MS);
}

/* Makes 0.5% of the jobs too large for any worker and 1% fail on any worker. */
static void set_faults(struct trace_job *j, const struct workload *w,
		       gsl_rng *rng)
{
	double x = gsl_ran_flat(rng, 0, 1);

	j->in_cancel_wave =
		w->has_cancel_waves && gsl_ran_flat(rng, 0, 1) < 0.1;
	if (x < 0.005)
		j->job.shape.cores = w->cores + 1;
	else
		j->fails = x < 0.015;
	if (j->fails || x < 0.005)
		j->has_guaranteed_shape = FALSE;
}

static struct trace_job make_job(const struct workload *w, guint n,
				 gsl_rng *rng)
{
	guint account = choose_account(w, rng);
	guint family = (guint)gsl_rng_uniform_int(rng, 8);
	struct trace_job j = { 0 };
	double bias = 0.25 * (1 + family);

	set_kind(&j, w, account, rng);
	set_faults(&j, w, rng);
	j.job.id = g_strdup_printf("job-%06u", n);
	j.job.client_account = g_strdup_printf("account-%02u", account);
	j.job.family = g_strdup_printf("family-%u", family);
	j.job.is_checkpointable = gsl_ran_flat(rng, 0, 1) < 0.7;
	j.job.expected_run_ms = MAX((int64_t)((double)j.run_ms * bias *
					      gsl_ran_lognormal(rng, 0, 0.7)),
				    1);
	return j;
}

/*
 * Returns the period over which the jobs must arrive to offer the load of the
 * workload. Jobs that fail or fit no worker don't count.
 */
static int64_t compute_horizon_ms(const struct trace *t)
{
	const struct workload *w = t->workload;
	double accelerators = 8.0 * w->accelerator_workers;
	double cores =
		(double)w->cores * (w->accelerator_workers + w->cpu_workers);
	double accelerator_ms = 0;
	double core_ms = 0;

	for (guint i = 0; i < t->jobs->len; i++) {
		const struct trace_job *j =
			&g_array_index(t->jobs, struct trace_job, i);
		const struct shape *s = &j->job.shape;

		if (j->fails || s->cores > w->cores)
			continue;
		accelerator_ms +=
			(double)j->run_ms * (double)shape_accelerators(s);
		core_ms += (double)j->run_ms * (double)(s->members * s->cores);
	}
	return (int64_t)(MAX(accelerator_ms / accelerators, core_ms / cores) /
			 w->load);
}

static gboolean in_burst(const struct trace_job *j, const struct workload *w,
			 gsl_rng *rng)
{
	gboolean is_large = shape_accelerators(&j->job.shape) >= 16 ||
			    j->job.shape.members >= 64;

	if (j->job.class == JOB_CLASS_URGENT)
		return FALSE;
	return gsl_ran_flat(rng, 0, 1) <
	       (is_large ? w->large_burst_share : w->small_burst_share);
}

static gint compare_arrival(gconstpointer a, gconstpointer b)
{
	const struct trace_job *x = a;
	const struct trace_job *y = b;

	if (x->arrival_ms != y->arrival_ms)
		return x->arrival_ms < y->arrival_ms ? -1 : 1;
	return g_strcmp0(x->job.id, y->job.id);
}

/* Jobs arrive uniformly over the horizon or in one of six bursts. */
static void set_arrivals(struct trace *t, gsl_rng *rng)
{
	double horizon = (double)t->horizon_ms;

	for (guint i = 0; i < t->jobs->len; i++) {
		struct trace_job *j =
			&g_array_index(t->jobs, struct trace_job, i);
		double at = gsl_ran_flat(rng, 0, horizon);

		if (in_burst(j, t->workload, rng))
			at = horizon *
				     (double)(1 + gsl_rng_uniform_int(rng, 6)) /
				     7 +
			     gsl_ran_flat(rng, 0, MINUTE_MS);
		j->arrival_ms = (int64_t)at;
	}
	g_array_sort(t->jobs, compare_arrival);
}

void trace_init(struct trace *t, const struct workload *w, guint seed)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, seed);
	*t = (struct trace){ .workload = w };
	t->jobs = g_array_new(FALSE, TRUE, sizeof(struct trace_job));
	trace_add_accounts(t);
	for (guint i = 0; i < w->jobs; i++) {
		struct trace_job j = make_job(w, i, rng);

		g_array_append_val(t->jobs, j);
	}
	t->horizon_ms = compute_horizon_ms(t);
	set_arrivals(t, rng);
	gsl_rng_free(rng);
}

void trace_clear(struct trace *t)
{
	for (guint i = 0; i < t->jobs->len; i++) {
		struct trace_job *j =
			&g_array_index(t->jobs, struct trace_job, i);

		g_free((char *)j->job.id);
		g_free((char *)j->job.client_account);
		g_free((char *)j->job.family);
	}
	g_array_unref(t->jobs);
	for (guint i = 0; i < t->doc.client_accounts->len; i++)
		schema_clear(&client_account_schema,
			     &g_array_index(t->doc.client_accounts,
					    struct client_account, i));
	g_array_unref(t->doc.client_accounts);
}
