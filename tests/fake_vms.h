/**
 * @file
 * A platform that answers with a list of VMs only, in virtual time, in various
 * manners; VM i is in the failure domain i % FAKE_DOMAINS, "d0" to "d9".
 */
#ifndef TESTS_FAKE_VMS_H
#define TESTS_FAKE_VMS_H

#include <glib.h>
#include <stdint.h>

#include "store/vm_reader.h"

#define FAKE_DOMAINS 10
/** Of a call, counted beside the bodies. */
#define FAKE_HEADER_BYTES 500

/** How a platform keeps to what is asked of it. */
struct fake_manner {
	gboolean has_etag;
	gboolean has_filter;
	gboolean refuses_filter; /**< 400 to it */
	gboolean is_stuck;	 /**< one ETag for ever */
	gboolean flips; /**< replicas of differing age, in turn: VM 0 */
};

struct fake_vms {
	struct platform base;
	const struct fake_manner *manner;
	guint vms;
	guint8 *is_leaving;
	guint64 versions[FAKE_DOMAINS + 1]; /**< the last is of all */
	GPtrArray *calls;		    /**< of calls to be answered */
	guint64 reads;
	guint64 bytes;
	guint changes;
	const char *body; /**< answered in place of a list, or NULL */
	gboolean is_odd;
};

void fake_vms_init(struct fake_vms *f, const struct fake_manner *m, guint vms);
void fake_vms_clear(struct fake_vms *f);

/** Lets a VM leave, or live again. */
void fake_vms_change(struct fake_vms *f, guint vm);

/** Steps a reader and answers all its calls. */
void fake_vms_step(struct fake_vms *f, struct vm_reader *r, int64_t now_ms);

#endif
