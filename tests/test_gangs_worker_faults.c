/*
 * A worker is killed or paused at each step of a gang's life cycle.
 */
#include <glib.h>

#include "tests/gang_faults.h"

static const struct gang_fault_set sets[] = {
	{ "kill worker", { &gang_fault_kill_worker } },
	{ "pause worker", { &gang_fault_pause_worker } },
};

static void test_sets(void)
{
	gang_faults_run(sets, G_N_ELEMENTS(sets));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/faults/worker", test_sets);
	return g_test_run();
}
