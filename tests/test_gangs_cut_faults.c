/*
 * The schedulers are cut off from the platform at each step of a gang's life
 * cycle, alone and together with a kill of the holder.
 */
#include <glib.h>

#include "tests/gang_faults.h"

static const struct gang_fault_set sets[] = {
	{ "cut schedulers", { &gang_fault_cut_schedulers } },
	{ "cut schedulers, kill holder",
	  { &gang_fault_cut_schedulers, &gang_fault_kill_scheduler } },
};

static void test_sets(void)
{
	gang_faults_run(sets, G_N_ELEMENTS(sets));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/faults/cut", test_sets);
	return g_test_run();
}
