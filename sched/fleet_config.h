/**
 * @file
 * Configuration of the job queues: routes, services and client accounts. Each
 * version replaces the previous one as a whole.
 */
#ifndef SCHED_FLEET_CONFIG_H
#define SCHED_FLEET_CONFIG_H

#include <glib.h>
#include <stdint.h>

/**
 * Route of a job queue. A job's objective is to end within stretch times its
 * longest chain of steps, plus objective_ms, from its acceptance.
 */
struct queue_route {
	char *name;
	char *host;	      /**< host name of the requests */
	char *path_prefix;    /**< followed by the job id */
	char *service;	      /**< service whose workers run the tasks */
	int64_t priority;     /**< 0 is highest and may preempt */
	int64_t max_attempts; /**< failed runs of a task or gang until its job
				 fails */
	double stretch;	      /**< factor on the longest chain of steps */
	int64_t objective_ms; /**< time beyond the stretched chain */
	int64_t timeout_ms;
	int64_t is_public;	  /**< requests need no key */
	int64_t advice_decide_ms; /**< policy service: time for each call */
	int64_t advice_each_ms;	  /**< policy service: time for each worker */
	int64_t advice_valid_ms;  /**< ticket validity; 0: no policy service */
};

struct service_config {
	char *name;
	char *health_path;
	int64_t has_admission_check; /**< workers refuse what doesn't fit */
	int64_t is_standby;	     /**< its VMs are switched off */
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

/** One version of the configuration. */
struct fleet_config {
	int64_t version;
	GArray *routes;	  /**< of struct queue_route */
	GArray *services; /**< of struct service_config */
	GArray *accounts; /**< of struct account_config */
	struct fleet_limits limits;
};

void fleet_config_clear(struct fleet_config *c);

/** Returns the route of a host with the longest matching prefix, or NULL. */
const struct queue_route *fleet_config_match(const struct fleet_config *c,
					     const char *host,
					     const char *path);

/** Returns the route with a name, or NULL. */
const struct queue_route *fleet_config_route(const struct fleet_config *c,
					     const char *name);

/** Returns the client account that owns a key, or NULL. */
const struct account_config *
fleet_config_account_by_key(const struct fleet_config *c, const char *key);

/** Returns the number of accelerators guaranteed to an account, or 0. */
int64_t fleet_config_guaranteed(const struct fleet_config *c,
				const char *account);

#endif
