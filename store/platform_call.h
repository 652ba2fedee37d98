/**
 * @file
 * One call to the platform over HTTP: what to send, how to take its answer
 * apart and whom to tell.
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

/** Takes a whole answer apart; FALSE when it is not as agreed. */
typedef gboolean (*platform_answer_fn)(struct platform_call *call,
				       const struct http_reply *reply);

struct platform_call_spec {
	const char *method;
	char *path;	   /**< taken over */
	json_object *body; /**< taken over */
	const char *etag;  /**< that is held, or NULL */
	platform_answer_fn take_answer;
	platform_fn fn;
	void *data;
	enum store_call kind;
	enum store_priority priority;
	guint write_count; /**< rows that the answer must have, 0 for any */
	/** Takes any whole reply; NULL for platform_answer_take(). */
	platform_answer_fn take_reply;
	gboolean may_reuse; /**< of struct http_call_spec */
	int64_t wait_ms;    /**< that the answer may be held back, 0 for none */
};

struct platform_call {
	struct call_sender *sender;
	const char *method;
	char *path;
	json_object *body;
	char *etag; /**< that is held, or NULL */
	enum store_call kind;
	enum store_priority priority;
	guint write_count;
	uint32_t generation; /**< of the gate when it was sent */
	int64_t made_us;
	int64_t sent_us;
	int64_t body_bytes; /**< of the answer */
	guint refusal;	    /**< source that refuses it */
	platform_answer_fn take_answer;
	platform_answer_fn take_reply;
	gboolean may_reuse;
	int64_t wait_ms;
	platform_fn fn;
	void *data;
};

struct platform_call *platform_call_new(struct call_sender *sender,
					const struct platform_call_spec *spec,
					int64_t now_us);
void platform_call_free(struct platform_call *call);

/** Tells the outcome to whom made the call, unless it was dropped. */
void platform_call_finish(struct platform_call *call,
			  const struct platform_result *result);

#endif
