/**
 * @file
 * One scope of the platform's list of VMs, a failure domain or all of them: its
 * last copy and the time of its next read. Pure: no calls, no clock.
 */
#ifndef STORE_VM_SCOPE_H
#define STORE_VM_SCOPE_H

#include <glib.h>
#include <stdint.h>

#include "base/byte_pace.h"
#include "store/platform.h"
#include "store/vm_list.h"

enum vm_scope_kind {
	VM_SCOPE_OWN,	/**< this process's failure domain */
	VM_SCOPE_WHOLE, /**< all VMs */
	VM_SCOPE_OTHER, /**< another failure domain */
};

enum vm_scope_change {
	VM_SCOPE_UNCHANGED, /**< same body as before */
	VM_SCOPE_CHANGED,
	VM_SCOPE_INVALID,	    /**< the body has no valid list */
	VM_SCOPE_CHANGED_SAME_ETAG, /**< the list changed, its ETag didn't */
};

struct vm_scope {
	enum vm_scope_kind kind;
	char *failure_domain; /**< filter of the reads; NULL reads all */
	struct vm_list list;
	int64_t list_ms; /**< when the list last changed, -1 for never */
	char *etag;	 /**< of the list, or NULL */
	char *digest;	 /**< SHA-256 of the last body */
	/** The list once changed while its ETag didn't. */
	gboolean is_etag_unreliable;
	int64_t next_ms;	  /**< time of the next read */
	int64_t earliest_ms;	  /**< earliest next read by the byte rate */
	int64_t unconditional_ms; /**< time from which a read carries no ETag */
	struct byte_pace body_pace; /**< byte rate of the bodies */
	int64_t body_bytes;	    /**< size of the last body */
};

struct vm_scope *vm_scope_new(enum vm_scope_kind kind,
			      const char *failure_domain);
void vm_scope_free(struct vm_scope *s);

/** Returns the ETag for the next read; NULL reads unconditionally. */
const char *vm_scope_etag(const struct vm_scope *s, int64_t now_ms);

/**
 * Updates the copy from a result with a body.
 *
 * @param known		list whose equal entries are shared
 * @param findings	receives the errors of the skipped entries
 */
enum vm_scope_change vm_scope_update(struct vm_scope *s,
				     const struct platform_result *result,
				     const struct vm_list *known,
				     int64_t now_ms,
				     struct finding_list *findings);

/**
 * Sets the time of the next read, after any outcome of the last one. If it had
 * a body, call vm_scope_update() first, which counts the bytes.
 *
 * @param jitter	from 0 to 1; spreads the reads of many processes
 */
void vm_scope_schedule_next(struct vm_scope *s, int64_t now_ms, double jitter);

#endif
