/**
 * @file
 * The operators' library: builds a configuration from typed parts, checks it
 * as the service does and prints it as JSON, ready for `csctl apply`.
 *
 * A program that uses it ends with `return cs_plan_print(plan);`. Strings are
 * copied. Problems are collected and reported together by cs_plan_print().
 */
#ifndef LIB_CS_PLAN_H
#define LIB_CS_PLAN_H

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#include "base/finding.h"
#include "config/config_doc.h"

struct cs_plan;

/** A client account; members left at 0 take the service's defaults. */
struct cs_client_account {
	const char *name;
	const char *service;
	int64_t share;		 /**< weight in fair borrowing, default 1 */
	int64_t requests_per_s;	 /**< default 1000 */
	int64_t queued_requests; /**< default 1000 */
	const char *token;	 /**< callers' token; only its hash is kept */
};

/** A job that callers may start by name. */
struct cs_job {
	const char *name;
	const char *client_account;
	const char *pool; /**< SERVICE.FAILURE_DOMAIN */
	enum job_class class;
	struct shape shape;
	int64_t expected_run_ms;
	gboolean never_checkpoint; /**< stopping it loses all its work */
};

/** Returns an empty plan; free with cs_plan_free(). */
struct cs_plan *cs_plan_new(void);
void cs_plan_free(struct cs_plan *plan);

/** @param failure_domains	names, ends with NULL */
void cs_plan_add_service(struct cs_plan *plan, const char *name,
			 const char *const *failure_domains);
void cs_plan_add_client_account(struct cs_plan *plan,
				const struct cs_client_account *account);

/** Gives an account, which was added before, a guaranteed shape in a pool. */
void cs_plan_add_guaranteed_shape(struct cs_plan *plan,
				  const char *client_account, const char *name,
				  const char *pool, const struct shape *shape);
void cs_plan_add_job(struct cs_plan *plan, const struct cs_job *job);

/** Checks the plan; returns TRUE when nothing was found. */
gboolean cs_plan_check(const struct cs_plan *plan,
		       struct finding_list *findings);

/** Returns the plan as JSON, sorted by name, one member a line; free it. */
char *cs_plan_to_json(const struct cs_plan *plan);

/**
 * Writes the JSON to @out, or all findings to @errors.
 *
 * @return	EXIT_SUCCESS or EXIT_FAILURE, for main(); the plan is freed
 */
int cs_plan_print(struct cs_plan *plan, FILE *out, FILE *errors);

#endif
