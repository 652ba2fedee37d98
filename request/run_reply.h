/**
 * @file
 * Judges what came back from an endpoint for one request.
 */
#ifndef REQUEST_RUN_REPLY_H
#define REQUEST_RUN_REPLY_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

enum run_outcome {
	RUN_DONE,
	RUN_BUSY,    /**< certainly not started: no free slot */
	RUN_LEAVING, /**< certainly not started: gets nothing new */
	RUN_UNSENT,  /**< certainly not started: nothing was sent */
	RUN_FAILED,  /**< answered that it failed; may have run */
	RUN_CROSSED, /**< whole answer of another request; may have run */
	RUN_LOST,    /**< no whole answer; may have run */
};

struct run_reply {
	enum run_outcome outcome;
	json_object *result; /**< owned by the body */
	int64_t slots;	     /**< 0 when not reported */
	int64_t slots_busy;
};

/**
 * @param status	as struct http_reply has it
 * @param code		HTTP status code
 * @param body		may be NULL
 */
void run_reply_judge(enum status status, guint code, json_object *body,
		     const char *request_id, struct run_reply *out);

/** Tells whether the request certainly did not start. */
gboolean run_outcome_is_not_started(enum run_outcome outcome);

const char *run_outcome_name(enum run_outcome outcome);

#endif
