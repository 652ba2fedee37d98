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
 * Sends a call; the callback comes as http_client_send() has it. A call without
 * commands takes a connection that is open already, if there is one.
 */
struct http_call *worker_http_send(struct kernel *k, const char *address,
				   const struct worker_call *call,
				   http_reply_fn on_reply, void *data);

/**
 * Tells what a reply means and decodes the report in it.
 *
 * @param report	a zeroed struct; worker_report_clear() it in any case
 */
enum worker_answer worker_http_decode(const struct http_reply *reply,
				      const char *pool, const char *worker,
				      struct worker_report *report);

#endif
