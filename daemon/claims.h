/**
 * @file
 * All claims that this process works on, one for each idempotency key. Drives
 * the state machine of request/claim.h over the platform and, for claims of
 * other processes, over HTTP. Requests of one key at the same time share one
 * claim and its answer.
 */
#ifndef DAEMON_CLAIMS_H
#define DAEMON_CLAIMS_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/http_client.h"
#include "store/platform.h"
#include "request/claim.h"

struct claims;
struct claim_handle;

struct claims_spec {
	struct platform *platform;
	struct http_client *http;
	struct counters *counters;
	const char *node;
	const char *incarnation;
	const char *address; /**< "IP:PORT" of this process's HTTP server */
};

/** What happens to a claim; each may free the request, never the handle. */
struct claim_events {
	/** No other attempt is known: the request may wait for its turn. */
	void (*on_ready)(void *data);
	/** The claim is written: the request may be sent, once. */
	void (*on_won)(void *data);
	/** The answer is known without running; the handle is gone. */
	void (*on_answer)(enum answer_kind kind, enum reason reason,
			  json_object *result, void *data);
};

struct claims *claims_new(const struct claims_spec *spec);
void claims_free(struct claims *c);

/** Sets how many processes share the platform's budget of writes. */
void claims_set_gateways(struct claims *c, uint32_t count);

/**
 * Begins with one request's claim. Events come later, never from within.
 *
 * @param key	"ACCOUNT/KEY"
 * @param attempt	number given by the caller, 0 for none
 */
struct claim_handle *claims_begin(struct claims *c, const char *key,
				  const char *request_id, int64_t attempt,
				  int64_t deadline_ms,
				  const struct claim_events *events,
				  void *data);

/** After on_ready: writes the claim. */
void claim_handle_take(struct claim_handle *h);

/** After on_ready: writes that the request does not run; then on_answer. */
void claim_handle_refuse(struct claim_handle *h, enum reason reason);

/** After on_won: records how the request ended. The handle is gone. */
void claim_handle_finish(struct claim_handle *h, enum answer_kind kind,
			 enum reason reason, json_object *result);

/** The deadline is over: on_answer comes from within, with what is certain. */
void claim_handle_give_up(struct claim_handle *h);

/** Returns how many claims are not settled in the table. */
guint claims_pending(const struct claims *c);

/** Tells whether this process still works on a request's claim. */
gboolean claims_is_pending(const struct claims *c, const char *request_id);

#endif
