/**
 * @file
 * A deployment of csentryd for tests: entry VMs, the stand-in of the platform
 * with its workers, and a relay between them where a test asks for one.
 */
#ifndef TESTS_ENTRY_SITE_H
#define TESTS_ENTRY_SITE_H

#include <glib.h>

#include "tests/cluster.h"

#define SITE_ENTRIES 2
#define SITE_WORKERS 3
/** More than SITE_WORKERS, so that calls are not delegated. */
#define SITE_NO_DELEGATION 1000
#define SITE_WAIT_MS 20000
/** Headers of a caller's request. */
#define SITE_HEADERS "Authorization", "Token k1", "Host", "wind.example", NULL

/** Text of a configuration with one route, service and account. */
#define SITE_CONFIG(version, prefix, key)                                   \
	"{\"Version\":" version ",\"Routes\":[{\"Name\":\"spot\",\"Host\":" \
	"\"wind.example\",\"PathPrefix\":\"" prefix "\",\"Service\":"       \
	"\"salkhi\",\"Priority\":0,\"MaxAttempts\":2,\"Stretch\":1.5,"      \
	"\"TargetLatencyMs\":250}],\"Services\":[{\"Name\":\"salkhi\"}],"   \
	"\"Tenants\":[{\"Name\":\"rescue\",\"ApiKeys\":[\"" key "\"],"      \
	"\"Guaranteed\":{\"Gpu\":8}}]}"

struct site {
	struct cluster *cluster;
	struct cluster_process *platform;
	struct cluster_process *entries[SITE_ENTRIES];
	char *store;
	char *paths[SITE_ENTRIES]; /**< relay to the store, NULL without one */
	char *relay_control;	   /**< NULL without a relay */
	char *forwards[SITE_ENTRIES];
	char *frontends[SITE_ENTRIES];
	char *readiness[SITE_ENTRIES];
	char *internal[SITE_ENTRIES];
	guint delegate_min_workers;
	int64_t memory_mb;   /**< of each entry VM, 0: default */
	int64_t descriptors; /**< the same */
};

/** Starts an entry VM's daemon, also again. */
void site_start_entry(struct site *s, guint i);

/** Condition of cluster_wait(): all entry VMs of a struct site are ready. */
gboolean site_is_ready(void *data);

/** Sets the relay's mode between an entry VM and the store. */
void site_set_path_mode(struct site *s, guint entry, const char *mode);

/**
 * Starts a deployment and waits until its VMs are ready.
 *
 * @param delegate_min_workers	number of workers from which calls are delegated
 * @param has_relay		whether VMs reach the store through a relay
 */
struct site *site_new_with(guint delegate_min_workers, gboolean has_relay);
struct site *site_new_delegating(guint delegate_min_workers);
struct site *site_new(void);

/** Starts a deployment whose entry VMs have lowered limits. */
struct site *site_new_limited(int64_t memory_mb, int64_t descriptors);
void site_free(struct site *s);

/** Sends a caller's request on a job; release with cluster_reply_clear(). */
struct cluster_reply site_call_job(struct site *s, guint entry,
				   const char *method, const char *id,
				   const char *body);

/**
 * Sends a caller's request on a job.
 *
 * @param text	set to the text of the answer, to be freed; may be NULL
 * @return	the HTTP status, 0 without an answer
 */
guint site_call(struct site *s, guint entry, const char *method, const char *id,
		const char *body, char **text);

/**
 * Commits rows to the store as another writer would; asserts that it is done.
 *
 * @param sets		JSON of the entries to set, separated by commas; or ""
 * @param removals	the same for the entries to remove
 */
void site_commit(struct site *s, const char *sets, const char *removals);

/** Submits a gang of two tasks; returns the HTTP status. */
guint site_submit(struct site *s, guint entry, const char *id, guint run_ms);

/** Waits until a job has a state; asserts that it gets there. */
void site_assert_state(struct site *s, guint entry, const char *id,
		       const char *state);

/** Returns how many tasks the workers have started. */
int64_t site_count_starts(struct site *s);

/** Returns the index of the VM that holds the pool's lease. */
guint site_holder(const struct site *s);

#endif
