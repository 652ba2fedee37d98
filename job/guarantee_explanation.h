/**
 * @file
 * What an operator is told of one client account's guaranteed shapes in a
 * pool: held or not, since when, why, on which cells now, and what would stop.
 */
#ifndef JOB_GUARANTEE_EXPLANATION_H
#define JOB_GUARANTEE_EXPLANATION_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "job/guarantee_watch.h"
#include "job/pool.h"

struct guarantee_explanation {
	char *name;
	char *state;	  /**< held, not held, in use, in use in part */
	int64_t since_ms; /**< wall clock, of being held or not */
	char *reason;
	GPtrArray *workers;    /**< of char *, one a slot, "" for none */
	GPtrArray *used_by;    /**< of char *, the account's own jobs */
	GPtrArray *would_stop; /**< of char *, borrowed jobs, if claimed now */
};

struct account_explanation {
	char *client_account;
	char *pool;
	int64_t epoch;	    /**< of the holder that explains */
	GPtrArray *lines;   /**< of char *, for people */
	GArray *guarantees; /**< of struct guarantee_explanation */
};

/**
 * Explains the guarantees of an account.
 *
 * @param wall_offset_ms	wall clock less monotonic clock
 * @return	NULL when it has none in this pool; free with put
 */
json_object *guarantee_explanation_json(struct pool *pool,
					const struct guarantee_watch *watch,
					const char *client_account,
					int64_t epoch, int64_t now_ms,
					int64_t wall_offset_ms);

#endif
