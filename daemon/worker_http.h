/**
 * @file
 * Calls to workers over HTTP, for the holder of a pool and for its delegates.
 */
#ifndef DAEMON_WORKER_HTTP_H
#define DAEMON_WORKER_HTTP_H

#include "base/http_client.h"
#include "base/kernel.h"
#include "job/scheduler.h"

/**
 * Sends a call; see http_client_send() for the callback. A call without
 * commands reuses an open connection if there is one.
 */
struct http_call *worker_http_send(struct kernel *k, const char *address,
				   const struct worker_call *call,
				   http_reply_fn on_reply, void *data);

/**
 * Classifies a reply and decodes the report in it.
 *
 * @param pool, worker	named in the log when the report is invalid
 * @param report	a zeroed struct; worker_report_clear() it in any case
 */
enum worker_answer worker_http_decode(const struct http_reply *reply,
				      const char *pool, const char *worker,
				      struct worker_report *report);

#endif
