/**
 * @file
 * Settings of one process of the system, from a JSON file with comments.
 */
#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/schema.h"

struct settings {
	char *node;	      /**< name of this process, unique */
	char *vm;	      /**< VM that it runs on */
	char *failure_domain; /**< that the VM is in */
	char *region;
	char *service;	   /**< that it serves, such as salkhi */
	char *http;	   /**< "IP:PORT" for callers and operators */
	char *link;	   /**< "IP:PORT" for the system's other processes */
	char *link_public; /**< where others reach the link, if not there */
	char *platform;	   /**< "IP:PORT" of the platform's service */
	char *operator_token;
	char *link_secret; /**< shared by the system's processes */
	GPtrArray *seeds;  /**< "IP:PORT" of links to join by */
	int64_t log_level; /**< enum log_level */
	int64_t drain_timeout_ms;
	int64_t platform_timeout_ms;
	int64_t impossible_grace_ms; /**< that jobs wait for lost workers */
	int64_t claim_retention_ms;  /**< that rows of claims are kept */
};

extern const struct schema settings_schema;

/**
 * Loads and checks a settings file, all findings together.
 *
 * @param s	a zeroed struct; settings_clear() it in any case
 * @return	TRUE when nothing was found
 */
gboolean settings_load(struct settings *s, const char *file_name,
		       struct finding_list *findings);
void settings_clear(struct settings *s);

#endif
