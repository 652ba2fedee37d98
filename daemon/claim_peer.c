#include "daemon/claim_peer.h"

#define ASK_TIMEOUT_MS INT64_C(500)

struct http_call *claim_peer_ask(struct http_client *http, const char *address,
				 const char *request_id, http_reply_fn fn,
				 void *data)
{
	char *path = g_strdup_printf("/v1/claims/%s", request_id);
	struct http_call_spec spec = {
		.method = "GET",
		.address = address,
		.path = path,
		.timeout_ms = ASK_TIMEOUT_MS,
		.on_reply = fn,
		.data = data,
	};
	struct http_call *call = http_client_send(http, &spec);

	g_free(path);
	return call;
}

enum claim_peer claim_peer_state(const struct http_reply *reply,
				 const char *incarnation)
{
	json_object *given = NULL;
	json_object *is_pending = NULL;

	if (reply->status == STATUS_UNAVAILABLE)
		return CLAIM_PEER_ENDED;
	if (reply->status != STATUS_OK || !reply->body)
		return CLAIM_PEER_SILENT;
	json_object_object_get_ex(reply->body, "incarnation", &given);
	json_object_object_get_ex(reply->body, "is_pending", &is_pending);
	if (!json_object_is_type(given, json_type_string))
		return CLAIM_PEER_ENDED;
	if (!g_str_equal(json_object_get_string(given), incarnation))
		return CLAIM_PEER_ENDED;
	return json_object_get_boolean(is_pending) ? CLAIM_PEER_PENDING
						   : CLAIM_PEER_ENDED;
}
