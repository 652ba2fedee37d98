/**
 * @file
 * Hints for the members from the platform's lagging list of VMs.
 */
#ifndef SHARED_VM_LIST_H
#define SHARED_VM_LIST_H

#include "store/vm_list.h"
#include "shared/member_table.h"

/**
 * Marks each member's VM as listed, leaving or absent. While the list is not
 * whole, members of other failure domains keep their hint.
 */
void vm_list_hint(const struct vm_list *list, const char *failure_domain,
		  struct member_table *t);

#endif
