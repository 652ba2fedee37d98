/**
 * @file
 * Faults of a soak run, drawn from a seed: signals to entry VMs, what the relay
 * does to connections, outages of the store, crashes of workers and changes of
 * the configuration. They come in series and overlap.
 */
#ifndef SOAK_SOAK_FAULTS_H
#define SOAK_SOAK_FAULTS_H

#include "soak/soak_site.h"

struct soak_faults;

struct soak_faults *soak_faults_new(struct soak_site *site, GRand *rand);
void soak_faults_free(struct soak_faults *f);

/** Injects faults for a time, and ends those that are over. */
void soak_faults_run(struct soak_faults *f, int64_t time_ms);

/** Ends all faults: every process runs and every path passes. */
void soak_faults_heal(struct soak_faults *f);

/** Returns how many were injected. */
guint soak_faults_count(const struct soak_faults *f);

/** Returns how many entry VMs ended though no fault ended them. */
guint soak_faults_unexpected_exits(const struct soak_faults *f);

#endif
