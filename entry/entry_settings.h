/**
 * @file
 * Settings of the program of an entry VM, JSON with comments. Where the
 * platform fills them in, deploy/entry-settings.json.template maps its names.
 */
#ifndef ENTRY_ENTRY_SETTINGS_H
#define ENTRY_ENTRY_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"

struct entry_store_settings {
	char *address;	     /**< "IP:PORT" of the platform's store */
	double writes_per_s; /**< of all processes together */
	double reads_per_s;
};

struct entry_bound_settings {
	int64_t lease_ms; /**< longest lease that workers grant */
	double grace_s;	  /**< from SIGTERM to SIGKILL */
	double status_s;  /**< that an ended job's state can be asked for */
};

struct entry_settings {
	char *node;
	char *failure_domain;
	char *frontend;	 /**< "IP:PORT" for callers */
	char *readiness; /**< "IP:PORT" for the balancer */
	char *internal;	 /**< "IP:PORT" for other VMs; NULL: no delegate */
	/** From so many workers on other VMs make the holder's calls. */
	int64_t delegate_min_workers;
	double cpu_share;
	struct entry_store_settings store;
	struct entry_bound_settings bounds;
};

/**
 * Loads a file; all problems are reported together.
 *
 * @param s	zeroed; entry_settings_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean entry_settings_load(struct entry_settings *s, const char *file_name,
			     struct finding_list *findings);

void entry_settings_clear(struct entry_settings *s);

#endif
