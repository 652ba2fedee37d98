#include "shared/vm_list.h"

static enum vm_hint hint_of(json_object *list, const char *vm)
{
	size_t count = json_object_array_length(list);

	for (size_t i = 0; i < count; i++) {
		json_object *entry = json_object_array_get_idx(list, i);
		const char *name = json_object_get_string(
			json_object_object_get(entry, "vm"));
		const char *state = json_object_get_string(
			json_object_object_get(entry, "state"));

		if (g_strcmp0(name, vm) == 0)
			return g_strcmp0(state, "leaving") == 0
				       ? VM_HINT_LEAVING
				       : VM_HINT_LISTED;
	}
	return VM_HINT_ABSENT;
}

void vm_list_hint(json_object *list, struct member_table *t)
{
	json_object *vms = json_object_object_get(list, "vms");

	if (!json_object_is_type(vms, json_type_array))
		return;
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);

		m->hint = hint_of(vms, m->record.identity.vm);
	}
}
