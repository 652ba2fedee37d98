/*
 * Compares placement policies in virtual time over seeded workloads, by
 * completion time, fragmentation, utilisation and guarantees.
 */
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdio.h>

#include "bench/sim/job_sim.h"
#include "job/placement/migrate.h"

#define FIRST_SEED 20261
/* Shorter run times count as this one in a slowdown. */
#define MIN_RUN_MS 10000.0
#define MAX_POLICIES 8
/* Width of a bar and height of a row of bars, in pixels. */
#define SVG_BAR_WIDTH 28
#define SVG_ROW_HEIGHT 150

/* Size of the users' pools today, then the workers of each service. */
#define CURRENT_SIZE                                          \
	.accelerator_workers = 50, .accounts = 4, .seeds = 8, \
	.guarantee_copies = 2, .jobs = 3000
#define SALKHI                                          \
	CURRENT_SIZE, .cores = 64, .memory_mb = 131072, \
		      .median_run_ms = 20 * MINUTE_MS
#define SLIPDESK                                       \
	CURRENT_SIZE, .cores = 32, .memory_mb = 65536, \
		      .median_run_ms = 10 * MINUTE_MS
/* Accounts, job shapes and worker size of the pools that users plan. */
#define PLANNED_SIZE                                                     \
	.has_cpu_gangs = TRUE, .accounts = 90, .load = 0.8, .cores = 32, \
	.memory_mb = 65536, .median_run_ms = 2.0 * HOUR_MS

static const struct workload workloads[] = {
	{ .name = "salkhi", SALKHI, .load = 0.85 },
	{ .name = "slipdesk", SLIPDESK, .load = 0.75 },
	{ .name = "small-bursts",
	  SALKHI,
	  .load = 0.75,
	  .small_burst_share = 0.6 },
	{ .name = "large-bursts",
	  SALKHI,
	  .load = 0.75,
	  .large_burst_share = 0.8 },
	{ .name = "faults",
	  SALKHI,
	  .load = 0.75,
	  .has_rack_loss = TRUE,
	  .has_cancel_waves = TRUE,
	  .has_bad_workers = TRUE,
	  .small_burst_share = 0.3,
	  .large_burst_share = 0.3 },
	{ .name = "domain",
	  PLANNED_SIZE,
	  .accelerator_workers = 69,
	  .cpu_workers = 311,
	  .seeds = 3,
	  .guarantee_copies = 1,
	  .jobs = 1700,
	  .has_bad_workers = TRUE,
	  .small_burst_share = 0.2,
	  .large_burst_share = 0.2 },
	{ .name = "one-pool",
	  PLANNED_SIZE,
	  .accelerator_workers = 688,
	  .cpu_workers = 3112,
	  .seeds = 1,
	  .guarantee_copies = 10,
	  .jobs = 8500,
	  .has_rack_loss = TRUE },
};

struct result {
	const char *policy;
	double mean_s;
	double p50_s;
	double p99_s;
	double class_mean_s[JOB_CLASS_COUNT];
	double slowdown;      /* mean of completion over run time */
	double fragmentation; /* stranded share of the usable accelerators */
	double stranded_free_share; /* of the free accelerators */
	double utilisation;
	double urgent_p999_s; /* wait of urgent jobs for their first start */
	guint unfinished;
	struct sim_stats stats;
};

struct checks {
	gboolean is_checking;
	guint passed;
	guint failed;
};

static void check(struct checks *c, const char *workload, const char *figure,
		  double value, const char *relation, double bound,
		  const char *source, gboolean is_met)
{
	if (is_met) {
		c->passed++;
		return;
	}
	c->failed++;
	printf("FAILED %s %s: %.4f, bound %s %.4f (%s)\n", workload, figure,
	       value, relation, bound, source);
}

static double mean_of(const GArray *a)
{
	return a->len ? gsl_stats_mean((const double *)a->data, 1, a->len) : 0;
}

static double quantile_of(GArray *a, double q)
{
	if (a->len == 0)
		return 0;
	gsl_sort((double *)a->data, 1, a->len);
	return gsl_stats_quantile_from_sorted_data((const double *)a->data, 1,
						   a->len, q);
}

/* Returns TRUE if a job succeeded and isn't in a cancel wave. */
static gboolean is_counted(const struct sim_job *j)
{
	return !j->trace->fails && !j->trace->in_cancel_wave && j->end_ms >= 0;
}

static void measure_times(const struct job_sim *s, struct result *r)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *slowdowns = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *classes[JOB_CLASS_COUNT];

	for (guint i = 0; i < JOB_CLASS_COUNT; i++)
		classes[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (guint i = 0; i < s->trace->jobs->len; i++) {
		const struct sim_job *j = &s->sim_jobs[i];
		double time_s =
			(double)(j->end_ms - j->trace->arrival_ms) / 1000;
		double slowdown = time_s * 1000 /
				  MAX((double)j->trace->run_ms, MIN_RUN_MS);

		r->unfinished += j->state != SIM_ENDED;
		if (!is_counted(j))
			continue;
		g_array_append_val(times, time_s);
		g_array_append_val(slowdowns, slowdown);
		g_array_append_val(classes[j->trace->job.class], time_s);
	}
	r->mean_s = mean_of(times);
	r->p50_s = quantile_of(times, 0.5);
	r->p99_s = quantile_of(times, 0.99);
	r->slowdown = mean_of(slowdowns);
	for (guint i = 0; i < JOB_CLASS_COUNT; i++) {
		r->class_mean_s[i] = mean_of(classes[i]);
		g_array_unref(classes[i]);
	}
	g_array_unref(times);
	g_array_unref(slowdowns);
}

static void measure_urgent(const struct job_sim *s, struct result *r)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < s->trace->jobs->len; i++) {
		const struct sim_job *j = &s->sim_jobs[i];
		double wait_s =
			(double)(j->first_start_ms - j->trace->arrival_ms) /
			1000;

		if (j->trace->job.class == JOB_CLASS_URGENT && is_counted(j) &&
		    !j->was_disrupted)
			g_array_append_val(waits, wait_s);
	}
	r->urgent_p999_s = quantile_of(waits, 0.999);
	g_array_unref(waits);
}

static struct result run_seed(const struct trace *trace, const char *policy,
			      gboolean ignores_stops)
{
	struct result r = { .policy = policy };
	struct job_sim s;

	job_sim_init(&s, trace, policy);
	s.ignores_stops = ignores_stops;
	job_sim_run(&s);
	r.stats = s.stats;
	measure_times(&s, &r);
	measure_urgent(&s, &r);
	r.fragmentation = s.stats.stranded_sum / s.stats.samples;
	r.stranded_free_share =
		s.stats.stranded_sum / MAX(s.stats.waiting_free_sum, 1e-9);
	r.utilisation = s.stats.used_sum / s.stats.samples;
	job_sim_clear(&s);
	return r;
}

/* Adds the figures of one seed: means of times and shares, sums of counts. */
static void add_result(struct result *sum, const struct result *r, guint seeds)
{
	const struct sim_stats *from = &r->stats;
	struct sim_stats *to = &sum->stats;

	sum->mean_s += r->mean_s / seeds;
	sum->p50_s += r->p50_s / seeds;
	sum->p99_s += r->p99_s / seeds;
	for (guint i = 0; i < JOB_CLASS_COUNT; i++)
		sum->class_mean_s[i] += r->class_mean_s[i] / seeds;
	sum->slowdown += r->slowdown / seeds;
	sum->fragmentation += r->fragmentation / seeds;
	sum->stranded_free_share += r->stranded_free_share / seeds;
	sum->utilisation += r->utilisation / seeds;
	sum->urgent_p999_s = MAX(sum->urgent_p999_s, r->urgent_p999_s);
	sum->unfinished += r->unfinished;
	to->lost_ms += from->lost_ms;
	to->preempted += from->preempted;
	to->max_stops = MAX(to->max_stops, from->max_stops);
	to->max_migrations = MAX(to->max_migrations, from->max_migrations);
	to->guarantee_violations += from->guarantee_violations;
	to->invalid_plans += from->invalid_plans;
	to->bounded_starts += from->bounded_starts;
	to->partial_gangs += from->partial_gangs;
	to->decisions += from->decisions;
	to->visits += from->visits;
	to->decide_us += from->decide_us;
}

static struct result run_policy(const struct workload *w, const char *policy,
				gboolean ignores_stops)
{
	struct result sum = { .policy = ignores_stops ? "forgetful" : policy };

	for (guint i = 0; i < w->seeds; i++) {
		struct trace trace;
		struct result r;

		trace_init(&trace, w, FIRST_SEED + i);
		r = run_seed(&trace, policy, ignores_stops);
		add_result(&sum, &r, w->seeds);
		trace_clear(&trace);
	}
	return sum;
}

static void print_head(const struct workload *w)
{
	printf("\n%s: %u workers, %u accelerators, %u accounts, %u jobs, "
	       "load %.2f, seeds %d to %d\n",
	       w->name, w->accelerator_workers + w->cpu_workers,
	       8 * w->accelerator_workers, w->accounts, w->jobs, w->load,
	       FIRST_SEED, FIRST_SEED + (int)w->seeds - 1);
	printf("%-10s %8s %8s %8s %8s %8s %8s %6s %6s %6s %6s %7s %9s %5s %5s "
	       "%5s %5s %5s %8s %8s\n",
	       "policy", "mean_s", "p50_s", "p99_s", "urgent_s", "normal_s",
	       "bulk_s", "slow", "frag", "frfree", "util", "urg999",
	       "viol/owed", "part", "plan", "preem", "most", "lost_h", "visits",
	       "us");
}

static void print_result(const struct result *r)
{
	const struct sim_stats *s = &r->stats;
	char *owed = g_strdup_printf("%d/%d", (int)s->guarantee_violations,
				     (int)s->bounded_starts);

	printf("%-10s %8.0f %8.0f %8.0f %8.0f %8.0f %8.0f %6.1f %6.4f %6.3f "
	       "%6.3f %7.2f %9s %5d %5d %5d %5u %5.1f %8.1f %8.1f\n",
	       r->policy, r->mean_s, r->p50_s, r->p99_s,
	       r->class_mean_s[JOB_CLASS_URGENT],
	       r->class_mean_s[JOB_CLASS_NORMAL],
	       r->class_mean_s[JOB_CLASS_BULK], r->slowdown, r->fragmentation,
	       r->stranded_free_share, r->utilisation, r->urgent_p999_s, owed,
	       (int)s->partial_gangs, (int)s->invalid_plans, (int)s->preempted,
	       s->max_stops, (double)s->lost_ms / HOUR_MS,
	       (double)s->visits / (double)s->decisions,
	       (double)s->decide_us / (double)s->decisions);
	g_free(owed);
}

static void check_cells(struct checks *c, const char *name,
			const struct result *r)
{
	check(c, name, "guarantee violations",
	      (double)r->stats.guarantee_violations, "=", 0, "issue 5",
	      r->stats.guarantee_violations == 0);
	check(c, name, "broken plans", (double)r->stats.invalid_plans, "=", 0,
	      "issue 5", r->stats.invalid_plans == 0);
	check(c, name, "partial gangs", (double)r->stats.partial_gangs, "=", 0,
	      "issue 5", r->stats.partial_gangs == 0);
	check(c, name, "unfinished jobs", r->unfinished, "=", 0, "issue 5",
	      r->unfinished == 0);
	check(c, name, "moves of one job", r->stats.max_migrations,
	      "<=", MIGRATE_MAX_STOPS, "docs/design/cells.md",
	      r->stats.max_migrations <= MIGRATE_MAX_STOPS);
	check(c, name, "urgent start p99.9 in s", r->urgent_p999_s, "<=", 1.5,
	      "requirement: 1.5 s", r->urgent_p999_s <= 1.5);
}

static void check_against(struct checks *c, const char *name,
			  const struct result *cells, const struct result *base)
{
	char *mean =
		g_strdup_printf("mean completion against %s", base->policy);
	char *frag = g_strdup_printf("fragmentation against %s", base->policy);

	check(c, name, mean, cells->mean_s, "<", base->mean_s, "issue 5",
	      cells->mean_s < base->mean_s);
	check(c, name, frag, cells->fragmentation, "<", base->fragmentation,
	      "issue 5", cells->fragmentation < base->fragmentation);
	g_free(mean);
	g_free(frag);
}

static void add_bars(GString *svg, double x, double y, const char *title,
		     const double *values, const char *const *names,
		     guint count)
{
	double max = 1e-9;

	for (guint i = 0; i < count; i++)
		max = MAX(max, values[i]);
	g_string_append_printf(svg, "<text x='%g' y='%g'>%s</text>\n", x,
			       y - SVG_ROW_HEIGHT - 8, title);
	for (guint i = 0; i < count; i++) {
		double h = values[i] / max * (SVG_ROW_HEIGHT - 30);

		g_string_append_printf(
			svg,
			"<rect x='%g' y='%g' width='%d' height='%g' "
			"fill='%s'/><text x='%g' y='%g' font-size='8'>"
			"%s %.3g</text>\n",
			x + 70.0 * i, y - h, SVG_BAR_WIDTH, h,
			i == 0 ? "#2a7" : "#99a", x + 70.0 * i, y + 12,
			names[i], values[i]);
	}
}

static void add_plot(GString *svg, guint row, const char *name,
		     const struct result *results, guint count)
{
	double means[MAX_POLICIES];
	double frags[MAX_POLICIES];
	const char *names[MAX_POLICIES];
	char *title = g_strdup_printf("%s: mean completion, s", name);
	double y = (row + 1.0) * (SVG_ROW_HEIGHT + 50);

	for (guint i = 0; i < count; i++) {
		means[i] = results[i].mean_s;
		frags[i] = results[i].fragmentation;
		names[i] = results[i].policy;
	}
	add_bars(svg, 20, y, title, means, names, count);
	add_bars(svg, 360, y, "fragmentation", frags, names, count);
	g_free(title);
}

/*
 * Checks that the maximum number of stops of one job is lower if the policy
 * knows the earlier stops of jobs. The run without them is printed as
 * "forgetful".
 */
static void check_stop_history(const struct workload *w, struct checks *c,
			       const struct result *cells)
{
	struct result r = run_policy(w, cells->policy, TRUE);

	print_result(&r);
	check(c, w->name, "most stops of one job", cells->stats.max_stops, "<",
	      r.stats.max_stops, "issue 5",
	      cells->stats.max_stops < r.stats.max_stops);
}

static void run_workload(const struct workload *w, guint row,
			 struct checks *checks, GString *svg)
{
	const char *const *names = placement_policy_names();
	struct result results[MAX_POLICIES] = { 0 };
	guint count = 0;

	print_head(w);
	for (; count < MAX_POLICIES && names[count]; count++) {
		results[count] = run_policy(w, names[count], FALSE);
		print_result(&results[count]);
	}
	check_cells(checks, w->name, &results[0]);
	for (guint i = 1; i < count; i++)
		check_against(checks, w->name, &results[0], &results[i]);
	if (!w->has_cpu_gangs)
		check_stop_history(w, checks, &results[0]);
	add_plot(svg, row, w->name, results, count);
}

static void write_svg(const GString *svg)
{
	const char *folder = g_getenv("CS_BENCH_OUT");
	char *name =
		g_build_filename(folder ? folder : ".", "bench_jobs.svg", NULL);

	g_file_set_contents(name, svg->str, (gssize)svg->len, NULL);
	g_free(name);
}

int main(int argc, char **argv)
{
	struct checks checks = { 0 };
	GString *svg = g_string_new(NULL);
	const char *only = argc > 2 ? argv[2] : NULL;

	checks.is_checking = argc > 1 && g_str_equal(argv[1], "--check");
	g_string_printf(svg,
			"<svg xmlns='http://www.w3.org/2000/svg' width='680' "
			"height='%zu' font-family='sans-serif' "
			"font-size='12'>\n",
			(G_N_ELEMENTS(workloads) + 1) * (SVG_ROW_HEIGHT + 50));
	for (guint i = 0; i < G_N_ELEMENTS(workloads); i++) {
		if (!only || g_str_equal(only, workloads[i].name))
			run_workload(&workloads[i], i, &checks, svg);
	}
	g_string_append(svg, "</svg>\n");
	write_svg(svg);
	g_string_free(svg, TRUE);
	if (!checks.is_checking)
		return 0;
	printf("%u passed, %u failed\n", checks.passed, checks.failed);
	return checks.failed > 0;
}
