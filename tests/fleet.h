/**
 * @file
 * Test harness for a small fleet of daemons and a platform stand-in, with relay
 * routes between each daemon and the platform and in front of each daemon's
 * link port.
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include <json-c/json.h>

#include "tests/cluster.h"

#define FLEET_MAX_NODES 6
#define FLEET_POOL "salkhi.tov-a"

struct fleet_node {
	char *name;
	const char *program; /**< default "csschedd" */
	const char *failure_domain;
	char *http;
	char *link;	   /**< own listen address */
	char *link_public; /**< relay address in front of @link */
	char *platform;	   /**< relay address in front of the platform */
	struct cluster_process *process; /**< NULL until started */
	gboolean is_unresponsive;	 /**< killed, paused or drained */
};

struct fleet {
	struct cluster *cluster;
	char *platform;	     /**< direct address of the stand-in */
	char *relay_control; /**< address of the relay's control interface */
	guint count;
	struct fleet_node nodes[FLEET_MAX_NODES];
};

/** State of the FLEET_POOL lease as a node reports it. */
struct fleet_lease {
	char role[16]; /**< "" without an answer */
	int64_t epoch;
};

/**
 * Prepares a fleet; no node is started yet.
 *
 * @param near	number of nodes in failure domain tov-a, which come first
 * @param far	number of nodes in failure domain tov-b
 */
struct fleet *fleet_new(guint near, guint far);
void fleet_free(struct fleet *f);

/** Starts a node, or restarts it at the same addresses. */
void fleet_start(struct fleet *f, guint node);
void fleet_start_all(struct fleet *f);

/** Sends a signal; all but SIGCONT mark the node as unresponsive. */
void fleet_signal(struct fleet *f, guint node, int signal_number);

/** Sets the relay mode between a node and the platform: "pass", "silent",
 * "refuse", "cut_up" or "cut_down" (cs-standin-relay). */
void fleet_set_platform_mode(struct fleet *f, guint node, const char *mode);

/** Sets the relay mode of all connections to a node's link port; modes as in
 * fleet_set_platform_mode(). */
void fleet_set_link_mode(struct fleet *f, guint node, const char *mode);

/** Blocks the messages that @from sends on its link to @to. Lasts until the
 * next fleet_set_link_mode() for @to. */
void fleet_block_link(struct fleet *f, guint from, guint to);

/** Returns a node's /v1/status, owned by the caller; NULL if it doesn't
 * answer. */
json_object *fleet_status(struct fleet *f, guint node);

/** Returns the FLEET_POOL lease as a node reports it. */
struct fleet_lease fleet_lease(struct fleet *f, guint node);

/** Returns the configuration version in force on a node, -1 if it doesn't
 * answer. */
int64_t fleet_config_version(struct fleet *f, guint node);

/** Returns the member state that a node reports for another, to be freed; NULL
 * if unknown. */
char *fleet_member_state(struct fleet *f, guint node, guint other);

/** Posts a configuration; release the reply with cluster_reply_clear(). */
struct cluster_reply fleet_post_config(struct fleet *f, guint node,
				       int64_t base_version,
				       const char *client_account);

/**
 * Waits until exactly one answering node holds the pool with at least
 * @min_epoch; asserts that this happens in time.
 *
 * @return	index of the holder
 */
guint fleet_wait_holder(struct fleet *f, int64_t min_epoch, int64_t timeout_ms);

/** Waits until all responsive nodes have at least a configuration version;
 * returns FALSE on timeout. */
gboolean fleet_wait_config(struct fleet *f, int64_t version,
			   int64_t timeout_ms);

/** Waits until a node reports a member state for another; returns FALSE on
 * timeout. */
gboolean fleet_wait_state(struct fleet *f, guint node, guint other,
			  const char *state, int64_t timeout_ms);

#endif
