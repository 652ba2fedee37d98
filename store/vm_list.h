/**
 * @file
 * The platform's list of VMs, as docs/PROTOCOLS.md has it. It comes from
 * outside: members that are not known are passed over, and an entry that can't
 * be taken is left out alone, with a finding. Of entries with one name the
 * first that can be taken counts.
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

/** One allocation; texts that many entries have are held once. */
struct vm_entry {
	const char *service;
	const char *failure_domain;
	const char *rack; /**< NULL when none was given */
	uint32_t references;
	int32_t accelerators;
	int32_t cores;
	int32_t memory_mb;
	uint8_t role;	     /**< enum vm_role */
	uint8_t state;	     /**< enum vm_state */
	const char *address; /**< "IP:PORT", after the name */
	char vm[];
};

struct vm_list {
	GPtrArray *vms;	       /**< of struct vm_entry, references */
	GHashTable *by_name;   /**< name to struct vm_entry, until packed */
	GHashTable *bad_names; /**< of entries that were left out, if any */
	guint bad_count;
	/** FALSE while only one failure domain's VMs are known. */
	gboolean is_whole;
};

/** Of one entry as the platform gives it. */
extern const struct schema vm_entry_schema;

void vm_list_init(struct vm_list *l);
void vm_list_clear(struct vm_list *l);

/**
 * Decodes a body of the platform.
 *
 * @param l		an empty list
 * @param findings	of the entries that were left out, with their places
 * @return		FALSE when there is no list in the body at all
 */
gboolean vm_list_decode(struct vm_list *l, json_object *body,
			struct finding_list *findings);

/** Decodes a body as it came, one entry at a time; see vm_list_decode(). */
gboolean vm_list_decode_bytes(struct vm_list *l, GBytes *body,
			      struct finding_list *findings);

/** Adds a reference to an entry; FALSE when its name is there already. */
gboolean vm_list_add(struct vm_list *l, struct vm_entry *vm);

/** Takes entries that another list has too from there, to hold them once. */
void vm_list_share(struct vm_list *l, const struct vm_list *known);

/** Gives back what finds entries by name, of a list that is only walked. */
void vm_list_pack(struct vm_list *l);

/** Returns an entry, or NULL. */
const struct vm_entry *vm_list_find(const struct vm_list *l, const char *vm);

/** Tells whether a name is listed, be it by an entry that was left out. */
gboolean vm_list_names(const struct vm_list *l, const char *vm);

#endif
