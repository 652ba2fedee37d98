/**
 * @file
 * Takes the platform's answers apart and tells each call its outcome.
 */
#ifndef STORE_PLATFORM_ANSWER_H
#define STORE_PLATFORM_ANSWER_H

#include <glib.h>

#include "base/http_client.h"
#include "base/status.h"
#include "store/platform_call.h"

/* The answers of successful calls; each is a platform_answer_fn. */

gboolean platform_answer_row(struct platform_call *call,
			     const struct http_reply *reply);
gboolean platform_answer_rows(struct platform_call *call,
			      const struct http_reply *reply);
gboolean platform_answer_object(struct platform_call *call,
				const struct http_reply *reply);
gboolean platform_answer_vm_list(struct platform_call *call,
				 const struct http_reply *reply);
gboolean platform_answer_nothing(struct platform_call *call,
				 const struct http_reply *reply);

/**
 * Tells a call its outcome by the answer; FALSE, without telling, when the
 * answer is missing, a failure of the platform or not as agreed.
 */
gboolean platform_answer_take(struct platform_call *call,
			      const struct http_reply *reply);

/** Tells what is certain of a call that got no usable answer. */
enum status platform_answer_failure(const struct platform_call *call,
				    const struct http_reply *reply);

#endif
