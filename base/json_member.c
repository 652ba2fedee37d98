#include "base/json_member.h"

json_object *json_member(json_object *object, const char *name)
{
	json_object *value = NULL;

	if (json_object_is_type(object, json_type_object))
		json_object_object_get_ex(object, name, &value);
	return value;
}

int64_t json_member_int(json_object *object, const char *name)
{
	return json_object_get_int64(json_member(object, name));
}

const char *json_member_text(json_object *object, const char *name)
{
	json_object *value = json_member(object, name);

	if (!json_object_is_type(value, json_type_string))
		return NULL;
	return json_object_get_string(value);
}
