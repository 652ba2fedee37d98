/**
 * @file
 * The row "head" of the table "config": which version is accepted, by whom,
 * and where its body is. It also lists the changes just before, so that a
 * writer that lost an answer can tell its change from another's.
 */
#ifndef CONFIG_CONFIG_HEAD_H
#define CONFIG_CONFIG_HEAD_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

#define CONFIG_TABLE "config"
#define CONFIG_HEAD_KEY "head"
#define CONFIG_HEAD_RECENT 16

/** One accepted change. */
struct config_change {
	int64_t version;
	char *operator_name;
	char *commit_id;
	json_object *rest; /**< members of a later version, or NULL */
};

struct config_head {
	int64_t version;
	char *object; /**< name of the body in the object store */
	char *operator_name;
	char *commit_id;
	GArray *recent;	   /**< of struct config_change, oldest first */
	json_object *rest; /**< members of a later version, or NULL */
};

extern const struct schema config_head_schema;

void config_head_clear(struct config_head *h);

/** Returns the accepted change of a version, or NULL when it isn't listed. */
const struct config_change *config_head_find(const struct config_head *h,
					     int64_t version);

/**
 * Fills in the head that follows another one.
 *
 * @param previous	zeroed when there is no row yet
 * @param out		zeroed; config_head_clear() it
 */
void config_head_next(const struct config_head *previous,
		      const char *operator_name, const char *commit_id,
		      struct config_head *out);

#endif
