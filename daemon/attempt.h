/**
 * @file
 * One attempt of a request: a call to an endpoint, until its reply.
 */
#ifndef DAEMON_ATTEMPT_H
#define DAEMON_ATTEMPT_H

#include <glib.h>
#include <stdint.h>

#include "base/http_client.h"
#include "request/endpoint_table.h"

struct flight;

/** An attempt slot of a flight; in use while @call is set. */
struct attempt {
	struct flight *flight;
	struct endpoint *endpoint;
	struct http_call *call; /**< NULL when the attempt has ended */
	int64_t sent_us;	/**< monotonic clock */
	gboolean is_overdue;	/**< no reply in retry_hedge_delay_ms() */
};

/**
 * Sends a flight's request to an endpoint. The reply goes to
 * flight_on_reply(), unless the attempt is cancelled.
 */
void attempt_start(struct attempt *a, struct flight *f, struct endpoint *e,
		   int64_t now_ms);

/**
 * Cancels an active attempt, as when another attempt was answered first or the
 * deadline has passed. An overdue attempt counts as a failure of its endpoint.
 */
void attempt_cancel(struct attempt *a, int64_t now_ms);

#endif
