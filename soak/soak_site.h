/**
 * @file
 * Processes of a soak run: entry VMs, the platform stand-in with its workers,
 * and a relay on every path to the store and to the workers.
 */
#ifndef SOAK_SOAK_SITE_H
#define SOAK_SOAK_SITE_H

#include "tests/cluster.h"

#define SOAK_ENTRY_COUNT 4
#define SOAK_WORKER_COUNT 8
/** Number of relay routes: each entry VM's path to the store, then the path to
 * each worker. */
#define SOAK_PATH_COUNT (SOAK_ENTRY_COUNT + SOAK_WORKER_COUNT)
/** Longest worker lease; a run without a holder ends after this time. */
#define SOAK_LEASE_MS 4000
/** MaxAttempts of the job routes: a task isn't started again after this many
 * failed runs. Only poison jobs reach it. */
#define SOAK_MAX_ATTEMPTS 2

struct soak_entry {
	struct cluster_process *process;
	char *frontend;
	char *readiness;
	char *forward;	/**< for requests of other VMs */
	char *internal; /**< listen address of its delegate */
	guint boots;	/**< number of process starts */
	/** Newest configuration version whose probe route this process served.
	 */
	int64_t seen_config_version;
	int64_t seen_config_ms; /**< time of its first 200 answer */
};

struct soak_site {
	struct cluster *cluster;
	struct cluster_process *platform;
	struct soak_entry entries[SOAK_ENTRY_COUNT];
	char *store_address; /**< of the platform, bypassing the relay */
	char *relay_control; /**< control address of the relay */
	char *path_addresses[SOAK_PATH_COUNT]; /**< listen addresses of the
						  relay, by route */
	int64_t config_version;		       /**< written last */
	/** The holder calls workers through delegates on other entry VMs. */
	gboolean has_delegates;
};

/** Starts all processes and waits until every entry VM is ready. */
struct soak_site *soak_site_new(gboolean has_delegates);

/** Ends all processes; removes their logs unless @keeps_logs is set. */
void soak_site_free(struct soak_site *s, gboolean keeps_logs);

/** Starts an entry VM's process, or restarts it after it has exited. */
void soak_site_start_entry(struct soak_site *s, guint index);

/** Writes the next configuration version, which adds one probe route. */
void soak_site_change_config(struct soak_site *s);

#endif
