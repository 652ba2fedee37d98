/**
 * @file
 * The service "membership": determines which processes of the system are live,
 * from heartbeats over the links, reports of other members, and the platform's
 * VM list, which lags behind.
 */
#ifndef SHARED_MEMBERSHIP_SERVICE_H
#define SHARED_MEMBERSHIP_SERVICE_H

#include <glib.h>
#include <stdint.h>

#include "base/kernel.h"
#include "shared/member_table.h"

#define MEMBERSHIP_SERVICE "membership"

struct membership_service;

/** Called for each heartbeat, after the member table has processed it. */
typedef void (*membership_fn)(const struct link_identity *from,
			      const struct heartbeat *heartbeat, void *data);

struct service *membership_service_new(void);

/** Returns the service of a kernel, or NULL if the process has none. */
struct membership_service *membership_of(const struct kernel *k);

/** Returns this process's member table, owned by the service. */
const struct member_table *
membership_service_table(const struct membership_service *s);

/**
 * Returns the number of live members of a role in a failure domain, this
 * process included; at least 1, so that limits can be divided by it.
 */
guint membership_service_count_live(const struct membership_service *s,
				    enum link_role role,
				    const char *failure_domain);

/** Sends a heartbeat within the domain at once, as after a lease change. */
void membership_service_announce(struct membership_service *s);

void membership_service_subscribe(struct membership_service *s,
				  membership_fn fn, void *data);

#endif
