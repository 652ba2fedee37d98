/**
 * @file
 * One call to the platform over HTTP: the request, the decoder of its answer
 * and the callback.
 */
#ifndef STORE_PLATFORM_CALL_H
#define STORE_PLATFORM_CALL_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/http_client.h"
#include "store/platform.h"
#include "store/store_gate.h"

struct call_sender;
struct platform_call;

/**
 * Decodes a reply and finishes the call. Returns FALSE, without finishing it,
 * if the reply is not usable.
 */
typedef gboolean (*platform_answer_fn)(struct platform_call *call,
				       const struct http_reply *reply);

struct platform_call_spec {
	const char *method;
	char *path;			  /**< the call takes ownership */
	json_object *body;		  /**< the call takes ownership */
	const char *etag;		  /**< of the caller's copy, or NULL */
	platform_answer_fn decode_answer; /**< of an answer with code 200 */
	platform_fn fn;
	void *data;
	enum store_call_kind kind;
	enum store_priority priority;
	guint write_count; /**< rows required in the answer, 0 for any */
	/** Handles every reply; NULL for platform_answer_handle(). */
	platform_answer_fn handle_reply;
	gboolean may_reuse; /**< as in struct http_call_spec */
	/** How long the platform may hold back the answer, or 0. */
	int64_t long_poll_ms;
};

struct platform_call {
	struct call_sender *sender;
	const char *method;
	char *path;
	json_object *body;
	char *etag; /**< of the caller's copy, or NULL */
	enum store_call_kind kind;
	enum store_priority priority;
	guint write_count;
	uint32_t generation; /**< of the gate at sending */
	int64_t created_us;
	int64_t sent_us;
	int64_t body_bytes;   /**< size of the answer's body */
	guint refusal_source; /**< idle source that ends a refused call */
	platform_answer_fn decode_answer;
	platform_answer_fn handle_reply;
	gboolean may_reuse;
	int64_t long_poll_ms;
	platform_fn fn;
	void *data;
};

struct platform_call *platform_call_new(struct call_sender *sender,
					const struct platform_call_spec *spec,
					int64_t now_us);
void platform_call_free(struct platform_call *call);

/** Calls the call's callback with a result, unless it was dropped. */
void platform_call_finish(struct platform_call *call,
			  const struct platform_result *result);

#endif
