/**
 * @file
 * Decodes the platform's answers and passes the result to each call's callback.
 */
#ifndef STORE_PLATFORM_ANSWER_H
#define STORE_PLATFORM_ANSWER_H

#include <glib.h>

#include "base/http_client.h"
#include "base/status.h"
#include "store/platform_call.h"

/* Decoders of successful answers, each a platform_answer_fn. */

gboolean platform_answer_row(struct platform_call *call,
			     const struct http_reply *reply);
gboolean platform_answer_rows(struct platform_call *call,
			      const struct http_reply *reply);
gboolean platform_answer_object(struct platform_call *call,
				const struct http_reply *reply);
gboolean platform_answer_vm_list(struct platform_call *call,
				 const struct http_reply *reply);
gboolean platform_answer_empty(struct platform_call *call,
			       const struct http_reply *reply);

/**
 * Finishes a call with the result in a reply. Returns FALSE, without finishing
 * it, if there is no answer, a server error (5xx) or a malformed body.
 */
gboolean platform_answer_handle(struct platform_call *call,
				const struct http_reply *reply);

/**
 * Returns the status of a call without a usable answer: STATUS_UNKNOWN if it
 * is a write that may have taken effect, otherwise STATUS_UNAVAILABLE.
 */
enum status platform_answer_failure_status(const struct platform_call *call,
					   const struct http_reply *reply);

#endif
