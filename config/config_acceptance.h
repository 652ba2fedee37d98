/**
 * @file
 * State machine that gets one configuration accepted: read the head, write the
 * body, compare-and-set the head, and read the head back after a conflict or a
 * lost answer. Pure: the caller makes the store calls and passes in their
 * results.
 */
#ifndef CONFIG_CONFIG_ACCEPTANCE_H
#define CONFIG_CONFIG_ACCEPTANCE_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "config/config_head.h"

/** Store call that the caller makes next. */
enum acceptance_call {
	ACCEPTANCE_READ_HEAD,
	ACCEPTANCE_PUT_BODY,
	ACCEPTANCE_COMMIT_HEAD,
	ACCEPTANCE_READ_BACK, /**< read the head again after a delay */
	ACCEPTANCE_FINISHED,
};

enum acceptance_outcome {
	ACCEPTANCE_PENDING,
	ACCEPTANCE_ACCEPTED,
	ACCEPTANCE_VALID,	/**< a dry run that would be accepted */
	ACCEPTANCE_CONFLICT,	/**< another change was accepted first */
	ACCEPTANCE_UNAVAILABLE, /**< certainly not accepted */
	/** A commit with a lost answer may take effect, now or later. */
	ACCEPTANCE_UNKNOWN,
};

struct config_acceptance {
	int64_t base_version;
	char *operator_name;
	char *commit_id;
	gboolean is_dry_run;
	enum acceptance_call call;
	enum acceptance_outcome outcome;
	struct config_head next;      /**< head to be written */
	int64_t expected_row_version; /**< of the row, for the commit */
	int64_t current_version;      /**< of the head, last read or written */
	char *winning_operator;	      /**< of the conflicting change, or NULL */
	gboolean is_unresolved;	      /**< the answer to a commit was lost */
	guint read_back_count;
};

/** Starts an acceptance; the first call is to read the head. */
void config_acceptance_init(struct config_acceptance *a, int64_t base_version,
			    const char *operator_name, const char *commit_id,
			    gboolean is_dry_run);
void config_acceptance_clear(struct config_acceptance *a);

/**
 * Handles the result of the first read of the head or of a read back.
 *
 * @param row_version	version of the head's row, TABLE_ABSENT without one
 * @param head		the decoded head, zeroed when there is no row
 */
void config_acceptance_on_read(struct config_acceptance *a, enum status status,
			       int64_t row_version,
			       const struct config_head *head);
/** Handles the result of writing the body. */
void config_acceptance_on_put(struct config_acceptance *a, enum status status);
/** Handles the result of the compare-and-set of the head. */
void config_acceptance_on_commit(struct config_acceptance *a,
				 enum status status);

#endif
