#include "entry/delegate_row.h"

#include "base/json_member.h"

#define MAX_CPU_SHARE 1024

static void add_text(json_object *json, const char *name, const char *text)
{
	if (text)
		json_object_object_add(json, name,
				       json_object_new_string(text));
}

json_object *delegate_row_encode(const struct delegate_row *row)
{
	json_object *json = json_object_new_object();

	add_text(json, "address", row->address);
	add_text(json, "failure_domain", row->failure_domain);
	json_object_object_add(json, "cpu_share",
			       json_object_new_double(row->cpu_share));
	add_text(json, "token", row->token);
	add_text(json, "forward", row->forward);
	return json;
}

gboolean delegate_row_decode(json_object *json, struct delegate_row *out)
{
	out->failure_domain = json_member_text(json, "failure_domain");
	out->cpu_share = json_object_get_double(json_member(json, "cpu_share"));
	out->address = json_member_text(json, "address");
	out->token = json_member_text(json, "token");
	out->forward = json_member_text(json, "forward");
	return out->failure_domain && out->cpu_share > 0 &&
	       out->cpu_share <= MAX_CPU_SHARE;
}
