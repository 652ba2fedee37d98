/**
 * @file
 * A small fleet of the system's processes with the platform's stand-in, and a
 * relay on each process's way to the platform and on the way to its links.
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include <json-c/json.h>

#include "tests/cluster.h"

#define FLEET_MAX_NODES 6
#define FLEET_POOL "salkhi.tov-a"

struct fleet_node {
	char *name;
	const char *program; /**< "csschedd" unless a test sets it */
	const char *failure_domain;
	char *http;
	char *link;
	char *link_public;
	char *platform;
	struct cluster_process *process; /**< NULL until started */
	gboolean is_unresponsive;	 /**< killed, paused or drained */
};

struct fleet {
	struct cluster *cluster;
	char *platform;
	char *relay_control;
	guint count;
	struct fleet_node nodes[FLEET_MAX_NODES];
};

/** What a process says of a pool's lease. */
struct fleet_lease {
	char role[16]; /**< "" when it does not answer */
	int64_t epoch;
};

/**
 * Prepares a fleet; no node is started yet.
 *
 * @param near	number of nodes in tov-a, which come first
 * @param far	number of nodes in tov-b
 */
struct fleet *fleet_new(guint near, guint far);
void fleet_free(struct fleet *f);

/** Starts a node, also again at the same addresses. */
void fleet_start(struct fleet *f, guint node);
void fleet_start_all(struct fleet *f);

/** Sends a signal and notes whether the node answers after it. */
void fleet_signal(struct fleet *f, guint node, int signal_number);

/** Sets the mode of a node's way to the platform, or of the way to its link. */
void fleet_cut_store(struct fleet *f, guint node, const char *mode);
void fleet_cut_link(struct fleet *f, guint node, const char *mode);
/** Cuts the way from one node to another, until fleet_cut_link() to it. */
void fleet_cut_way(struct fleet *f, guint from, guint to);

/** Returns a node's /v1/status, or NULL; free it. */
json_object *fleet_status(struct fleet *f, guint node);

struct fleet_lease fleet_lease(struct fleet *f, guint node);

/** Returns the configuration version in force on a node, -1 without answer. */
int64_t fleet_config_version(struct fleet *f, guint node);

/** Returns the state that a node gives another, or NULL; free it. */
char *fleet_member_state(struct fleet *f, guint node, guint other);

/** Posts a configuration; cluster_reply_clear() the reply. */
struct cluster_reply fleet_post_config(struct fleet *f, guint node,
				       int64_t base_version,
				       const char *client_account);

/** Waits until exactly one answering node holds the pool; returns it. */
guint fleet_wait_holder(struct fleet *f, int64_t min_epoch, int64_t timeout_ms);

/** Waits until all answering nodes have at least a configuration version. */
gboolean fleet_wait_config(struct fleet *f, int64_t version,
			   int64_t timeout_ms);

/** Waits until a node gives another a state. */
gboolean fleet_wait_state(struct fleet *f, guint node, guint other,
			  const char *state, int64_t timeout_ms);

#endif
