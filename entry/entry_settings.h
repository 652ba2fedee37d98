/**
 * @file
 * Settings of the entry VM's program, read from JSON with comments.
 * deploy/entry-settings.json.template maps the platform's names to them.
 */
#ifndef ENTRY_ENTRY_SETTINGS_H
#define ENTRY_ENTRY_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/process_limits.h"

struct entry_store_settings {
	char *address;	     /**< "IP:PORT" of the platform's store */
	double writes_per_s; /**< limit for all processes together */
	double reads_per_s;  /**< limit for all processes together */
	int64_t row_bytes;   /**< largest value of a row */
};

struct entry_bound_settings {
	int64_t lease_ms; /**< longest lease that workers grant */
	double grace_s;	  /**< from SIGTERM to SIGKILL */
	double status_s;  /**< how long an ended job's state can be queried */
};

struct entry_settings {
	char *node;
	char *failure_domain;
	char *frontend;	 /**< "IP:PORT" for clients */
	char *readiness; /**< "IP:PORT" for the load balancer's probes */
	/** "IP:PORT" for other VMs; NULL: this VM is no delegate. */
	char *internal;
	/** "IP:PORT" for clients' requests that other VMs hand over; NULL:
	 * none.
	 */
	char *forward;
	/** With at least so many workers, other VMs make the holder's calls. */
	int64_t delegate_min_workers;
	double cpu_share;	      /**< CPU limit in cores */
	struct process_limits limits; /**< what it may use of its VM */
	struct entry_store_settings store;
	struct entry_bound_settings bounds;
};

/**
 * Loads a settings file and reports all problems together.
 *
 * @param s	zeroed; call entry_settings_clear() on failure too
 * @return	TRUE if there are no findings
 */
gboolean entry_settings_load(struct entry_settings *s, const char *file_name,
			     struct finding_list *findings);

void entry_settings_clear(struct entry_settings *s);

#endif
