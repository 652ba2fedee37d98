#include "daemon/worker_http.h"

#include <libsoup/soup.h>

#include "daemon/bad_body.h"
#include "daemon/http_service.h"
#include "job/worker_contact.h"

#define COMMANDS_PATH "/commands"

struct http_call *worker_http_send(struct kernel *k, const char *address,
				   const struct worker_call *call,
				   http_reply_fn on_reply, void *data)
{
	json_object *body = schema_encode(&worker_call_schema, call);
	const struct http_call_spec spec = {
		.method = "POST",
		.address = address,
		.path = COMMANDS_PATH,
		.body = body,
		.timeout_ms = WORKER_CALL_TIMEOUT_MS,
		/* A plain renewal may reach the worker twice without harm. */
		.may_reuse = !call->commands->len,
		.on_reply = on_reply,
		.data = data,
	};
	struct http_call *http = http_client_send(http_client_of(k), &spec);

	json_object_put(body);
	return http;
}

enum worker_answer worker_http_decode(const struct http_reply *reply,
				      const char *pool, const char *worker,
				      struct worker_report *report)
{
	struct finding_list findings;
	gboolean is_good;

	if (reply->status == STATUS_OK && reply->code == SOUP_STATUS_CONFLICT)
		return WORKER_STALE_EPOCH;
	if (reply->status != STATUS_OK || reply->code != SOUP_STATUS_OK)
		return WORKER_FAILED;
	finding_list_init(&findings);
	is_good = worker_report_decode(report, reply->body, &findings);
	if (!is_good)
		bad_body_log(pool, worker, &findings);
	finding_list_clear(&findings);
	return is_good ? WORKER_ANSWERED : WORKER_FAILED;
}
