/**
 * @file
 * The platform's list of VMs; docs/PROTOCOLS.md specifies its format. The
 * input is not trusted: unknown members are ignored, and an invalid entry is
 * skipped with a finding without affecting the others. Of several entries with
 * the same name, the first valid one is used.
 */
#ifndef STORE_VM_LIST_H
#define STORE_VM_LIST_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

enum vm_role {
	VM_ENDPOINT,
	VM_WORKER,
	VM_ENTRY,
};

enum vm_state {
	VM_LIVE,
	VM_LEAVING,
};

/** One VM, in a single allocation; strings common to many VMs are interned. */
struct vm_entry {
	const char *service; /**< interned, as the next two */
	const char *failure_domain;
	const char *rack; /**< NULL if unknown */
	uint32_t ref_count;
	int32_t accelerators;
	int32_t cores;
	int32_t memory_mb;
	uint8_t role;	     /**< enum vm_role */
	uint8_t state;	     /**< enum vm_state */
	const char *address; /**< "IP:PORT", stored after the name */
	char vm[];	     /**< name */
};

struct vm_list {
	GPtrArray *vms; /**< of struct vm_entry; owns a reference to each */
	/** Name to struct vm_entry; empty after vm_list_drop_index(). */
	GHashTable *by_name;
	/** Set of the names of skipped entries; "" stands for no name. */
	GHashTable *bad_names;
	guint bad_count; /**< number of skipped entries */
	/** FALSE until the list of all failure domains has been read. */
	gboolean is_whole;
};

/** Schema of one entry in the platform's answer. */
extern const struct schema vm_entry_schema;

void vm_list_init(struct vm_list *l);
void vm_list_clear(struct vm_list *l);

/**
 * Decodes a parsed body.
 *
 * @param l		an empty list
 * @param findings	receives the errors of the skipped entries
 * @return		FALSE if the body has no list or too many entries
 */
gboolean vm_list_decode(struct vm_list *l, json_object *body,
			struct finding_list *findings);

/**
 * Decodes a JSON text one entry at a time, to save memory; see
 * vm_list_decode().
 */
gboolean vm_list_decode_bytes(struct vm_list *l, GBytes *body,
			      struct finding_list *findings);

/** Adds a reference to an entry; returns FALSE if its name is in the list. */
gboolean vm_list_add(struct vm_list *l, struct vm_entry *vm);

/** Replaces entries by equal ones of another list, to save memory. */
void vm_list_share(struct vm_list *l, const struct vm_list *known);

/** Frees the index by name, for a list that is only iterated over. */
void vm_list_drop_index(struct vm_list *l);

/** Returns the entry with a name, or NULL. */
const struct vm_entry *vm_list_find(const struct vm_list *l, const char *vm);

/** Returns TRUE if a name is listed, even by an entry that was skipped. */
gboolean vm_list_has_name(const struct vm_list *l, const char *vm);

#endif
