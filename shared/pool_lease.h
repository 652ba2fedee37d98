/**
 * @file
 * The service "pool_lease": this process's leases on pools, each a row with a
 * rising epoch in the table "leases". The epoch fences at the workers.
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
	POOL_ROLE_HOLDER,    /**< holds the lease: may decide and start */
	POOL_ROLE_CARETAKER, /**< table unreachable and no holder in sight:
				  renews and stops, starts nothing */
};

extern const char *const pool_role_names[];

/** A pool's lease as operators see it. */
struct pool_status {
	char *pool;
	int64_t role; /**< enum pool_role, of this process */
	int64_t epoch;
	char *holder; /**< node, NULL when none is known */
};

/** Called on each change of role or epoch. */
typedef void (*pool_lease_fn)(const char *pool, enum pool_role role,
			      int64_t epoch, void *data);

/** Returns a new service for all pools of a service and failure domain. */
struct service *pool_lease_service_new(void);

/** Tells the role that this process has now; sets the epoch it goes with. */
enum pool_role pool_lease_role(const struct pool_lease_service *s,
			       const char *pool, int64_t now_ms,
			       int64_t *epoch);

/**
 * Returns the HTTP address of the last known holder, or NULL. Owned by the
 * service.
 */
const char *pool_lease_holder(const struct pool_lease_service *s,
			      const char *pool);

/** Takes note of what a peer says of a pool's lease. */
void pool_lease_heard(struct pool_lease_service *s, const char *pool,
		      int64_t epoch, gboolean is_holder);

/** Adds this process's part in each lease; of struct heartbeat_pool. */
void pool_lease_describe(const struct pool_lease_service *s, GArray *out);

/** Adds all pools of this process; of struct pool_status. */
void pool_lease_status(const struct pool_lease_service *s, int64_t now_ms,
		       GArray *out);

void pool_lease_subscribe(struct pool_lease_service *s, pool_lease_fn fn,
			  void *data);

#endif
