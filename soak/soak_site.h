/**
 * @file
 * The processes of a soak run: entry VMs, the stand-in of the platform with its
 * workers, and a relay on every path to the store and to the workers.
 */
#ifndef SOAK_SOAK_SITE_H
#define SOAK_SOAK_SITE_H

#include "tests/cluster.h"

#define SOAK_ENTRY_COUNT 4
#define SOAK_WORKER_COUNT 8
/** Routes of the relay: one for each entry VM's path to the store, then one
 * for each worker. */
#define SOAK_PATH_COUNT (SOAK_ENTRY_COUNT + SOAK_WORKER_COUNT)
/** Longest lease of a worker; what runs without a holder ends then. */
#define SOAK_LEASE_MS 4000
/** A job of the route "poison" is given up after so many failed runs. */
#define SOAK_MAX_ATTEMPTS 2

struct soak_entry {
	struct cluster_process *process;
	char *frontend;
	char *readiness;
	char *internal; /**< where its delegate listens */
	guint boots;
	/** Newest configuration that this boot has been seen to use. */
	int64_t seen_config_version;
	int64_t seen_config_ms; /**< when that was first seen */
};

struct soak_site {
	struct cluster *cluster;
	struct cluster_process *platform;
	struct soak_entry entries[SOAK_ENTRY_COUNT];
	char *store_address; /**< of the platform itself, not through the relay
			      */
	char *relay_control; /**< its control address */
	char *path_addresses[SOAK_PATH_COUNT]; /**< where the relay listens for
						  each route */
	int64_t config_version;
	/** The holder calls workers through the other VMs. */
	gboolean has_delegates;
};

struct soak_site *soak_site_new(gboolean has_delegates);

/** Ends all processes; removes their logs unless they are to be kept. */
void soak_site_free(struct soak_site *s, gboolean keeps_logs);

/** Starts an entry VM's process, also again after it has ended. */
void soak_site_start_entry(struct soak_site *s, guint index);

/** Has the operator write the next configuration; each adds one route. */
void soak_site_change_config(struct soak_site *s);

#endif
