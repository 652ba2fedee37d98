/**
 * @file
 * Checks what the workers saw in a soak run against what the callers were told.
 */
#ifndef SOAK_SOAK_CHECK_H
#define SOAK_SOAK_CHECK_H

#include "soak/soak_jobs.h"

/**
 * Reads the workers' history from the platform's log.
 *
 * @param findings	strings, one for each broken promise
 * @return		how many runs were started
 */
guint soak_check_history(const struct soak_site *site,
			 const struct soak_jobs *jobs, GPtrArray *findings);

/** Checks that each accepted job has come to the end that it should. */
void soak_check_jobs(const struct soak_jobs *jobs, GPtrArray *findings);

#endif
