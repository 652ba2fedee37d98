/**
 * @file
 * The operators' library: builds a configuration from C structs, checks it as
 * the service does and prints it as JSON for `csctl apply`.
 *
 * A program that uses it ends with `return cs_plan_print(plan, stdout,
 * stderr);`. Strings are copied. Problems are collected and reported together
 * by cs_plan_print().
 */
#ifndef LIB_CS_PLAN_H
#define LIB_CS_PLAN_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "base/finding.h"
#include "config/config_doc.h"

struct cs_plan;

/** A client account; members left at 0 take their defaults. */
struct cs_client_account {
	const char *name;
	const char *service;
	int64_t share;		 /**< weight in fair sharing, default 1 */
	int64_t requests_per_s;	 /**< default 1000 */
	int64_t queued_requests; /**< default 1000 */
	const char *token;	 /**< bearer token or NULL; stored as SHA-256 */
};

/** A job that callers can submit by name. */
struct cs_job {
	const char *name;
	const char *client_account;
	const char *pool; /**< SERVICE.FAILURE_DOMAIN */
	enum job_class class;
	struct shape shape;
	int64_t expected_run_ms;   /**< default 3600000 */
	gboolean never_checkpoint; /**< a stopped job loses all its work */
};

/** Returns an empty plan; free with cs_plan_free(). */
struct cs_plan *cs_plan_new(void);
void cs_plan_free(struct cs_plan *plan);

/** @param failure_domains	names, NULL-terminated */
void cs_plan_add_service(struct cs_plan *plan, const char *name,
			 const char *const *failure_domains);
void cs_plan_add_client_account(struct cs_plan *plan,
				const struct cs_client_account *account);

/**
 * Adds a guaranteed shape in a pool to an account, which must have been added
 * before.
 */
void cs_plan_add_guaranteed_shape(struct cs_plan *plan,
				  const char *client_account, const char *name,
				  const char *pool, const struct shape *shape);
void cs_plan_add_job(struct cs_plan *plan, const struct cs_job *job);

/** Adds all problems to @findings; returns TRUE if there are none. */
gboolean cs_plan_check(const struct cs_plan *plan,
		       struct finding_list *findings);

/**
 * Returns the plan as JSON with entries sorted by name, one member per line;
 * free it with g_free().
 */
char *cs_plan_to_json(const struct cs_plan *plan);

/**
 * Writes the JSON to @out, or all findings to @errors, and frees the plan.
 *
 * @return	EXIT_SUCCESS or EXIT_FAILURE, for main()
 */
int cs_plan_print(struct cs_plan *plan, FILE *out, FILE *errors);

#endif
