/**
 * @file
 * The service "renewals": renews leases of workers for the holders of the
 * failure domain's pools, and answers the delegates where this process holds.
 */
#ifndef DAEMON_RENEWAL_SERVICE_H
#define DAEMON_RENEWAL_SERVICE_H

#include "base/kernel.h"

#define RENEWAL_SERVICE "renewals"

struct service *renewal_service_new(void);

#endif
