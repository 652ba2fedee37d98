/*
 * Seeded exploration of the scheduler in virtual time: no seed violates what
 * must hold, and every fault that is planted is found.
 */
#include <glib.h>

#include "tests/gang_sim.h"

#define SEEDS 1500

/* Of all seeds: by delegates, and answered without the tasks. */
static guint shared_renewals;
static guint thin_answers;

/* Runs one seed; returns what was violated, or NULL. */
static char *run_seed(guint32 seed, enum planted planted, gboolean is_loud)
{
	struct gang_sim s;
	char *violation;

	gang_sim_open(&s, seed, planted);
	while (s.now_ms < RUN_END_MS && !s.violation &&
	       !(gang_sim_all_ended(&s) && s.now_ms > FAULTS_END_MS))
		gang_sim_step(&s);
	if (!gang_sim_all_ended(&s))
		gang_sim_violate(&s, "job never ended", "");
	shared_renewals += s.shared_renewals;
	thin_answers += s.thin_answers;
	violation = g_strdup(s.violation);
	if (violation && is_loud) {
		g_test_message("seed %u: %s", seed, violation);
		for (GList *l = s.trace.head; l; l = l->next)
			g_test_message("%s", (const char *)l->data);
	}
	gang_sim_close(&s);
	return violation;
}

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
	thin_answers = 0;
	for (guint32 seed = first; seed < last; seed++) {
		char *violation = run_seed(seed, PLANTED_NONE, TRUE);

		if (violation)
			g_test_fail();
		g_free(violation);
		if (g_test_failed())
			return;
	}
	g_test_message("%u renewals by delegates, %u thin answers",
		       shared_renewals, thin_answers);
	g_assert_cmpuint(shared_renewals, >=, last - first);
	g_assert_cmpuint(thin_answers, >=, last - first);
}

/* Every fault that is planted has to be found within as many seeds. */
static void test_planted(void)
{
	for (int planted = 1; planted < PLANTED_COUNT; planted++) {
		char *violation = NULL;
		guint32 seed;

		for (seed = 0; seed < SEEDS && !violation; seed++)
			violation =
				run_seed(seed, (enum planted)planted, FALSE);
		g_test_message("planted %d: seed %u: %s", planted, seed - 1,
			       violation ? violation : "not found");
		if (!violation)
			g_test_fail();
		g_free(violation);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/explore/seeds", test_seeds);
	g_test_add_func("/gangs/explore/planted", test_planted);
	return g_test_run();
}
