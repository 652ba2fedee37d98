/*
 * Scheduler daemon: schedules the jobs of a pool while it holds the pool's
 * lease.
 */
#include "config/config_service.h"
#include "daemon/daemon.h"
#include "daemon/job_service.h"
#include "daemon/platform_service.h"
#include "daemon/renewal_service.h"
#include "link/link_service.h"
#include "shared/membership_service.h"
#include "shared/pool_lease.h"
#include "shared/status_service.h"

static const service_new_fn services[] = {
	platform_service_new, link_service_new,	      membership_service_new,
	config_service_new,   pool_lease_service_new, job_service_new,
	renewal_service_new,  status_service_new,     NULL,
};

static const struct daemon_spec spec = {
	.name = "csschedd",
	.summary = "Schedules jobs on the workers of a pool.",
	.services = services,
};

int main(int argc, char **argv)
{
	return daemon_main(&spec, argc, argv);
}
