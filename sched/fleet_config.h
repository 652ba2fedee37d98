/**
 * @file
 * The configuration of the job queues: routes, services and client accounts.
 * A version replaces the one before as a whole.
 */
#ifndef SCHED_FLEET_CONFIG_H
#define SCHED_FLEET_CONFIG_H

#include <glib.h>
#include <stdint.h>

struct queue_route {
	char *name;
	char *host;	      /**< of callers' requests */
	char *path_prefix;    /**< what follows it is the job's id */
	char *service;	      /**< whose workers run the tasks */
	int64_t priority;     /**< 0 comes first and may preempt */
	int64_t max_attempts; /**< failed runs of a task before it is given up
			       */
	double stretch; /**< of the longest chain, part of the objective */
	int64_t objective_ms; /**< added to the stretched chain */
	int64_t timeout_ms;
	int64_t is_public;	  /**< no key is needed */
	int64_t advice_decide_ms; /**< policy service: for each call */
	int64_t advice_each_ms;	  /**< policy service: for each worker */
	int64_t advice_valid_ms;  /**< of a ticket; 0 without such a policy */
};

struct service_config {
	char *name;
	char *health_path;
	int64_t has_admission_check; /**< workers refuse what does not fit */
	int64_t is_standby;	     /**< its VMs are off */
};

struct account_config {
	char *name;
	GPtrArray *keys;		 /**< of char * */
	int64_t guaranteed_accelerators; /**< for its jobs of priority 0 */
};

struct fleet_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

struct fleet_config {
	int64_t version;
	GArray *routes;	  /**< of struct queue_route */
	GArray *services; /**< of struct service_config */
	GArray *accounts; /**< of struct account_config */
	struct fleet_limits limits;
};

void fleet_config_clear(struct fleet_config *c);

/** Returns the route with the longest prefix that fits, or NULL. */
const struct queue_route *fleet_config_match(const struct fleet_config *c,
					     const char *host,
					     const char *path);

/** Returns the route of a name, or NULL. */
const struct queue_route *fleet_config_route(const struct fleet_config *c,
					     const char *name);

/** Returns the client account that has a key, or NULL. */
const struct account_config *
fleet_config_account_by_key(const struct fleet_config *c, const char *key);

/** Returns the accelerators guaranteed to an account, 0 for none. */
int64_t fleet_config_guaranteed(const struct fleet_config *c,
				const char *account);

#endif
