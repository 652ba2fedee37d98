/**
 * @file
 * A caller's request, its three kinds of answer and their reasons.
 */
#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"

#define REQUEST_MAX_DEADLINE_MS INT64_C(3600000)

enum request_class {
	REQUEST_SPOT, /**< short, with a near deadline */
	REQUEST_BULK, /**< can wait */
	REQUEST_CLASS_COUNT,
};

enum answer_kind {
	ANSWER_DONE,
	ANSWER_NOT_RUN, /**< certainly did not run and will not */
	ANSWER_UNKNOWN, /**< may have run */
};

/** Reason of an answer; reason_name() returns the code for callers. */
enum reason {
	REASON_NONE,
	REASON_INVALID,
	REASON_NO_CONFIGURATION,
	REASON_UNKNOWN_ACCOUNT,
	REASON_UNKNOWN_SERVICE,
	REASON_BAD_TOKEN,
	REASON_RATE_LIMIT,
	REASON_QUEUE_FULL,
	REASON_SHED,
	REASON_DEADLINE,
	REASON_NO_ENDPOINT,
	REASON_DRAINING,
	REASON_REFUSED,
	REASON_PLATFORM_DOWN,
	REASON_SUPERSEDED,
	REASON_LOST_ANSWER,
	REASON_CROSSED_ANSWER,
	REASON_RUN_FAILED,
	REASON_CLAIMANT_GONE,
	REASON_CLAIMED_ELSEWHERE,
	REASON_CLAIM_UNREACHABLE,
	REASON_RESULT_NOT_KEPT,
	REASON_COUNT,
};

struct request_spec {
	char *client_account;
	char *service;
	int64_t class;	       /**< enum request_class */
	int64_t deadline_ms;   /**< relative to its arrival */
	int64_t is_repeatable; /**< TRUE if it may run more than once */
	/**
	 * Attempt number for this idempotency key, counted from 1 by the
	 * caller; 0 if the caller doesn't number its attempts. A refused
	 * attempt 1 means that the request did not run at all, and a refused
	 * later attempt bars the ones before it.
	 */
	int64_t attempt;
	char *idempotency_key;
	json_object *payload;
};

extern const struct schema request_spec_schema;
extern const char *const request_class_names[];

/**
 * Decodes and validates a request.
 *
 * @param spec		a zeroed struct; free with request_spec_clear() also
 *			after a failure
 * @param findings	receives the problems found
 * @return		TRUE if the request is valid
 */
gboolean request_spec_decode(json_object *json, struct request_spec *spec,
			     struct finding_list *findings);
void request_spec_clear(struct request_spec *spec);

/** Returns "done", "not run" or "unknown". */
const char *answer_name(enum answer_kind kind);

/** Returns the code of a reason that is sent to callers. */
const char *reason_name(enum reason reason);

/** Returns the human-readable text of a reason. */
const char *reason_message(enum reason reason);

/** Returns the HTTP status of an answer. */
guint answer_http_code(enum answer_kind kind, enum reason reason);

#endif
