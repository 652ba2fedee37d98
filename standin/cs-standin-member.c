/*
 * A process with only what the system's processes share: links, membership,
 * configuration and leases. It takes a daemon's place in tests of these.
 */
#include "config/config_service.h"
#include "daemon/daemon.h"
#include "daemon/platform_service.h"
#include "link/link_service.h"
#include "shared/membership_service.h"
#include "shared/pool_lease.h"
#include "shared/status_service.h"

static const service_new_fn services[] = {
	platform_service_new,
	link_service_new,
	membership_service_new,
	config_service_new,
	pool_lease_service_new,
	status_service_new,
	NULL,
};

static const struct daemon_spec spec = {
	.name = "cs-standin-member",
	.summary = "Runs what the system's processes share, for tests.",
	.services = services,
};

int main(int argc, char **argv)
{
	return daemon_main(&spec, argc, argv);
}
