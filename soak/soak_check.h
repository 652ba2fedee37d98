/**
 * @file
 * Checks the workers' run history of a soak run against the answers that the
 * callers received.
 */
#ifndef SOAK_SOAK_CHECK_H
#define SOAK_SOAK_CHECK_H

#include "soak/soak_jobs.h"

/**
 * Checks the workers' history, the "history" lines of the platform's log.
 *
 * @param findings	receives one string per violation
 * @return		number of started runs
 */
guint soak_check_history(const struct soak_site *site,
			 const struct soak_jobs *jobs, GPtrArray *findings);

/**
 * Checks that each accepted job has reached a final state.
 *
 * @param findings	receives one string per violation
 */
void soak_check_jobs(const struct soak_jobs *jobs, GPtrArray *findings);

#endif
