#include "request/run_reply.h"

#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
#define MAX_SLOTS 4096

static const char *const outcome_names[] = {
	[RUN_DONE] = "done",	   [RUN_BUSY] = "busy",
	[RUN_LEAVING] = "leaving", [RUN_UNSENT] = "unsent",
	[RUN_FAILED] = "failed",   [RUN_CROSSED] = "crossed",
	[RUN_LOST] = "lost",
};

static const char *get_string(json_object *body, const char *name)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(body, name, &value) ||
	    !json_object_is_type(value, json_type_string))
		return "";
	return json_object_get_string(value);
}

static int64_t get_count(json_object *body, const char *name)
{
	json_object *value = NULL;

	if (!json_object_object_get_ex(body, name, &value) ||
	    !json_object_is_type(value, json_type_int))
		return 0;
	return CLAMP(json_object_get_int64(value), 0, MAX_SLOTS);
}

static enum run_outcome classify_refusal(json_object *body)
{
	const char *reason = get_string(body, "reason");

	if (g_str_equal(reason, "busy"))
		return RUN_BUSY;
	if (g_str_equal(reason, "leaving"))
		return RUN_LEAVING;
	return RUN_FAILED;
}

static enum run_outcome classify(enum status status, guint code,
				 json_object *body, const char *request_id)
{
	if (status == STATUS_UNAVAILABLE)
		return RUN_UNSENT;
	if (status != STATUS_OK)
		return RUN_LOST;
	if (!json_object_is_type(body, json_type_object))
		return RUN_FAILED;
	if (!g_str_equal(get_string(body, "request_id"), request_id))
		return RUN_CROSSED;
	if (code == HTTP_UNAVAILABLE)
		return classify_refusal(body);
	if (code != HTTP_OK || !json_object_object_get_ex(body, "result", NULL))
		return RUN_FAILED;
	return RUN_DONE;
}

void run_reply_classify(enum status status, guint code, json_object *body,
			const char *request_id, struct run_reply *out)
{
	*out = (struct run_reply){ 0 };
	out->outcome = classify(status, code, body, request_id);
	if (out->outcome > RUN_LEAVING)
		return;
	json_object_object_get_ex(body, "result", &out->result);
	out->slots = get_count(body, "slots");
	out->slots_busy = get_count(body, "slots_busy");
}

gboolean run_outcome_is_not_started(enum run_outcome outcome)
{
	return outcome == RUN_BUSY || outcome == RUN_LEAVING ||
	       outcome == RUN_UNSENT;
}

const char *run_outcome_name(enum run_outcome outcome)
{
	return outcome_names[outcome];
}
