/**
 * @file
 * A configuration in force and its version. Versions that aren't newer are
 * refused, so that the version never decreases. Performs no I/O.
 */
#ifndef CONFIG_CONFIG_VERSION_H
#define CONFIG_CONFIG_VERSION_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/finding.h"
#include "base/status.h"
#include "config/config_body.h"
#include "config/config_delta.h"
#include "config/config_doc.h"

struct config_version {
	int64_t version;       /**< 0 before there is one */
	struct config_doc doc; /**< without jobs; zeroed before there is one */
	struct config_body *body; /**< NULL before there is one */
	/** Returns TRUE if a version replaces the other; tests change it. */
	gboolean (*is_newer)(int64_t version, int64_t in_force);
};

void config_version_init(struct config_version *v);
void config_version_clear(struct config_version *v);

/**
 * Puts a whole configuration in force.
 *
 * @param body	not taken over
 * @return	STATUS_OK, STATUS_CONFLICT when the version in force is the same
 *		or newer, STATUS_INVALID when the body is invalid; on failure
 *		the version in force stays
 */
enum status config_version_apply(struct config_version *v, int64_t version,
				 json_object *body,
				 struct finding_list *findings);

/**
 * Applies a delta to the configuration in force.
 *
 * @return	as config_version_apply(); STATUS_CONFLICT also when the delta
 *		has another base version or the digest doesn't match
 */
enum status config_version_apply_delta(struct config_version *v,
				       const struct config_delta *d,
				       struct finding_list *findings);

#endif
