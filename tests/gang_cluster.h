/**
 * @file
 * A pool over real processes: the platform's stand-in, three workers (the last
 * in a process of its own and without digests), schedulers. The workers'
 * histories are the truth that is checked.
 */
#ifndef TESTS_GANG_CLUSTER_H
#define TESTS_GANG_CLUSTER_H

#include "config/config_doc.h"
#include "tests/cluster.h"
#include "tests/gang_history.h"

#define GANG_POOL "salkhi.tov-a"
#define GANG_WORKERS 3
#define GANG_MAX_SCHEDULERS 3

struct gang_cluster_options {
	int64_t impossible_grace_ms; /**< of schedulers, 0 for the default */
	gboolean is_one_rack;	     /**< else the last worker is in another */
};

struct gang_cluster {
	struct cluster *cluster;
	char *platform;
	struct cluster_process *platform_process;
	struct cluster_process *worker_processes[2]; /**< w0 and w1, v0 */
	char *workers[GANG_WORKERS];		     /**< addresses */
	char *relay_control; /**< NULL when no relay is in between */
	guint scheduler_count;
	struct gang_cluster_options options;
	struct cluster_process *schedulers[GANG_MAX_SCHEDULERS];
	char *addresses[GANG_MAX_SCHEDULERS];
	char *links[GANG_MAX_SCHEDULERS + 1]; /**< ends with NULL */
	GArray *kept;  /**< of events of workers that were killed */
	guint fillers; /**< workers without accelerators, which gangs can't use
			*/
};

struct gang_submission {
	const char *id;
	int64_t members;
	int64_t accelerators; /**< per member */
	int64_t run_ms;
	const char *class; /**< NULL for normal */
	gboolean is_checkpointable;
};

/**
 * Starts everything.
 *
 * @param is_relayed	whether the last worker is called over a relay
 */
struct gang_cluster *gang_cluster_start(guint schedulers, gboolean is_relayed);

/** Starts everything, with further workers that only have to be renewed. */
struct gang_cluster *
gang_cluster_start_wide(guint schedulers, gboolean is_relayed, guint fillers);

/** Returns a count of the pool's status at one scheduler, -1 without one. */
int64_t gang_cluster_status(struct gang_cluster *g, guint index,
			    const char *member);

/** Waits until a scheduler decides on all workers. */
void gang_cluster_wait_ready(struct gang_cluster *g);

/** Starts everything with options and waits. */
struct gang_cluster *
gang_cluster_open_with(guint schedulers, const struct gang_cluster_options *o);

/** Starts everything and waits. */
struct gang_cluster *gang_cluster_open(guint schedulers);
void gang_cluster_close(struct gang_cluster *g);

/** Starts a scheduler in the place of one that has ended. */
void gang_cluster_start_scheduler(struct gang_cluster *g, guint index);

/** Returns the index of the scheduler that decides, -1 without one. */
int gang_cluster_holder(struct gang_cluster *g);

/**
 * Returns the index of the scheduler that decides, as soon as one says so: a
 * busy machine may be late to answer.
 */
guint gang_cluster_wait_holder(struct gang_cluster *g);

/** Returns how many workers the holder may use, -1 without a holder. */
int64_t gang_cluster_usable_workers(struct gang_cluster *g);

/** Applies a first configuration and waits until all schedulers have it. */
void gang_cluster_configure(struct gang_cluster *g, const char *config);

/** Writes a job's row as the gateway does. */
void gang_cluster_submit(struct gang_cluster *g,
			 const struct gang_submission *job);

/** Does so for a client account other than "a" and with an adjacency. */
void gang_cluster_submit_for(struct gang_cluster *g,
			     const struct gang_submission *job,
			     const char *client_account,
			     enum adjacency adjacency);

/** Marks a job as cancelled as the gateway does. */
void gang_cluster_cancel(struct gang_cluster *g, const char *id);

/** Returns a member of a job's row as text, "" without one; free it. */
char *gang_cluster_row(struct gang_cluster *g, const char *id,
		       const char *member);

/** Waits until a job's row has a state. */
gboolean gang_cluster_wait_state(struct gang_cluster *g, const char *id,
				 const char *state, int64_t timeout_ms);

/** Returns how many events of a kind a job has on all workers. */
guint gang_cluster_events(struct gang_cluster *g, const char *id,
			  const char *event);

/** Returns the time of a job's last event of a kind, 0 without one. */
int64_t gang_cluster_last_ms(struct gang_cluster *g, const char *id,
			     const char *event);

/** Waits for a number of events of a kind. */
gboolean gang_cluster_wait_events(struct gang_cluster *g, const char *id,
				  const char *event, guint count,
				  int64_t timeout_ms);

/** Tells the scheduler that decides of a row, as the gateway does. */
void gang_cluster_poke(struct gang_cluster *g, const char *id);

/** Starts the last worker's process anew, at another address. */
void gang_cluster_start_worker(struct gang_cluster *g);

/** Kills the last worker's process and keeps its history. */
void gang_cluster_kill_worker(struct gang_cluster *g);

/**
 * Checks the workers' histories.
 *
 * @param bound_ms	for which a gang may run in part
 * @return		NULL, or what is wrong; free it
 */
char *gang_cluster_check(struct gang_cluster *g, int64_t bound_ms);

#endif
