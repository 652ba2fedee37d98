/**
 * @file
 * Simulated platform that serves only the list of VMs, in virtual time. Its
 * support of ETags and of the filter by failure domain is configurable. VM i is
 * in the failure domain i % FAKE_DOMAINS; the domains are "d0" to "d9".
 */
#ifndef TESTS_FAKE_VMS_H
#define TESTS_FAKE_VMS_H

#include <glib.h>
#include <stdint.h>

#include "store/vm_reader.h"

#define FAKE_DOMAINS 10
/** Size of the headers of one answer, added to the bytes of its body. */
#define FAKE_HEADER_BYTES 500

/** How the platform answers reads of the list. */
struct fake_vms_behaviour {
	gboolean has_etag;
	gboolean has_filter;	    /**< applies the failure domain filter */
	gboolean refuses_filter;    /**< answers filtered reads with 400 */
	gboolean has_constant_etag; /**< the ETag never changes */
	/**
	 * Two replicas of different age answer in turn; the second one lists
	 * VM 0 as leaving.
	 */
	gboolean alternates_replicas;
};

struct fake_vms {
	struct platform base;
	const struct fake_vms_behaviour *behaviour; /**< not owned */
	guint vm_count;
	guint8 *is_leaving; /**< per VM: listed as leaving */
	/** Numbers of changes per domain; last: of the whole list. */
	guint64 versions[FAKE_DOMAINS + 1];
	GPtrArray *pending_calls;   /**< calls not answered yet */
	guint64 reads;		    /**< number of answered calls */
	guint64 bytes;		    /**< total size of the answers */
	guint changes;		    /**< counted by the test */
	const char *body_override;  /**< sent in place of a list, or NULL */
	gboolean is_second_replica; /**< it answers the current call */
};

void fake_vms_init(struct fake_vms *f, const struct fake_vms_behaviour *b,
		   guint vms);
void fake_vms_clear(struct fake_vms *f);

/** Toggles a VM between live and leaving. */
void fake_vms_toggle(struct fake_vms *f, guint vm);

/** Steps a reader and answers all pending calls. */
void fake_vms_step(struct fake_vms *f, struct vm_reader *r, int64_t now_ms);

#endif
