/*
 * Gateway daemon of an entry VM: accepts requests and jobs from callers, and
 * calls from operators.
 */
#include "config/config_service.h"
#include "daemon/daemon.h"
#include "daemon/job_api.h"
#include "daemon/platform_service.h"
#include "daemon/request_service.h"
#include "link/link_service.h"
#include "shared/membership_service.h"
#include "shared/status_service.h"

static const service_new_fn services[] = {
	platform_service_new,	link_service_new,
	membership_service_new, config_service_new,
	request_service_new,	job_api_service_new,
	status_service_new,	NULL,
};

static const struct daemon_spec spec = {
	.name = "csgated",
	.summary =
		"Routes callers' requests to endpoints and accepts their jobs.",
	.services = services,
};

int main(int argc, char **argv)
{
	return daemon_main(&spec, argc, argv);
}
