/**
 * @file
 * Asks the process that holds a claim whether it still works on it.
 */
#ifndef DAEMON_CLAIM_PEER_H
#define DAEMON_CLAIM_PEER_H

#include "base/http_client.h"
#include "request/claim.h"

/** Returns the call, which may be cancelled until it has been answered. */
struct http_call *claim_peer_ask(struct http_client *http, const char *address,
				 const char *request_id, http_reply_fn fn,
				 void *data);

/** @param incarnation	of the process that wrote the claim */
enum claim_peer claim_peer_state(const struct http_reply *reply,
				 const char *incarnation);

#endif
