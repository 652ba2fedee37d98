/*
 * Seeded exploration of the scheduler in virtual time: no seed violates an
 * invariant, and every injected defect is detected.
 */
#include <glib.h>

#include "tests/gang_sim.h"

#define SEEDS 1500

/* Totals over all seeds, see struct gang_sim. */
static guint shared_renewals;
static guint unchanged_reports;

/* Runs one seed; returns the violation or NULL. */
static char *run_seed(guint32 seed, enum sim_defect defect,
		      gboolean prints_trace)
{
	struct gang_sim s;
	char *violation;

	gang_sim_open(&s, seed, defect);
	while (s.now_ms < RUN_END_MS && !s.violation &&
	       !(gang_sim_all_ended(&s) && s.now_ms > FAULTS_END_MS))
		gang_sim_step(&s);
	if (!gang_sim_all_ended(&s))
		gang_sim_violate(&s, "job never ended", "");
	shared_renewals += s.shared_renewals;
	unchanged_reports += s.unchanged_reports;
	violation = g_strdup(s.violation);
	if (violation && prints_trace) {
		g_test_message("seed %u: %s", seed, violation);
		for (GList *l = s.trace.head; l; l = l->next)
			g_test_message("%s", (const char *)l->data);
	}
	gang_sim_close(&s);
	return violation;
}

/* CS_SEEDS sets the number of seeds; CS_SEED selects a single seed. */
static guint32 seed_count(void)
{
	const char *text = g_getenv("CS_SEEDS");

	return text ? (guint32)g_ascii_strtoull(text, NULL, 10) : SEEDS;
}

static void test_seeds(void)
{
	const char *only = g_getenv("CS_SEED");
	guint32 first = only ? (guint32)g_ascii_strtoull(only, NULL, 10) : 0;
	guint32 last = only ? first + 1 : seed_count();

	shared_renewals = 0;
	unchanged_reports = 0;
	for (guint32 seed = first; seed < last; seed++) {
		char *violation = run_seed(seed, DEFECT_NONE, TRUE);

		if (violation)
			g_test_fail();
		g_free(violation);
		if (g_test_failed())
			return;
	}
	g_test_message("%u renewals by delegates, %u unchanged reports",
		       shared_renewals, unchanged_reports);
	g_assert_cmpuint(shared_renewals, >=, last - first);
	g_assert_cmpuint(unchanged_reports, >=, last - first);
}

/* Each injected defect must be detected within SEEDS seeds. */
static void test_defects(void)
{
	for (int defect = 1; defect < DEFECT_COUNT; defect++) {
		char *violation = NULL;
		guint32 seed;

		for (seed = 0; seed < SEEDS && !violation; seed++)
			violation =
				run_seed(seed, (enum sim_defect)defect, FALSE);
		g_test_message("defect %d: seed %u: %s", defect, seed - 1,
			       violation ? violation : "no violation found");
		if (!violation)
			g_test_fail();
		g_free(violation);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/explore/seeds", test_seeds);
	g_test_add_func("/gangs/explore/planted", test_defects);
	return g_test_run();
}
