/**
 * @file
 * Classifies the reply of an endpoint to one request.
 */
#ifndef REQUEST_RUN_REPLY_H
#define REQUEST_RUN_REPLY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

enum run_outcome {
	RUN_DONE,
	RUN_BUSY,    /**< not started: no free slot */
	RUN_LEAVING, /**< not started: the endpoint is draining */
	RUN_UNSENT,  /**< not started: nothing was sent */
	RUN_FAILED,  /**< error or invalid answer; may have run */
	RUN_CROSSED, /**< answer of another request; may have run */
	RUN_LOST,    /**< no complete answer; may have run */
};

struct run_reply {
	enum run_outcome outcome;
	json_object *result; /**< borrowed from the body; NULL if none */
	int64_t slots;	     /**< of the endpoint, 0 if not reported */
	int64_t slots_busy;  /**< in use by anyone */
};

/**
 * Classifies a reply.
 *
 * @param status	of struct http_reply
 * @param code		HTTP status code
 * @param body		decoded body, or NULL
 * @param request_id	that the body must carry
 */
void run_reply_classify(enum status status, guint code, json_object *body,
			const char *request_id, struct run_reply *out);

/** Returns TRUE if the request certainly did not start. */
gboolean run_outcome_is_not_started(enum run_outcome outcome);

const char *run_outcome_name(enum run_outcome outcome);

#endif
