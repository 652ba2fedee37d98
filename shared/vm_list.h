/**
 * @file
 * Applies the platform's VM list, which lags behind, to the members as hints.
 */
#ifndef SHARED_VM_LIST_H
#define SHARED_VM_LIST_H

#include "store/vm_list.h"
#include "shared/member_table.h"

/**
 * Sets each member's hint to listed, leaving or absent. While the list covers
 * only @failure_domain, members of other domains keep their hint.
 */
void vm_list_apply_hints(const struct vm_list *list, const char *failure_domain,
			 struct member_table *t);

#endif
