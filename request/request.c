#include "request/request.h"

#define NAME_MAX_BYTES 64
#define KEY_MAX_BYTES 128
#define MAX_ATTEMPTS 1000000

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

const char *const request_class_names[] = { "spot", "bulk", NULL };

static const char *const answer_names[] = { "done", "not run", "unknown" };

struct reason_text {
	const char *name;
	const char *message;
	guint http_code; /**< 0 for the code of the answer kind */
};

static const struct reason_text reasons[REASON_COUNT] = {
	[REASON_NONE] = { "", "", 0 },
	[REASON_INVALID] = { "invalid", "the request does not match its schema",
			     HTTP_BAD_REQUEST },
	[REASON_NO_CONFIGURATION] = { "no_configuration",
				      "no configuration is active yet", 0 },
	[REASON_UNKNOWN_ACCOUNT] = { "unknown_account",
				     "the client account does not exist",
				     HTTP_NOT_FOUND },
	[REASON_UNKNOWN_SERVICE] = { "unknown_service",
				     "this gateway does not serve the service",
				     HTTP_NOT_FOUND },
	[REASON_BAD_TOKEN] = { "bad_token", "token missing or wrong",
			       HTTP_UNAUTHORIZED },
	[REASON_RATE_LIMIT] = { "rate_limit",
				"the client account exceeded its request rate",
				HTTP_TOO_MANY },
	[REASON_QUEUE_FULL] = { "queue_full",
				"the queue of the client account or of the "
				"gateway is full",
				HTTP_TOO_MANY },
	[REASON_SHED] = { "shed",
			  "removed from the queue to make room for others", 0 },
	[REASON_DEADLINE] = { "deadline", "can't finish before the deadline",
			      0 },
	[REASON_NO_ENDPOINT] = { "no_endpoint",
				 "no endpoint can accept the request", 0 },
	[REASON_DRAINING] = { "draining", "this gateway is draining", 0 },
	[REASON_REFUSED] = { "refused",
			     "every endpoint tried refused the request", 0 },
	[REASON_PLATFORM_DOWN] = { "platform_down",
				   "the claim could not be written", 0 },
	[REASON_SUPERSEDED] = { "superseded",
				"a later attempt with this idempotency key was "
				"refused",
				0 },
	[REASON_LOST_ANSWER] = { "lost_answer",
				 "sent to an endpoint, but no complete answer "
				 "was received",
				 0 },
	[REASON_CROSSED_ANSWER] = { "crossed_answer",
				    "the endpoint returned the answer of "
				    "another request",
				    0 },
	[REASON_RUN_FAILED] = { "run_failed",
				"the endpoint returned an error or an invalid "
				"answer",
				0 },
	[REASON_CLAIMANT_GONE] = { "claimant_gone",
				   "claimed by an attempt that ended without "
				   "recording its outcome",
				   0 },
	[REASON_CLAIMED_ELSEWHERE] = { "claimed_elsewhere",
				       "another attempt with this idempotency "
				       "key is in progress",
				       0 },
	[REASON_CLAIM_UNREACHABLE] = { "claim_unreachable",
				       "an earlier attempt can't be ruled out",
				       0 },
	[REASON_RESULT_NOT_KEPT] = { "result_not_kept",
				     "it ran, but its result was not stored",
				     0 },
};

#define MEMBER(member_) \
	.name = #member_, .offset = offsetof(struct request_spec, member_)

static const struct field_spec request_fields[] = {
	{ MEMBER(client_account), .type = FIELD_STRING, .is_required = TRUE,
	  .min = 1, .max = NAME_MAX_BYTES },
	{ MEMBER(service), .type = FIELD_STRING, .is_required = TRUE, .min = 1,
	  .max = NAME_MAX_BYTES },
	{ MEMBER(class), .type = FIELD_ENUM, .is_required = TRUE,
	  .names = request_class_names },
	{ MEMBER(deadline_ms), .type = FIELD_INT, .is_required = TRUE, .min = 1,
	  .max = REQUEST_MAX_DEADLINE_MS },
	{ MEMBER(is_repeatable), .type = FIELD_BOOL, .is_required = TRUE },
	{ MEMBER(attempt), .type = FIELD_INT, .max = MAX_ATTEMPTS },
	{ MEMBER(idempotency_key), .type = FIELD_STRING, .min = 1,
	  .max = KEY_MAX_BYTES },
	{ MEMBER(payload), .type = FIELD_JSON, .is_required = TRUE },
	{ 0 },
};

const struct schema request_spec_schema = { sizeof(struct request_spec),
					    request_fields };

gboolean request_spec_decode(json_object *json, struct request_spec *spec,
			     struct finding_list *findings)
{
	gboolean is_valid = schema_decode(&request_spec_schema, json, spec, "",
					  NULL, findings);

	if (is_valid && !spec->is_repeatable && !spec->idempotency_key) {
		finding_list_add(findings, "idempotency_key",
				 "1 to 128 bytes, the same on a retry",
				 "missing, as is_repeatable is false");
		is_valid = FALSE;
	}
	return is_valid;
}

void request_spec_clear(struct request_spec *spec)
{
	schema_clear(&request_spec_schema, spec);
}

const char *answer_name(enum answer_kind kind)
{
	return answer_names[kind];
}

const char *reason_name(enum reason reason)
{
	return reasons[reason].name;
}

const char *reason_message(enum reason reason)
{
	return reasons[reason].message;
}

guint answer_http_code(enum answer_kind kind, enum reason reason)
{
	if (kind == ANSWER_DONE)
		return HTTP_OK;
	if (kind == ANSWER_UNKNOWN)
		return HTTP_GATEWAY_TIMEOUT;
	if (reasons[reason].http_code)
		return reasons[reason].http_code;
	return HTTP_UNAVAILABLE;
}
