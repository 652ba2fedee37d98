#include "shared/vm_list.h"

static enum vm_hint hint_of(const struct vm_list *list, const char *name)
{
	const struct vm_entry *vm = vm_list_find(list, name);

	if (vm && vm->state == VM_LEAVING)
		return VM_HINT_LEAVING;
	return vm_list_has_name(list, name) ? VM_HINT_LISTED : VM_HINT_ABSENT;
}

void vm_list_apply_hints(const struct vm_list *list, const char *failure_domain,
			 struct member_table *t)
{
	for (guint i = 0; i < t->members->len; i++) {
		struct member *m = g_ptr_array_index(t->members, i);
		const struct link_identity *id = &m->record.identity;

		if (list->is_whole ||
		    g_str_equal(id->failure_domain, failure_domain))
			m->hint = hint_of(list, id->vm);
	}
}
