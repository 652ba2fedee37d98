/**
 * @file
 * A configuration in force with its version. Offers of older versions are
 * refused, so that versions only rise. Pure.
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
	int64_t version;	  /**< 0 before there is one */
	struct config_doc doc;	  /**< zeroed before there is one */
	struct config_body *body; /**< NULL before there is one */
	/** Tells whether a version replaces another one; fixed but in tests. */
	gboolean (*is_newer)(int64_t version, int64_t in_force);
};

void config_version_init(struct config_version *v);
void config_version_clear(struct config_version *v);

/**
 * Puts a version in force.
 *
 * @param body	not taken over
 * @return	STATUS_OK, STATUS_CONFLICT when the version in force is as new
 *		or newer, STATUS_INVALID when the body is unsound; the version
 *		in force is then kept
 */
enum status config_version_offer(struct config_version *v, int64_t version,
				 json_object *body,
				 struct finding_list *findings);

/**
 * Puts the version in force that follows the present one by a change.
 *
 * @return	as config_version_offer(); STATUS_CONFLICT also when the change
 *		is one of another base
 */
enum status config_version_offer_delta(struct config_version *v,
				       const struct config_delta *d,
				       struct finding_list *findings);

#endif
