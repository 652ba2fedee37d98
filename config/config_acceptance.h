/**
 * @file
 * The steps of accepting one configuration: read the head, write the body,
 * compare-and-set the head, and read back after a lost answer. Pure: the
 * caller makes the store's calls and hands in their results.
 */
#ifndef CONFIG_CONFIG_ACCEPTANCE_H
#define CONFIG_CONFIG_ACCEPTANCE_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_head.h"

/** The store's call to make next. */
enum acceptance_call {
	ACCEPTANCE_READ_HEAD,
	ACCEPTANCE_PUT_BODY,
	ACCEPTANCE_COMMIT_HEAD,
	ACCEPTANCE_READ_BACK, /**< after a delay */
	ACCEPTANCE_FINISHED,
};

enum acceptance_outcome {
	ACCEPTANCE_PENDING,
	ACCEPTANCE_ACCEPTED,
	ACCEPTANCE_VALID,	/**< a dry run that would be accepted */
	ACCEPTANCE_CONFLICT,	/**< another change was accepted first */
	ACCEPTANCE_UNAVAILABLE, /**< certainly not accepted */
	ACCEPTANCE_UNKNOWN,	/**< may be accepted, now or later */
};

struct config_acceptance {
	int64_t base_version;
	char *operator_name;
	char *commit_id;
	gboolean is_dry_run;
	enum acceptance_call call;
	enum acceptance_outcome outcome;
	struct config_head next;      /**< to be written */
	int64_t expected_row_version; /**< of the head's row */
	int64_t current_version;      /**< of the configuration, last read */
	char *winner;		      /**< operator whose change came first */
	gboolean is_unresolved;	      /**< a commit's answer was lost */
	guint read_backs;
};

/** Starts an acceptance; the first call is to read the head. */
void config_acceptance_init(struct config_acceptance *a, int64_t base_version,
			    const char *operator_name, const char *commit_id,
			    gboolean is_dry_run);
void config_acceptance_clear(struct config_acceptance *a);

/**
 * Takes the result of reading the head.
 *
 * @param row_version	of the row, TABLE_ABSENT when there is none
 * @param head		zeroed when there is none
 */
void config_acceptance_on_read(struct config_acceptance *a, enum status status,
			       int64_t row_version,
			       const struct config_head *head);
void config_acceptance_on_put(struct config_acceptance *a, enum status status);
void config_acceptance_on_commit(struct config_acceptance *a,
				 enum status status);

#endif
