/**
 * @file
 * The service "http": the HTTP server of this process and an HTTP client for
 * calls to other systems. Other services add their routes when they start.
 */
#ifndef DAEMON_HTTP_SERVICE_H
#define DAEMON_HTTP_SERVICE_H

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/kernel.h"

#define HTTP_SERVICE "http"

struct service *http_service_new(void);

/** Returns the server; services add their routes when they start. */
struct http_server *http_server_of(const struct kernel *k);

/** Returns the client shared by the services of this process. */
struct http_client *http_client_of(const struct kernel *k);

/**
 * Checks that a request carries the operators' token, if the settings have one.
 *
 * @return	FALSE when the request was answered with 401; it must not be
 *		used afterwards
 */
gboolean http_service_allow_operator(const struct kernel *k,
				     struct http_request *r);

#endif
