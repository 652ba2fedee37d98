/**
 * @file
 * Settings of one process of the system, from a JSON file with comments.
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/process_limits.h"
#include "base/schema.h"

struct settings {
	char *node;	      /**< name of this process, unique */
	char *vm;	      /**< VM that the process runs on */
	char *failure_domain; /**< of the VM */
	char *region;
	char *service;	      /**< served by the process, such as salkhi */
	char *http;	      /**< "IP:PORT" for callers and operators */
	char *link;	      /**< "IP:PORT" for the system's other processes */
	char *link_public;    /**< link as others reach it, if different */
	char *platform;	      /**< "IP:PORT" of the platform */
	char *operator_token; /**< bearer token of operators, or NULL */
	char *link_secret;    /**< shared by the system's processes, or NULL */
	GPtrArray *seeds;     /**< "IP:PORT" of links to connect to first */
	int64_t log_level;    /**< enum log_level */
	int64_t drain_timeout_ms;
	int64_t platform_timeout_ms;
	/** How long a job that fits only with lost workers waits for them. */
	int64_t impossible_grace_ms;
	struct process_limits limits; /**< what it may use of its VM */
};

extern const struct schema settings_schema;

/**
 * Loads and checks a settings file; all findings are reported together.
 *
 * @param s	a zeroed struct; settings_clear() it in any case
 * @return	TRUE when there are no findings
 */
gboolean settings_load(struct settings *s, const char *file_name,
		       struct finding_list *findings);
void settings_clear(struct settings *s);

#endif
