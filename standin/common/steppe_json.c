#include "standin/common/steppe_json.h"

#include "base/json_member.h"

const char *steppe_text(json_object *object, const char *name)
{
	const char *text = json_member_text(object, name);

	return text ? text : "";
}

void steppe_add_int(json_object *object, const char *name, int64_t value)
{
	json_object_object_add(object, name, json_object_new_int64(value));
}

void steppe_add_text(json_object *object, const char *name, const char *value)
{
	json_object_object_add(object, name, json_object_new_string(value));
}
