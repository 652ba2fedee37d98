/**
 * @file
 * Exports the counts of HTTP servers' connections as counters of the process.
 */
#ifndef BASE_HTTP_COUNTERS_H
#define BASE_HTTP_COUNTERS_H

#include "base/counters.h"
#include "base/http_server.h"

/** Sets the counters to the sums over all servers. */
void http_counters_update(struct counters *counters,
			  struct http_server *const *servers, guint count);

#endif
