/**
 * @file
 * Checks the figures of a benchmark against upper bounds and counts the
 * results.
 */
#ifndef BENCH_SIM_BOUNDS_H
#define BENCH_SIM_BOUNDS_H

#include <glib.h>

struct bounds {
	guint passed;
	guint failed;
};

/**
 * Counts a figure as passed if it is at most its bound; otherwise counts it as
 * failed and prints it.
 *
 * @param source	document or requirement that sets the bound
 */
void bounds_check(struct bounds *b, const char *figure, double value,
		  double bound, const char *source);

/** Prints the numbers of passed and failed checks. */
void bounds_print(const struct bounds *b);

/** Returns EXIT_FAILURE if any check has failed, otherwise EXIT_SUCCESS. */
int bounds_exit_code(const struct bounds *b);

#endif
