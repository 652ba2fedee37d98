/**
 * @file
 * One part of the platform's list of VMs as it was last read, and when it is
 * to be read again. Pure: no calls, no clock.
 */
#ifndef STORE_VM_SCOPE_H
#define STORE_VM_SCOPE_H

#include <glib.h>
#include <stdint.h>

#include "base/byte_pace.h"
#include "store/platform.h"
#include "store/vm_list.h"

enum vm_scope_kind {
	VM_SCOPE_OWN,	/**< the own failure domain */
	VM_SCOPE_WHOLE, /**< all that the platform lists */
	VM_SCOPE_OTHER, /**< another failure domain */
};

enum vm_scope_change {
	VM_SCOPE_SAME,
	VM_SCOPE_CHANGED,
	VM_SCOPE_REFUSED,	 /**< there is no list in the body */
	VM_SCOPE_CHANGED_UNTOLD, /**< the ETag had stayed */
};

struct vm_scope {
	enum vm_scope_kind kind;
	char *failure_domain; /**< that the platform is asked for, or NULL */
	struct vm_list list;
	int64_t list_ms;	/**< when it was read, -1 for never */
	char *etag;		/**< of the list, NULL without one */
	char *digest;		/**< of the body */
	gboolean is_distrusted; /**< its ETag stayed while the list changed */
	int64_t next_ms;
	int64_t paced_ms; /**< not to be read before, by its bodies alone */
	int64_t whole_ms; /**< when it is to be read without condition */
	struct byte_pace bytes; /**< of bodies, at the pace of the kind */
	int64_t body_bytes;	/**< of the last body */
};

struct vm_scope *vm_scope_new(enum vm_scope_kind kind,
			      const char *failure_domain);
void vm_scope_free(struct vm_scope *s);

/** Returns the ETag to ask with, NULL for a read without condition. */
const char *vm_scope_etag(const struct vm_scope *s, int64_t now_ms);

/**
 * Takes a body over.
 *
 * @param known		entries that are held already, to be shared
 * @param findings	of entries that were left out
 */
enum vm_scope_change vm_scope_take(struct vm_scope *s,
				   const struct platform_result *result,
				   const struct vm_list *known, int64_t now_ms,
				   struct finding_list *findings);

/**
 * Sets when to read again, whatever the outcome was; after vm_scope_take().
 *
 * @param jitter	0 to 1; spreads the reads of many processes
 */
void vm_scope_plan(struct vm_scope *s, int64_t now_ms, double jitter);

#endif
