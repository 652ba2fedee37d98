/**
 * @file
 * The service "requests": accepts callers' requests over HTTP, decides when and
 * where each runs, and answers each exactly once.
 */
#ifndef DAEMON_REQUEST_SERVICE_H
#define DAEMON_REQUEST_SERVICE_H

#include "base/kernel.h"

#define REQUEST_SERVICE "requests"

struct service *request_service_new(void);

#endif
