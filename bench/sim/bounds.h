/**
 * @file
 * Figures of a bench held against their bounds.
 */
#ifndef BENCH_SIM_BOUNDS_H
#define BENCH_SIM_BOUNDS_H

#include <glib.h>

struct bounds {
	guint passed;
	guint failed;
};

/**
 * Counts a figure as passed when it is at most its bound, and prints it
 * otherwise.
 *
 * @param source	where the bound is stated
 */
void bounds_check(struct bounds *b, const char *figure, double value,
		  double bound, const char *source);

/** Prints the closing line. */
void bounds_print(const struct bounds *b);

/** Returns the exit code of the bench. */
int bounds_exit_code(const struct bounds *b);

#endif
