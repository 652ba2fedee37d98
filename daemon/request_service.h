/**
 * @file
 * The service "requests": takes callers' requests over HTTP, decides when and
 * where each runs, and gives each exactly one answer.
 */
#ifndef DAEMON_REQUEST_SERVICE_H
#define DAEMON_REQUEST_SERVICE_H

#include "base/kernel.h"

#define REQUEST_SERVICE "requests"

struct service *request_service_new(void);

#endif
