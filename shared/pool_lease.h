/**
 * @file
 * The service "pool_lease": this process's leases on pools. Each lease is a row
 * in the table "leases" whose epoch increases with each new holder; workers
 * fence by epoch.
 */
#ifndef SHARED_POOL_LEASE_H
#define SHARED_POOL_LEASE_H

#include <glib.h>
#include <stdint.h>

#include "base/kernel.h"

#define POOL_LEASE_SERVICE "pool_lease"

struct pool_lease_service;

enum pool_role {
	POOL_ROLE_NONE,	     /**< another process is responsible */
	POOL_ROLE_HOLDER,    /**< holds the lease: may schedule and start */
	POOL_ROLE_CARETAKER, /**< table unreachable and no holder heard:
				  renews and stops tasks, starts none */
};

extern const char *const pool_role_names[];

/** State of a pool's lease in the answer to GET /v1/status. */
struct pool_status {
	char *pool;
	int64_t role; /**< enum pool_role, of this process */
	int64_t epoch;
	char *holder; /**< node name, NULL if none is known */
};

/** Called on each change of role or epoch. */
typedef void (*pool_lease_fn)(const char *pool, enum pool_role role,
			      int64_t epoch, void *data);

/** Returns the service for all pools of this process's failure domain. */
struct service *pool_lease_service_new(void);

/** Returns this process's role at @now_ms and stores the epoch that it applies
 *  to; POOL_ROLE_NONE and epoch 0 for an unknown pool. */
enum pool_role pool_lease_role(const struct pool_lease_service *s,
			       const char *pool, int64_t now_ms,
			       int64_t *epoch);

/**
 * Returns the HTTP address of the last known holder, or NULL. Owned by the
 * service.
 */
const char *pool_lease_holder_address(const struct pool_lease_service *s,
				      const char *pool);

/** Processes what a peer's heartbeat states of a pool's lease; @is_holder is
 *  TRUE if the peer holds it. */
void pool_lease_on_heartbeat(struct pool_lease_service *s, const char *pool,
			     int64_t epoch, gboolean is_holder);

/** Appends this process's knowledge of each lease; of struct heartbeat_pool. */
void pool_lease_fill_heartbeat(const struct pool_lease_service *s, GArray *out);

/** Appends the status of all pools of this process; of struct pool_status. */
void pool_lease_status(const struct pool_lease_service *s, int64_t now_ms,
		       GArray *out);

void pool_lease_subscribe(struct pool_lease_service *s, pool_lease_fn fn,
			  void *data);

#endif
