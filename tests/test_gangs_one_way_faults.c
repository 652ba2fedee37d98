/*
 * The way between the schedulers and a worker is cut in one direction at each
 * step of a gang's life.
 */
#include <glib.h>

#include "tests/gang_faults.h"

static const struct gang_fault_set sets[] = {
	{ "worker hears nothing", { &gang_fault_worker_hears_nothing } },
	{ "worker is not heard", { &gang_fault_worker_not_heard } },
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
