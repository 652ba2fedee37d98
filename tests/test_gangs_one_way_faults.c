/*
 * Messages between the schedulers and a worker are lost in one direction, at
 * each step of a gang's life cycle.
 */
#include <glib.h>

#include "tests/gang_faults.h"

static const struct gang_fault_set sets[] = {
	{ "cut to worker", { &gang_fault_cut_to_worker } },
	{ "cut from worker", { &gang_fault_cut_from_worker } },
};

static void test_sets(void)
{
	gang_faults_run(sets, G_N_ELEMENTS(sets));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/faults/one-way", test_sets);
	return g_test_run();
}
