/**
 * @file
 * Reports one client account's guaranteed shapes in a pool to operators: the
 * state of each, since when and why, its workers, and the jobs that a claim
 * would stop.
 */
#ifndef JOB_GUARANTEE_EXPLANATION_H
#define JOB_GUARANTEE_EXPLANATION_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "job/guarantee_watch.h"
#include "job/pool.h"

/** State of one guaranteed shape. */
struct guarantee_explanation {
	char *name;
	char *state;	  /**< held, not held, in use, in use in part */
	int64_t since_ms; /**< wall clock; when it became held or not held */
	char *reason;
	GPtrArray *workers;    /**< of char *, one per slot, "" if unplanned */
	GPtrArray *used_by;    /**< of char *, ids of the account's own jobs */
	GPtrArray *would_stop; /**< of char *, ids of the borrowed jobs that
				    stop if the guarantee is claimed now */
};

/** All guaranteed shapes of an account in a pool. */
struct account_explanation {
	char *client_account;
	char *pool;
	int64_t epoch;	    /**< of the holder that made the report */
	GPtrArray *lines;   /**< of char *, the report as readable text */
	GArray *guarantees; /**< of struct guarantee_explanation */
};

/**
 * Returns a report on the guarantees of an account as JSON.
 *
 * @param now_ms		monotonic clock
 * @param wall_offset_ms	wall clock minus monotonic clock
 * @return	NULL when the account has none in this pool; the caller frees
 *		it with json_object_put()
 */
json_object *guarantee_explanation_json(struct pool *pool,
					const struct guarantee_watch *watch,
					const char *client_account,
					int64_t epoch, int64_t now_ms,
					int64_t wall_offset_ms);

#endif
