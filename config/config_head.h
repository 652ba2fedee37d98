/**
 * @file
 * The row "head" of the table "config": the accepted version, the operator, and
 * the object that stores its body. It also lists the most recent changes, so
 * that a writer whose answer was lost can find out whether its own change was
 * accepted.
 */
#ifndef CONFIG_CONFIG_HEAD_H
#define CONFIG_CONFIG_HEAD_H

#include <glib.h>
#include <stdint.h>

#include "base/schema.h"

#define CONFIG_TABLE "config"
#define CONFIG_HEAD_KEY "head"
/** Number of recent changes that the head lists. */
#define CONFIG_HEAD_MAX_RECENT 16

/** One accepted change. */
struct config_change {
	int64_t version;
	char *operator_name;
	char *commit_id;   /**< unique for each acceptance */
	json_object *rest; /**< unknown members, kept on rewrite, or NULL */
};

/** The accepted version. */
struct config_head {
	int64_t version;
	char *object; /**< name of the body in the object store */
	char *operator_name;
	char *commit_id;
	GArray *recent;	   /**< of struct config_change, oldest first */
	json_object *rest; /**< unknown members, kept on rewrite, or NULL */
};

extern const struct schema config_head_schema;

void config_head_clear(struct config_head *h);

/** Returns the change that made a version, or NULL when it isn't listed. */
const struct config_change *config_head_find(const struct config_head *h,
					     int64_t version);

/**
 * Makes the head of the next version.
 *
 * @param previous	current head, zeroed when there is no row yet
 * @param out		a zeroed struct; config_head_clear() it
 */
void config_head_make_next(const struct config_head *previous,
			   const char *operator_name, const char *commit_id,
			   struct config_head *out);

#endif
