#include "bench/sim/bounds.h"

#include <stdio.h>
#include <stdlib.h>

void bounds_check(struct bounds *b, const char *figure, double value,
		  double bound, const char *source)
{
	if (value <= bound) {
		b->passed++;
		return;
	}
	b->failed++;
	printf("FAILED %s: %.1f is above the bound %.1f (%s)\n", figure, value,
	       bound, source);
}

void bounds_print(const struct bounds *b)
{
	printf("%u passed, %u failed\n", b->passed, b->failed);
}

int bounds_exit_code(const struct bounds *b)
{
	return b->failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
