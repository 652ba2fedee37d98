/**
 * @file
 * The service "renewals": as a delegate, renews worker leases for the holders
 * of the failure domain's pools; as a holder, answers its delegates' reports.
 */
#ifndef DAEMON_RENEWAL_SERVICE_H
#define DAEMON_RENEWAL_SERVICE_H

#include "base/kernel.h"

#define RENEWAL_SERVICE "renewals"

struct service *renewal_service_new(void);

#endif
