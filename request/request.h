/**
 * @file
 * A caller's request and the three answers that it can get.
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
	ANSWER_NOT_RUN, /**< certain: it did not run and will not */
	ANSWER_UNKNOWN, /**< it may have run */
};

/** Why a request was answered as it was; reason_name() has the codes. */
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
	int64_t class;	     /**< enum request_class */
	int64_t deadline_ms; /**< from its arrival */
	int64_t is_repeatable;
	/**
	 * Of this idempotency key, numbered by the caller from 1; 0 when it
	 * does not count them. A refused first attempt is certainly the whole
	 * truth about the key, and a later one can rule out earlier ones.
	 */
	int64_t attempt;
	char *idempotency_key;
	json_object *payload;
};

extern const struct schema request_spec_schema;
extern const char *const request_class_names[];

/**
 * Decodes and checks a request.
 *
 * @param spec	a zeroed struct; request_spec_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean request_spec_decode(json_object *json, struct request_spec *spec,
			     struct finding_list *findings);
void request_spec_clear(struct request_spec *spec);

/** Returns "done", "not run" or "unknown". */
const char *answer_name(enum answer_kind kind);

/** Returns the code of a reason, as callers get it. */
const char *reason_name(enum reason reason);

/** Returns a sentence that says the reason. */
const char *reason_message(enum reason reason);

/** Returns the HTTP status of an answer. */
guint answer_http_code(enum answer_kind kind, enum reason reason);

#endif
