/**
 * @file
 * Injects the faults of a soak run, drawn from a seeded generator: signals to
 * entry VMs, relay modes and delays, store outages, worker crashes and
 * configuration changes. Faults come in quick succession and may overlap.
 */
#ifndef SOAK_SOAK_FAULTS_H
#define SOAK_SOAK_FAULTS_H

#include "soak/soak_site.h"

struct soak_faults;

/** @site and @rand are borrowed. */
struct soak_faults *soak_faults_new(struct soak_site *site, GRand *rand);
void soak_faults_free(struct soak_faults *f);

/** Injects faults for @time_ms, each for a random time; blocks until then. */
void soak_faults_run(struct soak_faults *f, int64_t time_ms);

/**
 * Ends all faults: resumes paused entry VMs, restarts terminated ones and
 * resets the relay and the store. Connections that silence_open has silenced
 * stay so until they close.
 */
void soak_faults_heal(struct soak_faults *f);

/** Returns the number of injected faults. */
guint soak_faults_count(const struct soak_faults *f);

/** Returns how often an entry VM exited without an injected fault. */
guint soak_faults_unexpected_exits(const struct soak_faults *f);

#endif
