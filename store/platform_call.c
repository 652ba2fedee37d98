#include "store/platform_call.h"

#include "store/platform_answer.h"

struct platform_call *platform_call_new(struct call_sender *sender,
					const struct platform_call_spec *spec,
					int64_t now_us)
{
	struct platform_call *call = g_new0(struct platform_call, 1);

	call->sender = sender;
	call->method = spec->method;
	call->path = spec->path;
	call->body = spec->body;
	call->etag = g_strdup(spec->etag);
	call->kind = spec->kind;
	call->priority = spec->priority;
	call->write_count = spec->write_count;
	call->created_us = now_us;
	call->decode_answer = spec->decode_answer;
	call->handle_reply = spec->handle_reply ? spec->handle_reply
						: platform_answer_handle;
	call->may_reuse = spec->may_reuse;
	call->long_poll_ms = spec->long_poll_ms;
	call->fn = spec->fn;
	call->data = spec->data;
	return call;
}

void platform_call_free(struct platform_call *call)
{
	if (call->refusal_source)
		g_source_remove(call->refusal_source);
	json_object_put(call->body);
	g_free(call->etag);
	g_free(call->path);
	g_free(call);
}

void platform_call_finish(struct platform_call *call,
			  const struct platform_result *result)
{
	struct platform_result r = *result;

	r.body_bytes = call->body_bytes;
	if (call->fn)
		call->fn(&r, call->data);
}
