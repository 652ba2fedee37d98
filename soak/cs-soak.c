/**
 * @file
 * Fault soak: runs entry VM daemons against the stand-in of the users'
 * platform, injects random faults, and checks what callers and workers see.
 * Each seed is one run; a run with findings keeps its logs.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/util.h"
#include "soak/soak_check.h"
#include "soak/soak_faults.h"
#include "soak/soak_jobs.h"

#define DEFAULT_SECONDS 15
/* Time after the last fault in which leases expire, a successor takes over and
 * the queued jobs run. */
#define SETTLE_MS 40000

struct options {
	gint seed;
	gint seeds;
	gint seconds;
	gboolean has_delegates;
	gchar *file;
};

static gboolean is_settled(void *data)
{
	return soak_jobs_are_settled(data);
}

static void print_findings(guint32 seed, const GPtrArray *findings,
			   const char *dir)
{
	for (guint i = 0; i < findings->len; i++)
		printf("seed=%u finding: %s\n", seed,
		       (const char *)findings->pdata[i]);
	if (findings->len)
		printf("seed=%u logs kept in %s\n", seed, dir);
}

/* Returns TRUE if the run had no findings. */
static gboolean run_seed(guint32 seed, gint seconds, gboolean has_delegates)
{
	GPtrArray *findings = g_ptr_array_new_with_free_func(g_free);
	GRand *rand = g_rand_new_with_seed(seed);
	/* Callers use a generator of their own, so that the sequence of faults
	 * doesn't depend on them. */
	GRand *callers = g_rand_new_with_seed(seed + 1);
	struct soak_site *site = soak_site_new(has_delegates);
	struct soak_faults *faults = soak_faults_new(site, rand);
	struct soak_jobs *jobs = soak_jobs_new(site, callers, findings);
	gboolean has_passed;
	guint starts;

	soak_faults_run(faults, seconds * MS_PER_S);
	soak_faults_heal(faults);
	soak_jobs_stop(jobs);
	cluster_wait(is_settled, jobs, SETTLE_MS);
	soak_check_jobs(jobs, findings);
	starts = soak_check_history(site, jobs, findings);
	if (soak_faults_unexpected_exits(faults))
		g_ptr_array_add(findings,
				g_strdup("FAULT an entry VM exited without an "
					 "injected fault"));
	has_passed = findings->len == 0;
	printf("seed=%u jobs=%u starts=%u faults=%u config=%" G_GINT64_FORMAT
	       " findings=%u\n",
	       seed, g_hash_table_size(soak_jobs_all(jobs)), starts,
	       soak_faults_count(faults), site->config_version, findings->len);
	print_findings(seed, findings, site->cluster->dir);
	fflush(stdout);
	soak_jobs_free(jobs);
	soak_faults_free(faults);
	soak_site_free(site, !has_passed);
	g_rand_free(callers);
	g_rand_free(rand);
	g_ptr_array_unref(findings);
	return has_passed;
}

/* Reads seeds from a file; each line starts with a number, the rest is ignored.
 * Returns NULL if the file can't be read. */
static GArray *read_seeds(const char *file)
{
	GArray *seeds;
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		fprintf(stderr, "cs-soak: cannot read %s\n", file);
		return NULL;
	}
	seeds = g_array_new(FALSE, FALSE, sizeof(guint32));
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i]; i++) {
		guint32 seed = (guint32)g_ascii_strtoull(lines[i], NULL, 10);

		if (seed)
			g_array_append_val(seeds, seed);
	}
	g_strfreev(lines);
	g_free(text);
	return seeds;
}

static gboolean parse_options(int argc, char **argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "seed", 's', 0, G_OPTION_ARG_INT, &o->seed, "First seed",
		  "N" },
		{ "seeds", 'n', 0, G_OPTION_ARG_INT, &o->seeds,
		  "Number of seeds, one run each", "N" },
		{ "seconds", 't', 0, G_OPTION_ARG_INT, &o->seconds,
		  "Seconds of fault injection in each run", "N" },
		{ "delegates", 'd', 0, G_OPTION_ARG_NONE, &o->has_delegates,
		  "Call workers through other VMs", NULL },
		{ "seed-file", 'f', 0, G_OPTION_ARG_FILENAME, &o->file,
		  "Also run the seeds of a file", "FILE" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_parsed;

	g_option_context_set_summary(
		context, "Injects random faults into real processes.");
	g_option_context_add_main_entries(context, entries, NULL);
	is_parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!is_parsed)
		fprintf(stderr, "cs-soak: %s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	return is_parsed;
}

int main(int argc, char **argv)
{
	struct options o = { .seed = 1,
			     .seeds = 1,
			     .seconds = DEFAULT_SECONDS };
	guint passed = 0;
	guint failed = 0;
	GArray *seeds;

	if (!parse_options(argc, argv, &o))
		return EXIT_FAILURE;
	seeds = o.file ? read_seeds(o.file)
		       : g_array_new(FALSE, FALSE, sizeof(guint32));
	if (!seeds)
		return EXIT_FAILURE;
	for (gint i = 0; i < o.seeds; i++) {
		guint32 seed = (guint32)(o.seed + i);

		g_array_append_val(seeds, seed);
	}
	for (guint i = 0; i < seeds->len; i++) {
		if (run_seed(g_array_index(seeds, guint32, i), o.seconds,
			     o.has_delegates))
			passed++;
		else
			failed++;
	}
	g_array_unref(seeds);
	g_free(o.file);
	printf("%u passed, %u failed\n", passed, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
