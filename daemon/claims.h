/**
 * @file
 * All claims that this process works on, one per idempotency key. Runs the
 * state machine of request/claim.h: rows are read and written on the platform,
 * claimants in other processes are queried over HTTP. Concurrent requests with
 * the same key share one claim and its answer.
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

/** Callbacks of a claim; each may free the request, but not the handle. */
struct claim_events {
	/** No other attempt is known to hold the claim: the request may be
	 *  queued. Called again if claim_handle_acquire() lost to an attempt
	 *  that then did not run. */
	void (*on_ready)(void *data);
	/** The claim row is written: the request may be sent, once. */
	void (*on_won)(void *data);
	/** The answer is known without running the request; the handle is
	 *  freed. */
	void (*on_answer)(enum answer_kind kind, enum reason reason,
			  json_object *result, void *data);
};

struct claims *claims_new(const struct claims_spec *spec);
void claims_free(struct claims *c);

/** Sets the number of gateways that share CLAIM_COMMITS_PER_S. */
void claims_set_gateways(struct claims *c, uint32_t count);

/**
 * Starts the claim of one request. Callbacks run later, never during this call.
 *
 * @param key	"ACCOUNT/KEY"
 * @param attempt	attempt number set by the caller, 0 for none
 */
struct claim_handle *claims_begin(struct claims *c, const char *key,
				  const char *request_id, int64_t attempt,
				  int64_t deadline_ms,
				  const struct claim_events *events,
				  void *data);

/** Writes the claim row; only after on_ready. */
void claim_handle_acquire(struct claim_handle *h);

/**
 * Records that the request will not run; only after on_ready. on_answer
 * follows, possibly during this call.
 */
void claim_handle_refuse(struct claim_handle *h, enum reason reason);

/** Records the request's answer and frees the handle; only after on_won. */
void claim_handle_finish(struct claim_handle *h, enum answer_kind kind,
			 enum reason reason, json_object *result);

/**
 * Ends a claim whose deadline has passed. Calls on_answer during this call,
 * with the most that is certain about the request.
 */
void claim_handle_give_up(struct claim_handle *h);

/** Returns the number of claims whose final state is not yet in the table. */
guint claims_pending(const struct claims *c);

/** Returns TRUE if this process is still working on the request's claim. */
gboolean claims_is_pending(const struct claims *c, const char *request_id);

#endif
