/**
 * @file
 * One sending of a request to an endpoint, up to its reply.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include <glib.h>
#include <stdint.h>

#include "base/http_client.h"
#include "request/endpoint_table.h"

struct flight;

/** One request on its way to and from an endpoint. */
struct attempt {
	struct flight *flight;
	struct endpoint *endpoint;
	struct http_call *call; /**< NULL when it is over */
	int64_t sent_us;
	gboolean is_overdue; /**< took longer than is usual */
};

/** Sends a flight's request; flight_on_reply() follows. */
void attempt_start(struct attempt *a, struct flight *f, struct endpoint *e,
		   int64_t now_ms);

/** Drops the call: another was answered first, or the deadline is over. */
void attempt_cancel(struct attempt *a, int64_t now_ms);

#endif
