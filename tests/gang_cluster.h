/**
 * @file
 * A test pool of real processes: the platform stand-in, schedulers and three
 * workers. The last worker has a process of its own and reports no digests.
 * Checks rely on the histories that the workers record.
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
	/** How long a queued job waits for lost workers before it is refused; 0
	 * for the schedulers' default. */
	int64_t impossible_grace_ms;
	/** FALSE puts the last worker into a rack of its own. */
	gboolean is_one_rack;
};

struct gang_cluster {
	struct cluster *cluster;
	char *platform; /**< HTTP address of the platform stand-in */
	struct cluster_process *platform_process;
	/** The first runs w0 and w1, the second v0, the last worker. */
	struct cluster_process *worker_processes[2];
	char *workers[GANG_WORKERS]; /**< HTTP addresses */
	char *relay_control; /**< NULL if the last worker is called directly */
	guint scheduler_count;
	struct gang_cluster_options options;
	struct cluster_process *schedulers[GANG_MAX_SCHEDULERS];
	char *addresses[GANG_MAX_SCHEDULERS]; /**< HTTP addresses */
	/** Link addresses, NULL-terminated. */
	char *links[GANG_MAX_SCHEDULERS + 1];
	GArray *saved_events; /**< struct gang_event of killed workers */
	/** Workers without accelerators, which gangs can't use. */
	guint cpu_only_workers;
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
 * Starts the platform, the workers and the schedulers; doesn't wait until they
 * are ready.
 *
 * @param is_relayed	TRUE to put a relay before the last worker
 */
struct gang_cluster *gang_cluster_start(guint schedulers, gboolean is_relayed);

/** Like gang_cluster_start(), with additional workers without accelerators. */
struct gang_cluster *gang_cluster_start_wide(guint schedulers,
					     gboolean is_relayed,
					     guint cpu_only_workers);

/** Returns a number from the pool's status at scheduler @index, -1 without an
 * answer. */
int64_t gang_cluster_status_number(struct gang_cluster *g, guint index,
				   const char *member);

/** Waits until the holder may use all workers; asserts that this happens. */
void gang_cluster_wait_ready(struct gang_cluster *g);

/** Starts a cluster with options and waits until it is ready. */
struct gang_cluster *
gang_cluster_open_with(guint schedulers, const struct gang_cluster_options *o);

/** Starts a cluster with default options and waits until it is ready. */
struct gang_cluster *gang_cluster_open(guint schedulers);
void gang_cluster_close(struct gang_cluster *g);

/** Starts a scheduler in a slot that is empty or whose process has exited. */
void gang_cluster_start_scheduler(struct gang_cluster *g, guint index);

/** Returns the index of the active scheduler, -1 without one. */
int gang_cluster_holder(struct gang_cluster *g);

/**
 * Waits for an active scheduler and returns its index. A single status call may
 * time out on a busy machine.
 */
guint gang_cluster_wait_holder(struct gang_cluster *g);

/** Returns the holder's count of usable workers, -1 without a holder. */
int64_t gang_cluster_usable_workers(struct gang_cluster *g);

/** Applies the first configuration; waits until all schedulers report it. */
void gang_cluster_configure(struct gang_cluster *g, const char *config);

/** Writes the row of a job of client account "a", as the gateway does. */
void gang_cluster_submit(struct gang_cluster *g,
			 const struct gang_submission *job);

/** Like gang_cluster_submit(), with a client account and an adjacency. */
void gang_cluster_submit_for(struct gang_cluster *g,
			     const struct gang_submission *job,
			     const char *client_account,
			     enum adjacency adjacency);

/** Marks a job's row as cancelled, as the gateway does. */
void gang_cluster_cancel(struct gang_cluster *g, const char *id);

/** Returns a JSON member of a job's row as text, "" if absent; free it. */
char *gang_cluster_row_member(struct gang_cluster *g, const char *id,
			      const char *member);

/** Waits until the platform has lost an answer; returns FALSE on timeout. */
gboolean gang_cluster_wait_lost_answer(struct gang_cluster *g,
				       int64_t timeout_ms);

/** Waits until a job's row has a state; returns FALSE on timeout. */
gboolean gang_cluster_wait_state(struct gang_cluster *g, const char *id,
				 const char *state, int64_t timeout_ms);

/** Counts a job's events of a kind on all workers. */
guint gang_cluster_count_events(struct gang_cluster *g, const char *id,
				const char *event);

/** Returns the time of a job's last event of a kind, 0 without one. */
int64_t gang_cluster_last_event_ms(struct gang_cluster *g, const char *id,
				   const char *event);

/** Waits for at least @count events of a kind; returns FALSE on timeout. */
gboolean gang_cluster_wait_events(struct gang_cluster *g, const char *id,
				  const char *event, guint count,
				  int64_t timeout_ms);

/** Notifies the holder of a changed row, as the gateway does. */
void gang_cluster_poke(struct gang_cluster *g, const char *id);

/** Restarts the last worker's process at a new address. */
void gang_cluster_start_worker(struct gang_cluster *g);

/** Kills the last worker's process after saving its history. */
void gang_cluster_kill_worker(struct gang_cluster *g);

/**
 * Checks the workers' histories with gang_history_check().
 *
 * @param bound_ms	longest time that a gang may run partially
 * @return		NULL, or a description of the violation; free it
 */
char *gang_cluster_check(struct gang_cluster *g, int64_t bound_ms);

#endif
