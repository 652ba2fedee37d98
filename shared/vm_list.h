/**
 * @file
 * Hints for the members from the platform's lagging list of VMs.
 */
#ifndef SHARED_VM_LIST_H
#define SHARED_VM_LIST_H

#include <json-c/json.h>

#include "shared/member_table.h"

/**
 * Marks each member's VM as listed, leaving or absent.
 *
 * @param list	as docs/PROTOCOLS.md has it; ignored when it is unsound
 */
void vm_list_hint(json_object *list, struct member_table *t);

#endif
